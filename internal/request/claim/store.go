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

// Store keeps claims in the table service. It implements Claims. Writes block
// until Run has started.
type Store struct {
	table   table.Store
	options Options
	pending chan *pendingWrite
	cleanup chan *Ticket
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
		cleanup: make(chan *Ticket, cleanupQueueCapacity),
	}
}

// errQueueFull is returned if the queue of row writes is full.
var errQueueFull = fmt.Errorf("%w: too many claims are waiting", table.ErrUnavailable)

// Begin implements Claims. It blocks until it is known whether the claim was
// inserted, or until ctx ends.
func (s *Store) Begin(ctx context.Context, call Call) (Outcome, *refusal.Error) {
	ticket := &Ticket{Call: call, Key: rowKey(call), Nonce: rand.Text(), ClaimedAt: time.Now()}
	claimed := record{Stage: stageClaimed, Fingerprint: call.Fingerprint, Nonce: ticket.Nonce, ClaimedAt: ticket.ClaimedAt}
	value, err := encode(claimed)
	if err != nil {
		return Outcome{}, refuseNotInserted(err)
	}
	maybeInserted := false
	for {
		err := s.write(ctx, table.Write{Key: ticket.Key, Value: value})
		if err == nil {
			return Outcome{Ticket: ticket}, nil
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			return s.resolve(ctx, ticket, maybeInserted)
		}
		maybeInserted = maybeInserted || errors.Is(err, table.ErrUnknown) || !errors.Is(err, table.ErrUnavailable)
		if !maybeInserted {
			return Outcome{}, refuseNotInserted(err)
		}
		if !sleep(ctx, settleBackoff) {
			return Outcome{}, s.refuseMaybeInserted(ticket, err)
		}
	}
}

// resolve reads the existing row that kept the claim from being inserted. The
// row may be this claim, inserted by an earlier attempt whose result was unknown.
func (s *Store) resolve(ctx context.Context, ticket *Ticket, maybeInserted bool) (Outcome, *refusal.Error) {
	for {
		row, err := s.table.Get(ctx, ticket.Key)
		if err == nil && row.Version == 0 {
			return Outcome{}, s.refuseReleased(ticket, maybeInserted)
		}
		if err == nil {
			return s.outcomeOfRow(ticket, row)
		}
		if !sleep(ctx, settleBackoff) {
			return Outcome{}, s.refuseUnreadable(ticket, maybeInserted, err)
		}
	}
}

// outcomeOfRow returns the outcome of a call whose row key is in use by row.
func (s *Store) outcomeOfRow(ticket *Ticket, row table.Row) (Outcome, *refusal.Error) {
	stored, err := decode(row)
	if err != nil {
		return Outcome{}, refusal.Unknown(refusal.KindAlreadyClaimed, http.StatusConflict, err.Error()+"; look up the result at the service")
	}
	if stored.Nonce == ticket.Nonce {
		return Outcome{Ticket: ticket}, nil
	}
	return outcomeOf(stored, ticket.Call)
}

// refuseNotInserted refuses a call whose claim was not inserted.
func refuseNotInserted(err error) *refusal.Error {
	return refusal.New(refusal.KindStoreUnavailable, http.StatusServiceUnavailable, "this try was not run, because its claim could not be stored: "+err.Error()+"; send it again with the same idempotency key").After(storeRetryAfter)
}

// refuseMaybeInserted refuses a call whose claim may have been inserted. The call
// is not run; the claim is removed in the background.
func (s *Store) refuseMaybeInserted(ticket *Ticket, err error) *refusal.Error {
	s.discard(ticket)
	return refusal.Unknown(refusal.KindStoreUnavailable, http.StatusServiceUnavailable, "the claim of the call could not be settled: "+err.Error()+"; send it again with the same idempotency key").After(storeRetryAfter)
}

// refuseReleased refuses a call after the conflicting claim was removed.
func (s *Store) refuseReleased(ticket *Ticket, maybeInserted bool) *refusal.Error {
	err := errors.New("its idempotency key was released meanwhile")
	if maybeInserted {
		return s.refuseMaybeInserted(ticket, err)
	}
	return refuseNotInserted(err)
}

// refuseUnreadable refuses a call whose key is claimed by a row that could not be
// read.
func (s *Store) refuseUnreadable(ticket *Ticket, maybeInserted bool, err error) *refusal.Error {
	if maybeInserted {
		s.discard(ticket)
	}
	return refusal.Unknown(refusal.KindStoreUnavailable, http.StatusServiceUnavailable, "the idempotency key is in use and its claim could not be read: "+err.Error()+"; send the call again with the same key").After(storeRetryAfter)
}

// discard queues the claim of a call that is not run for removal.
func (s *Store) discard(ticket *Ticket) {
	select {
	case s.cleanup <- ticket:
	default:
	}
}

// Record implements Claims. It ignores the end of ctx and retries for
// settleTimeout, since the answer must be stored even if the caller has
// disconnected.
func (s *Store) Record(ctx context.Context, ticket *Ticket, answer Answer) error {
	next := answeredRecord(ticket, answer)
	if next.Stage == stageNotKept {
		s.options.Log.Log(eventlog.ClaimNotKept, eventlog.Fields{"claim": ticket.Key, "bytes": len(answer.Body)})
	}
	value, err := encode(next)
	if err != nil {
		return err
	}
	return s.replace(ctx, ticket, func(current record) bool { return current.Stage != stageClaimed }, func(version table.Version) table.Write {
		return table.Write{Key: ticket.Key, Expect: version, Value: value}
	})
}

// Abandon implements Claims. It retries like Record. A claim that still cannot be
// removed is removed in the background.
func (s *Store) Abandon(ctx context.Context, ticket *Ticket) error {
	err := s.remove(ctx, ticket)
	if err != nil {
		s.discard(ticket)
	}
	return err
}

// remove deletes the row of the claim.
func (s *Store) remove(ctx context.Context, ticket *Ticket) error {
	neverDone := func(record) bool { return false }
	return s.replace(ctx, ticket, neverDone, func(version table.Version) table.Write {
		return table.Write{Key: ticket.Key, Expect: version, Delete: true}
	})
}

// replace retries write on the ticket's row until it succeeds, for at most
// settleTimeout. It returns nil without a write if the row does not exist,
// belongs to another claim, or is done already.
func (s *Store) replace(ctx context.Context, ticket *Ticket, done func(record) bool, write func(table.Version) table.Write) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	for {
		err := s.replaceOnce(ctx, ticket, done, write)
		if err == nil {
			return nil
		}
		if !sleep(ctx, settleBackoff) {
			return fmt.Errorf("claim %s: %w", ticket.Key, err)
		}
	}
}

// replaceOnce is one attempt of replace.
func (s *Store) replaceOnce(ctx context.Context, ticket *Ticket, done func(record) bool, write func(table.Version) table.Write) error {
	row, err := s.table.Get(ctx, ticket.Key)
	if err != nil || row.Version == 0 {
		return err
	}
	current, err := decode(row)
	if err != nil {
		return err
	}
	if current.Nonce != ticket.Nonce || done(current) {
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
