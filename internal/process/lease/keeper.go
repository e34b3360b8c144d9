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
	// takeoverMarginDivisor sets the safety margin of a takeover as a fraction
	// of the TTL: margin = TTL / takeoverMarginDivisor. The margin covers
	// clocks that run at different rates.
	takeoverMarginDivisor = 5
	// renewBackoffDivisor sets the backoff after a failed renewal as a fraction
	// of the renewal interval.
	renewBackoffDivisor = 4
)

// errSessionReplaced reports that another process replaced the session row.
var errSessionReplaced = errors.New("session row was replaced by another process with the same node name; give each node a unique name")

// Keeper maintains one node's session and its ownerships. It is safe for
// concurrent use. Run, Renew, Acquire, Release and Sessions call the table
// service and block; the other methods do no I/O.
type Keeper struct {
	store          table.Store
	node           string
	ttl            time.Duration
	takeoverMargin time.Duration
	renewInterval  time.Duration
	log            *eventlog.Logger

	// ioMu serializes the transactions that write the session row.
	ioMu sync.Mutex

	// mu guards the fields below. It is not held during calls of the table
	// service.
	mu             sync.Mutex
	session        SessionRow
	sessionVersion table.Version
	// sessionStarted is when the insertion of the session row was sent.
	sessionStarted time.Time
	validUntil     time.Time
	lastContact    time.Time
	released       bool
	// owned is keyed by role, observations by node.
	owned        map[string]Ownership
	observations map[string]observation
	// unownedSince is the time, by role, since which this node has seen no
	// owner that may be live.
	unownedSince map[string]time.Time
	// roster is the list of session rows as last read, nil before the first
	// read; rosterReadAt and previousRosterReadAt are the start times of the
	// last two reads.
	roster               []SessionRow
	rosterReadAt         time.Time
	previousRosterReadAt time.Time
}

// NewKeeper returns a keeper that does nothing until Run or Renew is called. The
// session is valid for ttl after the last successful renewal was sent.
func NewKeeper(store table.Store, identity SessionRow, ttl, renewInterval time.Duration, log *eventlog.Logger) *Keeper {
	identity.Incarnation = 0
	identity.Renewals = 0
	return &Keeper{
		store:          store,
		node:           identity.Node,
		ttl:            ttl,
		takeoverMargin: ttl / takeoverMarginDivisor,
		renewInterval:  renewInterval,
		log:            log,
		session:        identity,
		owned:          map[string]Ownership{},
		observations:   map[string]observation{},
		unownedSince:   map[string]time.Time{},
	}
}

