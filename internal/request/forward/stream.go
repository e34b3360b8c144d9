package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

// streamState is the state of one stream.
type streamState struct {
	*requestState
	// current is the attempt whose events the caller gets. others are later attempts, the
	// oldest first, that were begun because those before are silent and that have sent no
	// new event. There are at most maxOtherAttempts.
	current *streamAttempt
	others  []*streamAttempt
	// model is nil for a plain service.
	model *fleet.Model
	// headerSent is true once status line and headers were sent to the caller.
	headerSent bool
	// lastID is the ID of the last event sent to the caller, and events the
	// number of events sent.
	lastID            string
	events            int
	lastEventAt       time.Time
	longestPause      time.Duration
	firstEventLatency time.Duration
	controller        *http.ResponseController
	nextMoveAt        time.Time
	// awaited is set while no attempt runs because no group has room.
	awaited *awaitedRoom
}

// serveStream serves a request that is answered by events.
func (s *requestState) serveStream(ctx context.Context) {
	stream := &streamState{requestState: s, lastID: s.request.ResumeAfter, controller: http.NewResponseController(s.w)}
	if s.service.Engine != nil {
		stream.model = s.service.Engine.Model(s.request.Model)
	}
	first, refused := stream.begin(ctx)
	if refused != nil {
		s.refuse(refused)
		return
	}
	stream.current = first
	defer stream.endAll(place.OutcomeAbandoned)
	ticker := time.NewTicker(StallCheckInterval)
	defer ticker.Stop()
	for {
		done := false
		select {
		case update := <-stream.currentUpdates():
			done = stream.handleUpdate(ctx, stream.current, update)
		case update := <-stream.otherUpdates(0):
			done = stream.handleUpdate(ctx, stream.others[0], update)
		case update := <-stream.otherUpdates(1):
			done = stream.handleUpdate(ctx, stream.others[1], update)
		case <-ticker.C:
			done = stream.checkAttempts(ctx, time.Now())
		case <-ctx.Done():
			stream.handleContextEnd(ctx)
			done = true
		}
		if done {
			return
		}
	}
}

// handleUpdate processes one update of an attempt and reports whether the request is
// finished.
func (s *streamState) handleUpdate(ctx context.Context, attempt *streamAttempt, update attemptUpdate) bool {
	now := time.Now()
	switch {
	case update.event != nil:
		s.mayHaveRun = true
		attempt.recordEvent(now)
		return s.handleEvent(attempt, update.event, now)
	case update.complete:
		return s.handleCompletion(ctx, attempt, update.doubtful, now)
	case update.err == nil:
		s.mayHaveRun = true
		attempt.lastProgress = now
		attempt.header = update.reply.Header
		return false
	}
	s.mayHaveRun = s.mayHaveRun || update.mayHaveRun
	return s.handleFailure(ctx, attempt, update, now)
}

// handleEvent delivers an event, unless it has to wait for a later attempt or the
// caller has it from an earlier attempt. It reports whether the request is finished.
func (s *streamState) handleEvent(attempt *streamAttempt, e *event, now time.Time) bool {
	isNew := e.id == "" || isAfter(s.lastID, e.id)
	if attempt == s.current && len(s.others) > 0 {
		attempt.held = append(attempt.held, e)
		return false
	}
	defer attempt.memory.Shrink(cap(e.raw))
	if !isNew {
		return false
	}
	if attempt != s.current {
		s.moveTo(attempt, now)
	}
	return s.deliverEvent(e, now)
}

// handleCompletion ends the request with the complete stream of an attempt. A doubtful
// one is continued at another host if that is possible. It reports whether the request is
// finished.
func (s *streamState) handleCompletion(ctx context.Context, attempt *streamAttempt, doubtful bool, now time.Time) bool {
	if attempt != s.current {
		s.moveTo(attempt, now)
	} else if len(s.others) > 0 && s.stay("the first attempt is complete", now) {
		return true // the caller left
	}
	s.recordBegan(now)
	if doubtful && s.confirmEnd(ctx, attempt, now) {
		return false
	}
	s.end(attempt, place.OutcomeAnswered)
	s.finishStream(attempt.header)
	return true
}

