// Package fault provides the fault injection helpers that the stand-ins share.
package fault

import (
	"context"
	"sync"
	"time"
)

// Gate blocks calls while it is paused, and delays each call that it lets pass.
// The zero value is open and adds no delay. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	resume chan struct{} // nil while open
	delay  time.Duration
}

// Set pauses or opens the gate and sets the delay. Opening releases the calls
// that are blocked.
func (g *Gate) Set(paused bool, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = delay
	switch {
	case paused && g.resume == nil:
		g.resume = make(chan struct{})
	case !paused && g.resume != nil:
		close(g.resume)
		g.resume = nil
	}
}

// Pass blocks while the gate is paused and then for its delay. It returns the
// error of ctx if ctx ends first.
func (g *Gate) Pass(ctx context.Context) error {
	if err := g.WaitOpen(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	delay := g.delay
	g.mu.Unlock()
	return Sleep(ctx, delay)
}

// WaitOpen blocks while the gate is paused, without the delay. It returns the
// error of ctx if ctx ends first.
func (g *Gate) WaitOpen(ctx context.Context) error {
	for {
		g.mu.Lock()
		resume := g.resume
		g.mu.Unlock()
		if resume == nil {
			return ctx.Err()
		}
		select {
		case <-resume:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Sleep blocks for d. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
