package share

import "time"

// Demand is tracked in a ring of short intervals.
const (
	demandInterval  = 250 * time.Millisecond
	demandIntervals = 8
)

// demandWindow is the time over which demand is averaged.
const demandWindow = demandInterval * demandIntervals

// interval is what was asked of one account within demandInterval.
type interval struct {
	index   int64
	tokens  float64
	largest float64
	peak    int // requests in flight
	refused int // for lack of a slot
}

// demand tracks what callers recently asked of an account at this node,
// refused requests included.
type demand struct {
	epoch time.Time
	ring  [demandIntervals]interval
}

func (d *demand) at(now time.Time) *interval {
	if d.epoch.IsZero() {
		d.epoch = now
	}
	index := int64(now.Sub(d.epoch) / demandInterval)
	slot := &d.ring[index%demandIntervals]
	if slot.index != index {
		*slot = interval{index: index}
	}
	return slot
}

// ask records a request.
func (d *demand) ask(tokens float64, now time.Time) {
	slot := d.at(now)
	slot.tokens += tokens
	slot.largest = max(slot.largest, tokens)
}

// slotRefused records a request refused for lack of an in-flight slot.
func (d *demand) slotRefused(now time.Time) { d.at(now).refused++ }

// inFlight records the number of running requests.
func (d *demand) inFlight(running int, now time.Time) {
	slot := d.at(now)
	slot.peak = max(slot.peak, running)
}

// recent is demand over the window.
type recent struct {
	tokensPerSecond float64
	largest         float64
	peak            int
	refused         int
}

func (d *demand) recent(now time.Time) recent {
	current := d.at(now).index
	var sum recent
	for _, slot := range d.ring {
		if slot.index <= current-demandIntervals {
			continue
		}
		sum.tokensPerSecond += slot.tokens
		sum.largest = max(sum.largest, slot.largest)
		sum.peak = max(sum.peak, slot.peak)
		sum.refused += slot.refused
	}
	elapsed := now.Sub(d.epoch)
	window := demandWindow - demandInterval + elapsed%demandInterval
	sum.tokensPerSecond /= min(window, max(elapsed, demandInterval)).Seconds()
	return sum
}
