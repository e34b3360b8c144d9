// Package forward sends one request of a caller to endpoints and returns the
// answer. It is independent of the protocols of callers and endpoints: an adapter
// decodes requests, sends attempts and writes refusals. Core.Serve blocks until
// the request is finished.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/request/ratelimit"
	"currantladder.example/currantladder/internal/request/refusal"
)

// Request is one completely received and decoded request of a caller.
type Request struct {
	// ID is the request ID of the caller. Each try of the caller has its own.
	ID     string
	Method string
	// Target is the path with its query exactly as sent; Path is unescaped and
	// selects the route together with Host.
	Target string
	Path   string
	Host   string
	// Header is passed on unchanged.
	Header http.Header
	Body   []byte
	APIKey string
	// Received is when the header was read.
	Received time.Time
	// TimeLimit is how long the caller waits, or 0 if not given.
	TimeLimit time.Duration
	// Model, PromptTokens and MaxOutputTokens describe a generation.
	Model           string
	PromptTokens    int
	MaxOutputTokens int
	// Prompt describes the prompt of a generation as the caller sent it, or is "".
	Prompt string
	// SharedParts are the IDs of the parts of the prompt that other requests may
	// share, in order.
	SharedParts []string
	// ResumeAfter is the ID of the last event that the caller received, or "".
	ResumeAfter string
}

// Attempt is one send of a request.
type Attempt struct {
	Address string
	// HostID is the intended host; any other host at the address refuses.
	HostID  string
	Account string
	// Urgency orders the endpoint's queue, from 0 (first) to 9 (last).
	Urgency int
	// TimeLeft is what remains of the caller's time limit.
	TimeLeft    time.Duration
	ResumeAfter string
	// FreshConnection requires a new connection, since the endpoint may be closing
	// an idle one.
	FreshConnection bool
}

// Reply is the start of an endpoint's answer.
type Reply struct {
	Status int
	Header http.Header
	// NotRun is true if the endpoint declared that it did not run the request.
	NotRun bool
	// Misdirected is true if the status says that the request was meant for another host.
	// Without NotRun, the endpoint may have run it.
	Misdirected bool
	// Verified is true if the answer carries the endpoint's proof and the ID of
	// this request.
	Verified bool
	// WrongRequest is true if the answer belongs to another request, or may because
	// nothing shows the opposite.
	WrongRequest bool
	// FaultyHost is the member because of which a group refused, or "".
	FaultyHost string
	// RateLimit is the limit of requests that the host names, or nil if the answer says
	// nothing about it.
	RateLimit *ratelimit.Limit
	// Leaving is true if the host says that it is about to leave.
	Leaving bool
	// Wait is the time for which a host that refused the request wants no others from
	// this node, or 0.
	Wait time.Duration
	// EndsWithConnection is true if the answer has neither a length nor chunks, so
	// that only the end of the connection ends it.
	EndsWithConnection bool
	Body               io.ReadCloser
}

// Endpoint sends attempts. Errors of Send are *endpoint.CallError.
type Endpoint interface {
	Send(ctx context.Context, r *Request, a Attempt) (*Reply, error)
	// Gone reports whether nothing listens at the address any more. It is false if
	// that cannot be told within a fraction of a second.
	Gone(ctx context.Context, address string) bool
}

// RefusalWriter answers a caller whose request is refused.
type RefusalWriter func(w http.ResponseWriter, e *refusal.Error)
