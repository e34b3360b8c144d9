package share

import (
	"sync"
	"time"
)

// oracle is the reference model of a cap: one token bucket and one in-flight count
// for all admissions, independent of the code under test. It computes in integers:
// it counts nanotokens, and each nanosecond adds as many of them as the rate in
// tokens a second.
type oracle struct {
	mu            sync.Mutex
	rate          int64 // tokens a second
	bucketDepth   int64 // nanotokens
	tokens        int64 // nanotokens
	refilledAt    time.Time
	inFlightLimit int
	inFlight      int

	overshoot      int64 // largest deficit of the bucket, nanotokens
	overInFlight   int   // most requests above the in-flight limit
	admittedTokens int64
	windowStart    time.Time
	windowTokens   int64
	perSecond      []int64 // admitted tokens by whole second
}

func newOracle(c Cap, now time.Time) *oracle {
	depth := int64(c.BurstTokens) * int64(time.Second)
	return &oracle{rate: int64(c.TokensPerSecond), bucketDepth: depth, tokens: depth, refilledAt: now, inFlightLimit: c.InFlight, windowStart: now}
}

func (o *oracle) advance(now time.Time) {
	if elapsed := now.Sub(o.refilledAt); elapsed > 0 {
		o.tokens = min(o.bucketDepth, o.tokens+o.rate*int64(elapsed))
		o.refilledAt = now
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
	o.tokens -= cost * int64(time.Second)
	o.overshoot = max(o.overshoot, -o.tokens)
	o.inFlight++
	o.overInFlight = max(o.overInFlight, o.inFlight-o.inFlightLimit)
	o.admittedTokens += cost
	o.windowTokens += cost
}

func (o *oracle) settle() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
}

// setCap changes the cap. A lower cap must already be in force at every node.
func (o *oracle) setCap(c Cap, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(now)
	o.rate, o.inFlightLimit = int64(c.TokensPerSecond), c.InFlight
	o.bucketDepth = int64(c.BurstTokens) * int64(time.Second)
	o.tokens = min(o.tokens, o.bucketDepth)
}

// utilization returns the admitted tokens as a fraction of the cap, from second
// from up to second to, counted from the start of the oracle.
func (o *oracle) utilization(from, to int) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(time.Now())
	var sum int64
	for _, tokens := range o.perSecond[from:to] {
		sum += tokens
	}
	return float64(sum) / float64(o.rate*int64(to-from))
}

// seconds returns the number of whole seconds since the start of the oracle.
func (o *oracle) seconds() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.advance(time.Now())
	return len(o.perSecond)
}
