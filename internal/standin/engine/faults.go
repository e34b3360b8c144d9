package engine

import (
	"context"
	"time"
)

// Faults is the set of faults in force. The zero value means none.
type Faults struct {
	// Pause holds every answer, tokens included.
	Pause bool `json:"pause,omitempty"`
	// SlowFactor stretches prefill and token intervals; below 1 means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// LateMillis delays every answer.
	LateMillis int64 `json:"lateMillis,omitempty"`
	// CrashMarker crashes the engine when it runs a prompt that contains it.
	CrashMarker string `json:"crashMarker,omitempty"`
	// SwapEvery gives every n-th chunk the id and text of another request.
	SwapEvery int `json:"swapEvery,omitempty"`
	// ReorderEvery sends every n-th chunk after the one that follows it in
	// its stream.
	ReorderEvery int `json:"reorderEvery,omitempty"`
	// CutAfter cuts the connection of each stream after n chunks.
	CutAfter int `json:"cutAfter,omitempty"`
	// StallAfter leaves each stream open but silent after n chunks.
	StallAfter int `json:"stallAfter,omitempty"`
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.chunks = 0
	e.mu.Unlock()
	e.gate.Set(f.Pause, time.Duration(f.LateMillis)*time.Millisecond)
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// every reports whether the count hits a fault of every n-th event.
func every(n, count int) bool { return n > 0 && count%n == 0 }

// scaled stretches a duration by the slow factor.
func (e *Engine) scaled(d time.Duration) time.Duration {
	factor := max(1, e.Faults().SlowFactor)
	return time.Duration(float64(d) * factor)
}

// hold blocks until ctx ends.
func hold(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
