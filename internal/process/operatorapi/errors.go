package operatorapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
)

// ErrorKind identifies an error; it is stable across releases.
type ErrorKind string

// The kinds of errors.
const (
	ErrorUnauthorized     ErrorKind = "unauthorized"
	ErrorBadRequest       ErrorKind = "bad_request"
	ErrorBodyTooLarge     ErrorKind = "body_too_large"
	ErrorBodyTooSlow      ErrorKind = "body_too_slow"
	ErrorOverloaded       ErrorKind = "overloaded"
	ErrorNotFound         ErrorKind = "not_found"
	ErrorMethodNotAllowed ErrorKind = "method_not_allowed"
	ErrorInvalid          ErrorKind = "invalid"
	ErrorConflict         ErrorKind = "conflict"
	ErrorCompacted        ErrorKind = "compacted"
	ErrorNotReady         ErrorKind = "not_ready"
	ErrorStoreUnavailable ErrorKind = "store_unavailable"
	ErrorOutcomeUnknown   ErrorKind = "outcome_unknown"
	ErrorInternal         ErrorKind = "internal"
)

// Accepted reports whether a failed change may have been accepted.
type Accepted string

// AcceptedNo means that the change certainly had no effect.
const (
	AcceptedNo      Accepted = "no"
	AcceptedUnknown Accepted = "unknown"
)

// retryAfterSeconds is the Retry-After header while the table service is
// unavailable.
const retryAfterSeconds = "1"

// Error is the answer to a request that failed. It implements error.
type Error struct {
	Kind ErrorKind `json:"kind"`
	// Message describes the failure and its remedy.
	Message string `json:"message"`
	// FieldErrors lists every invalid field of a change.
	FieldErrors []object.FieldError `json:"faults,omitempty"`
	// Current is the object's current resource version if the change was based
	// on another one.
	Current int64 `json:"currentResourceVersion,omitempty"`
	// Accepted is set on failed writes.
	Accepted Accepted `json:"accepted,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s", e.Kind, e.Message)
	for _, fieldError := range e.FieldErrors {
		fmt.Fprintf(&text, "\n  %s", fieldError)
	}
	return text.String()
}

// ErrorBody is the JSON envelope of an error.
type ErrorBody struct {
	Error *Error `json:"error"`
}

func newError(kind ErrorKind, status int, message string) *Error {
	return &Error{Kind: kind, Status: status, Message: message}
}

// proposeError converts an error of configlog.Log to an answer.
func proposeError(err error) *Error {
	var invalid *configlog.InvalidError
	var version *configlog.VersionError
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &invalid):
		failure := newError(ErrorInvalid, http.StatusUnprocessableEntity, "nothing was accepted: correct every fault and send the change again")
		failure.FieldErrors = invalid.FieldErrors
		failure.Accepted = AcceptedNo
		return failure
	case errors.As(err, &version):
		failure := newError(ErrorConflict, http.StatusConflict, "nothing was accepted: "+version.Error())
		failure.Current = version.Current
		failure.Accepted = AcceptedNo
		return failure
	case errors.As(err, &conflict):
		failure := newError(ErrorConflict, http.StatusConflict, "nothing was accepted: "+err.Error())
		failure.Accepted = AcceptedNo
		return failure
	case errors.Is(err, table.ErrUnknown):
		failure := newError(ErrorOutcomeUnknown, http.StatusServiceUnavailable, "the table service did not answer, so the change may have been accepted or not: read the object, then repeat the change if it is missing ("+err.Error()+")")
		failure.Accepted = AcceptedUnknown
		return failure
	case errors.Is(err, table.ErrUnavailable):
		failure := newError(ErrorStoreUnavailable, http.StatusServiceUnavailable, "the change was not accepted, because the table service is unavailable; the last accepted configuration stays in force: send the change again later ("+err.Error()+")")
		failure.Accepted = AcceptedNo
		return failure
	default:
		failure := newError(ErrorInternal, http.StatusInternalServerError, "the change failed: read the object before sending it again ("+err.Error()+")")
		failure.Accepted = AcceptedUnknown
		return failure
	}
}

// readError converts an error of a read to an answer.
func readError(err error) *Error {
	if errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrUnknown) {
		return newError(ErrorStoreUnavailable, http.StatusServiceUnavailable, "the table service is unavailable: read again later ("+err.Error()+")")
	}
	return newError(ErrorInternal, http.StatusInternalServerError, "the read failed, repeat it: "+err.Error())
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// The write fails only if the caller has disconnected.
	_ = encoder.Encode(value)
}

func writeError(w http.ResponseWriter, failure *Error) {
	switch failure.Status {
	case http.StatusServiceUnavailable:
		w.Header().Set("Retry-After", retryAfterSeconds)
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, failure.Status, ErrorBody{Error: failure})
}
