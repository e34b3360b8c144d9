// Package explain records the decisions about recent requests in memory, and
// finds the lines about a request in the logs of nodes.
package explain

import (
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Limits of the recorder.
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
	// recent is a ring buffer of request IDs. A new one replaces the oldest, at
	// index next.
	recent []string
	next   int
}

// NewRecorder returns an empty recorder for the node.
func NewRecorder(node string) *Recorder {
	return &Recorder{node: node, steps: make(map[string][]peer.Step), recent: make([]string, maxRequests)}
}

// Record adds one step. Steps beyond maxStepsPerRequest are dropped.
func (r *Recorder) Record(requestID, reason, message string) {
	step := peer.Step{Time: time.Now(), Node: r.node, Reason: reason, Message: message}
	r.mu.Lock()
	defer r.mu.Unlock()
	steps, known := r.steps[requestID]
	if !known {
		delete(r.steps, r.recent[r.next])
		r.recent[r.next] = requestID
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
