// Package refusal defines the typed errors that callers receive. Each has a
// stable kind, a message that names the remedy, and a statement whether the
// request may have run.
package refusal

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Kind identifies a refusal; it is stable across releases.
type Kind string

// The kinds of refusals.
const (
	KindBadRequest       Kind = "bad_request"
	KindBodyTooLarge     Kind = "body_too_large"
	KindBodyTooSlow      Kind = "body_too_slow"
	KindUnauthorized     Kind = "unauthorized"
	KindUnknownModel     Kind = "unknown_model"
	KindUnknownRank      Kind = "unknown_rank"
	KindUnknownService   Kind = "unknown_service"
	KindRankNotAllowed   Kind = "rank_not_allowed"
	KindCapExceeded      Kind = "cap_exceeded"
	KindOverloaded       Kind = "overloaded"
	KindDeadline         Kind = "deadline"
	KindNoEndpoint       Kind = "no_endpoint"
	KindCrashSuspect     Kind = "crash_suspect"
	KindNodeStopping     Kind = "node_stopping"
	KindNodeIsolated     Kind = "node_isolated"
	KindStoreUnavailable Kind = "store_unavailable"
	KindAlreadyClaimed   Kind = "already_claimed"
	KindIncomplete       Kind = "incomplete_answer"
	KindRetriesExhausted Kind = "retries_exhausted"
)

// Ran states whether a refused request may have run at an endpoint.
type Ran string

// The values of Ran.
const (
	// RanNo is used only if no byte was written to an endpoint connection, or if
	// the endpoint declared that it did not run the request.
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Error is a refusal. It implements error.
type Error struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Ran     Ran    `json:"ran"`
	// Status is the HTTP status code.
	Status int `json:"-"`
	// RetryAfter is sent to the caller as the Retry-After header; 0 sends none.
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"requestID,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message + " (ran: " + string(e.Ran) + ")"
}

// PromisesNotRun reports whether callers take a status as the promise that their request did
// not run and never will, so that they may send it again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// New returns a refusal of a request that did not run.
func New(kind Kind, status int, message string) *Error {
	return &Error{Kind: kind, Message: message, Ran: RanNo, Status: status}
}

// NewMayHaveRun returns a refusal of a request that may have run.
func NewMayHaveRun(kind Kind, status int, message string) *Error {
	return &Error{Kind: kind, Message: message, Ran: RanUnknown, Status: status}
}

// NewCrashSuspect returns the refusal of a request that was in flight at several
// endpoints when they crashed.
func NewCrashSuspect() *Error {
	return New(KindCrashSuspect, http.StatusUnprocessableEntity, "this request was in flight at several endpoints that died and is refused for now; change the request or send it later")
}

// WithRetryAfter returns a copy with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// From converts any error to a refusal. An error that does not wrap a refusal
// becomes an incomplete answer to a request that may have run.
func From(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return NewMayHaveRun(KindIncomplete, http.StatusBadGateway, "the answer ended early: "+err.Error()+"; send the request again if it may run twice")
}

// Body is the JSON envelope of a refusal.
type Body struct {
	Error *Error `json:"error"`
}

// Write sends the refusal as an HTTP response. Retry-After is rounded up to
// whole seconds.
func (e *Error) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(Body{Error: e})
}
