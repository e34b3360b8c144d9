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

// Times of streams.
const (
	// CheckPeriod is how often a stream looks for silence.
	CheckPeriod = 25 * time.Millisecond
	// pumpCapacity is the number of events that one attempt may be ahead of
	// the caller; a slow caller then slows the endpoint down.
	pumpCapacity = 16
	// MoveRetryPause separates two searches for another group.
	MoveRetryPause = 100 * time.Millisecond
)

// pumped is one step of an attempt: its reply, an event, or its end.
type pumped struct {
	reply *Reply
	event *event
	// ended is true at the clean end of a stream.
	ended bool
	// err ends the attempt early.
	err error
	// handed says, with err, whether the endpoint may have run the request.
	handed bool
}

// leg is one attempt of a stream at one host.
type leg struct {
	host    *fleet.Host
	model   *fleet.Model
	out     chan pumped
	cancel  context.CancelFunc
	started time.Time
	// progress is when the leg last gave something, its start at first.
	progress time.Time
	events   int
}

// streamCall is the state of one stream.
type streamCall struct {
	*call
	leg *leg
	// header is that of the first endpoint's answer. It goes out with the first
	// event: a failure before that must not carry an endpoint's proof.
	header http.Header
	// began is true once the caller has the status line.
	began bool
	// lastID is the ID of the last event that the caller has, and events
	// their number.
	lastID    string
	events    int
	lastEvent time.Time
	maxPause  time.Duration
	firstTook time.Duration
	flush     *http.ResponseController
	nextMove  time.Time
}

// stream serves a request that is answered by events.
func (s *call) stream(ctx context.Context) {
	c := &streamCall{call: s, lastID: s.request.ResumeAfter, flush: http.NewResponseController(s.w)}
	if refused := c.start(ctx); refused != nil {
		s.refuse(refused)
		return
	}
	defer func() { c.endLeg(place.OutcomeAbandoned) }()
	ticker := time.NewTicker(CheckPeriod)
	defer ticker.Stop()
	for {
		done := false
		select {
		case p := <-c.leg.out:
			done = c.take(ctx, p)
		case <-ticker.C:
			c.checkSilence(ctx, time.Now())
		case <-ctx.Done():
			c.ended(ctx)
			done = true
		}
		if done {
			return
		}
	}
}

// start places the request and begins a leg.
func (c *streamCall) start(ctx context.Context) *refusal.Error {
	choice, refused := c.place()
	if refused != nil {
		return refused
	}
	legCtx, cancel := context.WithCancel(ctx)
	now := time.Now()
	c.leg = &leg{
		host: choice.Host, out: make(chan pumped, pumpCapacity), cancel: cancel, started: now, progress: now,
	}
	if c.service.Engine != nil {
		c.leg.model = c.service.Engine.Model(c.request.Model)
	}
	go c.pump(legCtx, c.leg, c.attempt(choice.Host, c.lastID))
	return nil
}

// pump runs one attempt and passes on what it gives until the attempt ends or
// ctx does.
func (c *streamCall) pump(ctx context.Context, l *leg, a Attempt) {
	send := func(p pumped) bool {
		select {
		case l.out <- p:
			return true
		case <-ctx.Done():
			return false
		}
	}
	reply, err := c.Endpoint.Send(ctx, c.request, a)
	if err != nil {
		send(pumped{err: err, handed: endpoint.WasHanded(err)})
		return
	}
	defer reply.Body.Close()
	if reply.NotRun && !reply.Other {
		send(pumped{reply: reply, err: errNotRun})
		return
	}
	if !reply.Genuine {
		send(pumped{reply: reply, err: errProofMissing, handed: true})
		return
	}
	if !send(pumped{reply: reply}) {
		return
	}
	if reply.Status != http.StatusOK {
		content, err := io.ReadAll(io.LimitReader(reply.Body, endpoint.MaxAnswerBytes))
		if err == nil {
			err = &wholeFailure{answer{reply.Status, reply.Header, content}}
		}
		send(pumped{err: err, handed: true})
		return
	}
	events := newEventReader(reply.Body)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			send(pumped{ended: true})
			return
		}
		if err != nil {
			send(pumped{err: err, handed: true})
			return
		}
		c.Board.Progressed(l.host.ID, time.Now())
		if !send(pumped{event: &e}) {
			return
		}
	}
}

