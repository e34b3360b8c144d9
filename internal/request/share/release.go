package share

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/connection/table"
)

// maxReleaseAttempts bounds the commits of one release, which may conflict
// with other moves of the same row.
const maxReleaseAttempts = 4

// Key returns the row key of an account's shares.
func Key(account string) string { return table.PrefixShare + account }

// Release gives part of this node's share to the gainer, as far as this node
// can spare it. The peer handler calls it. What is given is not used here from
// before the transaction is sent; it blocks until the transaction is settled
// or ctx ends.
func (m *Manager) Release(ctx context.Context, r peer.ReleaseRequest) peer.ReleaseReply {
	ctx, cancel := callContext(ctx)
	defer cancel()
	for range maxReleaseAttempts {
		pending, ok := m.lower(r)
		if !ok {
			return peer.ReleaseReply{}
		}
		err := m.commitRow(ctx, r.Account, pending.expect, pending.next)
		if m.settleRelease(r.Account, pending, err) {
			return m.reply(r.Account, pending.amount)
		}
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) || m.readRow(ctx, r.Account) != nil {
			return peer.ReleaseReply{}
		}
	}
	return peer.ReleaseReply{}
}

// lower decides what to give and takes it out of force.
func (m *Manager) lower(r peer.ReleaseRequest) (*pendingRelease, bool) {
	nodes := len(m.options.Live())
	now, unlock := m.enter()
	defer unlock()
	l := m.ledgers[r.Account]
	if l == nil || !m.admitting() || l.pending != nil || l.stale || r.Holder == "" || r.Holder == m.holder {
		return nil, false
	}
	give := l.offer(r, nodes, now)
	if give.isZero() || !m.writes.AllowN(now, 1) {
		return nil, false
	}
	return l.beginRelease(r, give, now), true
}

// settleRelease takes the outcome of a release's transaction and reports
// whether it was applied. An unknown outcome leaves the share lowered.
func (m *Manager) settleRelease(account string, pending *pendingRelease, err error) bool {
	now, unlock := m.enter()
	defer unlock()
	l := m.ledgers[account]
	if err == nil {
		l.applyRelease(pending, now)
		m.takeLocked(account, pending.expect+1, pending.next, pending.begun, now)
		return true
	}
	if notApplied(err) {
		l.cancelRelease(pending, now)
	}
	return false
}

// notApplied tells whether a transaction surely had no effect.
func notApplied(err error) bool {
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	return errors.Is(err, table.ErrUnavailable) && !errors.Is(err, table.ErrUnknown)
}

func (m *Manager) reply(account string, moved Holding) peer.ReleaseReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.ledgers[account].cap
	return peer.ReleaseReply{
		TokensPerSecond: float64(moved.Rate) / float64(Whole) * c.TokensPerSecond,
		InFlight:        slots(moved.InFlight, c.InFlight),
	}
}

// commitRow writes a share row.
func (m *Manager) commitRow(ctx context.Context, account string, expect table.Version, row Row) error {
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	writes := []table.Write{{Key: Key(account), Expect: expect, Value: value}}
	return m.options.Store.Commit(ctx, table.Txn{Nonce: rand.Text(), Writes: writes})
}

// readRow reads one account's row and takes it into use.
func (m *Manager) readRow(ctx context.Context, account string) error {
	sent := time.Now()
	row, err := m.options.Store.Get(ctx, Key(account))
	if err != nil {
		return err
	}
	return m.takeRow(account, row, sent)
}

// takeRow takes a row that was asked for at sent. It is ignored if the
// presence was void then.
func (m *Manager) takeRow(account string, row table.Row, sent time.Time) error {
	parsed := Row{Account: account}
	if row.Version > 0 {
		var err error
		if parsed, err = parseRow(row.Value); err != nil {
			return err
		}
	}
	m.takeCommitted(account, row.Version, parsed, sent)
	return nil
}

// takeCommitted takes a committed row that was read or written by a call sent
// at sent, unless the presence has lapsed since.
func (m *Manager) takeCommitted(account string, version table.Version, row Row, sent time.Time) {
	now, unlock := m.enter()
	defer unlock()
	m.takeLocked(account, version, row, sent, now)
}

func (m *Manager) takeLocked(account string, version table.Version, row Row, sent, now time.Time) {
	l := m.ledgers[account]
	if l != nil && m.admitting() && !sent.Before(m.readable) {
		l.observe(version, row, now)
	}
}
