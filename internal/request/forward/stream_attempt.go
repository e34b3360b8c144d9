package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/coordinate"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

// updateBufferSize is the number of events that an attempt may be ahead of the
// caller. Beyond that, a slow caller slows down the endpoint.
const updateBufferSize = 16

// errAttemptPanicked reports an attempt whose handling panicked.
var errAttemptPanicked = errors.New("handling of the attempt panicked")

// attemptUpdate is one result of a running attempt: its reply, an event, or its
// end.
type attemptUpdate struct {
	reply *Reply
	event *event
	// complete is true at the clean end of a stream. doubtful is true as well if only the
	// end of the connection shows it and the host has left.
	complete, doubtful bool
	// err is the error that ended the attempt early.
	err error
	// mayHaveRun is set only with err: the endpoint may have run the request.
	mayHaveRun bool
}

// streamAttempt is one attempt of a stream at one host.
type streamAttempt struct {
	host    *fleet.Host
	updates chan attemptUpdate
	cancel  context.CancelFunc
	// memory holds the events that the caller has not got.
	memory  *heldmemory.Account
	started time.Time
	// lastProgress is when the attempt last delivered something, initially its
	// start.
	lastProgress time.Time
	// header is the header of the host's answer. It is sent with the first event,
	// because a refusal before that must not carry an endpoint's proof.
	header http.Header
	events int
	// beganAt is when the first event came. beganWell is true once the host went on
	// working after it.
	beganAt   time.Time
	beganWell bool
	// use counts the attempt for the coordinators; it may be nil.
	use *coordinate.Use
	// held are events that wait until it is known whether a later attempt begins.
	held []*event
}

// begin chooses an endpoint and begins an attempt there.
func (s *streamState) begin(ctx context.Context) (*streamAttempt, *refusal.Error) {
	release, refused := s.coordinate(ctx)
	defer release()
	if refused != nil {
		return nil, refused
	}
	choice, refused := s.chooseEndpoint()
	if refused != nil {
		return nil, refused
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	memoryCtx, memory := s.answers.Open(attemptCtx, choice.Host.ID)
	now := time.Now()
	attempt := &streamAttempt{
		host: choice.Host, updates: make(chan attemptUpdate, updateBufferSize), cancel: cancel, memory: memory, started: now, lastProgress: now,
		use: s.beginUse(choice),
	}
	go s.runAttempt(attemptCtx, memoryCtx, attempt, s.newAttempt(choice.Host, s.lastID))
	return attempt, nil
}

// end ends an attempt of the request and takes it out of the state.
func (s *streamState) end(attempt *streamAttempt, outcome place.Outcome) {
	attempt.cancel()
	attempt.memory.Close()
	now := time.Now()
	s.Board.Ended(attempt.host.ID, outcome, now.Sub(attempt.started), now)
	attempt.use.End()
	if attempt != s.current {
		s.others = slices.DeleteFunc(s.others, func(other *streamAttempt) bool { return other == attempt })
		return
	}
	s.current = nil
	if len(s.others) > 0 {
		s.current, s.others = s.others[0], s.others[1:]
	}
}

// attempts returns the running attempts, the newest last.
func (s *streamState) attempts() []*streamAttempt {
	if s.current == nil {
		return nil
	}
	return append([]*streamAttempt{s.current}, s.others...)
}

// endAll ends all attempts.
func (s *streamState) endAll(outcome place.Outcome) {
	for _, attempt := range s.attempts() {
		s.end(attempt, outcome)
	}
}

// recordEvent records an event that the host has sent.
func (a *streamAttempt) recordEvent(now time.Time) {
	a.lastProgress = now
	a.events++
	a.use.Event(now)
	if a.events == 1 {
		a.beganAt = now
	}
}

// runAttempt runs one attempt and sends its updates until the attempt or ctx ends. The
// host's answer is read until memoryCtx ends, which is the context of the account.
func (s *streamState) runAttempt(ctx, memoryCtx context.Context, attempt *streamAttempt, toSend Attempt) {
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
	reply, err := s.Endpoint.Send(memoryCtx, s.request, toSend)
	if err != nil {
		report(attemptUpdate{err: err, mayHaveRun: endpoint.MayHaveBeenSent(err)})
		return
	}
	defer reply.Body.Close()
	s.observeHost(attempt.host, reply)
	if s.notRun(reply) {
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
		content, err := readAnswerBody(memoryCtx, reply, attempt.memory)
		if err == nil {
			err = &statusError{answer{attempt.host.ID, reply.Status, reply.Header, content}}
		}
		report(attemptUpdate{err: err, mayHaveRun: true})
		return
	}
	events := newEventReader(reply.Body)
	events.memory = attempt.memory
	for received := 0; ; received++ {
		e, err := events.next()
		if errors.Is(err, io.EOF) && reply.EndsWithConnection && (received == 0 && toSend.ResumeAfter == "" || s.crashed(ctx, attempt.host)) {
			err = errCutAnswer
		}
		if errors.Is(err, io.EOF) {
			report(attemptUpdate{complete: true, doubtful: reply.EndsWithConnection && s.leftMeanwhile(ctx, attempt.host)})
			return
		}
		if err != nil {
			report(attemptUpdate{err: evictionOr(memoryCtx, err), mayHaveRun: true})
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
