package node

import (
	"net/http"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// gateRetryAfter is the Retry-After hint of refusals caused by the state of this
// node. It is short because another node can serve the caller at once.
const gateRetryAfter = time.Second

// gate is the admission control of the callers' listener. It limits the requests
// in flight and reports when the last one has ended.
type gate struct {
	maxStreams int
	// notReadyReason returns why the node must not take requests, or "".
	notReadyReason func() string

	mu       sync.Mutex
	draining bool // readiness fails
	closed   bool // new requests are refused
	active   int  // requests in flight
	idle     chan struct{}
}

func newGate(maxStreams int, notReadyReason func() string) *gate {
	return &gate{maxStreams: maxStreams, notReadyReason: notReadyReason, idle: make(chan struct{})}
}

// Enter implements callerapi.Gate.
func (g *gate) Enter() (func(), *refusal.Error) {
	if reason := g.notReadyReason(); reason != "" {
		return nil, refusal.New(refusal.KindNodeIsolated, http.StatusServiceUnavailable, "this node takes no work: "+reason+"; send the request to another node").WithRetryAfter(gateRetryAfter)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, refusal.New(refusal.KindNodeStopping, http.StatusServiceUnavailable, "this node is stopping; send the request to another node").WithRetryAfter(gateRetryAfter)
	}
	if g.active >= g.maxStreams {
		return nil, refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "this node has as many requests in flight as it may; send the request to another node or later").WithRetryAfter(gateRetryAfter)
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
	if g.isDraining() {
		return false, "the node is stopping"
	}
	reason := g.notReadyReason()
	return reason == "", reason
}

func (g *gate) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// drain makes the readiness check fail. Requests are still admitted, because
// load balancers go on sending until they see the failed check.
func (g *gate) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// close makes the gate refuse new requests. It returns a channel that is closed
// when the last request has ended.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.signalIdleLocked()
	return g.idle
}
