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

// pendingRelease is a release whose transaction is not settled. Its amount is
// not in force, whatever the row says.
type pendingRelease struct {
	amount Holding
	expect table.Version
	next   Row
	begun  time.Time
}

// ledger is the accounting of one account at this node: a state machine
// without I/O. What is in force never exceeds what the committed row grants
// to this process.
type ledger struct {
	holder string
	cap    Cap

	version table.Version
	row     Row
	held    Holding
	pending *pendingRelease
	// stale is true until the row is read again after a void.
	stale bool
	yield yield

	level   float64 // tokens in the bucket; negative after an underestimate
	filled  time.Time
	running int
	demand  demand
}

// inForce returns the holding that admissions may use.
func (l *ledger) inForce() Holding {
	if l.pending == nil {
		return l.held
	}
	return l.held.minus(l.pending.amount).max(Holding{})
}

func (l *ledger) rate() float64 {
	return float64(l.inForce().Rate) / float64(Whole) * l.cap.TokensPerSecond * roundingMargin
}

func (l *ledger) depth() float64 {
	return float64(l.inForce().Burst) / float64(Whole) * l.cap.BurstTokens * roundingMargin
}

func (l *ledger) slots() int { return slots(l.inForce().InFlight, l.cap.InFlight) }

// refill brings the bucket up to now at the rate in force until now. It is
// called before every change of what is in force.
func (l *ledger) refill(now time.Time) {
	if now.After(l.filled) {
		if !l.filled.IsZero() {
			l.level += l.rate() * now.Sub(l.filled).Seconds()
		}
		l.filled = now
	}
	l.clip()
}

// clip drops tokens beyond the bucket's depth.
func (l *ledger) clip() { l.level = min(l.level, l.depth()) }

// setCap takes a cap from configuration.
func (l *ledger) setCap(c Cap, now time.Time) {
	if c == l.cap {
		return
	}
	l.refill(now)
	l.cap = c
	l.clip()
}

// observe takes a committed row. Older rows than the known one are ignored.
func (l *ledger) observe(version table.Version, row Row, now time.Time) {
	if version < l.version || (version == l.version && !l.stale) {
		return
	}
	l.refill(now)
	l.stale = false
	l.version, l.row, l.held = version, row, row.of(l.holder)
	if l.pending != nil && version > l.pending.expect {
		l.pending = nil
	}
	l.clip()
}

// forget drops what is held until the row is read again. The bucket is
// emptied, since others may have been granted its rate. A release that is not
// settled stays: its transaction may still be applied.
func (l *ledger) forget(now time.Time) {
	l.refill(now)
	l.held = Holding{}
	l.stale = true
	l.level = min(l.level, 0)
}

// verdict is the outcome of one admission.
type verdict struct {
	admitted bool
	// wait estimates when a refused request could be admitted.
	wait time.Duration
	// slot is true where an in-flight slot was missing.
	slot bool
}

// Retry hints of refused admissions.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// admit counts the demand and takes the cost and one slot, or refuses.
func (l *ledger) admit(cost float64, now time.Time) verdict {
	l.demand.ask(cost, now)
	v := l.take(cost, now)
	if v.slot {
		l.demand.slotRefused(now)
	}
	return v
}

// take takes the cost and one slot, or refuses.
func (l *ledger) take(cost float64, now time.Time) verdict {
	l.refill(now)
	if l.running >= l.openSlots(now) {
		return verdict{wait: minRetryAfter, slot: true}
	}
	if l.level < cost {
		return verdict{wait: l.waitFor(cost)}
	}
	l.level -= cost
	l.running++
	l.demand.inFlight(l.running, now)
	return verdict{admitted: true}
}

func (l *ledger) waitFor(cost float64) time.Duration {
	rate := l.rate()
	if rate <= 0 || cost > l.depth() {
		return minRetryAfter
	}
	seconds := min((cost-l.level)/rate, maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// settle returns the slot and corrects the estimate.
func (l *ledger) settle(cost, used float64, now time.Time) {
	l.refill(now)
	l.demand.inFlight(l.running, now)
	l.running--
	l.level += cost - used
	l.clip()
}