// wholeFailure is a whole answer of an endpoint that is not a stream.
type wholeFailure struct{ answer answer }

// Error implements error.
func (f *wholeFailure) Error() string {
	return "the endpoint answered " + strconv.Itoa(f.answer.status)
}

// take handles one step of the leg and reports whether the request is over.
func (c *streamCall) take(ctx context.Context, p pumped) bool {
	now := time.Now()
	switch {
	case p.event != nil:
		c.handed = true
		return c.passOn(p.event, now)
	case p.ended:
		c.endLeg(place.OutcomeAnswered)
		c.complete()
		return true
	case p.err == nil:
		c.leg.progress = now
		c.handed = true
		if !c.began && p.reply.Status == http.StatusOK {
			c.header = p.reply.Header
		}
		return false
	}
	c.handed = c.handed || p.handed
	return c.recoverLeg(ctx, p, now)
}

// begin sends the status line and the headers of the first endpoint's answer.
func (c *streamCall) begin() {
	header := c.w.Header()
	for name, values := range c.header {
		header[name] = values
	}
	header.Del("Content-Length") // events of several endpoints may follow
	c.w.WriteHeader(http.StatusOK)
	c.began = true
}

// passOn delivers one event.
func (c *streamCall) passOn(e *event, now time.Time) bool {
	c.leg.progress = now
	c.leg.events++
	if e.id != "" && !follows(c.lastID, e.id) {
		return false // the caller has it from the former endpoint
	}
	if !c.began {
		c.begin()
	}
	_, err := c.w.Write(e.raw)
	if err == nil {
		err = c.flush.Flush()
	}
	if err != nil {
		c.Log.Ordinary(eventlog.CallerLeft, eventlog.Fields{"request": c.request.ID, "events": c.events, "error": err.Error()})
		return true
	}
	if c.events == 0 {
		c.firstTook = now.Sub(c.request.Received)
		c.observe("forward_first_event_seconds", c.firstTook)
	} else {
		c.maxPause = max(c.maxPause, now.Sub(c.lastEvent))
	}
	c.events++
	c.lastEvent = now
	if e.id != "" {
		c.lastID = e.id
	}
	return false
}

// follows reports whether an event comes after the last one; IDs that are not
// numbers are taken as they come.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	this, errThis := strconv.ParseInt(id, 10, 64)
	return errBefore != nil || errThis != nil || this > before
}

// complete ends the answer. An empty stream still has its status line.
func (c *streamCall) complete() {
	if !c.began {
		c.begin()
	}
	c.observe("forward_longest_pause_seconds", c.maxPause)
	c.count("answered", "")
	took := time.Since(c.request.Received)
	c.observe("forward_answer_seconds", took)
	c.Log.Ordinary(eventlog.RequestAnswered, eventlog.Fields{
		"request": c.request.ID, "status": http.StatusOK, "events": c.events, "attempts": len(c.tried),
		"first_ms": c.firstTook.Milliseconds(), "longest_pause_ms": c.maxPause.Milliseconds(), "took_ms": took.Milliseconds(),
		"late": c.route.Target > 0 && c.firstTook > c.route.Target || c.route.PauseTarget > 0 && c.maxPause > c.route.PauseTarget,
	})
}

// recoverLeg decides what follows a leg that ended early.
func (c *streamCall) recoverLeg(ctx context.Context, p pumped, now time.Time) bool {
	outcome := place.OutcomeFailed
	if errors.Is(p.err, errNotRun) {
		outcome = place.OutcomeRefused
	}
	failed := c.leg.host
	c.endLeg(outcome)
	if ctx.Err() != nil {
		c.ended(ctx)
		return true
	}
	var failure *wholeFailure
	if errors.As(p.err, &failure) && !c.began && failure.answer.status < http.StatusInternalServerError {
		c.deliver(&failure.answer)
		return true
	}
	unsent := !p.handed && !errors.Is(p.err, errNotRun)
	repeatable := c.route.Repeatable() || !c.handed
	if repeatable && (unsent && len(c.tried) < maxUnreached || c.mayRetry(now)) {
		if refused := c.start(ctx); refused == nil {
			c.Log.Log(eventlog.RequestRetried, eventlog.Fields{
				"request": c.request.ID, "host": failed.ID, "error": p.err.Error(), "handed": p.handed, "after_event": c.lastID, "to": c.leg.host.ID,
				"faulty_host": faultyHost(p.reply),
			})
			return false
		}
	}
	switch {
	case c.began:
		c.cut("endpoint failed: " + p.err.Error())
	case failure != nil:
		c.deliver(&failure.answer)
	case c.handed:
		c.refuse(refusal.Unknown(refusal.KindIncomplete, http.StatusBadGateway, "the endpoint's answer was lost; the request may have run"))
	default:
		c.refuse(refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "the endpoint refused the request; send it again").After(NoEndpointReturn))
	}
	return true
}

