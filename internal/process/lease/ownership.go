package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
)

// observation is the last version of another node's session row that this node
// read.
type observation struct {
	version table.Version
	nonce   string
	// since is when this node first read that version, on its own clock.
	since time.Time
}

// Owned returns the ownership of a role. It returns false where this node does
// not own the role or its lease has lapsed at now.
func (k *Keeper) Owned(role string, now time.Time) (Ownership, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.validLocked(now) {
		return Ownership{}, false
	}
	o, ok := k.owned[role]
	return o, ok
}

// Acquire takes ownership of a role that has no owner, or whose owner's session
// has lapsed: its row is absent, or unchanged for the TTL plus a margin by this
// node's clock. It returns false where another node owns the role or this node's
// lease has lapsed. It must be called repeatedly, because each call observes the
// owner's session row once.
func (k *Keeper) Acquire(ctx context.Context, role string) (Ownership, bool, error) {
	if o, ok := k.Owned(role, time.Now()); ok {
		return o, true, nil
	}
	if !k.Valid(time.Now()) {
		return Ownership{}, false, nil
	}
	stored, err := k.get(ctx, OwnershipKey(role))
	if err != nil {
		return Ownership{}, false, fmt.Errorf("read ownership of %s: %w", role, err)
	}
	k.recordContact()
	row := OwnershipRow{Role: role}
	if stored.Version > 0 {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			return Ownership{}, false, fmt.Errorf("decode ownership of %s: %w", role, err)
		}
	}
	check, free, err := k.takeoverCheck(ctx, row.Owner)
	if err != nil {
		return Ownership{}, false, err
	}
	if !free {
		k.resetUnownedSince(role)
		return Ownership{}, false, nil
	}
	o, ok, err := k.takeOwnership(ctx, row, stored.Version, check)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return Ownership{}, false, nil
	}
	return o, ok, err
}

// takeoverCheck reports whether a role of the given owner is free to take. It
// also returns the check, if any, that the takeover transaction must include.
func (k *Keeper) takeoverCheck(ctx context.Context, owner string) (*table.Check, bool, error) {
	if owner == "" {
		return nil, true, nil
	}
	if owner == k.node {
		return nil, k.previousProcessLapsed(), nil
	}
	session, err := k.get(ctx, SessionKey(owner))
	if err != nil {
		return nil, false, fmt.Errorf("read session %s: %w", owner, err)
	}
	check := &table.Check{Key: SessionKey(owner), Version: session.Version}
	return check, k.observeSession(owner, session, time.Now()), nil
}

// previousProcessLapsed reports whether the lease of an earlier process with
// this node name must have lapsed: the insertion of this process's session row,
// which conflicts with any later renewal by the earlier one, was sent at least
// the TTL plus the margin ago.
func (k *Keeper) previousProcessLapsed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.sessionStarted) >= k.ttl+k.takeoverMargin
}

// observeSession records a session row read at now and reports whether the
// session has lapsed: the row has not changed for the TTL plus the margin, or it
// is absent. A node deletes its row only after it has stopped relying on its
// lease.
func (k *Keeper) observeSession(node string, session table.Row, now time.Time) bool {
	if session.Version == 0 {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	seen, ok := k.observations[node]
	if !ok || seen.version != session.Version || seen.nonce != session.Nonce {
		k.observations[node] = observation{version: session.Version, nonce: session.Nonce, since: now}
		return false
	}
	return now.Sub(seen.since) >= k.ttl+k.takeoverMargin
}

// takeOwnership commits the change of owner with a higher epoch. The transaction
// checks this node's session row and the former owner's.
func (k *Keeper) takeOwnership(ctx context.Context, row OwnershipRow, version table.Version, check *table.Check) (Ownership, bool, error) {
	former := row.Owner
	k.mu.Lock()
	checks := []table.Check{{Key: SessionKey(k.node), Version: k.sessionVersion}}
	k.mu.Unlock()
	if check != nil {
		checks = append(checks, *check)
	}
	row.Owner = k.node
	row.Epoch++
	next, err := k.put(ctx, OwnershipKey(row.Role), version, row, checks)
	if err != nil {
		return Ownership{}, false, fmt.Errorf("acquire %s: %w", row.Role, err)
	}
	o := Ownership{
		Role:         row.Role,
		Epoch:        row.Epoch,
		FencingCheck: table.Check{Key: OwnershipKey(row.Role), Version: next},
	}
	k.mu.Lock()
	k.owned[row.Role] = o
	valid := k.validLocked(time.Now())
	k.mu.Unlock()
	k.log.Log(eventlog.OwnershipAcquired, eventlog.Fields{"duty": row.Role, "epoch": row.Epoch, "former": former})
	return o, valid, nil
}

// Sessions reads and returns all session rows, lapsed ones included, in node
// order. It records each as an observation.
func (k *Keeper) Sessions(ctx context.Context) ([]SessionRow, error) {
	rows, err := k.store.List(ctx, table.Range{Prefix: table.PrefixSession})
	if err != nil {
		return nil, fmt.Errorf("list sessions: %w", err)
	}
	k.recordContact()
	now := time.Now()
	sessions := make([]SessionRow, 0, len(rows))
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		var session SessionRow
		if err := json.Unmarshal(row.Value, &session); err != nil {
			return nil, fmt.Errorf("decode %s: %w", row.Key, err)
		}
		k.observeSession(session.Node, row, now)
		present[session.Node] = true
		sessions = append(sessions, session)
	}
	k.removeAbsentObservations(present)
	slices.SortFunc(sessions, func(a, b SessionRow) int { return strings.Compare(a.Node, b.Node) })
	return sessions, nil
}

func (k *Keeper) removeAbsentObservations(present map[string]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for node := range k.observations {
		if !present[node] {
			delete(k.observations, node)
		}
	}
}
