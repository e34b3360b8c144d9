package share

import (
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// yieldTime is how long slots stay empty for a node below its even share that
// is expected to ask again.
const yieldTime = time.Second

const (
	// fullBucket is the part of the depth above which a bucket counts as full.
	fullBucket = 0.75
	// fullKeep is the rate that a node with a full bucket keeps, as a multiple
	// of its demand.
	fullKeep = 0.8
)

// yield keeps slots of this node empty, so that they can be given up.
type yield struct {
	slots int
	until time.Time
}

// keep returns what the node's own recent demand takes.
func (l *ledger) keep(now time.Time) Holding {
	recent := l.demand.recent(now)
	busy := max(l.running, recent.peak)
	busy += busy / idleDivisor
	if recent.refused > 0 {
		busy = max(busy, l.slots())
	}
	return Holding{
		Rate:     l.rateUnits(recent.tokensPerSecond * l.keepFactor()),
		Burst:    l.burstWanted(recent),
		InFlight: slotUnits(busy, l.cap.InFlight),
	}
}

// keepFactor returns how much of its demand a node keeps as rate. One whose
// bucket is nearly full has held more than it needs, whatever the short-term
// estimate of its demand says.
func (l *ledger) keepFactor() float64 {
	if l.level > fullBucket*l.depth() {
		return fullKeep
	}
	return headroom
}

// spare returns what the node can give up without harm to its own callers:
// rate and depth beyond its recent demand, and idle slots.
func (l *ledger) spare(now time.Time) Holding {
	return l.inForce().minus(l.keep(now)).max(Holding{})
}

// surplus returns what the node holds above an even share and the gainer lacks
// to one. It is given even where the own callers could use it.
func (l *ledger) surplus(gainer Holding, nodes int) Holding {
	even := Whole / Units(max(nodes, 1))
	share := Holding{even, even, even}
	return l.inForce().minus(share).min(share.minus(gainer)).max(Holding{})
}

// offer returns what to give for a request. Depth goes along with the rate in
// proportion.
func (l *ledger) offer(r peer.ReleaseRequest, nodes int, now time.Time) Holding {
	l.refill(now)
	held, spare := l.inForce(), l.spare(now)
	var surplus Holding
	if r.Needed {
		surplus = l.surplus(l.row.byNode()[r.Gainer], nodes)
	}
	asked := l.rateUnits(r.TokensPerSecond)
	give := Holding{Rate: min(asked, max(spare.Rate, surplus.Rate))}
	if !worthMoving(give.Rate, asked) {
		give.Rate = 0
	}
	if held.Rate > 0 {
		give.Burst = Units(float64(held.Burst) * float64(give.Rate) / float64(held.Rate))
	}
	give.Burst = min(max(give.Burst, l.burstUnits(r.BurstTokens)), max(spare.Burst, surplus.Burst))
	give.InFlight = l.offerSlots(r.InFlight, spare.InFlight, surplus.InFlight, now)
	return give
}

// offerSlots gives idle slots. Where it has none to spare but a surplus, it
// keeps some empty from now on, for the next request.
func (l *ledger) offerSlots(asked int, spare, surplus Units, now time.Time) Units {
	if asked <= 0 {
		return 0
	}
	idle := slots(spare, l.cap.InFlight)
	if above := slots(surplus, l.cap.InFlight); above > idle {
		wanted := min(asked, above)
		l.yield = yield{slots: wanted, until: now.Add(yieldTime)}
		idle = max(idle, min(wanted, l.slots()-l.running))
	}
	if idle <= 0 {
		return 0
	}
	keep := slotUnits(l.slots()-min(asked, idle), l.cap.InFlight)
	return max(0, l.inForce().InFlight-keep)
}

// openSlots returns the slots that admissions may use at now.
func (l *ledger) openSlots(now time.Time) int {
	if now.Before(l.yield.until) {
		return l.slots() - l.yield.slots
	}
	return l.slots()
}
