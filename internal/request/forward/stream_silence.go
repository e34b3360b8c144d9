package forward

import (
	"context"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/place"
)

const (
	// StallCheckInterval is the interval at which a stream is checked for a stall.
	StallCheckInterval = 25 * time.Millisecond
	// MoveBackoff is the minimum time between two tries to move a stream to
	// another group.
	MoveBackoff = 100 * time.Millisecond
	// maxOtherAttempts limits the attempts of a stream beside the first one.
	maxOtherAttempts = 2
)

// currentUpdates returns the updates of the current attempt, or nil if there is none or
// while its held events fill the buffer.
func (s *streamState) currentUpdates() <-chan attemptUpdate {
	if s.current == nil || len(s.current.held) >= updateBufferSize {
		return nil
	}
	return s.current.updates
}

// otherUpdates returns the updates of a later attempt, or nil if there is none.
func (s *streamState) otherUpdates(i int) <-chan attemptUpdate {
	if i >= len(s.others) {
		return nil
	}
	return s.others[i].updates
}

// checkAttempts records an attempt that goes on well, ends a request that is now known
// to crash hosts, and looks for silent attempts. It reports whether the request is
// finished.
func (s *streamState) checkAttempts(ctx context.Context, now time.Time) bool {
	if s.checkPoisoned(now) {
		return true
	}
	if s.awaited != nil {
		return s.checkRoom(ctx, now)
	}
	thresholds := s.stallThresholds()
	newest, newestStalled := s.current, false
	for _, attempt := range s.attempts() {
		newest, newestStalled = attempt, s.checkStall(attempt, thresholds, now)
	}
	if len(s.current.held) > 0 {
		if now.Sub(newest.started) >= thresholds.Stalled {
			return s.stay("no later attempt has begun", now)
		}
		return false
	}
	if newestStalled && len(s.others) < maxOtherAttempts {
		s.beginAnother(ctx, newest, now)
	}
	return false
}

// stallThresholds returns the stall thresholds of the stream.
func (s *streamState) stallThresholds() place.StallThresholds {
	if s.service.Engine == nil || s.model == nil {
		return place.PlainStallThresholds(s.route.LatencyTarget, s.route.PauseTarget)
	}
	return place.EngineStallThresholds(s.service.Engine, s.model, s.request.PromptTokens)
}

// checkStall marks the group of a silent attempt as suspected, and reports whether the
// group or the attempt is stalled.
func (s *streamState) checkStall(attempt *streamAttempt, thresholds place.StallThresholds, now time.Time) bool {
	streamSilence := now.Sub(attempt.lastProgress)
	groupSilence := streamSilence
	if at := s.Board.Progress(attempt.host.ID); !at.IsZero() {
		groupSilence = min(streamSilence, now.Sub(at))
	}
	suspect, stalled := thresholds.Evaluate(place.SilentFor{Own: streamSilence, Group: groupSilence, Began: attempt.events > 0, Suspected: s.Board.Suspected(attempt.host.ID, now)})
	if suspect {
		s.suspectGroup(attempt, now, groupSilence, thresholds)
	}
	return stalled
}

// suspectGroup marks the group of an attempt as suspected, and logs it if the suspicion
// is new.
func (s *streamState) suspectGroup(attempt *streamAttempt, now time.Time, silent time.Duration, thresholds place.StallThresholds) {
	if !s.Board.Suspect(attempt.host.ID, now) {
		return
	}
	s.Log.Log(eventlog.GroupSuspected, eventlog.Fields{
		"request": s.request.ID, "host": attempt.host.ID, "group": attempt.host.Group.Name, "epoch": attempt.host.Group.Epoch,
		"silent_ms": silent.Milliseconds(), "suspect_ms": thresholds.Suspect.Milliseconds(), "stalled_ms": thresholds.Stalled.Milliseconds(),
		"events": attempt.events,
	})
}

// beginAnother sends a stream whose newest attempt is silent to another group as well,
// after the last event that the caller has, if a group has room and a retry is allowed.
// The silent attempts go on until another one has sent an event, because their hosts may
// be sound.
func (s *streamState) beginAnother(ctx context.Context, silent *streamAttempt, now time.Time) {
	if now.Before(s.nextMoveAt) || !s.route.Repeatable() || len(s.triedHosts) >= s.route.MaxAttempts {
		return
	}
	s.nextMoveAt = now.Add(MoveBackoff)
	if !s.mayRetry(now) {
		return
	}
	next, refused := s.begin(ctx)
	if refused != nil {
		s.retries.Refund(s.service.Name, now)
		return
	}
	s.add(next)
	if silent.events == 0 {
		s.giveUp(silent.host, true) // a crash may leave the connection silent
	}
	s.Log.Log(eventlog.RequestHedged, eventlog.Fields{
		"request": s.request.ID, "host": silent.host.ID, "to": next.host.ID, "silent_ms": now.Sub(silent.lastProgress).Milliseconds(),
		"after_event": s.lastID, "attempt": len(s.triedHosts),
	})
}

// moveTo ends the other attempts because the given later one goes on. Events held for the
// current attempt are dropped: the later run has them.
func (s *streamState) moveTo(next *streamAttempt, now time.Time) {
	silent := s.current
	s.Log.Log(eventlog.StreamMoved, eventlog.Fields{
		"request": s.request.ID, "from": silent.host.ID, "to": next.host.ID, "silent_ms": now.Sub(silent.lastProgress).Milliseconds(),
		"after_event": s.lastID, "attempt": len(s.triedHosts), "held": len(silent.held),
	})
	for _, attempt := range s.attempts() {
		if attempt != next {
			s.abandon(attempt)
		}
	}
}

// abandon ends an attempt because another one goes on.
func (s *streamState) abandon(attempt *streamAttempt) {
	if attempt.events == 0 {
		s.giveUp(attempt.host, true)
	}
	s.end(attempt, place.OutcomeAbandoned)
}

// stay ends the later attempts because the current one goes on, and delivers the events
// held so far. It reports whether the request is finished because the caller left.
func (s *streamState) stay(reason string, now time.Time) bool {
	for _, attempt := range s.attempts()[1:] {
		s.Log.Log(eventlog.StreamStayed, eventlog.Fields{
			"request": s.request.ID, "host": s.current.host.ID, "second": attempt.host.ID, "reason": reason,
			"after_event": s.lastID, "held": len(s.current.held),
		})
		s.abandon(attempt)
	}
	return s.deliverHeld(now)
}

// deliverHeld delivers the events of the current attempt that were held for a later one
// that has ended. It reports whether the request is finished because the caller left.
func (s *streamState) deliverHeld(now time.Time) bool {
	held := s.current.held
	s.current.held = nil
	for _, e := range held {
		if s.handleEvent(s.current, e, now) {
			return true
		}
	}
	return false
}
