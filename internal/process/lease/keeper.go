package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
)

const (
	// marginDivisor gives the safety margin of a take-over as a part of the
	// TTL; it covers clocks that run at different rates.
	marginDivisor = 5
	// retryDivisor gives the pause after a failed renewal as a part of the
	// renewal period.
	retryDivisor = 4
)

// errLost reports that another process replaced the session row.
var errLost = errors.New("session row was replaced by another process of the same node name; give every node its own name")

// Keeper holds one node's session and its ownerships. It is safe for
// concurrent use. Valid, Owned, Incarnation and LastContact never block on
// I/O; the other methods call the table service.
type Keeper struct {
	store  table.Store
	node   string
	ttl    time.Duration
	margin time.Duration
	renew  time.Duration
	log    *eventlog.Logger

	// io serializes renewals and the release.
	io sync.Mutex

	mu          sync.Mutex
	row         SessionRow
	version     table.Version
	started     time.Time
	validUntil  time.Time
	lastContact time.Time
	released    bool
	owned       map[string]Ownership
	observed    map[string]observation
	// unowned holds when this node last had no reason to think that a duty
	// has a live owner.
	unowned map[string]time.Time
	// roster holds the rows as last read, nil before; rosterAt and
	// rosterBefore are when the last two reads were made.
	roster       []SessionRow
	rosterAt     time.Time
	rosterBefore time.Time
}

// New returns a keeper that does nothing until Run. ttl is the validity of the
// session after a renewal was sent, renew the period of renewals.
func New(store table.Store, identity SessionRow, ttl, renew time.Duration, log *eventlog.Logger) *Keeper {
	identity.Incarnation = 0
	identity.Renewals = 0
	return &Keeper{
		store:    store,
		node:     identity.Node,
		ttl:      ttl,
		margin:   ttl / marginDivisor,
		renew:    renew,
		log:      log,
		row:      identity,
		owned:    map[string]Ownership{},
		observed: map[string]observation{},
		unowned:  map[string]time.Time{},
	}
}

// Run inserts the session row and renews it until ctx ends or Release was
// called. It keeps trying while the table service is unavailable.
func (k *Keeper) Run(ctx context.Context) {
	nextRoster := time.Time{}
	for ctx.Err() == nil {
		pause := k.renew
		if err := k.Renew(ctx); err != nil {
			k.log.Log(eventlog.LeaseRenewalFailed, eventlog.Fields{"error": err.Error()})
			pause = k.renew / retryDivisor
		} else if now := time.Now(); !now.Before(nextRoster) && k.readRoster(ctx) {
			nextRoster = now.Add(k.rosterPeriod())
		}
		if k.isReleased() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Renew inserts or renews the session row once. Each of its calls of the table
// service is bounded by the renewal period.
func (k *Keeper) Renew(ctx context.Context) error {
	k.io.Lock()
	defer k.io.Unlock()
	if k.isReleased() {
		return nil
	}
	if k.Incarnation() == 0 {
		return k.insert(ctx)
	}
	err := k.renewOnce(ctx)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		if err := k.reconcile(ctx, conflict.Keys); err != nil {
			return err
		}
		return k.renewOnce(ctx)
	}
	return err
}

// insert writes the first session row of this process.
func (k *Keeper) insert(ctx context.Context) error {
	key := SessionKey(k.node)
	current, err := k.get(ctx, key)
	if err != nil {
		return fmt.Errorf("read session %s: %w", k.node, err)
	}
	row := k.row
	row.Incarnation = nextIncarnation(current, time.Now())
	row.Renewals = 0
	sent := time.Now()
	version, err := k.put(ctx, key, current.Version, row, nil)
	if err != nil {
		return fmt.Errorf("insert session %s: %w", k.node, err)
	}
	k.mu.Lock()
	k.row = row
	k.started = sent
	k.mu.Unlock()
	k.accept(version, row, sent)
	k.log.Log(eventlog.LeaseStarted, eventlog.Fields{"incarnation": row.Incarnation})
	return nil
}

// nextIncarnation is higher than that of the stored row. A planned stop
// deletes the row, so the wall clock in milliseconds is the lower bound.
func nextIncarnation(current table.Row, now time.Time) int64 {
	next := now.UnixMilli()
	var previous SessionRow
	if current.Version > 0 && json.Unmarshal(current.Value, &previous) == nil && previous.Incarnation >= next {
		next = previous.Incarnation + 1
	}
	return next
}

// renewOnce sends one renewal that also asserts every ownership: its success
// proves that none was taken over before it.
func (k *Keeper) renewOnce(ctx context.Context) error {
	k.mu.Lock()
	row := k.row
	row.Renewals++
	expect := k.version
	var checks []table.Check
	for _, o := range k.owned {
		checks = append(checks, o.Assertion)
	}
	k.mu.Unlock()
	sent := time.Now()
	version, err := k.put(ctx, SessionKey(row.Node), expect, row, checks)
	if err != nil {
		return fmt.Errorf("renew session %s: %w", row.Node, err)
	}
	k.accept(version, row, sent)
	return nil
}

// accept records a renewal that was sent at the given moment.
func (k *Keeper) accept(version table.Version, row SessionRow, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.row = row
	k.version = version
	k.lastContact = time.Now()
	if until := sent.Add(k.ttl); until.After(k.validUntil) {
		k.validUntil = until
	}
}

// reconcile drops ownerships that were taken over and adopts the session row
// where an earlier renewal of this process arrived late.
func (k *Keeper) reconcile(ctx context.Context, keys []string) error {
	k.contact()
	session := SessionKey(k.node)
	for _, key := range keys {
		if key != session {
			k.drop(key)
			continue
		}
		current, err := k.get(ctx, key)
		if err != nil {
			return fmt.Errorf("read session %s: %w", k.node, err)
		}
		var stored SessionRow
		if current.Version > 0 {
			if err := json.Unmarshal(current.Value, &stored); err != nil {
				return fmt.Errorf("decode session %s: %w", k.node, err)
			}
		}
		if stored.Incarnation != k.Incarnation() {
			k.lose()
			return errLost
		}
		k.mu.Lock()
		k.version = current.Version
		k.row.Renewals = max(k.row.Renewals, stored.Renewals)
		k.mu.Unlock()
	}
	return nil
}

// drop forgets the ownership with the given row key.
func (k *Keeper) drop(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for duty := range k.owned {
		if OwnershipKey(duty) == key {
			delete(k.owned, duty)
			k.log.Log(eventlog.OwnershipLost, eventlog.Fields{"duty": duty})
		}
	}
}

// lose ends the session of this process; the next renewal inserts a new one.
func (k *Keeper) lose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.row.Incarnation = 0
	k.validUntil = time.Time{}
	clear(k.owned)
	k.log.Log(eventlog.LeaseLost, eventlog.Fields{"node": k.node})
}

