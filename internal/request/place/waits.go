package place

import (
	"maps"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// MaxHostWait limits the time for which a host may ask for no requests.
	MaxHostWait = endpoint.MaxWait
	// waitRampTime is the time after the end of a wait in which a host is filled up to
	// its limit again, and waitRampStart the share of the limit at its beginning.
	waitRampTime  = 2 * time.Second
	waitRampStart = 0.2
	// waitReturnSpread is the time over which callers return that were refused because
	// all hosts ask for no requests.
	waitReturnSpread = 500 * time.Millisecond
)

// wait is the time for which one life of a host takes no requests from this node.
type wait struct {
	started time.Time
	until   time.Time
}

// ObserveWait records that a host takes no requests from this node for a time, at most
// MaxHostWait. Of several times the latest end counts. It returns that end, and whether
// it is new.
func (b *Board) ObserveWait(host *fleet.Host, d time.Duration, now time.Time) (until time.Time, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.waits, func(_ string, w wait) bool { return now.Sub(w.until) >= waitRampTime })
	until = now.Add(min(d, MaxHostWait))
	former, known := b.waits[host.ID]
	if known && (former.started.After(host.Started) || former.started.Equal(host.Started) && !until.After(former.until)) {
		return former.until, false
	}
	b.waits[host.ID] = wait{host.Started, until}
	return until, true
}

// waitUntil returns the end of a host's wait, or the zero time. The caller holds mu.
func (b *Board) waitUntil(host *fleet.Host) time.Time {
	if w, known := b.waits[host.ID]; known && w.started.Equal(host.Started) {
		return w.until
	}
	return time.Time{}
}

// rampedLimit returns the limit of a host whose wait has ended lately: it grows to the
// given limit within waitRampTime. The caller holds mu.
func (b *Board) rampedLimit(host *fleet.Host, limit int, now time.Time) int {
	share := RampShare(b.waitUntil(host), now)
	if share == 1 {
		return limit
	}
	return max(int(share*float64(limit)), 1)
}

// RampShare returns the share of its requests, up to 1, that a host gets at now if its
// wait ended at until, which is not later; the zero time means that it had none.
func RampShare(until, now time.Time) float64 {
	if until.IsZero() || now.Sub(until) >= waitRampTime {
		return 1
	}
	return waitRampStart + (1-waitRampStart)*float64(now.Sub(until))/float64(waitRampTime)
}

// waitRetryAfter returns the delay after which a caller should return that was refused
// because all hosts ask for no requests, the first of them until the given time. The
// caller holds mu.
func (b *Board) waitRetryAfter(firstEnd, now time.Time) time.Duration {
	return max(firstEnd.Sub(now), 0) + time.Duration(b.random()*float64(waitReturnSpread))
}
