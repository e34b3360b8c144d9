package share

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Delays between the moves of one account.
const (
	// refusalBackoff is the delay before a peer that had nothing to spare is
	// asked again.
	refusalBackoff = 300 * time.Millisecond
	// noPeerBackoff is the delay after no peer is left to ask.
	noPeerBackoff = 500 * time.Millisecond
	// rebalanceInterval is the time between moves towards an even share, which
	// are made without demand for them.
	rebalanceInterval = 3 * time.Second
)

// moveKind is the kind of a move.
type moveKind int

const (
	// moveTakeFree adds free parts of the row to this process's holding.
	moveTakeFree moveKind = iota
	// moveAskPeer requests part of a peer's share.
	moveAskPeer
	// moveResolveRelease repeats the commit of a release of unknown outcome.
	moveResolveRelease
)

// move is one planned change of an account's share row.
type move struct {
	kind    moveKind
	account string
	// amount is what moveTakeFree takes from the row's free part.
	amount Holding
	// peer is the node that moveAskPeer sends the request to.
	peer    string
	request peer.ReleaseRequest
}

// pacer spaces the moves of one account in time.
type pacer struct {
	inProgress    bool
	notBefore     time.Time
	nextRebalance time.Time
	refusedUntil  map[string]time.Time
}

func newPacer() *pacer { return &pacer{refusedUntil: map[string]time.Time{}} }

// recordAnswer excludes a peer for a time if it gave nothing.
func (p *pacer) recordAnswer(peer string, granted bool, now time.Time) {
	if granted {
		delete(p.refusedUntil, peer)
		return
	}
	p.refusedUntil[peer] = now.Add(refusalBackoff)
}

// choosePeer returns the live node that holds most of what falls short and has
// not refused recently, or "".
func (p *pacer) choosePeer(row Row, self string, liveNodes []string, shortfall Holding, now time.Time) string {
	best, mostUseful := "", Fraction(0)
	for node, h := range row.byNode() {
		if node == self || !slices.Contains(liveNodes, node) || now.Before(p.refusedUntil[node]) {
			continue
		}
		amount := usefulFraction(h, shortfall)
		if amount > mostUseful || (amount == mostUseful && amount > 0 && node < best) {
			best, mostUseful = node, amount
		}
	}
	return best
}

// usefulFraction sums the parts of a holding that fall short at this node.
func usefulFraction(h, shortfall Holding) Fraction {
	var sum Fraction
	if shortfall.Rate > 0 {
		sum += h.Rate
	}
	if shortfall.Burst > 0 {
		sum += h.Burst
	}
	if shortfall.InFlight > 0 {
		sum += h.InFlight
	}
	return sum
}

// nextMove returns the next move of the account, or nil.
func (m *Manager) nextMove(account string, l *ledger, liveNodes []string, now time.Time) *move {
	p := m.pacers[account]
	if p == nil {
		p = newPacer()
		m.pacers[account] = p
	}
	if p.inProgress || l.stale || now.Before(p.notBefore) {
		return nil
	}
	if l.pending != nil {
		return m.moveToResolve(account, l, now)
	}
	shortfall, neededNow := l.demandShortfall(now), true
	if shortfall.isZero() && now.After(p.nextRebalance) {
		p.nextRebalance = now.Add(jitter(rebalanceInterval))
		shortfall, neededNow = l.evenShareShortfall(len(liveNodes)), false
	}
	if shortfall.isZero() {
		return nil
	}
	if free := l.row.free().min(shortfall); !free.isZero() {
		return m.moveToTake(account, free, now)
	}
	ask := m.moveToAsk(account, l, p, liveNodes, shortfall, now)
	if ask != nil {
		ask.request.Needed = neededNow
	}
	return ask
}

func (m *Manager) moveToResolve(account string, l *ledger, now time.Time) *move {
	if now.Sub(l.pending.startedAt) < 2*callTimeout || !m.writeLimiter.AllowN(now, 1) {
		return nil
	}
	return &move{kind: moveResolveRelease, account: account}
}

func (m *Manager) moveToTake(account string, amount Holding, now time.Time) *move {
	if !m.writeLimiter.AllowN(now, 1) {
		return nil
	}
	return &move{kind: moveTakeFree, account: account, amount: amount}
}

func (m *Manager) moveToAsk(account string, l *ledger, p *pacer, liveNodes []string, shortfall Holding, now time.Time) *move {
	peerName := p.choosePeer(l.row, m.options.Node, liveNodes, shortfall, now)
	if peerName == "" {
		p.notBefore = now.Add(jitter(noPeerBackoff))
		return nil
	}
	if !m.askLimiter.AllowN(now, 1) {
		return nil
	}
	return &move{kind: moveAskPeer, account: account, peer: peerName, request: peer.ReleaseRequest{
		Account:         account,
		Recipient:       m.options.Node,
		Holder:          m.holder,
		TokensPerSecond: float64(shortfall.Rate) / float64(WholeCap) * l.cap.TokensPerSecond,
		BurstTokens:     float64(shortfall.Burst) / float64(WholeCap) * l.cap.BurstTokens,
		InFlight:        slots(shortfall.InFlight, l.cap.InFlight),
	}}
}
