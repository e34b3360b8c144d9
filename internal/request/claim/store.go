package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/refusal"
)

// Defaults of Options, capacities of queues, and timeouts.
const (
	DefaultBatchDelay     = 20 * time.Millisecond
	DefaultMaxBatchWrites = 64
	DefaultRetention      = 24 * time.Hour
	// writeQueueCapacity is the capacity of the queue of row writes. Further
	// writes are refused before they have an effect.
	writeQueueCapacity = 1024
	// cleanupQueueCapacity is the capacity of the queue of claims to remove.
	// Further claims are kept until the retention ends.
	cleanupQueueCapacity = 256
	// commitTimeout is the timeout of one transaction.
	commitTimeout = 2 * time.Second
	// settleTimeout is the timeout of recording or removing a claim after a
	// call. It is independent of the call, whose caller may have disconnected.
	settleTimeout = 10 * time.Second
	// settleBackoff is the delay before a failed read or write of a claim is
	// tried again.
	settleBackoff = 50 * time.Millisecond
	// claimedRetryAfter is the Retry-After hint for a repeat of a call that may
	// still be running.
	claimedRetryAfter = time.Second
	// storeRetryAfter is the Retry-After hint while the table service fails.
	storeRetryAfter = 2 * time.Second
)

// Options configures a Store. Zero fields get the defaults.
type Options struct {
	// BatchDelay is how long a batch collects writes after the first one.
	BatchDelay time.Duration
	// MaxBatchWrites is the maximum number of writes in one transaction.
	MaxBatchWrites int
	// Retention is how long claims and answers are kept. Calls with the same
	// key run at most once within this time.
	Retention time.Duration
	Log       *eventlog.Logger
}

// Store keeps claims in the table service. It implements Claims. Nothing is
// written before Run has started: writes wait in the queue.
type Store struct {
	table   table.Store
	options Options
	pending chan *pendingWrite
	cleanup chan *Handle
}

