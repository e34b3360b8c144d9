// Package queue decides, at the home node of a set of replica groups, which
// request runs next and where. It is a pure state machine: no I/O, no
// goroutines and no clock of its own. Callers pass the time and serialize
// calls.
package queue

import (
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// Request is one queued or running request.
type Request struct {
	ID      string
	Account string
	Rank    string
	// CostTokens estimates prompt plus generated tokens.
	CostTokens int64
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
	// Prefix holds hashes of the leading prompt blocks, longest prefix last.
	Prefix []uint64
	// Resumed is true for a stream that continues after a failure or a
	// preemption; it is placed before new work of its account.
	Resumed bool
	// Avoid names groups that must not run the request, such as the one that
	// has just failed.
	Avoid []string
}

// Rank holds the scheduling parameters of one rank.
type Rank struct {
	Name             string
	Priority         int
	FirstTokenTarget time.Duration
	// FloorShare is the share of tokens that the rank keeps under backlog.
	FloorShare  float64
	QueueBound  int
	Preemptible bool
}

// Group is the capacity of one replica group.
type Group struct {
	Name string
	// Slots is the number of concurrent streams; 0 while the gate is closed.
	Slots int
}

// Assignment binds a queued request to a free slot.
type Assignment struct {
	RequestID string
	Group     string
	// PrefixHit is the number of leading blocks expected in the cache.
	PrefixHit int
}

// Expiry is a queued request that can no longer be served in time.
type Expiry struct {
	RequestID string
	Refusal   *refusal.Error
}

// Decisions is what the caller must carry out after an event.
type Decisions struct {
	Assign []Assignment
	// Preempt names running requests to cancel; each is offered again with
	// Resumed set once its slot is free.
	Preempt []string
	Expire  []Expiry
}

// Explanation tells why the scheduler decided as it did.
type Explanation struct {
	Reason  Reason
	Message string
}
