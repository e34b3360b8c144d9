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

// rowsPerReclaim limits the share rows of one reclaim transaction.
const rowsPerReclaim = 32

// reclaimShares frees the shares of absent nodes and of this node's earlier
// processes.
func (m *Manager) reclaimShares(ctx context.Context) {
	for _, node := range m.updateAbsences() {
		m.observeSession(ctx, node)
	}
	for _, absent := range m.absentNodes() {
		m.reclaimNode(ctx, absent)
	}
	m.reclaimPredecessors(ctx)
}

// updateAbsences processes the current host list. It returns the nodes that hold
// shares but are not listed; their session rows must be read.
func (m *Manager) updateAbsences() []string {
	view := m.options.Hosts()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedElsewhere(view) {
		m.listedElsewhereAt = now
	}
	if !view.RequestedAt.IsZero() {
		m.absences.observeList(view.List, view.RequestedAt, m.otherNodesWithShares(), now)
	}
	return m.absences.unlistedNodes()
}

// otherNodesWithShares returns the other nodes that hold shares. The caller must
// hold the lock.
func (m *Manager) otherNodesWithShares() []string {
	nodes := make(map[string]bool)
	for _, l := range m.ledgers {
		for _, p := range l.row.Parts {
			nodes[p.Node] = true
		}
	}
	delete(nodes, m.options.Node)
	return slices.Collect(maps.Keys(nodes))
}

func (m *Manager) observeSession(ctx context.Context, node string) {
	ctx, cancel := callContext(ctx)
	defer cancel()
	sent := time.Now()
	row, err := m.options.Store.Get(ctx, lease.SessionKey(node))
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.absences.observeSession(node, row, sent, time.Now())
}

// absentNode is a node whose shares may be reclaimed as long as its session row
// has the version sessionVersion.
type absentNode struct {
	name           string
	sessionVersion table.Version
	// requestsEnded is true once the node's requests cannot be running any more.
	requestsEnded bool
}

// keptHolding returns what an absent process's part keeps: its in-flight slots,
// until its requests have certainly ended.
func keptHolding(p Part, requestsEnded bool) Holding {
	if requestsEnded {
		return Holding{}
	}
	return Holding{InFlight: p.InFlight}
}

func (m *Manager) absentNodes() []absentNode {
	m.mu.Lock()
	defer m.mu.Unlock()
	var absent []absentNode
	for _, node := range m.absences.unlistedNodes() {
		version, ok := m.absences.reclaimable(node, 0)
		_, requestsEnded := m.absences.reclaimable(node, m.options.RequestTimeout)
		if ok {
			absent = append(absent, absentNode{node, version, requestsEnded})
		}
	}
	return absent
}

// reducedRow is a share row with parts freed, and the version that it replaces.
type reducedRow struct {
	account string
	expect  table.Version
	next    Row
}

// reducedRows returns the rows that change if every part is reduced to what keep
// returns.
func (m *Manager) reducedRows(keep func(Part) Holding) []reducedRow {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []reducedRow
	for account, l := range m.ledgers {
		next := l.row.reduced(keep)
		if next.free() != l.row.free() && l.pending == nil && !l.stale {
			rows = append(rows, reducedRow{account, l.version, next})
		}
	}
	return rows
}

// reclaimNode frees an absent node's parts. Every transaction asserts that the
// node's session row has not changed. The last one deletes that row, once the
// node's requests have ended.
func (m *Manager) reclaimNode(ctx context.Context, node absentNode) {
	rows := m.reducedRows(func(p Part) Holding {
		if p.Node != node.name {
			return p.Holding
		}
		return keptHolding(p, node.requestsEnded)
	})
	if len(rows) == 0 {
		return
	}
	for chunk := range slices.Chunk(rows, rowsPerReclaim) {
		last := chunk[len(chunk)-1].account == rows[len(rows)-1].account
		if !m.reclaimChunk(ctx, chunk, node, last) {
			return
		}
	}
	m.options.Log.Log(eventlog.SharesReclaimed, eventlog.Fields{"dead": node.name, "accounts": len(rows)})
}

func (m *Manager) reclaimChunk(ctx context.Context, rows []reducedRow, node absentNode, last bool) bool {
	txn := table.Txn{Nonce: rand.Text()}
	key := lease.SessionKey(node.name)
	if last && node.requestsEnded && node.sessionVersion > 0 {
		txn.Writes = append(txn.Writes, table.Write{Key: key, Expect: node.sessionVersion, Delete: true})
	} else {
		txn.Checks = append(txn.Checks, table.Check{Key: key, Version: node.sessionVersion})
	}
	return m.commitReduced(ctx, txn, rows)
}

// commitReduced commits the reduced rows and applies them.
func (m *Manager) commitReduced(ctx context.Context, txn table.Txn, rows []reducedRow) bool {
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
		m.applyRow(row.account, row.expect+1, row.next, sent)
	}
	return true
}

// listedElsewhere reports whether the list names this node with another process's
// address.
func (m *Manager) listedElsewhere(view HostView) bool {
	return listsNode(view.List, m.options.Node, "") && !listsNode(view.List, m.options.Node, m.options.Address)
}

// reclaimPredecessors frees the parts of this node's earlier processes once none
// of them can still have valid evidence. That is so after this process's presence
// has been valid without a break, and the host list has named no other address,
// for the whole timeout.
func (m *Manager) reclaimPredecessors(ctx context.Context) {
	now := time.Now()
	timeout := m.options.PresenceTimeout + m.options.ReclaimMargin
	m.mu.Lock()
	observedSince := later(m.presence.validSince, m.listedElsewhereAt)
	observed := now.Sub(observedSince)
	ready := m.mayUseShares() && m.options.Address != "" && observed >= timeout
	m.mu.Unlock()
	if !ready {
		return
	}
	rows := m.reducedRows(func(p Part) Holding {
		if p.Node != m.options.Node || p.Holder == m.holder {
			return p.Holding
		}
		return keptHolding(p, observed >= timeout+m.options.RequestTimeout)
	})
	for chunk := range slices.Chunk(rows, rowsPerReclaim) {
		m.commitReduced(ctx, table.Txn{Nonce: rand.Text()}, chunk)
	}
}

// StopAndRelease stops admission and frees all shares for a planned stop. It
// blocks on the table service. Shares that it cannot free are reclaimed by
// other nodes later, as those of any absent node.
func (m *Manager) StopAndRelease(ctx context.Context) {
	m.stopAdmission()
	for _, account := range m.accounts() {
		for range maxReleaseAttempts {
			if m.releaseAccount(ctx, account) == nil {
				break
			}
		}
	}
}

// stopAdmission ends admission permanently.
func (m *Manager) stopAdmission() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for _, l := range m.ledgers {
		l.dropHolding(now)
	}
}

func (m *Manager) releaseAccount(ctx context.Context, account string) error {
	ctx, cancel := callContext(ctx)
	defer cancel()
	row, err := m.options.Store.Get(ctx, Key(account))
	if err != nil || row.Version == 0 {
		return err
	}
	parsed, err := parseRow(row.Value)
	if err != nil || parsed.holdingOf(m.holder).isZero() {
		return err
	}
	return m.commitRow(ctx, account, row.Version, parsed.withHolding(m.options.Node, m.holder, Holding{}))
}
