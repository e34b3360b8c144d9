package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// period is the time in which admission opens and closes once. It is shorter than a
	// request lasts, so that the load of groups hardly follows it.
	period = 300 * time.Millisecond
	// returnSlot is the beginning of a period, in which refused callers return.
	// returnMargin at either end covers clocks that differ and late callers.
	returnSlot   = 90 * time.Millisecond
	returnMargin = 25 * time.Millisecond
	// openShare is the admitted share from which admission is open in the whole return
	// slot. Promises are made from promisingShare on, which leaves time until the share
	// falls below openShare.
	openShare      = float64(returnSlot) / float64(period)
	promisingShare = 2.5 * openShare
	// returnShare is the share of the admitted requests that may be those of returning
	// callers. Their first event is later by the time that they waited.
	returnShare = 0.2
	// maxWaitShare is the share of the time that is left which callers wait at most.
	maxWaitShare = 1.0 / 3
)

// phase returns the position in the period, 0 to 1, for an account and failure domain.
func phase(r Request, now time.Time) float64 {
	key := xxhash.Sum64String(r.Service + "\x00" + r.Name + "\x00" + r.Account + "\x00" + r.FailureDomain)
	return float64((uint64(now.UnixNano())+key%uint64(period))%uint64(period)) / float64(period)
}

// isOpen reports whether requests are admitted at a phase, when the given share is. The
// return slot is open until the last caller has returned that may have been told to.
func isOpen(share, phase float64, sincePromising time.Duration) bool {
	return phase < share || phase < openShare && sincePromising <= period+returnSlot
}

// retryAfter returns when a caller that was refused at a phase should return, or 0 if it
// cannot be served while the load lasts or has no time to wait. The random numbers are in
// [0, 1).
func retryAfter(share, phase float64, timeLeft time.Duration, chance, spread float64) time.Duration {
	start := time.Duration((1 - phase) * float64(period))
	after := start + returnMargin + time.Duration(spread*float64(returnSlot-2*returnMargin))
	inTime := timeLeft <= 0 || after <= time.Duration(maxWaitShare*float64(timeLeft))
	if share < promisingShare || !inTime || chance*(1-share) >= returnShare*share {
		return 0
	}
	return after
}
