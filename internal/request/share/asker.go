package share

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Pauses of an account's moves.
const (
	// refusedPause is how long a peer that had nothing to spare is not asked
	// again.
	refusedPause = 300 * time.Millisecond
	// idlePause follows when every peer has been asked in vain.
	idlePause = 500 * time.Millisecond
	// baselinePause is the time between moves towards an even share, which no
	// demand calls for.
	baselinePause = 3 * time.Second
)

// jobKind tells what a job does.
type jobKind int

const (
	// jobTake takes free parts of the row.
	jobTake jobKind = iota
	// jobAsk asks a peer for part of its share.
	jobAsk
	// jobResolve commits a release of unknown outcome once more.
	jobResolve
)

// job is one move to carry out.
type job struct {
	kind    jobKind
	account string
	// amount is taken from the row's free part.
	amount Holding
	// peer is asked, with the request.
	peer    string
	request peer.ReleaseRequest
}

// asker paces the moves of one account.
type asker struct {
	busy         bool
	next         time.Time
	nextBaseline time.Time
	refused      map[string]time.Time
}

func newAsker() *asker { return &asker{refused: map[string]time.Time{}} }

// answered takes a peer's answer.
func (a *asker) answered(peer string, moved bool, now time.Time) {
	if moved {
		delete(a.refused, peer)
		return
	}
	a.refused[peer] = now.Add(refusedPause)
}

// choose returns the live node that holds most of what is lacking and has not
// refused of late, or "".
func (a *asker) choose(row Row, self string, live []string, lack Holding, now time.Time) string {
	best, most := "", Units(0)
	for node, h := range row.byNode() {
		if node == self || !slices.Contains(live, node) || now.Before(a.refused[node]) {
			continue
		}
		useful := useful(h, lack)
		if useful > most || (useful == most && useful > 0 && node < best) {
			best, most = node, useful
		}
	}
	return best
}

// useful rates a holding by the parts that are lacking.
func useful(h, lack Holding) Units {
	var sum Units
	if lack.Rate > 0 {
		sum += h.Rate
	}
	if lack.Burst > 0 {
		sum += h.Burst
	}
	if lack.InFlight > 0 {
		sum += h.InFlight
	}
	return sum
}

// decide returns the next move of the account, or nil.
func (m *Manager) decide(account string, l *ledger, live []string, now time.Time) *job {
	a := m.askers[account]
	if a == nil {
		a = newAsker()
		m.askers[account] = a
	}
	if a.busy || l.stale || now.Before(a.next) {
		return nil
	}
	if l.pending != nil {
		return m.decideResolve(account, l, now)
	}
	lack, needed := l.need(now), true
	if lack.isZero() && now.After(a.nextBaseline) {
		a.nextBaseline = now.Add(jitter(baselinePause))
		lack, needed = l.baseline(len(live)), false
	}
	if lack.isZero() {
		return nil
	}
	if free := l.row.free().min(lack); !free.isZero() {
		return m.decideTake(account, free, now)
	}
	j := m.decideAsk(account, l, a, live, lack, now)
	if j != nil {
		j.request.Needed = needed
	}
	return j
}

func (m *Manager) decideResolve(account string, l *ledger, now time.Time) *job {
	if now.Sub(l.pending.begun) < 2*callTimeout || !m.writes.AllowN(now, 1) {
		return nil
	}
	return &job{kind: jobResolve, account: account}
}

func (m *Manager) decideTake(account string, amount Holding, now time.Time) *job {
	if !m.writes.AllowN(now, 1) {
		return nil
	}
	return &job{kind: jobTake, account: account, amount: amount}
}

func (m *Manager) decideAsk(account string, l *ledger, a *asker, live []string, lack Holding, now time.Time) *job {
	node := a.choose(l.row, m.options.Node, live, lack, now)
	if node == "" {
		a.next = now.Add(jitter(idlePause))
		return nil
	}
	if !m.asks.AllowN(now, 1) {
		return nil
	}
	return &job{kind: jobAsk, account: account, peer: node, request: peer.ReleaseRequest{
		Account:         account,
		Gainer:          m.options.Node,
		Holder:          m.holder,
		TokensPerSecond: float64(lack.Rate) / float64(Whole) * l.cap.TokensPerSecond,
		BurstTokens:     float64(lack.Burst) / float64(Whole) * l.cap.BurstTokens,
		InFlight:        slots(lack.InFlight, l.cap.InFlight),
	}}
}
