package share

import (
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Constants that decide how much of a cap a node asks for and keeps.
const (
	// needThreshold is the ratio of demand to a node's own rate above which it
	// asks for more, once its bucket is at most half full.
	needThreshold = 0.95
	// rateHeadroomFactor is the rate that a node asks for and keeps, as a
	// multiple of its demand.
	rateHeadroomFactor = 1.03
	// extraSlotsAsked limits the slots that a node asks for at once: its own
	// slots plus this number, so that a node without slots can ask for some.
	extraSlotsAsked = 4
	// idleSlotDivisor sets the idle slots that a node keeps and asks for: its
	// busy slots divided by this.
	idleSlotDivisor = 4
	// wantedBurstRequests is the bucket depth that a node wants, in requests of
	// the largest recent size.
	wantedBurstRequests = 2
	// burstToRateDivisor sets the least depth that a node wants: its fraction of
	// the rate divided by this.
	burstToRateDivisor = 2
	// minMoveFraction is a fraction of a cap that is always worth a transaction.
	minMoveFraction = WholeCap / 200
	// minMoveDivisor sets the smaller amounts that are also worth one: more than
	// what the node holds divided by this.
	minMoveDivisor = 16
)

// demandShortfall returns what the node lacks for its recent demand.
func (l *ledger) demandShortfall(now time.Time) Holding {
	l.refill(now)
	recent := l.demand.recent(now)
	var shortfall Holding
	if l.tokens <= l.depth()/2 && recent.tokensPerSecond > needThreshold*l.rate() {
		shortfall.Rate = max(0, l.rateFraction(recent.tokensPerSecond*rateHeadroomFactor)-l.inForce().Rate)
	}
	shortfall.Burst = max(0, l.wantedBurst(recent)-l.inForce().Burst)
	shortfall.InFlight = max(0, slotFraction(l.slots()+l.missingSlots(recent), l.cap.InFlight)-l.inForce().InFlight)
	if !worthMoving(shortfall.Rate, l.inForce().Rate) {
		shortfall.Rate = 0
	}
	if !worthMoving(shortfall.Burst, l.inForce().Burst) {
		shortfall.Burst = 0
	}
	return shortfall
}

// wantedBurst returns the depth for the largest recent requests, but at least a
// set part of the node's fraction of the rate.
func (l *ledger) wantedBurst(r recentDemand) Fraction {
	if r.largestRequest == 0 {
		return 0
	}
	return max(l.burstFraction(r.largestRequest*wantedBurstRequests), l.inForce().Rate/burstToRateDivisor)
}

// worthMoving reports whether an amount is worth a transaction to a node that
// already holds some.
func worthMoving(amount, held Fraction) bool {
	return amount >= minMoveFraction || amount > held/minMoveDivisor
}

// missingSlots returns how many slots to ask for.
func (l *ledger) missingSlots(r recentDemand) int {
	if r.slotRefusals > 0 {
		return min(r.slotRefusals, l.slots()+extraSlotsAsked)
	}
	if r.peakInFlight > 0 && r.peakInFlight >= l.slots() {
		return max(1, r.peakInFlight/idleSlotDivisor)
	}
	return 0
}

// evenShareShortfall returns what the node lacks for an even share between nodes.
// A part of which it already holds half its even share counts as sufficient.
func (l *ledger) evenShareShortfall(nodes int) Holding {
	even := WholeCap / Fraction(max(nodes, 1))
	held := l.inForce()
	shortfall := func(own Fraction) Fraction {
		if own >= even/2 {
			return 0
		}
		return even - own
	}
	out := Holding{shortfall(held.Rate), shortfall(held.Burst), shortfall(held.InFlight)}
	if slots(even, l.cap.InFlight) == 0 {
		out.InFlight = 0
	}
	return out
}

func (l *ledger) rateFraction(tokensPerSecond float64) Fraction {
	return fractionOf(tokensPerSecond, l.cap.TokensPerSecond)
}

func (l *ledger) burstFraction(tokens float64) Fraction {
	return fractionOf(tokens, l.cap.BurstTokens)
}

// beginRelease takes the amount out of force and returns the pending release with
// the row to commit.
func (l *ledger) beginRelease(r peer.ReleaseRequest, give Holding, now time.Time) *pendingRelease {
	l.refill(now)
	next := l.row.withHolding(l.nodeName(), l.holder, l.held.minus(give))
	next = next.withHolding(r.Recipient, r.Holder, next.holdingOf(r.Holder).plus(give))
	l.reservation = slotReservation{}
	l.pending = &pendingRelease{amount: give, expect: l.version, next: next, startedAt: now}
	l.trimTokens()
	return l.pending
}

// nodeName returns this node's name as the row has it, or "" if the row has no
// part of this process.
func (l *ledger) nodeName() string {
	for _, p := range l.row.Parts {
		if p.Holder == l.holder {
			return p.Node
		}
	}
	return ""
}

// cancelRelease restores the amount of a release that was not applied.
func (l *ledger) cancelRelease(p *pendingRelease, now time.Time) {
	if l.pending != p {
		return
	}
	l.refill(now)
	l.pending = nil
}

// applyRelease deducts the amount of a release that was applied, without applying
// the rest of its row.
func (l *ledger) applyRelease(p *pendingRelease, now time.Time) {
	if l.pending != p {
		return
	}
	l.refill(now)
	l.held = l.held.minus(p.amount).max(Holding{})
	l.pending = nil
	l.trimTokens()
}
