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

// observation is what this node saw of another node's session row.
type observation struct {
	version table.Version
	nonce   string
	// since is when, on this node's clock, that version was first read.
	since time.Time
}

// Owned returns the ownership of a duty, and false where this node does not
// hold it or its lease has lapsed at now.
func (k *Keeper) Owned(duty string, now time.Time) (Ownership, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.validLocked(now) {
		return Ownership{}, false
	}
	o, ok := k.owned[duty]
	return o, ok
}

// Acquire takes a duty that nobody owns, or whose owner's session row has not
// changed for the TTL plus a margin as seen on this node's clock. It returns
// false where another node holds the duty or this node's lease has lapsed. It
// must be called repeatedly: each call adds to what was observed of the owner.
func (k *Keeper) Acquire(ctx context.Context, duty string) (Ownership, bool, error) {
	if o, ok := k.Owned(duty, time.Now()); ok {
		return o, true, nil
	}
	if !k.Valid(time.Now()) {
		return Ownership{}, false, nil
	}
	stored, err := k.get(ctx, OwnershipKey(duty))
	if err != nil {
		return Ownership{}, false, fmt.Errorf("read ownership of %s: %w", duty, err)
	}
	k.contact()
	row := OwnershipRow{Duty: duty}
	if stored.Version > 0 {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			return Ownership{}, false, fmt.Errorf("decode ownership of %s: %w", duty, err)
		}
	}
	check, free, err := k.mayTake(ctx, row.Owner)
	if err != nil {
		return Ownership{}, false, err
	}
	if !free {
		k.restartWait(duty)
		return Ownership{}, false, nil
	}
	o, ok, err := k.take(ctx, row, stored.Version, check)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return Ownership{}, false, nil
	}
	return o, ok, err
}

// mayTake reports whether a duty of the given owner is free, and the check
// that must hold when it is taken.
func (k *Keeper) mayTake(ctx context.Context, owner string) (*table.Check, bool, error) {
	if owner == "" {
		return nil, true, nil
	}
	if owner == k.node {
		return nil, k.earlierProcessLapsed(), nil
	}
	session, err := k.get(ctx, SessionKey(owner))
	if err != nil {
		return nil, false, fmt.Errorf("read session %s: %w", owner, err)
	}
	check := &table.Check{Key: SessionKey(owner), Version: session.Version}
	return check, k.lapsed(owner, session, time.Now()), nil
}

// earlierProcessLapsed reports whether an earlier process of this node name
// can no longer believe that its lease holds.
func (k *Keeper) earlierProcessLapsed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.started) >= k.ttl+k.margin
}

// lapsed records the session row as read now and reports whether it has not
// changed for the TTL plus the margin. An absent row has lapsed: its node
// deletes it only after it stopped relying on it.
func (k *Keeper) lapsed(node string, session table.Row, now time.Time) bool {
	if session.Version == 0 {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	seen, ok := k.observed[node]
	if !ok || seen.version != session.Version || seen.nonce != session.Nonce {
		k.observed[node] = observation{version: session.Version, nonce: session.Nonce, since: now}
		return false
	}
	return now.Sub(seen.since) >= k.ttl+k.margin
}

// take commits the change of owner under a higher epoch. The transaction
// asserts this node's own session and the former owner's.
func (k *Keeper) take(ctx context.Context, row OwnershipRow, version table.Version, check *table.Check) (Ownership, bool, error) {
	former := row.Owner
	k.mu.Lock()
	checks := []table.Check{{Key: SessionKey(k.node), Version: k.version}}
	k.mu.Unlock()
	if check != nil {
		checks = append(checks, *check)
	}
	row.Owner = k.node
	row.Epoch++
	next, err := k.put(ctx, OwnershipKey(row.Duty), version, row, checks)
	if err != nil {
		return Ownership{}, false, fmt.Errorf("acquire %s: %w", row.Duty, err)
	}
	o := Ownership{
		Duty:      row.Duty,
		Epoch:     row.Epoch,
		Assertion: table.Check{Key: OwnershipKey(row.Duty), Version: next},
	}
	k.mu.Lock()
	k.owned[row.Duty] = o
	valid := k.validLocked(time.Now())
	k.mu.Unlock()
	k.log.Log(eventlog.OwnershipAcquired, eventlog.Fields{"duty": row.Duty, "epoch": row.Epoch, "former": former})
	return o, valid, nil
}

// Sessions reads every session row, in node order, including rows of nodes
// that have lapsed, and records what was seen.
func (k *Keeper) Sessions(ctx context.Context) ([]SessionRow, error) {
	rows, err := k.store.List(ctx, table.Range{Prefix: table.PrefixSession})
	if err != nil {
		return nil, fmt.Errorf("list sessions: %w", err)
	}
	k.contact()
	now := time.Now()
	sessions := make([]SessionRow, 0, len(rows))
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		var session SessionRow
		if err := json.Unmarshal(row.Value, &session); err != nil {
			return nil, fmt.Errorf("decode %s: %w", row.Key, err)
		}
		k.lapsed(session.Node, row, now)
		present[session.Node] = true
		sessions = append(sessions, session)
	}
	k.forgetAbsent(present)
	slices.SortFunc(sessions, func(a, b SessionRow) int { return strings.Compare(a.Node, b.Node) })
	return sessions, nil
}

func (k *Keeper) forgetAbsent(present map[string]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for node := range k.observed {
		if !present[node] {
			delete(k.observed, node)
		}
	}
}
