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

// Run keeps the shares in step with demand until ctx ends: it reads the share
// rows, creates and takes free parts, asks peers and reclaims the shares of
// dead nodes.
func (m *Manager) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range workers {
		group.Go(func() { m.work(ctx) })
	}
	group.Go(func() { m.readLoop(ctx) })
	m.tickLoop(ctx)
	group.Wait()
}

func (m *Manager) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
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

// tick decides the next move of every account and queues it.
func (m *Manager) tick() {
	live := m.options.Live()
	now, unlock := m.enter()
	defer unlock()
	if !m.admitting() {
		return
	}
	for account, l := range m.ledgers {
		j := m.decide(account, l, live, now)
		if j == nil {
			continue
		}
		select {
		case m.jobs <- *j:
			m.askers[account].busy = true
		default:
			return
		}
	}
}

func (m *Manager) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-m.jobs:
			m.carryOut(ctx, j)
			m.finished(j)
		}
	}
}

func (m *Manager) finished(j job) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.askers[j.account].busy = false
}

func (m *Manager) carryOut(ctx context.Context, j job) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	switch j.kind {
	case jobTake:
		m.take(ctx, j)
	case jobAsk:
		m.ask(ctx, j)
	case jobResolve:
		m.resolve(ctx, j.account)
	}
}

// take moves free parts of the row to this process.
func (m *Manager) take(ctx context.Context, j job) {
	m.mu.Lock()
	l := m.ledgers[j.account]
	expect := l.version
	amount := j.amount.min(l.row.free())
	next := l.row.with(m.options.Node, m.holder, l.held.plus(amount))
	usable := !l.stale && l.pending == nil && !amount.isZero() && next.valid()
	m.mu.Unlock()
	if !usable {
		return
	}
	sent := time.Now()
	err := m.commitRow(ctx, j.account, expect, next)
	if err == nil {
		m.takeCommitted(j.account, expect+1, next, sent)
		return
	}
	_ = m.readRow(ctx, j.account)
}

// ask asks one peer for part of its share and reads the row afterwards. A
// lost answer may hide a grant, so the row is read then too.
func (m *Manager) ask(ctx context.Context, j job) {
	reply, err := m.options.Peers.Release(ctx, j.peer, j.request)
	moved := reply.TokensPerSecond > 0 || reply.InFlight > 0
	m.mu.Lock()
	m.askers[j.account].answered(j.peer, moved, time.Now())
	m.mu.Unlock()
	if moved || err != nil {
		_ = m.readRow(ctx, j.account)
	}
}

// resolve commits a release of unknown outcome again, under the same expected
// version: at most one of the two transactions is applied, and both say the
// same. A conflict means that the row tells which.
func (m *Manager) resolve(ctx context.Context, account string) {
	m.mu.Lock()
	pending := m.ledgers[account].pending
	m.mu.Unlock()
	if pending == nil {
		return
	}
	sent := time.Now()
	err := m.commitRow(ctx, account, pending.expect, pending.next)
	if err == nil {
		m.takeCommitted(account, pending.expect+1, pending.next, sent)
		return
	}
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		_ = m.readRow(ctx, account)
	}
}

// readLoop reads all share rows periodically, soon after the start and after
// the presence became valid, and whenever a row that is needed was not read.
func (m *Manager) readLoop(ctx context.Context) {
	var next time.Time
	for {
		pause := tickPeriod
		if m.mayRead() {
			pause = jitter(readPeriod)
			if now := time.Now(); !now.Before(next) || m.lacksRows() {
				size := m.readAll(ctx)
				next = now.Add(jitter(m.pace(size)))
			}
			m.reclaim(ctx)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (m *Manager) mayRead() bool {
	_, unlock := m.enter()
	defer unlock()
	return m.admitting()
}

// lacksRows reports whether an account's row must be read before its share is
// used.
func (m *Manager) lacksRows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.ledgers {
		if l.stale {
			return true
		}
	}
	return false
}

// pace sets the node's part of the fleet's write budget and returns the mean
// period of reading the rows, whose size in bytes is given.
func (m *Manager) pace(size int) time.Duration {
	nodes := m.fleetSize()
	writes := min(max(float64(fleetWrites)/float64(nodes), minNodeWrites), maxNodeWrites)
	m.writes.SetLimit(rate.Limit(writes))
	bySize := time.Duration(float64(size) / nodeReadBytes * float64(time.Second))
	return max(readPeriod, bySize, time.Duration(float64(nodes)/fleetReads*float64(time.Second)))
}

// fleetSize returns the number of nodes of all regions.
func (m *Manager) fleetSize() int {
	nodes := max(len(m.options.Live()), 1)
	if m.options.FleetSize != nil {
		nodes = max(nodes, m.options.FleetSize())
	}
	return nodes
}

// readAll reads all share rows and returns their size in bytes, 0 where it
// failed.
func (m *Manager) readAll(ctx context.Context) (size int) {
	present := map[string]bool{}
	began := time.Now()
	from := ""
	for {
		rows, err := m.readPage(ctx, from)
		if err != nil {
			return 0
		}
		for _, row := range rows {
			size += len(row.Value)
			present[strings.TrimPrefix(row.Key, table.PrefixShare)] = true
		}
		if len(rows) < rowsPerRead {
			break
		}
		from = rows[len(rows)-1].Key + "\x00"
	}
	for _, account := range m.accounts() {
		if !present[account] {
			_ = m.takeRow(account, table.Row{}, began)
		}
	}
	return size
}

// readPage reads and takes the rows from a key on, so many that what is held
// in memory at one time is small beside the whole.
func (m *Manager) readPage(ctx context.Context, from string) ([]table.Row, error) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	sent := time.Now()
	rows, err := m.options.Store.List(ctx, table.Range{Prefix: table.PrefixShare, From: from, Limit: rowsPerRead})
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		_ = m.takeRow(strings.TrimPrefix(row.Key, table.PrefixShare), row, sent)
	}
	return rows, nil
}

// accounts lists the accounts that have a ledger here.
func (m *Manager) accounts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.ledgers {
		names = append(names, name)
	}
	return names
}

// jitter spreads a period by a quarter to each side.
func jitter(period time.Duration) time.Duration {
	return time.Duration((0.75 + rand.Float64()/2) * float64(period))
}
