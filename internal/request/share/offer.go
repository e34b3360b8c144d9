package share

import (
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// slotReservationTTL is how long slots are kept empty for a node below its even
// share, which is expected to ask again within this time.
const slotReservationTTL = time.Second

const (
	// fullBucketThreshold is the ratio of tokens to depth above which a bucket
	// counts as full.
	fullBucketThreshold = 0.75
	// fullBucketRateFactor is the rate that a node with a full bucket keeps, as a
	// multiple of its demand.
	fullBucketRateFactor = 0.8
)

// slotReservation keeps slots of this node empty until they can be released to
// another node.
type slotReservation struct {
	slots int
	until time.Time
}

// ownNeed returns what the node needs for its own recent demand.
func (l *ledger) ownNeed(now time.Time) Holding {
	recent := l.demand.recent(now)
	busySlots := max(l.inFlight, recent.peakInFlight)
	busySlots += busySlots / idleSlotDivisor
	if recent.slotRefusals > 0 {
		busySlots = max(busySlots, l.slots())
	}
	return Holding{
		Rate:     l.rateFraction(recent.tokensPerSecond * l.ownRateFactor()),
		Burst:    l.wantedBurst(recent),
		InFlight: slotFraction(busySlots, l.cap.InFlight),
	}
}

// ownRateFactor returns the rate that a node keeps, as a multiple of its demand. A
// node whose bucket is nearly full holds more rate than it needs, even if the
// short-term estimate of its demand is higher.
func (l *ledger) ownRateFactor() float64 {
	if l.tokens > fullBucketThreshold*l.depth() {
		return fullBucketRateFactor
	}
	return rateHeadroomFactor
}

// spare returns what the node can give up without harm to its own callers:
// rate and depth beyond its recent demand, and idle slots.
func (l *ledger) spare(now time.Time) Holding {
	return l.inForce().minus(l.ownNeed(now)).max(Holding{})
}

// surplus returns what the node holds above an even share, up to what the recipient
// lacks for one. It is given even if this node's callers could use it.
func (l *ledger) surplus(recipient Holding, nodes int) Holding {
	even := WholeCap / Fraction(max(nodes, 1))
	evenShare := Holding{even, even, even}
	return l.inForce().minus(evenShare).min(evenShare.minus(recipient)).max(Holding{})
}

// offer returns what to release for a request. Bucket depth is released in
// proportion to the rate, or as asked for if that is more, but never beyond what
// this node can spare or holds as surplus.
func (l *ledger) offer(r peer.ReleaseRequest, nodes int, now time.Time) Holding {
	l.refill(now)
	held, spare := l.inForce(), l.spare(now)
	var surplus Holding
	if r.Needed {
		surplus = l.surplus(l.row.byNode()[r.Recipient], nodes)
	}
	asked := l.rateFraction(r.TokensPerSecond)
	give := Holding{Rate: min(asked, max(spare.Rate, surplus.Rate))}
	if !worthMoving(give.Rate, asked) {
		give.Rate = 0
	}
	if held.Rate > 0 {
		give.Burst = Fraction(float64(held.Burst) * float64(give.Rate) / float64(held.Rate))
	}
	give.Burst = min(max(give.Burst, l.burstFraction(r.BurstTokens)), max(spare.Burst, surplus.Burst))
	give.InFlight = l.offerSlots(r.InFlight, spare.InFlight, surplus.InFlight, now)
	return give
}

// offerSlots returns the idle slots to release. If the surplus exceeds the spare
// slots, it also reserves slots as they become idle, for the next request.
func (l *ledger) offerSlots(asked int, spare, surplus Fraction, now time.Time) Fraction {
	if asked <= 0 {
		return 0
	}
	idleSlots := slots(spare, l.cap.InFlight)
	if surplusSlots := slots(surplus, l.cap.InFlight); surplusSlots > idleSlots {
		wanted := min(asked, surplusSlots)
		l.reservation = slotReservation{slots: wanted, until: now.Add(slotReservationTTL)}
		idleSlots = max(idleSlots, min(wanted, l.slots()-l.inFlight))
	}
	if idleSlots <= 0 {
		return 0
	}
	kept := slotFraction(l.slots()-min(asked, idleSlots), l.cap.InFlight)
	return max(0, l.inForce().InFlight-kept)
}

// usableSlots returns the number of slots that admissions may use at now.
func (l *ledger) usableSlots(now time.Time) int {
	if now.Before(l.reservation.until) {
		return l.slots() - l.reservation.slots
	}
	return l.slots()
}