// confirmEnd continues a stream that may have been cut after its last event, at once or
// as soon as a host has room. It sends the rest, or nothing if the stream was complete. It
// reports whether the request goes on; it does not if no attempt is allowed or no other
// host could serve it.
func (s *streamState) confirmEnd(ctx context.Context, doubted *streamAttempt, now time.Time) bool {
	if !s.route.Resumable || s.lastID == "" || !s.mayRetry(now) {
		return false
	}
	update := attemptUpdate{err: errDoubtfulEnd, mayHaveRun: true}
	next, refused := s.begin(ctx)
	switch {
	case refused == nil:
		s.end(doubted, place.OutcomeAnswered)
		s.logRetried(doubted, next, update)
		s.add(next)
		return true
	case s.awaitRoom(doubted, update, true, now):
		s.end(doubted, place.OutcomeAnswered)
		return true
	default:
		s.retries.Refund(s.service.Name, now)
		return false
	}
}

// sendHeader sends the status line and the headers of an endpoint's answer.
func (s *streamState) sendHeader(answered http.Header) {
	header := s.w.Header()
	for name, values := range answered {
		header[name] = values
	}
	header.Del("Content-Length") // events of several endpoints may follow
	s.w.WriteHeader(http.StatusOK)
	s.headerSent = true
}

// deliverEvent writes one event of the current attempt to the caller. It reports
// whether the request is finished because the caller left.
func (s *streamState) deliverEvent(e *event, now time.Time) bool {
	if !s.headerSent {
		s.sendHeader(s.current.header)
	}
	_, err := s.w.Write(e.raw)
	if err == nil {
		err = s.controller.Flush()
	}
	if err != nil {
		s.Log.LogLimited(eventlog.CallerDisconnected, eventlog.Fields{"request": s.request.ID, "events": s.events, "error": err.Error()})
		return true
	}
	if s.events == 0 {
		s.firstEventLatency = now.Sub(s.request.Received)
		s.observe("forward_first_event_seconds", s.firstEventLatency)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.events++
	s.lastEventAt = now
	if s.isLate() {
		s.recordServed(false)
	}
	if e.id != "" {
		s.lastID = e.id
	}
	return false
}

// isAfter reports whether an event comes after the last one. It is true if either
// ID is not a number.
func isAfter(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	this, errThis := strconv.ParseInt(id, 10, 64)
	return errBefore != nil || errThis != nil || this > before
}

// finishStream ends the answer. An empty stream still gets its status line.
func (s *streamState) finishStream(answered http.Header) {
	if !s.headerSent {
		s.sendHeader(answered)
	}
	s.observe("forward_longest_pause_seconds", s.longestPause)
	s.count("answered", "")
	took := time.Since(s.request.Received)
	s.observe("forward_answer_seconds", took)
	s.Log.LogLimited(eventlog.RequestAnswered, eventlog.Fields{
		"request": s.request.ID, "status": http.StatusOK, "events": s.events, "attempts": len(s.triedHosts),
		"first_ms": s.firstEventLatency.Milliseconds(), "longest_pause_ms": s.longestPause.Milliseconds(), "took_ms": took.Milliseconds(),
		"late": s.isLate(),
	})
	s.recordServed(!s.isLate())
}

// handleFailure handles an attempt that ended early. The other attempts go on if
// there are any. Otherwise it begins another one if that is allowed, or ends the
// request. It reports whether the request is finished.
func (s *streamState) handleFailure(ctx context.Context, failed *streamAttempt, update attemptUpdate, now time.Time) bool {
	wasCurrent := failed == s.current
	s.endFailed(ctx, failed, update)
	if ctx.Err() != nil {
		s.handleContextEnd(ctx)
		return true
	}
	var failure *statusError
	if errors.As(update.err, &failure) && !s.headerSent && failure.answer.status < http.StatusInternalServerError {
		if s.current != nil && s.current.header != nil {
			return s.deliverHeld(now) // the other host has accepted the request
		}
		s.deliver(&failure.answer, nil)
		return true
	}
	if s.current != nil && (wasCurrent || len(s.current.held) > 0 || len(s.others) >= maxOtherAttempts) {
		return s.deliverHeld(now)
	}
	if allowed, charged := s.mayBeginAnother(update, now); allowed {
		next, refused := s.begin(ctx)
		if refused == nil {
			s.logRetried(failed, next, update)
			s.add(next)
			return false
		}
		if s.current == nil && s.awaitRoom(failed, update, charged, now) {
			return false
		}
	}
	if s.current != nil {
		return false
	}
	switch {
	case s.headerSent:
		s.abort("endpoint failed: " + update.err.Error())
	case failure != nil:
		s.deliver(&failure.answer, nil)
	case s.mayHaveRun:
		s.refuse(refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, "the endpoint's answer was lost; the request may have run"))
	default:
		s.refuse(s.notRunRefusal())
	}
	return true
}

