// Package table is the client of the platform's transactional table service,
// which stores every durable and every leased record of the system.
//
// Protocol, HTTP with JSON:
//
//	POST /table/commit  Txn                      -> 200 CommitResult
//	GET  /table/row?key=K                        -> 200 Row (Version 0 if absent)
//	GET  /table/rows?prefix=P&from=K&to=K&limit=N -> 200 RowList
//
// 429 means that a rate limit refused the call before it had an effect; 503
// means an outage. A commit whose response is lost may have taken effect.
package table

import (
	"context"
	"encoding/json"
	"errors"

	"currantladder.example/currantladder/internal/version/position"
)

// Version counts the writes of a row from 1; 0 means that the row is absent.
// The count continues when a row is deleted and created again, so that no
// version is reused and a delayed transaction cannot match a later row of the
// same key.
type Version int64

// Row is one stored record.
type Row struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Nonce identifies the transaction that last wrote the row.
	Nonce string `json:"nonce,omitempty"`
	// Era is that of the store when the row was read. It is 0 for a store that never
	// comes back from an older copy.
	Era int64 `json:"era,omitempty"`
}

// Position returns the state of the store that last changed the row.
func (r Row) Position() position.Position {
	return position.Position{Era: r.Era, Version: int64(r.Version)}
}

// Check asserts the version of a row that the transaction does not write.
type Check struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write replaces or deletes a row, provided that its version is Expect.
type Write struct {
	Key    string          `json:"key"`
	Expect Version         `json:"expect"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Txn is a transaction. All of its writes are applied, or none.
type Txn struct {
	// Nonce is unique to the transaction. Sending the same transaction again
	// with the same nonce has no second effect, because the versions that it
	// expects have changed.
	Nonce  string  `json:"nonce"`
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes"`
}

// CommitResult reports whether a transaction was applied.
type CommitResult struct {
	Committed bool `json:"committed"`
	// Conflicts names rows whose version was not the expected one.
	Conflicts []string `json:"conflicts,omitempty"`
}

// RowList is the response to a range read, sorted by key.
type RowList struct {
	Rows []Row `json:"rows"`
	// More is true when the limit truncated the list; the next page starts
	// after the last key.
	More bool `json:"more"`
	// Era is that of the store when it was read, as for a Row.
	Era int64 `json:"era,omitempty"`
}

// Range selects the rows with the prefix whose key is in From <= key < To. An
// empty From or To is unbounded. Limit is the maximum number of rows; 0 means
// no limit other than the service's own for one response.
type Range struct {
	Prefix string
	From   string
	To     string
	Limit  int
}

// ConflictError reports a transaction that was not applied because the rows in
// Keys had other versions than expected. Read the rows again before the next
// attempt.
type ConflictError struct{ Keys []string }

// Errors of a Store.
var (
	// ErrUnavailable means that the service refused the call or could not be
	// reached, and that the call had no effect. Retry later.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrUnknown means that the call may have taken effect and that reading the
	// rows back did not resolve it. Read the rows again before any further
	// decision.
	ErrUnknown = errors.New("outcome of the table transaction is unknown")
)

// Store is the interface of the table service to the rest of the system.
// Implementations are safe for concurrent use. Every call blocks until it has a
// result or ctx ends.
type Store interface {
	// Get reads one row; an absent row has Version 0 and no error.
	Get(ctx context.Context, key string) (Row, error)
	// List reads all rows of the range, in key order. It makes several calls
	// where the service's limit truncates a response.
	List(ctx context.Context, r Range) ([]Row, error)
	// Commit applies the transaction. It returns nil when it was applied, a
	// *ConflictError when rows had other versions, or an error that wraps
	// ErrUnavailable or ErrUnknown. When a response is lost, it resolves the
	// outcome by reading back the nonce.
	Commit(ctx context.Context, txn Txn) error
}

// Error implements error.
func (e *ConflictError) Error() string {
	keys, _ := json.Marshal(e.Keys)
	return "rows changed since they were read: " + string(keys) + "; read them again"
}
