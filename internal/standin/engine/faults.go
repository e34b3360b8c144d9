package engine

import (
	"context"
	"time"
)

// Faults is the set of faults in force. The zero value means none.
type Faults struct {
	// Pause blocks every reply, including the tokens of running streams.
	Pause bool `json:"pause,omitempty"`
	// SlowFactor multiplies the load delay, the prefill time and the token
	// interval; a value below 1 means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// LateMillis delays every reply.
	LateMillis int64 `json:"lateMillis,omitempty"`
	// Leaving says in every answer that the host is about to leave.
	Leaving bool `json:"leaving,omitempty"`
	// RetryAfter, unless empty, refuses every generate request with 503 and this text
	// as Retry-After.
	RetryAfter string `json:"retryAfter,omitempty"`
	// CrashMarker crashes the engine when it runs a prompt that contains it.
	CrashMarker string `json:"crashMarker,omitempty"`
	// BeforeCrash, unless nil, is called before CrashMarker crashes the engine.
	BeforeCrash func() `json:"-"`
	// OnCrash, unless nil, is called as CrashMarker crashes the engine.
	OnCrash func() `json:"-"`
	// SwapEvery gives every n-th chunk the request ID and text of another
	// request.
	SwapEvery int `json:"swapEvery,omitempty"`
	// ReorderEvery sends every n-th chunk after the one that follows it in
	// its stream.
	ReorderEvery int `json:"reorderEvery,omitempty"`
	// CutAfter cuts the connection of each stream after n chunks.
	CutAfter int `json:"cutAfter,omitempty"`
	// StallAfter stalls each stream after n chunks: it stays open, but nothing
	// more is sent.
	StallAfter int `json:"stallAfter,omitempty"`
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.sentChunks = 0
	e.mu.Unlock()
	e.gate.Set(f.Pause, time.Duration(f.LateMillis)*time.Millisecond)
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// isNth reports whether a fault that applies to every n-th event applies to the
// event with this count. It never does if n is 0.
func isNth(n, count int) bool { return n > 0 && count%n == 0 }

// scaled multiplies a duration by the slow factor.
func (e *Engine) scaled(d time.Duration) time.Duration {
	factor := max(1, e.Faults().SlowFactor)
	return time.Duration(float64(d) * factor)
}

// waitDone blocks until ctx ends and returns its error.
func waitDone(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
