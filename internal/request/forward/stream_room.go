package forward

import (
	"context"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/place"
)

const (
	// defaultSilenceTimeout replaces the silence timeout of a route that has none.
	defaultSilenceTimeout = 2 * time.Second
	// roomWaitMargin is the part of the silence timeout that is left for the first event
	// of the group that a waiting stream goes on at.
	roomWaitMargin = 500 * time.Millisecond
)

// roomWait is the time since its last event for which a stream waits for room at another
// group. Its caller leaves soon after that.
func (s *streamState) roomWait() time.Duration {
	timeout := s.route.SilenceTimeout
	if timeout <= 0 {
		timeout = defaultSilenceTimeout
	}
	return timeout - roomWaitMargin
}

// awaitedRoom is the wait of a stream whose last attempt has failed.
type awaitedRoom struct {
	failed *streamAttempt
	update attemptUpdate
	// charge is true if the next attempt is charged to the retry budget.
	charge bool
	until  time.Time
}

// awaitRoom lets a stream that has begun wait for room, because its caller cannot send
// it again to another node as easily as one that has not. It reports whether the stream
// waits; it does not if no host is left that could go on with it.
func (s *streamState) awaitRoom(failed *streamAttempt, update attemptUpdate, charge bool, now time.Time) bool {
	until := s.lastEventAt.Add(s.roomWait())
	if !s.headerSent || !s.route.Repeatable() || !now.Before(until) || !place.MayServe(s.View.Load(), s.query()) {
		return false
	}
	if charge {
		s.retries.Refund(s.service.Name, now)
	}
	s.awaited = &awaitedRoom{failed: failed, update: update, charge: charge, until: until}
	s.nextMoveAt = now.Add(MoveBackoff)
	s.Log.Log(eventlog.StreamAwaitsRoom, eventlog.Fields{
		"request": s.request.ID, "host": failed.host.ID, "after_event": s.lastID, "wait_ms": until.Sub(now).Milliseconds(), "error": update.err.Error(),
	})
	return true
}

// checkRoom continues the stream at a group that has room by now, or ends it when the
// wait is over. It reports whether the request is finished.
func (s *streamState) checkRoom(ctx context.Context, now time.Time) bool {
	awaited := s.awaited
	if ctx.Err() != nil || now.Before(s.nextMoveAt) {
		return false
	}
	s.nextMoveAt = now.Add(MoveBackoff)
	if !awaited.charge || s.mayRetry(now) {
		next, refused := s.begin(ctx)
		if refused == nil {
			s.awaited = nil
			s.logRetried(awaited.failed, next, awaited.update)
			s.add(next)
			return false
		}
		if awaited.charge {
			s.retries.Refund(s.service.Name, now)
		}
	}
	if now.Before(awaited.until) && place.MayServe(s.View.Load(), s.query()) {
		return false
	}
	s.abort("endpoint failed and no other has room: " + awaited.update.err.Error())
	return true
}
