package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// StallCheckInterval is the interval at which a stream is checked for a stall.
	StallCheckInterval = 25 * time.Millisecond
	// updateBufferSize is the number of events that an attempt may be ahead of
	// the caller. Beyond that, a slow caller slows down the endpoint.
	updateBufferSize = 16
	// MoveBackoff is the minimum time between two tries to move a stream to
	// another group.
	MoveBackoff = 100 * time.Millisecond
)

// errAttemptPanicked reports an attempt whose handling panicked.
var errAttemptPanicked = errors.New("handling of the attempt panicked")

// attemptUpdate is one result of a running attempt: its reply, an event, or its
// end.
type attemptUpdate struct {
	reply *Reply
	event *event
	// complete is true at the clean end of a stream.
	complete bool
	// err is the error that ended the attempt early.
	err error
	// mayHaveRun is set only with err: the endpoint may have run the request.
	mayHaveRun bool
}

// streamAttempt is one attempt of a stream at one host.
type streamAttempt struct {
	host    *fleet.Host
	model   *fleet.Model
	updates chan attemptUpdate
	cancel  context.CancelFunc
	started time.Time
	// lastProgress is when the attempt last delivered something, initially its
	// start.
	lastProgress time.Time
	events       int
	// beganAt is when the first event came. beganWell is true once the host went on
	// working after it.
	beganAt   time.Time
	beganWell bool
}

// streamState is the state of one stream.
type streamState struct {
	*requestState
	current *streamAttempt
	// header is the header of the first endpoint's answer. It is sent with the
	// first event, because a refusal before that must not carry an endpoint's
	// proof.
	header http.Header
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
}

// serveStream serves a request that is answered by events.
func (s *requestState) serveStream(ctx context.Context) {
	stream := &streamState{requestState: s, lastID: s.request.ResumeAfter, controller: http.NewResponseController(s.w)}
	if refused := stream.start(ctx); refused != nil {
		s.refuse(refused)
		return
	}
	defer func() { stream.endAttempt(place.OutcomeAbandoned) }()
	ticker := time.NewTicker(StallCheckInterval)
	defer ticker.Stop()
	for {
		done := false
		select {
		case update := <-stream.current.updates:
			done = stream.handleUpdate(ctx, update)
		case <-ticker.C:
			if done = stream.checkAttempt(time.Now()); !done {
				stream.checkStall(ctx, time.Now())
			}
		case <-ctx.Done():
			stream.handleContextEnd(ctx)
			done = true
		}
		if done {
			return
		}
	}
}

