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

// Defaults and bounds.
const (
	DefaultBatchWait = 20 * time.Millisecond
	DefaultBatchMax  = 64
	DefaultRetention = 24 * time.Hour
	// opQueue is the capacity of the queue of row writes. A write that finds
	// it full is refused before it has an effect.
	opQueue = 1024
	// cleanupQueue is the capacity of the queue of claims to remove. A claim
	// that finds it full stays until the retention ends.
	cleanupQueue = 256
	// commitTimeout bounds one transaction of a batch.
	commitTimeout = 2 * time.Second
	// settleTimeout bounds the writes after a call, whose caller may be gone.
	settleTimeout = 10 * time.Second
	// resolvePause precedes another try to settle an unknown outcome.
	resolvePause = 50 * time.Millisecond
	// claimedRetryAfter is the hint to a repeat of a call that may run now.
	claimedRetryAfter = time.Second
	storeRetryAfter   = 2 * time.Second
)

// Options configures a Store; zero fields take the defaults.
type Options struct {
	// BatchWait is how long a write waits for others to share a transaction.
	BatchWait time.Duration
	// BatchMax is the largest number of writes in one transaction.
	BatchMax int
	// Retention is how long claims and answers are kept. Within it a key runs
	// at most once.
	Retention time.Duration
	Log       *eventlog.Logger
}

// Store keeps claims in the table service. It implements Claims. Nothing is
// written before Run has started.
type Store struct {
	table   table.Store
	options Options
	ops     chan *op
	cleanup chan *Ticket
}

// New returns a store of claims.
func New(store table.Store, o Options) *Store {
	if o.BatchWait == 0 {
		o.BatchWait = DefaultBatchWait
	}
	if o.BatchMax == 0 {
		o.BatchMax = DefaultBatchMax
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
		ops:     make(chan *op, opQueue),
		cleanup: make(chan *Ticket, cleanupQueue),
	}
}

// errBusy reports a full queue.
var errBusy = fmt.Errorf("%w: too many claims are waiting", table.ErrUnavailable)

// Begin implements Claims. It blocks until the claim is settled or ctx ends.
func (s *Store) Begin(ctx context.Context, call Call) (Outcome, *refusal.Error) {
	ticket := &Ticket{Call: call, Key: rowKey(call), Nonce: rand.Text(), Taken: time.Now()}
	claimed := record{Stage: stageClaimed, Fingerprint: call.Fingerprint, Nonce: ticket.Nonce, Taken: ticket.Taken}
	value, err := encode(claimed)
	if err != nil {
		return Outcome{}, refuseNotInserted(err)
	}
	doubtful := false
	for {
		err := s.write(ctx, table.Write{Key: ticket.Key, Value: value})
		if err == nil {
			return Outcome{Ticket: ticket}, nil
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			return s.resolve(ctx, ticket, doubtful)
		}
		doubtful = doubtful || errors.Is(err, table.ErrUnknown) || !errors.Is(err, table.ErrUnavailable)
		if !doubtful {
			return Outcome{}, refuseNotInserted(err)
		}
		if !pause(ctx, resolvePause) {
			return Outcome{}, s.refuseDoubtful(ticket, err)
		}
	}
}

// resolve reads the row that stands where the claim was to be inserted. An
// earlier try of this very claim may have been applied.
func (s *Store) resolve(ctx context.Context, ticket *Ticket, doubtful bool) (Outcome, *refusal.Error) {
	for {
		row, err := s.table.Get(ctx, ticket.Key)
		if err == nil && row.Version == 0 {
			return Outcome{}, s.refuseVanished(ticket, doubtful)
		}
		if err == nil {
			return s.judgeRow(ticket, row)
		}
		if !pause(ctx, resolvePause) {
			return Outcome{}, s.refuseUnread(ticket, doubtful, err)
		}
	}
}

func (s *Store) judgeRow(ticket *Ticket, row table.Row) (Outcome, *refusal.Error) {
	stored, err := decode(row)
	if err != nil {
		return Outcome{}, refusal.Unknown(refusal.KindAlreadyClaimed, http.StatusConflict, err.Error()+"; look up the result at the service")
	}
	if stored.Nonce == ticket.Nonce {
		return Outcome{Ticket: ticket}, nil
	}
	return judge(stored, ticket.Call)
}

func refuseNotInserted(err error) *refusal.Error {
	return refusal.New(refusal.KindStoreUnavailable, http.StatusServiceUnavailable, "this try was not run, because its claim could not be stored: "+err.Error()+"; send it again with the same idempotency key").After(storeRetryAfter)
}

// refuseDoubtful refuses a call whose claim may have been inserted. It is not
// run here; the claim is removed in the background.
func (s *Store) refuseDoubtful(ticket *Ticket, err error) *refusal.Error {
	s.discard(ticket)
	return refusal.Unknown(refusal.KindStoreUnavailable, http.StatusServiceUnavailable, "the claim of the call could not be settled: "+err.Error()+"; send it again with the same idempotency key").After(storeRetryAfter)
}

// refuseVanished refuses a call whose rival claim was removed meanwhile.
func (s *Store) refuseVanished(ticket *Ticket, doubtful bool) *refusal.Error {
	err := errors.New("its idempotency key was released meanwhile")
	if doubtful {
		return s.refuseDoubtful(ticket, err)
	}
	return refuseNotInserted(err)
}

// refuseUnread refuses a call whose key another claim holds unread.
func (s *Store) refuseUnread(ticket *Ticket, doubtful bool, err error) *refusal.Error {
	if doubtful {
		s.discard(ticket)
	}
	return refusal.Unknown(refusal.KindStoreUnavailable, http.StatusServiceUnavailable, "the idempotency key is in use and its claim could not be read: "+err.Error()+"; send the call again with the same key").After(storeRetryAfter)
}

// discard hands a claim that will not run to the cleanup.
func (s *Store) discard(ticket *Ticket) {
	select {
	case s.cleanup <- ticket:
	default:
	}
}

// Record implements Claims. It goes on for a bounded time after ctx ends, as
// the caller may be gone while the answer still has to be kept.
func (s *Store) Record(ctx context.Context, ticket *Ticket, answer Answer) error {
	next := answered(ticket, answer)
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

// Abandon implements Claims. A claim that cannot be removed now is removed in
// the background.
func (s *Store) Abandon(ctx context.Context, ticket *Ticket) error {
	err := s.remove(ctx, ticket)
	if err != nil {
		s.discard(ticket)
	}
	return err
}

func (s *Store) remove(ctx context.Context, ticket *Ticket) error {
	never := func(record) bool { return false }
	return s.replace(ctx, ticket, never, func(version table.Version) table.Write {
		return table.Write{Key: ticket.Key, Expect: version, Delete: true}
	})
}

// replace writes the ticket's row until the write is settled. It ends without
// an error where the row is gone, another's, or done already.
func (s *Store) replace(ctx context.Context, ticket *Ticket, done func(record) bool, write func(table.Version) table.Write) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	for {
		err := s.replaceOnce(ctx, ticket, done, write)
		if err == nil {
			return nil
		}
		if !pause(ctx, resolvePause) {
			return fmt.Errorf("claim %s: %w", ticket.Key, err)
		}
	}
}

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

// pause waits, and reports false once ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
