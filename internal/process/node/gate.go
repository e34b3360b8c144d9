package node

import (
	"net/http"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// gateRetryAfter is the hint to callers whom this node refuses for its own
// state; another node can serve them at once.
const gateRetryAfter = time.Second

// gate admits work while the node may take it, and waits for its end.
type gate struct {
	maxStreams int
	// why returns why the node is not fit for work, or "".
	why func() string

	mu       sync.Mutex
	draining bool
	closed   bool
	active   int
	idle     chan struct{}
}

func newGate(maxStreams int, why func() string) *gate {
	return &gate{maxStreams: maxStreams, why: why, idle: make(chan struct{})}
}

// Enter implements callerapi.Gate.
func (g *gate) Enter() (func(), *refusal.Error) {
	if why := g.why(); why != "" {
		return nil, refusal.New(refusal.KindNodeIsolated, http.StatusServiceUnavailable, "this node takes no work: "+why+"; send the request to another node").After(gateRetryAfter)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, refusal.New(refusal.KindNodeStopping, http.StatusServiceUnavailable, "this node is stopping; send the request to another node").After(gateRetryAfter)
	}
	if g.active >= g.maxStreams {
		return nil, refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "this node has as many requests in flight as it may; send the request to another node or later").After(gateRetryAfter)
	}
	g.active++
	return sync.OnceFunc(g.leave), nil
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	g.signalIdleLocked()
}

func (g *gate) signalIdleLocked() {
	if g.closed && g.active == 0 {
		select {
		case <-g.idle:
		default:
			close(g.idle)
		}
	}
}

// Ready implements callerapi.Gate.
func (g *gate) Ready() (bool, string) {
	g.mu.Lock()
	draining := g.draining
	g.mu.Unlock()
	if draining {
		return false, "the node is stopping"
	}
	why := g.why()
	return why == "", why
}

// drain fails readiness; work is still taken, because the balancer has not
// noticed yet.
func (g *gate) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// close refuses new work and returns a channel that is closed when the last
// request has ended.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.signalIdleLocked()
	return g.idle
}
