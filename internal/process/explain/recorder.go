// Package explain keeps the recorded decisions on the way of recent requests.
package explain

import (
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Bounds of what is kept.
const (
	maxRequests        = 4096
	maxStepsPerRequest = 64
)

// Recorder keeps the steps of the most recent requests of this node. It is
// safe for concurrent use.
type Recorder struct {
	node string

	mu    sync.Mutex
	steps map[string][]peer.Step
	// order is a ring of request ids, the oldest of which is replaced.
	order []string
	next  int
}

// NewRecorder returns an empty recorder for the node.
func NewRecorder(node string) *Recorder {
	return &Recorder{node: node, steps: make(map[string][]peer.Step), order: make([]string, maxRequests)}
}

// Record adds one step. Steps beyond a request's bound are dropped.
func (r *Recorder) Record(requestID, reason, message string) {
	step := peer.Step{Time: time.Now(), Node: r.node, Reason: reason, Message: message}
	r.mu.Lock()
	defer r.mu.Unlock()
	steps, known := r.steps[requestID]
	if !known {
		delete(r.steps, r.order[r.next])
		r.order[r.next] = requestID
		r.next = (r.next + 1) % maxRequests
	}
	if len(steps) < maxStepsPerRequest {
		r.steps[requestID] = append(steps, step)
	}
}

// Steps returns the steps of a request, oldest first.
func (r *Recorder) Steps(requestID string) []peer.Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]peer.Step(nil), r.steps[requestID]...)
}
