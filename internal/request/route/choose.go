package route

import (
	"math"
)

// AffinityBlocks is the number of leading prompt blocks whose hash selects
// the preferred home.
const AffinityBlocks = 4

// AffinitySlack is the part of the free slots, on average over the homes, by
// which a home may be loaded above the mean before requests that prefer it go
// to the next one.
const AffinitySlack = 0.2

// HomeLoad is the load of one home as last reported, with what Recent adds.
type HomeLoad struct {
	Node string
	// Report numbers the home's reports from 1; 0 before the first.
	Report int64
	// Slots is the number of concurrent streams of the home's groups.
	Slots int
	// Running and Queued count requests.
	Running int
	Queued  int
}

// load is the number of requests at the home.
func (h HomeLoad) load() int { return h.Running + h.Queued }

// relative is the load as a multiple of the home's slots.
func (h HomeLoad) relative() float64 { return float64(h.load()) / float64(h.Slots) }

// Choose returns the index of the home that a request joins, or -1 where no
// home has slots. prefix is the result of PrefixBlocks; draw is a hash of the
// request ID, which decides between homes where the prefix doesn't.
func Choose(homes []HomeLoad, prefix []uint64, draw uint64) int {
	return ChooseByAffinity(homes, prefix, draw)
}

// ChooseByAffinity prefers homes in rendezvous order of the leading prompt
// blocks and takes the first whose load is within AffinitySlack of the mean. A
// prompt shorter than one block is chosen for by load.
func ChooseByAffinity(homes []HomeLoad, prefix []uint64, draw uint64) int {
	if len(prefix) == 0 {
		return ChooseByLoad(homes, draw)
	}
	key := prefix[min(len(prefix), AffinityBlocks)-1]
	bound := AffinityBound(homes)
	best, bestScore := -1, uint64(0)
	for i, home := range homes {
		if home.Slots <= 0 || home.relative() > bound {
			continue
		}
		if s := score(key, home.Node); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 { // the mean is rounded
		return ChooseByLoad(homes, draw)
	}
	return best
}

// AffinityBound is the largest number of requests per slot of a home that
// takes requests by affinity. It lies the closer to the mean the fewer slots
// are free.
func AffinityBound(homes []HomeLoad) float64 {
	mean := meanLoad(homes)
	return mean + AffinitySlack*max(1-mean, 0)
}

// meanLoad is the number of requests per slot over all homes.
func meanLoad(homes []HomeLoad) float64 {
	slots, load := 0, 0
	for _, home := range homes {
		if home.Slots > 0 {
			slots += home.Slots
			load += home.load()
		}
	}
	return float64(load) / float64(max(slots, 1))
}

// ChooseByLoad draws two homes and takes the one with the lower load in
// proportion to its slots.
func ChooseByLoad(homes []HomeLoad, draw uint64) int {
	usable := make([]int, 0, len(homes))
	for i, home := range homes {
		if home.Slots > 0 {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	first, second := twoOf(len(usable), draw)
	a, b := usable[first], usable[second]
	if homes[b].relative() < homes[a].relative() {
		return b
	}
	return a
}

// twoOf returns two indexes below n, distinct where n is above 1.
func twoOf(n int, draw uint64) (int, int) {
	high, low := draw>>32, draw&math.MaxUint32
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
