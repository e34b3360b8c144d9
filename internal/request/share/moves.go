package share

import (
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// How much is asked for and kept.
const (
	// needAbove is the use of the own rate above which more is asked for,
	// once the bucket is less than half full.
	needAbove = 0.95
	// headroom is the rate that a node asks for and keeps, as a multiple of
	// its demand.
	headroom = 1.03
	// slotStep is the number of slots that a node without slots asks for.
	slotStep = 4
	// idleDivisor gives the idle slots that a node keeps and asks for, as a
	// part of those that were busy.
	idleDivisor = 4
	// burstRequests is the bucket depth that a node wants, in requests of the
	// largest recent size.
	burstRequests = 2
	// burstDivisor gives the depth that a node wants as a part of the depth
	// in proportion to its rate.
	burstDivisor = 2
	// minMoveShare is a part of a cap that is always worth a transaction.
	minMoveShare = Whole / 200
	// minMoveDivisor gives what is worth one as a part of what is held.
	minMoveDivisor = 16
)

// need returns what the node lacks for its recent demand.
func (l *ledger) need(now time.Time) Holding {
	l.refill(now)
	recent := l.demand.recent(now)
	var lack Holding
	if l.level <= l.depth()/2 && recent.tokensPerSecond > needAbove*l.rate() {
		lack.Rate = max(0, l.rateUnits(recent.tokensPerSecond*headroom)-l.inForce().Rate)
	}
	lack.Burst = max(0, l.burstWanted(recent)-l.inForce().Burst)
	lack.InFlight = max(0, slotUnits(l.slots()+l.slotsLacking(recent), l.cap.InFlight)-l.inForce().InFlight)
	if !worthMoving(lack.Rate, l.inForce().Rate) {
		lack.Rate = 0
	}
	if !worthMoving(lack.Burst, l.inForce().Burst) {
		lack.Burst = 0
	}
	return lack
}

// burstWanted returns the depth for the largest recent requests, and not much
// less than goes with the rate held.
func (l *ledger) burstWanted(r recent) Units {
	if r.largest == 0 {
		return 0
	}
	return max(l.burstUnits(r.largest*burstRequests), l.inForce().Rate/burstDivisor)
}

// worthMoving reports whether a part is worth a transaction to a node that
// already holds some.
func worthMoving(part, held Units) bool {
	return part >= minMoveShare || part > held/minMoveDivisor
}

// slotsLacking returns how many slots to ask for.
func (l *ledger) slotsLacking(r recent) int {
	if r.refused > 0 {
		return min(r.refused, l.slots()+slotStep)
	}
	if r.peak > 0 && r.peak >= l.slots() {
		return max(1, r.peak/idleDivisor)
	}
	return 0
}

// baseline returns what the node lacks for an even share between nodes, once
// it holds less than half of it.
func (l *ledger) baseline(nodes int) Holding {
	even := Whole / Units(max(nodes, 1))
	held := l.inForce()
	lack := func(have Units) Units {
		if have >= even/2 {
			return 0
		}
		return even - have
	}
	out := Holding{lack(held.Rate), lack(held.Burst), lack(held.InFlight)}
	if slots(even, l.cap.InFlight) == 0 {
		out.InFlight = 0
	}
	return out
}

func (l *ledger) rateUnits(tokensPerSecond float64) Units {
	return unitsOf(tokensPerSecond, l.cap.TokensPerSecond)
}

func (l *ledger) burstUnits(tokens float64) Units {
	return unitsOf(tokens, l.cap.BurstTokens)
}

// beginRelease lowers what is in force and returns the row to commit.
func (l *ledger) beginRelease(r peer.ReleaseRequest, give Holding, now time.Time) *pendingRelease {
	l.refill(now)
	next := l.row.with(l.nodeOf(), l.holder, l.held.minus(give))
	next = next.with(r.Gainer, r.Holder, next.of(r.Holder).plus(give))
	l.yield = yield{}
	l.pending = &pendingRelease{amount: give, expect: l.version, next: next, begun: now}
	l.clip()
	return l.pending
}

func (l *ledger) nodeOf() string {
	for _, p := range l.row.Parts {
		if p.Holder == l.holder {
			return p.Node
		}
	}
	return ""
}

// cancelRelease restores what a transaction that was not applied had lowered.
func (l *ledger) cancelRelease(p *pendingRelease, now time.Time) {
	if l.pending != p {
		return
	}
	l.refill(now)
	l.pending = nil
}

// applyRelease takes a release whose transaction was applied, without taking
// the rest of the row into use.
func (l *ledger) applyRelease(p *pendingRelease, now time.Time) {
	if l.pending != p {
		return
	}
	l.refill(now)
	l.held = l.held.minus(p.amount).max(Holding{})
	l.pending = nil
	l.clip()
}
