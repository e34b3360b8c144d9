package table

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Delays before a transaction whose outcome is unknown is sent again, and
// before a failed read of one of its rows is repeated.
const (
	initialResendBackoff = 20 * time.Millisecond
	maxResendBackoff     = 640 * time.Millisecond
)

// SingleCallStore makes single calls to the table service. It neither retries a
// call nor resolves the outcome of a commit whose response was lost. Errors
// wrap ErrUnavailable when the call had no effect and ErrUnknown when it may
// have had one.
type SingleCallStore interface {
	// Get reads one row; an absent row has Version 0 and no error.
	Get(ctx context.Context, key string) (Row, error)
	// Rows reads one page of a range.
	Rows(ctx context.Context, r Range) (RowList, error)
	// TryCommit sends the transaction once.
	TryCommit(ctx context.Context, txn Txn) (CommitResult, error)
}

// CommitWithRetry commits the transaction and resolves the outcome when a
// response is lost. It sends a transaction whose outcome is unknown again, with
// the same nonce, until ctx ends. Its result is that of Store.Commit.
//
// Repeating a transaction that only inserts rows has no second effect as long
// as nobody deletes those rows before ctx ends.
func CommitWithRetry(ctx context.Context, store SingleCallStore, txn Txn) error {
	ambiguous := false
	backoff := initialResendBackoff
	for {
		if err := ctx.Err(); err != nil {
			return contextError(ambiguous, txn.Nonce, err)
		}
		result, err := store.TryCommit(ctx, txn)
		switch {
		case err == nil && result.Committed:
			return nil
		case err == nil && !ambiguous:
			return &ConflictError{Keys: result.Conflicts}
		case err == nil:
			return readBack(ctx, store, txn, result.Conflicts)
		case errors.Is(err, ErrUnknown):
			ambiguous = true
		case !ambiguous:
			return err
		case !errors.Is(err, ErrUnavailable):
			return fmt.Errorf("transaction %s: %w: a repeat failed: %w", txn.Nonce, ErrUnknown, err)
		}
		sleep(ctx, backoff)
		backoff = min(2*backoff, maxResendBackoff)
	}
}

// contextError returns the error for a ctx that ended before the outcome was
// known: ErrUnknown if an earlier send may have taken effect, otherwise
// ErrUnavailable.
func contextError(ambiguous bool, nonce string, cause error) error {
	if ambiguous {
		return fmt.Errorf("transaction %s: %w: %w", nonce, ErrUnknown, cause)
	}
	return fmt.Errorf("transaction %s: %w: %w", nonce, ErrUnavailable, cause)
}

// evidence is what the current state of a row shows about whether a
// transaction that writes the row was applied.
type evidence int

const (
	evidenceNone evidence = iota
	evidenceApplied
	evidenceNotApplied
)

// readBack resolves a conflict that follows an ambiguous send by reading the
// rows of the transaction. The conflict may be with the transaction's own
// earlier send, if that one was applied.
func readBack(ctx context.Context, store SingleCallStore, txn Txn, conflicts []string) error {
	if len(txn.Writes) == 0 {
		return &ConflictError{Keys: conflicts}
	}
	backoff := initialResendBackoff
	notApplied := false
	for i := 0; i < len(txn.Writes); {
		row, err := store.Get(ctx, txn.Writes[i].Key)
		if ctx.Err() != nil {
			return contextError(true, txn.Nonce, ctx.Err())
		}
		if err != nil {
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxResendBackoff)
			continue
		}
		switch compareRow(txn.Writes[i], row, txn.Nonce) {
		case evidenceApplied:
			return nil
		case evidenceNotApplied:
			notApplied = true
		}
		i++
	}
	if notApplied {
		return &ConflictError{Keys: conflicts}
	}
	return fmt.Errorf("transaction %s: %w: its rows were written again since", txn.Nonce, ErrUnknown)
}

// compareRow compares a row that was read after a conflict with the write of an
// ambiguous transaction. Versions are never reused. So a row at or below the
// expected version, or at the next version but with the nonce of another
// transaction, shows that the transaction was not applied.
func compareRow(w Write, row Row, nonce string) evidence {
	switch {
	case row.Nonce == nonce && row.Version > 0:
		return evidenceApplied
	case row.Version == 0:
		return evidenceNone
	case row.Version <= w.Expect:
		return evidenceNotApplied
	case w.Expect > 0 && row.Version == w.Expect+1:
		return evidenceNotApplied
	default:
		return evidenceNone
	}
}

// ListAll reads all pages of a range, up to r.Limit rows if it is not 0. It is
// for implementations of Store.List.
func ListAll(ctx context.Context, store SingleCallStore, r Range) ([]Row, error) {
	var rows []Row
	for {
		page, err := store.Rows(ctx, r)
		if err != nil {
			return nil, err
		}
		if err := checkPage(page.Rows, r); err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if r.Limit > 0 {
			if len(page.Rows) >= r.Limit {
				return rows, nil
			}
			r.Limit -= len(page.Rows)
		}
		if !page.More || len(page.Rows) == 0 {
			return rows, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// checkPage returns an error for a page with rows outside the range or out of
// order, because continuing after such a page might never end.
func checkPage(rows []Row, r Range) error {
	for i, row := range rows {
		misplaced := !strings.HasPrefix(row.Key, r.Prefix) || row.Key < r.From || (r.To != "" && row.Key >= r.To)
		unordered := i > 0 && row.Key <= rows[i-1].Key
		if misplaced || unordered {
			return fmt.Errorf("rows %s: %w: row %q of the answer is outside the range or out of order", r.Prefix, ErrUnavailable, row.Key)
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