// endFailed ends an attempt that failed, and checks whether its host crashed. It blocks
// while the host is checked.
func (s *streamState) endFailed(ctx context.Context, failed *streamAttempt, update attemptUpdate) {
	outcome := place.OutcomeFailed
	if errors.Is(update.err, errNotRun) {
		outcome = place.OutcomeRefused
	}
	if update.mayHaveRun {
		s.logBroken(failed.host, failed.events, update.err)
		if !failed.beganWell && connectionBroke(update.err) && !s.reportIfCrashed(ctx, failed.host) {
			s.giveUp(failed.host, true)
		}
	}
	s.end(failed, outcome)
}

// mayBeginAnother reports whether the request may be sent again after a failed attempt,
// and whether that was charged to the retry budget. An attempt that has sent nothing goes
// to another host whatever the budget allows.
func (s *streamState) mayBeginAnother(failed attemptUpdate, now time.Time) (allowed, charged bool) {
	unsent := !failed.mayHaveRun && !errors.Is(failed.err, errNotRun)
	repeatable := s.route.Repeatable() || !s.mayHaveRun
	switch {
	case !repeatable:
		return false, false
	case unsent && len(s.triedHosts) < maxUnreachedHosts:
		return true, false
	}
	allowed = s.mayRetry(now)
	return allowed, allowed
}

// add adds an attempt that has begun.
func (s *streamState) add(attempt *streamAttempt) {
	if s.current == nil {
		s.current = attempt
		return
	}
	s.others = append(s.others, attempt)
}

func (s *streamState) logRetried(failed, next *streamAttempt, update attemptUpdate) {
	s.Log.Log(eventlog.RequestRetried, eventlog.Fields{
		"request": s.request.ID, "host": failed.host.ID, "error": update.err.Error(), "handed": update.mayHaveRun, "after_event": s.lastID, "to": next.host.ID,
		"faulty_host": faultyHost(update.reply),
	})
}

// faultyHost returns the member because of which a group refused, or "".
func faultyHost(r *Reply) string {
	if r == nil {
		return ""
	}
	return r.FaultyHost
}

// abort ends an answer as incomplete. It panics with http.ErrAbortHandler, which
// closes the caller's connection.
func (s *streamState) abort(reason string) {
	s.count("cut", "")
	s.recordServed(false)
	s.Log.Log(eventlog.StreamIncomplete, eventlog.Fields{
		"request": s.request.ID, "reason": reason, "events": s.events, "attempts": len(s.triedHosts),
		"took_ms": time.Since(s.request.Received).Milliseconds(),
	})
	panic(http.ErrAbortHandler)
}

// handleContextEnd ends a request whose deadline has passed or whose caller left.
func (s *streamState) handleContextEnd(ctx context.Context) {
	for _, attempt := range s.attempts() {
		if attempt.events == 0 {
			s.giveUp(attempt.host, false)
		}
	}
	s.endAll(place.OutcomeAbandoned)
	if s.callerLeft(ctx) {
		return
	}
	if s.headerSent {
		s.abort("request deadline has passed")
		return
	}
	s.refuse(s.deadlineRefusal())
}