// Release hands over every ownership and deletes the session in one
// transaction. The lease counts as lapsed from the start of the call.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	k.released = true
	k.mu.Unlock()
	k.io.Lock()
	defer k.io.Unlock()
	err := k.releaseOnce(ctx)
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if err := k.reconcile(ctx, conflict.Keys); err != nil {
		return fmt.Errorf("release session %s: %w", k.node, err)
	}
	return k.releaseOnce(ctx)
}

func (k *Keeper) releaseOnce(ctx context.Context) error {
	k.mu.Lock()
	if k.row.Incarnation == 0 {
		k.mu.Unlock()
		return nil
	}
	txn := table.Txn{Nonce: newNonce()}
	for duty, o := range k.owned {
		row := OwnershipRow{Duty: duty, Epoch: o.Epoch}
		txn.Writes = append(txn.Writes, table.Write{Key: OwnershipKey(duty), Expect: o.Assertion.Version, Value: encode(row)})
	}
	txn.Writes = append(txn.Writes, table.Write{Key: SessionKey(k.node), Expect: k.version, Delete: true})
	k.mu.Unlock()
	if err := k.store.Commit(ctx, txn); err != nil {
		return fmt.Errorf("release session %s: %w", k.node, err)
	}
	k.mu.Lock()
	clear(k.owned)
	k.mu.Unlock()
	k.log.Log(eventlog.LeaseReleased, nil)
	return nil
}

// Valid reports whether the session is in force at now, which must carry the
// monotonic clock.
func (k *Keeper) Valid(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.validLocked(now)
}

func (k *Keeper) validLocked(now time.Time) bool {
	return !k.released && now.Before(k.validUntil)
}

// Incarnation returns the number of this process start, 0 before the first
// session row was written.
func (k *Keeper) Incarnation() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.row.Incarnation
}

// Proven returns the moment before the last successful renewal of the present
// session was sent; zero without one.
func (k *Keeper) Proven() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.validUntil.IsZero() {
		return time.Time{}
	}
	return k.validUntil.Add(-k.ttl)
}

// LastContact returns when the table service last answered; zero before.
func (k *Keeper) LastContact() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lastContact
}

func (k *Keeper) isReleased() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.released
}

func (k *Keeper) contact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastContact = time.Now()
}
