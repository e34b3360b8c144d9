package share

import (
	"sync"
	"time"
)

// oracle is one token bucket and one in-flight count over all admissions,
// independent of the code under test. It computes in integers: a level of
// tokens times nanoseconds a second refills by the rate each nanosecond.
type oracle struct {
	mu       sync.Mutex
	rate     int64 // tokens a second
	depth    int64 // nanotokens
	level    int64 // nanotokens
	at       time.Time
	limit    int
	inFlight int

	overshoot    int64 // nanotokens, the most below an empty bucket
	overInFlight int
	tokens       int64
	windowStart  time.Time
	windowTokens int64
	perSecond    []int64
}

func newOracle(c Cap, now time.Time) *oracle {
	depth := int64(c.BurstTokens) * int64(time.Second)
	return &oracle{rate: int64(c.TokensPerSecond), depth: depth, level: depth, at: now, limit: c.InFlight, windowStart: now}
}

func (o *oracle) advance(now time.Time) {
	if elapsed := now.Sub(o.at); elapsed > 0 {
		o.level = min(o.depth, o.level+o.rate*int64(elapsed))
		o.at = now
	}
	for now.Sub(o.windowStart) >= time.Second {
		o.perSecond = append(o.perSecond, o.windowTokens)
		o.windowTokens = 0
		o.windowStart = o.windowStart.Add(time.Second)
	}
}

func (o *oracle) admit(cost int64, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(now)
	o.level -= cost * int64(time.Second)
	o.overshoot = max(o.overshoot, -o.level)
	o.inFlight++
	o.overInFlight = max(o.overInFlight, o.inFlight-o.limit)
	o.tokens += cost
	o.windowTokens += cost
}

func (o *oracle) settle() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
}

// setCap changes the cap; a lower one must be in force at every node.
func (o *oracle) setCap(c Cap, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(now)
	o.rate, o.limit = int64(c.TokensPerSecond), c.InFlight
	o.depth = int64(c.BurstTokens) * int64(time.Second)
	o.level = min(o.level, o.depth)
}

// use returns the admitted tokens as a share of the cap in whole seconds
// after from, counted from the start.
func (o *oracle) use(from, to int) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(time.Now())
	var sum int64
	for _, tokens := range o.perSecond[from:to] {
		sum += tokens
	}
	return float64(sum) / float64(o.rate*int64(to-from))
}

// seconds returns the number of whole seconds so far.
func (o *oracle) seconds() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(time.Now())
	return len(o.perSecond)
}
