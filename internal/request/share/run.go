package share

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantladder.example/currantladder/internal/connection/table"
)

// Run adapts the shares to demand until ctx ends: it reads the share rows, adds
// free parts to its holdings, asks peers for parts of theirs and reclaims the
// shares of absent nodes.
func (m *Manager) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range moveWorkers {
		group.Go(func() { m.runMoves(ctx) })
	}
	group.Go(func() { m.readLoop(ctx) })
	m.tickLoop(ctx)
	group.Wait()
}

func (m *Manager) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.tick()
		}
	}
}

// tick queues the next move of every account that needs one.
func (m *Manager) tick() {
	liveNodes := m.options.LiveNodes()
	now, unlock := m.lockAndRefresh()
	defer unlock()
	if !m.mayUseShares() {
		return
	}
	for account, l := range m.ledgers {
		mv := m.nextMove(account, l, liveNodes, now)
		if mv == nil {
			continue
		}
		select {
		case m.moves <- *mv:
			m.pacers[account].inProgress = true
		default:
			return
		}
	}
}

func (m *Manager) runMoves(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case mv := <-m.moves:
			m.execute(ctx, mv)
			m.finishMove(mv)
		}
	}
}

func (m *Manager) finishMove(mv move) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pacers[mv.account].inProgress = false
}

func (m *Manager) execute(ctx context.Context, mv move) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	switch mv.kind {
	case moveTakeFree:
		m.takeFree(ctx, mv)
	case moveAskPeer:
		m.askPeer(ctx, mv)
	case moveResolveRelease:
		m.resolveRelease(ctx, mv.account)
	}
}

// takeFree commits free parts of the row to this process's holding.
func (m *Manager) takeFree(ctx context.Context, mv move) {
	m.mu.Lock()
	l := m.ledgers[mv.account]
	expect := l.version
	amount := mv.amount.min(l.row.free())
	next := l.row.withHolding(m.options.Node, m.holder, l.held.plus(amount))
	usable := !l.stale && l.pending == nil && !amount.isZero() && next.valid()
	m.mu.Unlock()
	if !usable {
		return
	}
	sent := time.Now()
	err := m.commitRow(ctx, mv.account, expect, next)
	if err == nil {
		m.applyRow(mv.account, expect+1, next, sent)
		return
	}
	_ = m.readRow(ctx, mv.account)
}

// askPeer asks one peer for part of its share. It reads the row after a grant,
// and also after an error, because the lost answer may have been a grant.
func (m *Manager) askPeer(ctx context.Context, mv move) {
	reply, err := m.options.Peers.Release(ctx, mv.peer, mv.request)
	granted := reply.TokensPerSecond > 0 || reply.InFlight > 0
	m.mu.Lock()
	m.pacers[mv.account].recordAnswer(mv.peer, granted, time.Now())
	m.mu.Unlock()
	if granted || err != nil {
		_ = m.readRow(ctx, mv.account)
	}
}

// resolveRelease repeats the commit of a release of unknown outcome. Both
// transactions expect the same row version and write the same row, so at most one
// is applied. After a conflict the row is read, which shows the outcome.
func (m *Manager) resolveRelease(ctx context.Context, account string) {
	m.mu.Lock()
	pending := m.ledgers[account].pending
	m.mu.Unlock()
	if pending == nil {
		return
	}
	sent := time.Now()
	err := m.commitRow(ctx, account, pending.expect, pending.next)
	if err == nil {
		m.applyRow(account, pending.expect+1, pending.next, sent)
		return
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		_ = m.readRow(ctx, account)
	}
}

// readLoop reads all share rows periodically, soon after the presence becomes
// valid, and whenever a ledger still lacks its row. It also reclaims shares.
func (m *Manager) readLoop(ctx context.Context) {
	var nextRead time.Time
	for {
		delay := tickInterval
		if m.mayReadShares() {
			delay = jitter(readInterval)
			if now := time.Now(); !now.Before(nextRead) || m.hasStaleRows() {
				sizeBytes := m.readAll(ctx)
				nextRead = now.Add(jitter(m.setRates(sizeBytes)))
			}
			m.reclaimShares(ctx)
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (m *Manager) mayReadShares() bool {
	_, unlock := m.lockAndRefresh()
	defer unlock()
	return m.mayUseShares()
}

// hasStaleRows reports whether some account's row must be read before its share
// may be used.
func (m *Manager) hasStaleRows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.ledgers {
		if l.stale {
			return true
		}
	}
	return false
}

// setRates sets this node's part of the fleet's write budget and returns the mean
// interval between reads of all rows, which have the given total size.
func (m *Manager) setRates(sizeBytes int) time.Duration {
	nodes := m.fleetSize()
	writesPerSecond := min(max(float64(fleetWritesPerSecond)/float64(nodes), minNodeWritesPerSecond), maxNodeWritesPerSecond)
	m.writeLimiter.SetLimit(rate.Limit(writesPerSecond))
	bySize := time.Duration(float64(sizeBytes) / nodeReadBytesPerSecond * float64(time.Second))
	return max(readInterval, bySize, time.Duration(float64(nodes)/fleetReadsPerSecond*float64(time.Second)))
}

// fleetSize returns the number of nodes of all regions.
func (m *Manager) fleetSize() int {
	nodes := max(len(m.options.LiveNodes()), 1)
	if m.options.FleetSize != nil {
		nodes = max(nodes, m.options.FleetSize())
	}
	return nodes
}

// readAll reads all share rows and returns their total size, or 0 after an
// error. An account without a row is applied as an empty row.
func (m *Manager) readAll(ctx context.Context) (sizeBytes int) {
	present := map[string]bool{}
	startedAt := time.Now()
	fromKey := ""
	for {
		rows, err := m.readPage(ctx, fromKey)
		if err != nil {
			return 0
		}
		for _, row := range rows {
			sizeBytes += len(row.Value)
			present[strings.TrimPrefix(row.Key, table.PrefixShare)] = true
		}
		if len(rows) < rowsPerPage {
			break
		}
		fromKey = rows[len(rows)-1].Key + "\x00"
	}
	for _, account := range m.accounts() {
		if !present[account] {
			_ = m.applyTableRow(account, table.Row{}, startedAt)
		}
	}
	return sizeBytes
}

// readPage reads and applies one page of rows, starting at fromKey. Reading by
// pages keeps the memory for undecoded rows small compared to all rows.
func (m *Manager) readPage(ctx context.Context, fromKey string) ([]table.Row, error) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	sent := time.Now()
	rows, err := m.options.Store.List(ctx, table.Range{Prefix: table.PrefixShare, From: fromKey, Limit: rowsPerPage})
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		_ = m.applyTableRow(strings.TrimPrefix(row.Key, table.PrefixShare), row, sent)
	}
	return rows, nil
}

// accounts returns the names of the accounts that have a ledger at this node.
func (m *Manager) accounts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.ledgers {
		names = append(names, name)
	}
	return names
}

// jitter returns a random duration within 25% of interval.
func jitter(interval time.Duration) time.Duration {
	return time.Duration((0.75 + rand.Float64()/2) * float64(interval))
}
