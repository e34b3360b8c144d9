// Package refusal defines the typed errors that callers receive. Each has a
// stable kind, a message that names the remedy, and says whether the request
// ran.
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

// Ran tells whether a refused request may have run at an endpoint.
type Ran string

// RanNo is only used where no byte was handed to an endpoint connection.
const (
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
	// RetryAfter is a hint to the caller; 0 gives none.
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"requestID,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message + " (ran: " + string(e.Ran) + ")"
}

// New returns a refusal of a request that did not run.
func New(kind Kind, status int, message string) *Error {
	return &Error{Kind: kind, Message: message, Ran: RanNo, Status: status}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(kind Kind, status int, message string) *Error {
	return &Error{Kind: kind, Message: message, Ran: RanUnknown, Status: status}
}

// Suspect returns the refusal of a request that has crashed endpoints.
func Suspect() *Error {
	return New(KindCrashSuspect, http.StatusUnprocessableEntity, "this request was in flight at several endpoints that died and is refused for now; change the request or send it later")
}

// After returns a copy with a Retry-After hint.
func (e *Error) After(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// From converts any error to a refusal. An error that is not a refusal
// becomes an incomplete answer that may have run.
func From(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return Unknown(KindIncomplete, http.StatusBadGateway, "the answer ended early: "+err.Error()+"; send the request again if it may run twice")
}

// Body is the JSON envelope of a refusal.
type Body struct {
	Error *Error `json:"error"`
}

// Write sends the refusal as an HTTP answer.
func (e *Error) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(Body{Error: e})
}
