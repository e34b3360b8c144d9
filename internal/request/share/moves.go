package share

import (
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// How much is asked for and kept.
const (
	// needAbove is the use of the own rate above which more is asked for.
	needAbove = 0.85
	// askHeadroom is the rate asked for, as a multiple of demand.
	askHeadroom = 1.25
	// keepHeadroom is the rate that a loser keeps, as a multiple of demand.
	keepHeadroom = 1.1
	// burstRequests is the bucket depth that a node wants, in requests of the
	// largest recent size.
	burstRequests = 2
	// minMoveShare is the smallest rate worth a transaction.
	minMoveShare = Whole / 1000
)

// need returns what the node lacks for its recent demand.
func (l *ledger) need(now time.Time) Holding {
	l.refill(now)
	recent := l.demand.recent(now)
	var lack Holding
	if recent.tokensPerSecond > needAbove*l.rate() {
		lack.Rate = max(0, l.rateUnits(recent.tokensPerSecond*askHeadroom)-l.inForce().Rate)
	}
	if recent.largest > 0 {
		lack.Burst = max(0, l.burstUnits(recent.largest*burstRequests)-l.inForce().Burst)
	}
	if recent.refused > 0 || (recent.peak > 0 && recent.peak >= l.slots()) {
		lack.InFlight = max(0, slotUnits(l.slots()+max(1, recent.refused), l.cap.InFlight)-l.inForce().InFlight)
	}
	if lack.Rate < minMoveShare {
		lack.Rate = 0
	}
	if lack.Burst < minMoveShare {
		lack.Burst = 0
	}
	return lack
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

// spare returns what the node can give up: rate and depth beyond its recent
// demand, and idle slots.
func (l *ledger) spare(now time.Time) Holding {
	l.refill(now)
	recent := l.demand.recent(now)
	held := l.inForce()
	keep := Holding{
		Rate:  l.rateUnits(recent.tokensPerSecond * keepHeadroom),
		Burst: l.burstUnits(recent.largest * burstRequests),
	}
	busy := max(l.running, recent.peak)
	if recent.refused > 0 {
		busy = max(busy, l.slots())
	}
	keep.InFlight = slotUnits(busy, l.cap.InFlight)
	return held.minus(keep).max(Holding{})
}

// offer returns what to give for a request. Depth goes along with the rate in
// proportion.
func (l *ledger) offer(r peer.ReleaseRequest, now time.Time) Holding {
	spare := l.spare(now)
	held := l.inForce()
	give := Holding{Rate: min(l.rateUnits(r.TokensPerSecond), spare.Rate)}
	if give.Rate < minMoveShare {
		give.Rate = 0
	}
	if held.Rate > 0 {
		give.Burst = Units(float64(held.Burst) * float64(give.Rate) / float64(held.Rate))
	}
	give.Burst = min(max(give.Burst, l.burstUnits(r.BurstTokens)), spare.Burst)
	give.InFlight = l.offerSlots(r.InFlight, spare.InFlight)
	return give
}

// offerSlots gives whole slots, and with them any remainder that is too small
// to be a slot here.
func (l *ledger) offerSlots(asked int, spare Units) Units {
	idle := slots(spare, l.cap.InFlight)
	if asked <= 0 {
		return 0
	}
	keep := slotUnits(l.slots()-min(asked, idle), l.cap.InFlight)
	return min(max(0, l.inForce().InFlight-keep), spare)
}

// beginRelease lowers what is in force and returns the row to commit.
func (l *ledger) beginRelease(r peer.ReleaseRequest, give Holding, now time.Time) *pendingRelease {
	l.refill(now)
	next := l.row.with(l.nodeOf(), l.holder, l.held.minus(give))
	next = next.with(r.Gainer, r.Holder, next.of(r.Holder).plus(give))
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
