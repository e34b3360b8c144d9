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
	began   time.Time
	until   time.Time
	// leftOut counts the choices that left the host out.
	leftOut int
	// reported is true once TakeEndedWaits has returned the wait.
	reported bool
}

// ObserveWait records that a host takes no requests from this node for a time, at most
// MaxHostWait. Of several times the latest end counts. It returns that end, and whether
// it is new.
func (b *Board) ObserveWait(host *fleet.Host, d time.Duration, now time.Time) (until time.Time, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.waits, func(_ string, w *wait) bool {
		ended := now.Sub(w.until)
		return ended >= waitRampTime && (w.reported || ended >= MaxHostWait)
	})
	until = now.Add(min(d, MaxHostWait))
	former := b.waits[host.ID]
	sameLife := former != nil && former.started.Equal(host.Started)
	if former != nil && (former.started.After(host.Started) || sameLife && !until.After(former.until)) {
		return former.until, false
	}
	if sameLife && !former.reported {
		former.until = until
	} else {
		b.waits[host.ID] = &wait{started: host.Started, began: now, until: until}
		b.impaired[host.ID] = struct{}{}
	}
	return until, true
}

// EndedWait is a time that is over for which a host took no requests from this node.
type EndedWait struct {
	HostID string
	// Started identifies the life of the host.
	Started time.Time
	// Waited is the time from the first refusal to the end.
	Waited time.Duration
	// LeftOut is the number of choices of a host for a request, second attempts included,
	// that left this one out although it could run the request.
	LeftOut int
}

// TakeEndedWaits returns the waits that have ended since the last call.
func (b *Board) TakeEndedWaits(now time.Time) []EndedWait {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ended []EndedWait
	for id, w := range b.waits {
		if !w.reported && !now.Before(w.until) {
			w.reported = true
			ended = append(ended, EndedWait{HostID: id, Started: w.started, Waited: w.until.Sub(w.began), LeftOut: w.leftOut})
		}
	}
	return ended
}

// waitOf returns the current or last wait of a host, or nil. The caller holds mu.
func (b *Board) waitOf(host *fleet.Host) *wait {
	if w := b.waits[host.ID]; w != nil && w.started.Equal(host.Started) {
		return w
	}
	return nil
}

// rampedLimit returns the limit of a host whose wait has ended lately: it grows to the
// given limit within waitRampTime. The caller holds mu.
func (b *Board) rampedLimit(host *fleet.Host, limit int, now time.Time) int {
	w := b.waitOf(host)
	if w == nil {
		return limit
	}
	share := RampShare(w.until, now)
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
