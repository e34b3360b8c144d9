package configlog

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/object"
)

const (
	// maxProposeAttempts limits how often a proposal is planned while other
	// revisions are accepted first.
	maxProposeAttempts = 64
	// maxResolveAttempts limits how often a transaction with an unknown outcome
	// is sent again.
	maxResolveAttempts = 4
	// meanRetryBackoff is the mean of the jittered backoff before a retry.
	meanRetryBackoff = 10 * time.Millisecond
)

// Acceptor implements Log over the table service.
type Acceptor struct {
	store    table.Store
	log      *eventlog.Logger
	onAccept func(object.Record)
}

// NewAcceptor returns a Log that accepts proposals in the store.
func NewAcceptor(store table.Store, log *eventlog.Logger) *Acceptor {
	return &Acceptor{store: store, log: log, onAccept: func(object.Record) {}}
}

// OnAccept sets the function that is called with every record accepted through
// this Acceptor, usually Follower.ApplyAccepted. Call it before the first
// Propose. The function must not block.
func (a *Acceptor) OnAccept(onAccept func(object.Record)) { a.onAccept = onAccept }

// Propose implements Log. It blocks on the store until the outcome is known, the
// attempts are used up or ctx ends.
func (a *Acceptor) Propose(ctx context.Context, p Proposal) (object.Record, error) {
	var err error
	for range maxProposeAttempts {
		var record object.Record
		var superseded bool
		record, superseded, err = a.attempt(ctx, p)
		if !superseded {
			return record, err
		}
		if sleepErr := sleep(ctx, jitter(meanRetryBackoff)); sleepErr != nil {
			return object.Record{}, fmt.Errorf("%w: the change was not accepted before its deadline: %w", table.ErrUnavailable, sleepErr)
		}
	}
	return object.Record{}, fmt.Errorf("the change was overtaken %d times and not accepted, send it again: %w", maxProposeAttempts, err)
}

// attempt plans and commits the proposal once. It reports superseded where
// another revision was accepted first, so that the proposal must be planned
// again from the new state.
func (a *Acceptor) attempt(ctx context.Context, p Proposal) (record object.Record, superseded bool, err error) {
	s, err := readState(ctx, a.store, p.Changes)
	if err != nil {
		return object.Record{}, false, err
	}
	record, txn, err := plan(p, s, newNonce(), time.Now())
	if err != nil {
		return object.Record{}, false, err
	}
	if p.DryRun || len(txn.Writes) == 0 {
		return record, false, checkVersions(ctx, a.store, txn)
	}
	err = a.commit(ctx, record, txn)
	if err == nil {
		if len(record.Changes) > 0 {
			a.log.Log(eventlog.ConfigAccepted, eventlog.Fields{"revision": record.Revision, "author": p.Author, "changes": len(record.Changes)})
			a.onAccept(record)
		}
		return record, false, nil
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) && !conflictsWithExtras(conflict.Keys, p) {
		return object.Record{}, true, err
	}
	return object.Record{}, false, fmt.Errorf("accept revision %d: %w", record.Revision, err)
}

// checkVersions compares the versions that a transaction expects with the stored
// ones, without committing it.
func checkVersions(ctx context.Context, store table.Store, txn table.Txn) error {
	checks := slices.Clone(txn.Checks)
	for _, write := range txn.Writes {
		checks = append(checks, table.Check{Key: write.Key, Version: write.Expect})
	}
	var conflicts []string
	for _, check := range checks {
		row, err := store.Get(ctx, check.Key)
		if err != nil {
			return fmt.Errorf("check %s: %w", check.Key, err)
		}
		if row.Version != check.Version {
			conflicts = append(conflicts, check.Key)
		}
	}
	if len(conflicts) > 0 {
		return &table.ConflictError{Keys: conflicts}
	}
	return nil
}

// conflictsWithExtras reports whether the conflicting keys include one of the
// proposal's extra checks or writes. Such a conflict cannot be resolved by
// planning the proposal again.
func conflictsWithExtras(keys []string, p Proposal) bool {
	for _, check := range p.Checks {
		if slices.Contains(keys, check.Key) {
			return true
		}
	}
	for _, write := range p.Writes {
		if slices.Contains(keys, write.Key) {
			return true
		}
	}
	return false
}

// commit sends the transaction. While its outcome is unknown it is sent again
// with the same nonce. It cannot take effect twice, because it requires the
// version of the head that it replaces.
func (a *Acceptor) commit(ctx context.Context, record object.Record, txn table.Txn) error {
	err := a.store.Commit(ctx, txn)
	if !errors.Is(err, table.ErrUnknown) || len(record.Changes) == 0 {
		return err
	}
	for range maxResolveAttempts {
		if sleep(ctx, jitter(meanRetryBackoff)) != nil {
			break
		}
		var resolved bool
		resolved, err = a.resolveOutcome(ctx, record.Revision, txn)
		if resolved {
			return err
		}
	}
	return fmt.Errorf("revision %d: %w: read the objects before sending the change again", record.Revision, table.ErrUnknown)
}

// resolveOutcome finds out whether a transaction whose reply was lost took
// effect, and reports whether that could be decided. The log row of a revision
// is written only once, so its nonce identifies the transaction that wrote it.
// The transaction is sent again first, because an absent log row does not prove
// that a delayed transaction will never take effect.
func (a *Acceptor) resolveOutcome(ctx context.Context, revision int64, txn table.Txn) (bool, error) {
	err := a.store.Commit(ctx, txn)
	if err == nil {
		return true, nil
	}
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	row, readErr := a.store.Get(ctx, table.LogKey(revision))
	switch {
	case readErr != nil:
		return false, readErr
	case row.Version > 0 && row.Nonce == txn.Nonce:
		return true, nil
	case row.Version == 0 && slices.Contains(conflict.Keys, table.KeyHead):
		// The log entry was compacted, so it no longer shows whose transaction
		// wrote this revision.
		return false, table.ErrUnknown
	default:
		return true, err
	}
}

// Records returns up to limit records of accepted revisions after the given one,
// oldest first. Compacted revisions are left out.
func (a *Acceptor) Records(ctx context.Context, after int64, limit int) ([]object.Record, error) {
	rows, err := a.store.List(ctx, table.Range{Prefix: table.PrefixLog, From: table.LogKey(after + 1), Limit: limit})
	if err != nil {
		return nil, fmt.Errorf("read the configuration log after revision %d: %w", after, err)
	}
	return decodeRecords(rows[:min(len(rows), limit)])
}

// newNonce returns a random nonce that identifies one transaction.
func newNonce() string { return rand.Text() }

// jitter returns a random duration between 0.5*d and 1.5*d.
func jitter(d time.Duration) time.Duration {
	return d/2 + mathrand.N(d+1)
}

// sleep waits for d. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
