// Package forward carries one request of a caller to endpoints and its answer
// back. It does not know which protocol callers or endpoints speak: an adapter
// decodes requests, sends attempts and writes refusals.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// Request is one caller's request, whole and decoded.
type Request struct {
	// ID is the caller's, unique to this try of the caller.
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
	Key    string
	// Received is when the header had been read.
	Received time.Time
	// TimeLimit is how long the caller waits; 0 when it did not say.
	TimeLimit time.Duration
	// Model, PromptTokens and MaxOutputTokens describe a generation.
	Model           string
	PromptTokens    int
	MaxOutputTokens int
	// ResumeAfter is the ID of the last event that the caller has, or "".
	ResumeAfter string
}

// Attempt is one send of a request.
type Attempt struct {
	Address string
	// HostID makes any other host at the address refuse.
	HostID  string
	Account string
	// Urgency is 0 for the first in the endpoint's queue, up to 9.
	Urgency int
	// TimeLeft is what remains of the caller's time limit.
	TimeLeft    time.Duration
	ResumeAfter string
	// FreshConnection avoids connections that the endpoint may be closing.
	FreshConnection bool
}

// Reply is the start of an endpoint's answer.
type Reply struct {
	Status int
	Header http.Header
	// NotRun is the endpoint's word that it did not run the request.
	NotRun bool
	// Genuine answers carry the endpoint's proof and the request's own ID.
	Genuine bool
	// Other is true for an answer to another request.
	Other bool
	// FaultyHost is the member of a group because of which it refused, or "".
	FaultyHost string
	Body       io.ReadCloser
}

// Endpoint sends attempts. Errors are *endpoint.CallError.
type Endpoint interface {
	Send(ctx context.Context, r *Request, a Attempt) (*Reply, error)
}

// RefusalWriter answers a caller whose request is refused.
type RefusalWriter func(w http.ResponseWriter, e *refusal.Error)
