package route

import (
	"math"
)

// AffinityBlocks is the number of leading prompt blocks whose hash selects
// the preferred home.
const AffinityBlocks = 4

// AffinitySlack is how far the load of a home may exceed the mean before
// requests that prefer it go to the next home, as a fraction of the mean share
// of free slots.
const AffinitySlack = 0.2

// HomeLoad is the last reported load of one home, to which
// RecentRequests.Adjust adds the requests sent since.
type HomeLoad struct {
	Node string
	// Report is the number of the home's last report, counted from 1; 0 before
	// the first.
	Report int64
	// Slots is the number of concurrent streams of the home's groups.
	Slots int
	// Running and Queued count requests.
	Running int
	Queued  int
}

// load is the number of requests at the home.
func (h HomeLoad) load() int { return h.Running + h.Queued }

// loadPerSlot is the number of requests per slot of the home.
func (h HomeLoad) loadPerSlot() float64 { return float64(h.load()) / float64(h.Slots) }

// Choose returns the index of the home that a request joins, or -1 where no
// home has slots. prefix is the result of PrefixBlocks; randomBits is a
// random number, which selects the homes to compare where the prefix selects
// none.
func Choose(homes []HomeLoad, prefix []uint64, randomBits uint64) int {
	return ChooseByAffinity(homes, prefix, randomBits)
}

// ChooseByAffinity ranks the homes by rendezvous hashing of the leading prompt
// blocks and returns the first whose load is at most MaxAffinityLoad. For a
// prompt shorter than one block it returns the result of ChooseByLoad.
func ChooseByAffinity(homes []HomeLoad, prefix []uint64, randomBits uint64) int {
	if len(prefix) == 0 {
		return ChooseByLoad(homes, randomBits)
	}
	key := prefix[min(len(prefix), AffinityBlocks)-1]
	maxLoad := MaxAffinityLoad(homes)
	best, bestScore := -1, uint64(0)
	for i, home := range homes {
		if home.Slots <= 0 || home.loadPerSlot() > maxLoad {
			continue
		}
		if s := score(key, home.Node); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 { // the rounded mean may be below the load of every home
		return ChooseByLoad(homes, randomBits)
	}
	return best
}

// MaxAffinityLoad returns the largest number of requests per slot at which a
// home still receives requests by affinity. The fewer slots are free, the closer
// it is to the mean.
func MaxAffinityLoad(homes []HomeLoad) float64 {
	mean := meanLoadPerSlot(homes)
	return mean + AffinitySlack*max(1-mean, 0)
}

// meanLoadPerSlot is the number of requests per slot over all homes.
func meanLoadPerSlot(homes []HomeLoad) float64 {
	slots, load := 0, 0
	for _, home := range homes {
		if home.Slots > 0 {
			slots += home.Slots
			load += home.load()
		}
	}
	return float64(load) / float64(max(slots, 1))
}

// ChooseByLoad compares two homes selected by randomBits and returns the index
// of the one with fewer requests per slot, or -1 where no home has slots.
func ChooseByLoad(homes []HomeLoad, randomBits uint64) int {
	usable := make([]int, 0, len(homes))
	for i, home := range homes {
		if home.Slots > 0 {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	first, second := twoIndexes(len(usable), randomBits)
	a, b := usable[first], usable[second]
	if homes[b].loadPerSlot() < homes[a].loadPerSlot() {
		return b
	}
	return a
}

// twoIndexes returns two indexes below n, distinct where n is above 1.
func twoIndexes(n int, randomBits uint64) (int, int) {
	high, low := randomBits>>32, randomBits&math.MaxUint32
	first := int(high % uint64(n))
	if n == 1 {
		return first, first
	}
	second := int(low % uint64(n-1))
	if second >= first {
		second++
	}
	return first, second
}
