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

// maxReleaseAttempts limits the commits of one release, which may conflict
// with other moves of the same row.
const maxReleaseAttempts = 4

// Key returns the row key of an account's shares.
func Key(account string) string { return table.PrefixShare + account }

// Release gives part of this node's share to the recipient, as far as this node can
// spare it. The peer handler calls it. The amount goes out of force here before
// the transaction is sent. Release blocks until the outcome of the transaction is
// known, callTimeout has passed or ctx ends.
func (m *Manager) Release(ctx context.Context, r peer.ReleaseRequest) peer.ReleaseReply {
	ctx, cancel := callContext(ctx)
	defer cancel()
	for range maxReleaseAttempts {
		pending, ok := m.prepareRelease(r)
		if !ok {
			return peer.ReleaseReply{}
		}
		err := m.commitRow(ctx, r.Account, pending.expect, pending.next)
		if m.finishRelease(r.Account, pending, err) {
			return m.releaseReply(r.Account, pending.amount)
		}
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) || m.readRow(ctx, r.Account) != nil {
			return peer.ReleaseReply{}
		}
	}
	return peer.ReleaseReply{}
}

// prepareRelease decides what to give and takes it out of force.
func (m *Manager) prepareRelease(r peer.ReleaseRequest) (*pendingRelease, bool) {
	nodes := len(m.options.LiveNodes())
	now, unlock := m.lockAndRefresh()
	defer unlock()
	l := m.ledgers[r.Account]
	if l == nil || !m.mayUseShares() || l.pending != nil || l.stale || r.Holder == "" || r.Holder == m.holder {
		return nil, false
	}
	give := l.offer(r, nodes, now)
	if give.isZero() || !m.writeLimiter.AllowN(now, 1) {
		return nil, false
	}
	return l.beginRelease(r, give, now), true
}

// finishRelease processes the outcome of a release's transaction and reports
// whether it was applied. After an unknown outcome the amount stays out of force.
func (m *Manager) finishRelease(account string, pending *pendingRelease, err error) bool {
	now, unlock := m.lockAndRefresh()
	defer unlock()
	l := m.ledgers[account]
	if err == nil {
		l.applyRelease(pending, now)
		m.applyRowLocked(account, pending.expect+1, pending.next, pending.startedAt, now)
		return true
	}
	if notApplied(err) {
		l.cancelRelease(pending, now)
	}
	return false
}

// notApplied reports whether a transaction certainly had no effect.
func notApplied(err error) bool {
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	return errors.Is(err, table.ErrUnavailable) && !errors.Is(err, table.ErrUnknown)
}

func (m *Manager) releaseReply(account string, moved Holding) peer.ReleaseReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.ledgers[account].cap
	return peer.ReleaseReply{
		TokensPerSecond: float64(moved.Rate) / float64(WholeCap) * c.TokensPerSecond,
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

// readRow reads one account's row and applies it.
func (m *Manager) readRow(ctx context.Context, account string) error {
	sent := time.Now()
	row, err := m.options.Store.Get(ctx, Key(account))
	if err != nil {
		return err
	}
	return m.applyTableRow(account, row, sent)
}

// applyTableRow decodes and applies a row whose read was sent at sent.
func (m *Manager) applyTableRow(account string, row table.Row, sent time.Time) error {
	parsed := Row{Account: account}
	if row.Version > 0 {
		var err error
		if parsed, err = parseRow(row.Value); err != nil {
			return err
		}
	}
	m.applyRow(account, row.Version, parsed, sent)
	return nil
}

// applyRow applies a committed row that was read or written by a call sent at
// sent. The row is ignored if the presence was not valid then or has lapsed since.
func (m *Manager) applyRow(account string, version table.Version, row Row, sent time.Time) {
	now, unlock := m.lockAndRefresh()
	defer unlock()
	m.applyRowLocked(account, version, row, sent, now)
}

func (m *Manager) applyRowLocked(account string, version table.Version, row Row, sent, now time.Time) {
	l := m.ledgers[account]
	if l != nil && m.mayUseShares() && !sent.Before(m.readsValidFrom) {
		l.applyRow(version, row, now)
	}
}