// New returns a Store that keeps its rows in store.
func New(store table.Store, o Options) *Store {
	if o.BatchDelay == 0 {
		o.BatchDelay = DefaultBatchDelay
	}
	if o.MaxBatchWrites == 0 {
		o.MaxBatchWrites = DefaultMaxBatchWrites
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.Log == nil {
		o.Log = eventlog.Discard()
	}
	return &Store{
		table:   store,
		options: o,
		pending: make(chan *pendingWrite, writeQueueCapacity),
		cleanup: make(chan *Handle, cleanupQueueCapacity),
	}
}

// errQueueFull is returned if the queue of row writes is full.
var errQueueFull = fmt.Errorf("%w: too many claims are waiting", table.ErrUnavailable)

// Begin implements Claims. It blocks until it is known whether the claim was
// inserted, or until ctx ends.
func (s *Store) Begin(ctx context.Context, call Call) (Outcome, *refusal.Error) {
	handle := &Handle{Call: call, Key: rowKey(call), Nonce: rand.Text(), ClaimedAt: time.Now()}
	claimed := record{Stage: stageClaimed, Fingerprint: call.Fingerprint, Nonce: handle.Nonce, ClaimedAt: handle.ClaimedAt}
	value, err := encode(claimed)
	if err != nil {
		return Outcome{}, refuseNotInserted(err)
	}
	maybeInserted := false
	for {
		err := s.write(ctx, table.Write{Key: handle.Key, Value: value})
		if err == nil {
			return Outcome{Handle: handle}, nil
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			return s.resolve(ctx, handle, maybeInserted)
		}
		maybeInserted = maybeInserted || errors.Is(err, table.ErrUnknown) || !errors.Is(err, table.ErrUnavailable)
		if !maybeInserted {
			return Outcome{}, refuseNotInserted(err)
		}
		if !sleep(ctx, settleBackoff) {
			return Outcome{}, s.refuseMaybeInserted(handle, err)
		}
	}
}

// resolve reads the existing row that kept the claim from being inserted. The
// row may be this claim, inserted by an earlier attempt whose result was unknown.
func (s *Store) resolve(ctx context.Context, handle *Handle, maybeInserted bool) (Outcome, *refusal.Error) {
	for {
		row, err := s.table.Get(ctx, handle.Key)
		if err == nil && row.Version == 0 {
			return Outcome{}, s.refuseReleased(handle, maybeInserted)
		}
		if err == nil {
			return s.outcomeOfRow(handle, row)
		}
		if !sleep(ctx, settleBackoff) {
			return Outcome{}, s.refuseUnreadable(handle, maybeInserted, err)
		}
	}
}

// outcomeOfRow returns the outcome of a call whose row key is in use by row.
func (s *Store) outcomeOfRow(handle *Handle, row table.Row) (Outcome, *refusal.Error) {
	stored, err := decode(row)
	if err != nil {
		return Outcome{}, refusal.NewMayHaveRun(refusal.KindAlreadyClaimed, http.StatusConflict, err.Error()+"; look up the result at the service")
	}
	if stored.Nonce == handle.Nonce {
		return Outcome{Handle: handle}, nil
	}
	return outcomeOf(stored, handle.Call)
}

// refuseNotInserted refuses a call whose claim was not inserted.
func refuseNotInserted(err error) *refusal.Error {
	return refusal.New(refusal.KindStoreUnavailable, http.StatusServiceUnavailable, "this try was not run, because its claim could not be stored: "+err.Error()+"; send it again with the same idempotency key").WithRetryAfter(storeRetryAfter)
}

// refuseMaybeInserted refuses a call whose claim may have been inserted. The call
// is not run; the claim is removed in the background.
func (s *Store) refuseMaybeInserted(handle *Handle, err error) *refusal.Error {
	s.discard(handle)
	return refusal.NewMayHaveRun(refusal.KindStoreUnavailable, http.StatusServiceUnavailable, "the claim of the call could not be settled: "+err.Error()+"; send it again with the same idempotency key").WithRetryAfter(storeRetryAfter)
}

// refuseReleased refuses a call after the conflicting claim was removed.
func (s *Store) refuseReleased(handle *Handle, maybeInserted bool) *refusal.Error {
	err := errors.New("its idempotency key was released meanwhile")
	if maybeInserted {
		return s.refuseMaybeInserted(handle, err)
	}
	return refuseNotInserted(err)
}

// refuseUnreadable refuses a call whose key is claimed by a row that could not be
// read.
func (s *Store) refuseUnreadable(handle *Handle, maybeInserted bool, err error) *refusal.Error {
	if maybeInserted {
		s.discard(handle)
	}
	return refusal.NewMayHaveRun(refusal.KindStoreUnavailable, http.StatusServiceUnavailable, "the idempotency key is in use and its claim could not be read: "+err.Error()+"; send the call again with the same key").WithRetryAfter(storeRetryAfter)
}

// discard queues the claim of a call that is not run for removal.
func (s *Store) discard(handle *Handle) {
	select {
	case s.cleanup <- handle:
	default:
	}
}

// Record implements Claims. It ignores the end of ctx and retries for
// settleTimeout, since the answer must be stored even if the caller has
// disconnected.
func (s *Store) Record(ctx context.Context, handle *Handle, answer Answer) error {
	next := answeredRecord(handle, answer)
	if next.Stage == stageNotKept {
		s.options.Log.Log(eventlog.ClaimAnswerTooLarge, eventlog.Fields{"claim": handle.Key, "bytes": len(answer.Body)})
	}
	value, err := encode(next)
	if err != nil {
		return err
	}
	return s.replace(ctx, handle, func(current record) bool { return current.Stage != stageClaimed }, func(version table.Version) table.Write {
		return table.Write{Key: handle.Key, Expect: version, Value: value}
	})
}

// Abandon implements Claims. It retries like Record. A claim that still cannot be
// removed is removed in the background.
func (s *Store) Abandon(ctx context.Context, handle *Handle) error {
	err := s.remove(ctx, handle)
	if err != nil {
		s.discard(handle)
	}
	return err
}

// remove deletes the row of the claim.
func (s *Store) remove(ctx context.Context, handle *Handle) error {
	neverDone := func(record) bool { return false }
	return s.replace(ctx, handle, neverDone, func(version table.Version) table.Write {
		return table.Write{Key: handle.Key, Expect: version, Delete: true}
	})
}

// replace retries write on the handle's row until it succeeds, for at most
// settleTimeout. It returns nil without a write if the row does not exist,
// belongs to another claim, or is done already.
func (s *Store) replace(ctx context.Context, handle *Handle, done func(record) bool, write func(table.Version) table.Write) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	for {
		err := s.replaceOnce(ctx, handle, done, write)
		if err == nil {
			return nil
		}
		if !sleep(ctx, settleBackoff) {
			return fmt.Errorf("claim %s: %w", handle.Key, err)
		}
	}
}

// replaceOnce is one attempt of replace.
func (s *Store) replaceOnce(ctx context.Context, handle *Handle, done func(record) bool, write func(table.Version) table.Write) error {
	row, err := s.table.Get(ctx, handle.Key)
	if err != nil || row.Version == 0 {
		return err
	}
	current, err := decode(row)
	if err != nil {
		return err
	}
	if current.Nonce != handle.Nonce || done(current) {
		return nil
	}
	return s.write(ctx, write(row.Version))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
