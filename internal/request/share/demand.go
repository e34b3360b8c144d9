package share

import "time"

// Demand is sampled over short intervals, which form a ring.
const (
	demandIntervalLength = 250 * time.Millisecond
	demandIntervalCount  = 8
)

// demandWindow is the time over which demand is averaged.
const demandWindow = demandIntervalLength * demandIntervalCount

// demandSample is the demand for one account within one interval.
type demandSample struct {
	index          int64
	tokens         float64
	largestRequest float64
	peakInFlight   int // requests
	slotRefusals   int // requests refused for lack of an in-flight slot
}

// demand tracks what callers recently asked of an account at this node,
// refused requests included.
type demand struct {
	start time.Time
	ring  [demandIntervalCount]demandSample
}

// sample returns the sample of the current interval.
func (d *demand) sample(now time.Time) *demandSample {
	if d.start.IsZero() {
		d.start = now
	}
	index := int64(now.Sub(d.start) / demandIntervalLength)
	s := &d.ring[index%demandIntervalCount]
	if s.index != index {
		*s = demandSample{index: index}
	}
	return s
}

// recordRequest records a request, admitted or not.
func (d *demand) recordRequest(tokens float64, now time.Time) {
	s := d.sample(now)
	s.tokens += tokens
	s.largestRequest = max(s.largestRequest, tokens)
}

// recordSlotRefusal records a request refused for lack of an in-flight slot.
func (d *demand) recordSlotRefusal(now time.Time) { d.sample(now).slotRefusals++ }

// recordInFlight records the number of requests in flight.
func (d *demand) recordInFlight(inFlight int, now time.Time) {
	s := d.sample(now)
	s.peakInFlight = max(s.peakInFlight, inFlight)
}

// recentDemand is the demand over demandWindow.
type recentDemand struct {
	tokensPerSecond float64
	largestRequest  float64
	peakInFlight    int
	slotRefusals    int
}

// recent sums the samples of demandWindow and averages the token rate over the
// part of the window that has passed.
func (d *demand) recent(now time.Time) recentDemand {
	currentIndex := d.sample(now).index
	var sum recentDemand
	for _, s := range d.ring {
		if s.index <= currentIndex-demandIntervalCount {
			continue
		}
		sum.tokensPerSecond += s.tokens
		sum.largestRequest = max(sum.largestRequest, s.largestRequest)
		sum.peakInFlight = max(sum.peakInFlight, s.peakInFlight)
		sum.slotRefusals += s.slotRefusals
	}
	elapsed := now.Sub(d.start)
	window := demandWindow - demandIntervalLength + elapsed%demandIntervalLength
	sum.tokensPerSecond /= min(window, max(elapsed, demandIntervalLength)).Seconds()
	return sum
}
