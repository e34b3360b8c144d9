// Package table is the client side of the platform's transactional table
// service. Every durable and leased record of the system lives there.
//
// Protocol, HTTP with JSON:
//
//	POST /table/commit  Txn                      -> 200 CommitResult
//	GET  /table/row?key=K                        -> 200 Row (Version 0 if absent)
//	GET  /table/rows?prefix=P&from=K&to=K&limit=N -> 200 RowList
//
// 429 means that a rate limit refused the call before it had an effect; 503
// means an outage. A commit whose answer is lost may have taken effect.
package table

import (
	"context"
	"encoding/json"
	"errors"
)

// Version counts the writes of a row from 1; 0 means that the row is absent.
// A row that is created again after a deletion goes on counting, so that no
// version is used twice and a late transaction cannot match another row.
type Version int64

// Row is one stored record.
type Row struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Nonce identifies the transaction that last wrote the row.
	Nonce string `json:"nonce,omitempty"`
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

// Txn is applied whole or not at all.
type Txn struct {
	// Nonce is unique to the transaction. Sending the same transaction again
	// with the same nonce has no second effect, because versions moved on.
	Nonce  string  `json:"nonce"`
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes"`
}

// CommitResult tells whether a transaction was applied.
type CommitResult struct {
	Committed bool `json:"committed"`
	// Conflicts names rows whose version was not the expected one.
	Conflicts []string `json:"conflicts,omitempty"`
}

// RowList is the answer to a range read, sorted by key.
type RowList struct {
	Rows []Row `json:"rows"`
	// More is true when the limit cut the list; read on from the last key.
	More bool `json:"more"`
}

// Range selects rows by prefix and, inside it, From <= key < To. An empty
// From or To is unbounded. Limit 0 means the service's own limit.
type Range struct {
	Prefix string
	From   string
	To     string
	Limit  int
}

// ConflictError reports a transaction that was not applied because rows had
// other versions than expected. Read the rows again and decide anew.
type ConflictError struct{ Keys []string }

// Errors of a Store.
var (
	// ErrUnavailable: the service refused or could not be reached, and the
	// call had no effect. Retry later.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrUnknown: the call may have taken effect and reading back did not
	// settle it. Read the rows again before any further decision.
	ErrUnknown = errors.New("outcome of the table transaction is unknown")
)

// Store is the table service as the system uses it. Implementations are safe
// for concurrent use, and every call blocks until an answer or ctx ends.
type Store interface {
	// Get reads one row; an absent row has Version 0 and no error.
	Get(ctx context.Context, key string) (Row, error)
	// List reads all rows of the range, in key order, over several calls
	// where the service's limit cuts the answer.
	List(ctx context.Context, r Range) ([]Row, error)
	// Commit applies the transaction. It returns nil when applied, a
	// *ConflictError when not, and ErrUnavailable or ErrUnknown, wrapped.
	// A lost answer is settled by reading back the nonce.
	Commit(ctx context.Context, txn Txn) error
}

// Error implements error.
func (e *ConflictError) Error() string {
	keys, _ := json.Marshal(e.Keys)
	return "rows changed since they were read: " + string(keys) + "; read them again"
}
