// Package claim makes non-idempotent service calls run at most once. The API for
// callers inserts a claim row in the table service before it sends the first byte
// to an endpoint, and a repeat gets the recorded answer. All methods of Claims
// block on the table service.
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
	// Key is the caller's idempotency key, or one that the node generated.
	Key string
	// Fingerprint is a hash of method, path and body. A call that reuses a key
	// with another fingerprint is refused.
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
	// Handle is set if the claim was inserted and this attempt is to run the
	// call.
	Handle *Handle
	// Replay is set to the recorded answer if the call has already run.
	Replay *Answer
}

// Handle identifies an inserted claim to Record and Abandon.
type Handle struct {
	Call      Call
	Key       string // row key
	Nonce     string // distinguishes this attempt from others of the same call
	ClaimedAt time.Time
}

// Claims inserts claims and then records their answers or removes them. It is
// safe for concurrent use.
type Claims interface {
	// Begin inserts the claim, or returns the recorded answer. It refuses with
	// KindStoreUnavailable if the claim could not be stored (ran: no) or its
	// state could not be determined (ran: unknown), with KindAlreadyClaimed
	// (ran: unknown) if another attempt has claimed the key and its answer is
	// not recorded, and with KindBadRequest if the key belongs to another call.
	Begin(ctx context.Context, call Call) (Outcome, *refusal.Error)
	// Record stores the answer. After a failure the claim has no answer and
	// repeats are refused with ran: unknown.
	Record(ctx context.Context, handle *Handle, answer Answer) error
	// Abandon removes the claim of a call of which no byte was handed to an
	// endpoint connection.
	Abandon(ctx context.Context, handle *Handle) error
}
