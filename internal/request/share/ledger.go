package share

import (
	"time"

	"currantladder.example/currantladder/internal/connection/table"
)

// roundingMargin keeps the sum of float64 refills of all nodes below the cap.
const roundingMargin = 1 - 1e-9

// Cap is an account's cap over all nodes.
type Cap struct {
	TokensPerSecond float64
	BurstTokens     float64
	InFlight        int
}

// pendingRelease is a release whose transaction has no known outcome yet. Its
// amount is not in force, even if the last row read still grants it.
type pendingRelease struct {
	amount    Holding
	expect    table.Version
	next      Row
	startedAt time.Time
}

// ledger accounts for one client account at this node. It is a state machine
// without I/O. The holding in force never exceeds what the committed row grants
// to this process.
type ledger struct {
	holder string
	cap    Cap

	version table.Version
	row     Row
	held    Holding
	pending *pendingRelease
	// stale is true until the row has been read, and again after the presence
	// has lapsed.
	stale       bool
	reservation slotReservation

	tokens     float64 // tokens in the bucket; negative after an underestimate
	refilledAt time.Time
	inFlight   int
	demand     demand
}

// inForce returns the holding that admissions may use.
func (l *ledger) inForce() Holding {
	if l.pending == nil {
		return l.held
	}
	return l.held.minus(l.pending.amount).max(Holding{})
}

func (l *ledger) rate() float64 {
	return float64(l.inForce().Rate) / float64(WholeCap) * l.cap.TokensPerSecond * roundingMargin
}

func (l *ledger) depth() float64 {
	return float64(l.inForce().Burst) / float64(WholeCap) * l.cap.BurstTokens * roundingMargin
}

func (l *ledger) slots() int { return slots(l.inForce().InFlight, l.cap.InFlight) }

// refill adds the tokens earned until now at the rate in force. It must be called
// before every change of the holding in force.
func (l *ledger) refill(now time.Time) {
	if now.After(l.refilledAt) {
		if !l.refilledAt.IsZero() {
			l.tokens += l.rate() * now.Sub(l.refilledAt).Seconds()
		}
		l.refilledAt = now
	}
	l.trimTokens()
}

// trimTokens drops tokens beyond the bucket's depth.
func (l *ledger) trimTokens() { l.tokens = min(l.tokens, l.depth()) }

// setCap applies a cap from the configuration.
func (l *ledger) setCap(c Cap, now time.Time) {
	if c == l.cap {
		return
	}
	l.refill(now)
	l.cap = c
	l.trimTokens()
}

// applyRow applies a committed row. Rows older than the known one are ignored.
func (l *ledger) applyRow(version table.Version, row Row, now time.Time) {
	if version < l.version || (version == l.version && !l.stale) {
		return
	}
	l.refill(now)
	l.stale = false
	l.version, l.row, l.held = version, row, row.holdingOf(l.holder)
	if l.pending != nil && version > l.pending.expect {
		l.pending = nil
	}
	l.trimTokens()
}

// dropHolding drops the holding until the row is read again. The bucket is
// emptied, since its rate may have been granted to other nodes. A pending release
// stays, because its transaction may still be applied.
func (l *ledger) dropHolding(now time.Time) {
	l.refill(now)
	l.held = Holding{}
	l.stale = true
	l.tokens = min(l.tokens, 0)
}

// decision is the outcome of one admission.
type decision struct {
	admitted bool
	// retryAfter estimates when a refused request could be admitted.
	retryAfter time.Duration
	// noSlot is true if the request was refused for lack of an in-flight slot.
	noSlot bool
}

// Retry hints of refused admissions.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// admit records the demand and takes the cost and one slot, or refuses.
func (l *ledger) admit(cost float64, now time.Time) decision {
	l.demand.recordRequest(cost, now)
	d := l.tryAdmit(cost, now)
	if d.noSlot {
		l.demand.recordSlotRefusal(now)
	}
	return d
}

// tryAdmit takes the cost and one slot, or refuses. It records no demand.
func (l *ledger) tryAdmit(cost float64, now time.Time) decision {
	l.refill(now)
	if l.inFlight >= l.usableSlots(now) {
		return decision{retryAfter: minRetryAfter, noSlot: true}
	}
	if l.tokens < cost {
		return decision{retryAfter: l.retryAfter(cost)}
	}
	l.tokens -= cost
	l.inFlight++
	l.demand.recordInFlight(l.inFlight, now)
	return decision{admitted: true}
}

func (l *ledger) retryAfter(cost float64) time.Duration {
	rate := l.rate()
	if rate <= 0 || cost > l.depth() {
		return minRetryAfter
	}
	seconds := min((cost-l.tokens)/rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// settle returns the slot and replaces the estimated cost by the tokens used.
func (l *ledger) settle(cost, used float64, now time.Time) {
	l.refill(now)
	l.demand.recordInFlight(l.inFlight, now)
	l.inFlight--
	l.tokens += cost - used
	l.trimTokens()
}
