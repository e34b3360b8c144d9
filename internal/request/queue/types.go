// Package queue decides, at the home node of a set of replica groups, which
// request runs next and in which group. It is a pure state machine without I/O,
// goroutines or a clock of its own. Callers pass the time and serialize the calls.
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
	// CostTokens is the estimated number of prompt and generated tokens.
	CostTokens int64
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
	// Prefix holds hashes of the leading prompt blocks, longest prefix last.
	Prefix []uint64
	// Resumed is true for a stream that continues after a failure or a
	// preemption. It is queued before the other requests of its account.
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
	// FloorShare is the minimum share of the tokens that the rank gets while it
	// has a backlog, from 0 to 1.
	FloorShare  float64
	QueueBound  int
	Preemptible bool
}

// Group is the capacity of one replica group.
type Group struct {
	Name string
	// Slots is the number of concurrent streams; 0 while the group takes no
	// requests.
	Slots int
}

// Assignment binds a queued request to a free slot.
type Assignment struct {
	RequestID string
	Group     string
	// PrefixHit is the number of leading blocks expected in the cache.
	PrefixHit int
}

// RefusedRequest is a queued request that was removed because its deadline has
// passed or because the queue was full.
type RefusedRequest struct {
	RequestID string
	Refusal   *refusal.Error
}

// Decisions lists what the caller must carry out after an event.
type Decisions struct {
	Assign []Assignment
	// Preempt names running requests to cancel; each is offered again with
	// Resumed set once its slot is free.
	Preempt []string
	Refuse  []RefusedRequest
}

// Explanation states why a request waits or was started.
type Explanation struct {
	Reason  Reason
	Message string
}