// start chooses an endpoint and begins an attempt there.
func (s *streamState) start(ctx context.Context) *refusal.Error {
	choice, refused := s.chooseEndpoint()
	if refused != nil {
		return refused
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	now := time.Now()
	s.current = &streamAttempt{
		host: choice.Host, updates: make(chan attemptUpdate, updateBufferSize), cancel: cancel, started: now, lastProgress: now,
	}
	if s.service.Engine != nil {
		s.current.model = s.service.Engine.Model(s.request.Model)
	}
	go s.runAttempt(attemptCtx, s.current, s.newAttempt(choice.Host, s.lastID))
	return nil
}

// runAttempt runs one attempt and sends its updates until the attempt or ctx ends.
func (s *streamState) runAttempt(ctx context.Context, attempt *streamAttempt, toSend Attempt) {
	report := func(update attemptUpdate) bool {
		select {
		case attempt.updates <- update:
			return true
		case <-ctx.Done():
			return false
		}
	}
	defer func() {
		// A panic in this goroutine would end the whole process.
		if cause := recover(); cause != nil {
			s.logPanic(cause)
			report(attemptUpdate{err: errAttemptPanicked, mayHaveRun: true})
		}
	}()
	reply, err := s.Endpoint.Send(ctx, s.request, toSend)
	if err != nil {
		report(attemptUpdate{err: err, mayHaveRun: endpoint.MayHaveBeenSent(err)})
		return
	}
	defer reply.Body.Close()
	s.observeRateLimit(attempt.host, reply)
	if reply.NotRun && !reply.WrongRequest {
		report(attemptUpdate{reply: reply, err: errNotRun})
		return
	}
	if !reply.Verified {
		report(attemptUpdate{reply: reply, err: errUnverifiedAnswer, mayHaveRun: true})
		return
	}
	if !report(attemptUpdate{reply: reply}) {
		return
	}
	if reply.Status != http.StatusOK {
		content, err := readWholeBody(reply.Body)
		if err == nil {
			err = &statusError{answer{reply.Status, reply.Header, content}}
		}
		report(attemptUpdate{err: err, mayHaveRun: true})
		return
	}
	events := newEventReader(reply.Body)
	for received := 0; ; received++ {
		e, err := events.next()
		if errors.Is(err, io.EOF) && reply.EndsWithConnection && (received == 0 || s.crashed(ctx, attempt.host)) {
			err = errCutAnswer
		}
		if errors.Is(err, io.EOF) {
			report(attemptUpdate{complete: true})
			return
		}
		if err != nil {
			report(attemptUpdate{err: err, mayHaveRun: true})
			return
		}
		s.Board.Progressed(attempt.host.ID, time.Now())
		if !report(attemptUpdate{event: &e}) {
			return
		}
	}
}

// statusError is a complete answer with a status other than 200 to a stream
// request.
type statusError struct{ answer answer }

// Error implements error.
func (e *statusError) Error() string {
	return "endpoint answered with status " + strconv.Itoa(e.answer.status)
}

// handleUpdate processes one update of the current attempt and reports whether
// the request is finished.
func (s *streamState) handleUpdate(ctx context.Context, update attemptUpdate) bool {
	now := time.Now()
	switch {
	case update.event != nil:
		s.mayHaveRun = true
		return s.deliverEvent(update.event, now)
	case update.complete:
		s.recordBegan(now)
		s.endAttempt(place.OutcomeAnswered)
		s.finishStream()
		return true
	case update.err == nil:
		s.current.lastProgress = now
		s.mayHaveRun = true
		if !s.headerSent && update.reply.Status == http.StatusOK {
			s.header = update.reply.Header
		}
		return false
	}
	s.mayHaveRun = s.mayHaveRun || update.mayHaveRun
	return s.handleFailure(ctx, update, now)
}

// sendHeader sends the status line and the headers of the first endpoint's answer.
func (s *streamState) sendHeader() {
	header := s.w.Header()
	for name, values := range s.header {
		header[name] = values
	}
	header.Del("Content-Length") // events of several endpoints may follow
	s.w.WriteHeader(http.StatusOK)
	s.headerSent = true
}

// deliverEvent writes one event to the caller. It reports whether the request is
// finished because the caller left.
func (s *streamState) deliverEvent(e *event, now time.Time) bool {
	s.current.lastProgress = now
	s.current.events++
	if s.current.events == 1 {
		s.current.beganAt = now
	}
	if e.id != "" && !isAfter(s.lastID, e.id) {
		return false // the caller received it from the previous endpoint
	}
	if !s.headerSent {
		s.sendHeader()
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
func (s *streamState) finishStream() {
	if !s.headerSent {
		s.sendHeader()
	}
	s.observe("forward_longest_pause_seconds", s.longestPause)
	s.count("answered", "")
	took := time.Since(s.request.Received)
	s.observe("forward_answer_seconds", took)
	s.Log.LogLimited(eventlog.RequestAnswered, eventlog.Fields{
		"request": s.request.ID, "status": http.StatusOK, "events": s.events, "attempts": len(s.triedHosts),
		"first_ms": s.firstEventLatency.Milliseconds(), "longest_pause_ms": s.longestPause.Milliseconds(), "took_ms": took.Milliseconds(),
		"late": s.route.LatencyTarget > 0 && s.firstEventLatency > s.route.LatencyTarget || s.route.PauseTarget > 0 && s.longestPause > s.route.PauseTarget,
	})
}

// handleFailure handles an attempt that ended early. It starts another attempt if
// that is allowed and otherwise ends the request; it reports whether the request
// is finished.
func (s *streamState) handleFailure(ctx context.Context, update attemptUpdate, now time.Time) bool {
	outcome := place.OutcomeFailed
	if errors.Is(update.err, errNotRun) {
		outcome = place.OutcomeRefused
	}
	failed := s.current.host
	if update.mayHaveRun {
		s.logBroken(failed, s.current.events, update.err)
		if !s.current.beganWell && connectionBroke(update.err) && !s.reportIfCrashed(ctx, failed) {
			s.giveUp(failed, true)
		}
	}
	s.endAttempt(outcome)
	if ctx.Err() != nil {
		s.handleContextEnd(ctx)
		return true
	}
	var failure *statusError
	if errors.As(update.err, &failure) && !s.headerSent && failure.answer.status < http.StatusInternalServerError {
		s.deliver(&failure.answer)
		return true
	}
	unsent := !update.mayHaveRun && !errors.Is(update.err, errNotRun)
	repeatable := s.route.Repeatable() || !s.mayHaveRun
	if repeatable && (unsent && len(s.triedHosts) < maxUnreachedHosts || s.mayRetry(now)) {
		if refused := s.start(ctx); refused == nil {
			s.Log.Log(eventlog.RequestRetried, eventlog.Fields{
				"request": s.request.ID, "host": failed.ID, "error": update.err.Error(), "handed": update.mayHaveRun, "after_event": s.lastID, "to": s.current.host.ID,
				"faulty_host": faultyHost(update.reply),
			})
			return false
		}
	}
	switch {
	case s.headerSent:
		s.abort("endpoint failed: " + update.err.Error())
	case failure != nil:
		s.deliver(&failure.answer)
	case s.mayHaveRun:
		s.refuse(refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, "the endpoint's answer was lost; the request may have run"))
	default:
		s.refuse(refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "the endpoint refused the request; send it again").WithRetryAfter(NoEndpointRetryAfter))
	}
	return true
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
	s.Log.Log(eventlog.StreamIncomplete, eventlog.Fields{
		"request": s.request.ID, "reason": reason, "events": s.events, "attempts": len(s.triedHosts),
		"took_ms": time.Since(s.request.Received).Milliseconds(),
	})
	panic(http.ErrAbortHandler)
}

// handleContextEnd ends a request whose deadline has passed or whose caller left.
func (s *streamState) handleContextEnd(ctx context.Context) {
	if s.current != nil && s.current.events == 0 {
		s.giveUp(s.current.host, false)
	}
	s.endAttempt(place.OutcomeAbandoned)
	if s.callerLeft(ctx) {
		return
	}
	if s.headerSent {
		s.abort("request deadline has passed")
		return
	}
	s.refuse(s.deadlineRefusal())
}

// endAttempt ends the current attempt if there is one.
func (s *streamState) endAttempt(outcome place.Outcome) {
	if s.current == nil {
		return
	}
	s.current.cancel()
	now := time.Now()
	s.Board.Ended(s.current.host.ID, outcome, now.Sub(s.current.started), now)
	s.current = nil
}

// stallThresholds returns the stall thresholds of the current attempt.
func (s *streamState) stallThresholds() place.StallThresholds {
	if s.service.Engine == nil || s.current.model == nil {
		return place.PlainStallThresholds(s.route.LatencyTarget, s.route.PauseTarget)
	}
	return place.EngineStallThresholds(s.service.Engine, s.current.model, s.request.PromptTokens)
}

// checkStall marks a silent group as suspected, and moves the stream to another
// group if its group or the stream itself is stalled.
func (s *streamState) checkStall(ctx context.Context, now time.Time) {
	streamSilence := now.Sub(s.current.lastProgress)
	groupSilence := streamSilence
	if at := s.Board.Progress(s.current.host.ID); !at.IsZero() {
		groupSilence = min(streamSilence, now.Sub(at))
	}
	thresholds := s.stallThresholds()
	suspect, move := thresholds.Evaluate(place.SilentFor{Own: streamSilence, Group: groupSilence, Began: s.current.events > 0, Suspected: s.Board.Suspected(s.current.host.ID, now)})
	if suspect {
		s.suspectGroup(now, groupSilence, thresholds)
	}
	if move {
		s.moveStream(ctx, now, streamSilence)
	}
}

// suspectGroup marks the group of the current attempt as suspected, and logs it
// if the suspicion is new.
func (s *streamState) suspectGroup(now time.Time, silent time.Duration, thresholds place.StallThresholds) {
	if !s.Board.Suspect(s.current.host.ID, now) {
		return
	}
	s.Log.Log(eventlog.GroupSuspected, eventlog.Fields{
		"request": s.request.ID, "host": s.current.host.ID, "group": s.current.host.Group.Name, "epoch": s.current.host.Group.Epoch,
		"silent_ms": silent.Milliseconds(), "suspect_ms": thresholds.Suspect.Milliseconds(), "stalled_ms": thresholds.Stalled.Milliseconds(),
		"events": s.current.events,
	})
}

// moveStream continues the stream at another group after the last event that the
// caller has. The current attempt goes on if no other group has room or no retry
// is allowed.
func (s *streamState) moveStream(ctx context.Context, now time.Time, silent time.Duration) {
	if now.Before(s.nextMoveAt) || !s.route.Repeatable() || len(s.triedHosts) >= s.route.MaxAttempts {
		return
	}
	s.nextMoveAt = now.Add(MoveBackoff)
	old := s.current
	if !s.mayRetry(now) {
		return
	}
	if refused := s.start(ctx); refused != nil {
		s.retries.Refund(s.service.Name, now)
		return
	}
	old.cancel()
	if old.events == 0 {
		s.giveUp(old.host, true)
	}
	s.Board.Ended(old.host.ID, place.OutcomeAbandoned, now.Sub(old.started), now)
	s.Log.Log(eventlog.StreamMoved, eventlog.Fields{
		"request": s.request.ID, "from": old.host.ID, "to": s.current.host.ID, "silent_ms": silent.Milliseconds(),
		"after_event": s.lastID, "attempt": len(s.triedHosts),
	})
}