// faultyHost is the member because of which a group refused, or "".
func faultyHost(r *Reply) string {
	if r == nil {
		return ""
	}
	return r.FaultyHost
}

// cut ends an answer as incomplete.
func (c *streamCall) cut(reason string) {
	c.count("cut", "")
	c.Log.Log(eventlog.StreamCut, eventlog.Fields{
		"request": c.request.ID, "reason": reason, "events": c.events, "attempts": len(c.tried),
		"took_ms": time.Since(c.request.Received).Milliseconds(),
	})
	panic(http.ErrAbortHandler)
}

// ended handles the end of the request's time, or of its caller.
func (c *streamCall) ended(ctx context.Context) {
	c.endLeg(place.OutcomeAbandoned)
	if c.callerLeft(ctx) {
		return
	}
	if c.began {
		c.cut("the time of the request is over")
		return
	}
	c.refuse(c.expired())
}

// endLeg ends the present leg, once.
func (c *streamCall) endLeg(outcome place.Outcome) {
	if c.leg == nil {
		return
	}
	c.leg.cancel()
	now := time.Now()
	c.Board.Ended(c.leg.host.ID, outcome, now.Sub(c.leg.started), now)
	c.leg = nil
}

func (c *streamCall) silence() place.Silence {
	if c.service.Engine == nil || c.leg.model == nil {
		return place.PlainSilence(c.route.Target, c.route.PauseTarget)
	}
	return place.EngineSilence(c.service.Engine, c.leg.model, c.request.PromptTokens)
}

// checkSilence suspects a group that gives nothing, and moves the stream where
// the group stands still.
func (c *streamCall) checkSilence(ctx context.Context, now time.Time) {
	own := now.Sub(c.leg.progress)
	group := own
	if at := c.Board.Progress(c.leg.host.ID); !at.IsZero() {
		group = min(own, now.Sub(at))
	}
	limits := c.silence()
	suspect, move := limits.Judge(place.Silent{Own: own, Group: group, Began: c.leg.events > 0, Suspected: c.Board.Suspected(c.leg.host.ID, now)})
	if suspect {
		c.suspect(now, group, limits)
	}
	if move {
		c.move(ctx, now, own)
	}
}

func (c *streamCall) suspect(now time.Time, silent time.Duration, limits place.Silence) {
	if !c.Board.Suspect(c.leg.host.ID, now) {
		return
	}
	c.Log.Log(eventlog.GroupSuspected, eventlog.Fields{
		"request": c.request.ID, "host": c.leg.host.ID, "group": c.leg.host.Group.Name, "epoch": c.leg.host.Group.Epoch,
		"silent_ms": silent.Milliseconds(), "suspect_ms": limits.Suspect.Milliseconds(), "stalled_ms": limits.Stalled.Milliseconds(),
		"events": c.leg.events,
	})
}

// move goes on at another group from the last event that the caller has. The
// present leg stays where there is no room elsewhere or no retry left.
func (c *streamCall) move(ctx context.Context, now time.Time, silent time.Duration) {
	if now.Before(c.nextMove) || !c.route.Repeatable() || len(c.tried) >= c.route.MaxAttempts {
		return
	}
	c.nextMove = now.Add(MoveRetryPause)
	old := c.leg
	if !c.mayRetry(now) {
		return
	}
	if refused := c.start(ctx); refused != nil {
		c.retries.Refund(c.service.Name, now)
		return
	}
	old.cancel()
	c.Board.Ended(old.host.ID, place.OutcomeAbandoned, now.Sub(old.started), now)
	c.Log.Log(eventlog.StreamMoved, eventlog.Fields{
		"request": c.request.ID, "from": old.host.ID, "to": c.leg.host.ID, "silent_ms": silent.Milliseconds(),
		"after_event": c.lastID, "attempt": len(c.tried),
	})
}
