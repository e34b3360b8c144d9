package share

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/lease"
)

// reclaimRows bounds the share rows of one reclaim transaction.
const reclaimRows = 32

// reclaim frees the shares of dead nodes and of this node's earlier processes.
func (m *Manager) reclaim(ctx context.Context) {
	for _, node := range m.watchList() {
		m.watchSession(ctx, node)
	}
	for _, dead := range m.deadNodes() {
		m.reclaimNode(ctx, dead)
	}
	m.reclaimOwn(ctx)
}

// watchList takes the host list and returns the nodes whose sessions must be
// watched: those that hold shares but are not listed.
func (m *Manager) watchList() []string {
	view := m.options.Hosts()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.foreignListed(view) {
		m.foreign = now
	}
	if !view.Sent.IsZero() {
		m.dead.observeList(view.List, view.Sent, m.otherHolders(), now)
	}
	return m.dead.unlisted()
}

// otherHolders lists the other nodes that hold shares.
func (m *Manager) otherHolders() []string {
	nodes := make(map[string]bool)
	for _, l := range m.ledgers {
		for _, p := range l.row.Parts {
			nodes[p.Node] = true
		}
	}
	delete(nodes, m.options.Node)
	return slices.Collect(maps.Keys(nodes))
}

func (m *Manager) watchSession(ctx context.Context, node string) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	sent := time.Now()
	row, err := m.options.Store.Get(ctx, lease.SessionKey(node))
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead.observeSession(node, row, sent, time.Now())
}

// deadNode is a node whose shares may be reclaimed while its session row has
// the version.
type deadNode struct {
	name    string
	version table.Version
	// drained is true once its requests have ended too.
	drained bool
}

// kept returns what a dead part keeps: its in-flight slots until its requests
// have surely ended.
func kept(p Part, drained bool) Holding {
	if drained {
		return Holding{}
	}
	return Holding{InFlight: p.InFlight}
}

func (m *Manager) deadNodes() []deadNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	var dead []deadNode
	for _, node := range m.dead.unlisted() {
		version, ok := m.dead.dead(node, 0)
		_, drained := m.dead.dead(node, m.options.RequestLimit)
		if ok {
			dead = append(dead, deadNode{node, version, drained})
		}
	}
	return dead
}

// staleParts is the share rows of which parts are to be freed.
type staleParts struct {
	account string
	expect  table.Version
	next    Row
}

// staleRows returns the rows that change when every part is reduced to what
// keep returns.
func (m *Manager) staleRows(keep func(Part) Holding) []staleParts {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []staleParts
	for account, l := range m.ledgers {
		next := l.row.reclaimed(keep)
		if next.free() != l.row.free() && l.pending == nil && !l.stale {
			rows = append(rows, staleParts{account, l.version, next})
		}
	}
	return rows
}

// reclaimNode frees a dead node's parts. Every transaction asserts that the
// node's session row has not changed; the last one deletes it.
func (m *Manager) reclaimNode(ctx context.Context, dead deadNode) {
	rows := m.staleRows(func(p Part) Holding {
		if p.Node != dead.name {
			return p.Holding
		}
		return kept(p, dead.drained)
	})
	if len(rows) == 0 {
		return
	}
	for chunk := range slices.Chunk(rows, reclaimRows) {
		last := chunk[len(chunk)-1].account == rows[len(rows)-1].account
		if !m.reclaimChunk(ctx, chunk, dead, last) {
			return
		}
	}
	m.options.Log.Log(eventlog.SharesReclaimed, eventlog.Fields{"dead": dead.name, "accounts": len(rows)})
}

func (m *Manager) reclaimChunk(ctx context.Context, rows []staleParts, dead deadNode, last bool) bool {
	txn := table.Txn{Nonce: rand.Text()}
	key := lease.SessionKey(dead.name)
	if last && dead.drained && dead.version > 0 {
		txn.Writes = append(txn.Writes, table.Write{Key: key, Expect: dead.version, Delete: true})
	} else {
		txn.Checks = append(txn.Checks, table.Check{Key: key, Version: dead.version})
	}
	return m.commitStale(ctx, txn, rows)
}

// commitStale commits the freed rows and takes them into use.
func (m *Manager) commitStale(ctx context.Context, txn table.Txn, rows []staleParts) bool {
	ctx, cancel := callContext(ctx)
	defer cancel()
	for _, row := range rows {
		value, err := json.Marshal(row.next)
		if err != nil {
			return false
		}
		txn.Writes = append(txn.Writes, table.Write{Key: Key(row.account), Expect: row.expect, Value: value})
	}
	sent := time.Now()
	if err := m.options.Store.Commit(ctx, txn); err != nil {
		return false
	}
	for _, row := range rows {
		m.takeCommitted(row.account, row.expect+1, row.next, sent)
	}
	return true
}

// foreignListed tells whether the list names this node with the address of
// another process.
func (m *Manager) foreignListed(view HostView) bool {
	return names(view.List, m.options.Node, "") && !names(view.List, m.options.Node, m.options.Address)
}

// reclaimOwn frees the parts of this node's earlier processes, once none of
// them can still hold evidence: this process has held the session without a
// break, and the list has named no other address, for the whole wait.
func (m *Manager) reclaimOwn(ctx context.Context) {
	now := time.Now()
	wait := m.options.Void + m.options.Margin
	m.mu.Lock()
	since := later(m.presence.since, m.foreign)
	absent := now.Sub(since)
	ready := m.admitting() && m.options.Address != "" && absent >= wait
	m.mu.Unlock()
	if !ready {
		return
	}
	rows := m.staleRows(func(p Part) Holding {
		if p.Node != m.options.Node || p.Holder == m.holder {
			return p.Holding
		}
		return kept(p, absent >= wait+m.options.RequestLimit)
	})
	for chunk := range slices.Chunk(rows, reclaimRows) {
		m.commitStale(ctx, table.Txn{Nonce: rand.Text()}, chunk)
	}
}

// Leave gives up all shares on a planned stop, once no request is admitted
// any more. It blocks on the table service; what it cannot free is reclaimed
// by others after the void time.
func (m *Manager) Leave(ctx context.Context) {
	m.stop()
	for _, account := range m.accounts() {
		for range maxReleaseAttempts {
			if m.leaveAccount(ctx, account) == nil {
				break
			}
		}
	}
}

// stop ends admission for good.
func (m *Manager) stop() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for _, l := range m.ledgers {
		l.forget(now)
	}
}

func (m *Manager) leaveAccount(ctx context.Context, account string) error {
	ctx, cancel := callContext(ctx)
	defer cancel()
	row, err := m.options.Store.Get(ctx, Key(account))
	if err != nil || row.Version == 0 {
		return err
	}
	parsed, err := parseRow(row.Value)
	if err != nil || parsed.of(m.holder).isZero() {
		return err
	}
	return m.commitRow(ctx, account, row.Version, parsed.with(m.options.Node, m.holder, Holding{}))
}