// Run inserts the session row and renews it until ctx ends or Release is
// called. It retries while the table service is unavailable. It also reads the
// roster at intervals.
func (k *Keeper) Run(ctx context.Context) {
	nextRoster := time.Time{}
	for ctx.Err() == nil {
		delay := k.renewInterval
		if err := k.Renew(ctx); err != nil {
			k.log.Log(eventlog.LeaseRenewalFailed, eventlog.Fields{"error": err.Error()})
			delay = k.renewInterval / renewBackoffDivisor
		} else if now := time.Now(); !now.Before(nextRoster) && k.readRoster(ctx) {
			nextRoster = now.Add(k.rosterInterval())
		}
		if k.isReleased() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// Renew inserts or renews the session row once. Each of its calls to the table
// service times out after the renewal interval.
func (k *Keeper) Renew(ctx context.Context) error {
	k.ioMu.Lock()
	defer k.ioMu.Unlock()
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
	row := k.session
	row.Incarnation = nextIncarnation(current, time.Now())
	row.Renewals = 0
	sent := time.Now()
	version, err := k.put(ctx, key, current.Version, row, nil)
	if err != nil {
		return fmt.Errorf("insert session %s: %w", k.node, err)
	}
	k.mu.Lock()
	k.session = row
	k.sessionStarted = sent
	k.mu.Unlock()
	k.recordRenewal(version, row, sent)
	k.log.Log(eventlog.LeaseStarted, eventlog.Fields{"incarnation": row.Incarnation})
	return nil
}

// nextIncarnation returns an incarnation higher than that of the stored row. A
// planned stop deletes the row, so the wall clock in milliseconds serves as the
// lower bound.
func nextIncarnation(current table.Row, now time.Time) int64 {
	next := now.UnixMilli()
	var previous SessionRow
	if current.Version > 0 && json.Unmarshal(current.Value, &previous) == nil && previous.Incarnation >= next {
		next = previous.Incarnation + 1
	}
	return next
}

// renewOnce sends one renewal whose transaction also checks every ownership
// row: if it succeeds, no ownership was taken over before it.
func (k *Keeper) renewOnce(ctx context.Context) error {
	k.mu.Lock()
	row := k.session
	row.Renewals++
	expect := k.sessionVersion
	var checks []table.Check
	for _, o := range k.owned {
		checks = append(checks, o.FencingCheck)
	}
	k.mu.Unlock()
	sent := time.Now()
	version, err := k.put(ctx, SessionKey(row.Node), expect, row, checks)
	if err != nil {
		return fmt.Errorf("renew session %s: %w", row.Node, err)
	}
	k.recordRenewal(version, row, sent)
	return nil
}

// recordRenewal stores the result of a renewal that was sent at the given time.
// The TTL counts from that time.
func (k *Keeper) recordRenewal(version table.Version, row SessionRow, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session = row
	k.sessionVersion = version
	k.lastContact = time.Now()
	if until := sent.Add(k.ttl); until.After(k.validUntil) {
		k.validUntil = until
	}
}

// reconcile handles a conflict on the given row keys. It drops ownerships that
// were taken over and adopts the stored version of the session row where an
// earlier renewal of this process took effect late. It ends the session and
// returns errSessionReplaced where the stored row is not of this process.
func (k *Keeper) reconcile(ctx context.Context, keys []string) error {
	k.recordContact()
	sessionKey := SessionKey(k.node)
	for _, key := range keys {
		if key != sessionKey {
			k.dropOwnership(key)
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
			k.endSession()
			return errSessionReplaced
		}
		k.mu.Lock()
		k.sessionVersion = current.Version
		k.session.Renewals = max(k.session.Renewals, stored.Renewals)
		k.mu.Unlock()
	}
	return nil
}

// dropOwnership removes the ownership with the given row key.
func (k *Keeper) dropOwnership(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for role := range k.owned {
		if OwnershipKey(role) == key {
			delete(k.owned, role)
			k.log.Log(eventlog.OwnershipLost, eventlog.Fields{"duty": role})
		}
	}
}

// endSession ends the session of this process; the next renewal inserts a new
// row.
func (k *Keeper) endSession() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session.Incarnation = 0
	k.validUntil = time.Time{}
	clear(k.owned)
	k.log.Log(eventlog.LeaseLost, eventlog.Fields{"node": k.node})
}

// Release gives up every ownership and deletes the session row in one
// transaction, so that other nodes can acquire the roles at once. The lease
// counts as lapsed from the start of the call.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	k.released = true
	k.mu.Unlock()
	k.ioMu.Lock()
	defer k.ioMu.Unlock()
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

// releaseOnce does the work of Release in one attempt.
func (k *Keeper) releaseOnce(ctx context.Context) error {
	k.mu.Lock()
	if k.session.Incarnation == 0 {
		k.mu.Unlock()
		return nil
	}
	txn := table.Txn{Nonce: newNonce()}
	for role, o := range k.owned {
		row := OwnershipRow{Role: role, Epoch: o.Epoch}
		txn.Writes = append(txn.Writes, table.Write{Key: OwnershipKey(role), Expect: o.FencingCheck.Version, Value: encode(row)})
	}
	txn.Writes = append(txn.Writes, table.Write{Key: SessionKey(k.node), Expect: k.sessionVersion, Delete: true})
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

// Valid reports whether the session is valid at now, which must carry a
// monotonic clock reading.
func (k *Keeper) Valid(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.validLocked(now)
}

func (k *Keeper) validLocked(now time.Time) bool {
	return !k.released && now.Before(k.validUntil)
}

// Incarnation returns the incarnation of this process; 0 while it has no session
// row, that is before the first insertion and after the row was replaced.
func (k *Keeper) Incarnation() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session.Incarnation
}

// LastRenewalSent returns when the last successful renewal of the current
// session was sent; the zero time without one.
func (k *Keeper) LastRenewalSent() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.validUntil.IsZero() {
		return time.Time{}
	}
	return k.validUntil.Add(-k.ttl)
}

// LastContact returns when the table service last replied; the zero time
// before its first reply.
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

func (k *Keeper) recordContact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastContact = time.Now()
}
