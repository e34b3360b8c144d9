// Package claim makes non-idempotent service calls run at most once. A claim
// row is inserted in the table service before the first byte is handed to an
// endpoint; the recorded answer is replayed to a repeat.
package claim

import (
	"context"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// Call identifies one non-idempotent call.
type Call struct {
	Service string
	Account string
	// Key is the caller's idempotency key, or one that the node minted.
	Key string
	// Fingerprint is a hash of method, path and body: a key that comes again
	// with another call is refused.
	Fingerprint uint64
}

// Answer is a recorded answer of an endpoint.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body"`
}

// Outcome is the result of Begin.
type Outcome struct {
	// Ticket is set when the caller now holds the claim and must run the call.
	Ticket *Ticket
	// Replay is set when the call has already run and was recorded.
	Replay *Answer
}

// Ticket is a held claim.
type Ticket struct {
	Call  Call
	Key   string // row key
	Nonce string
	Taken time.Time
}

// Claims takes and settles claims. It is safe for concurrent use.
type Claims interface {
	// Begin inserts the claim. It refuses with KindStoreUnavailable, ran: no,
	// when the claim was not inserted; with KindAlreadyClaimed, ran: unknown,
	// when another try holds it without a recorded answer.
	Begin(ctx context.Context, call Call) (Outcome, *refusal.Error)
	// Record stores the answer. A failure leaves the claim without answer,
	// so that repeats are told ran: unknown.
	Record(ctx context.Context, ticket *Ticket, answer Answer) error
	// Abandon removes the claim of a call of which no byte was handed to an
	// endpoint connection.
	Abandon(ctx context.Context, ticket *Ticket) error
}
