package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

// attemptTimeoutShare is the share of the latency target after which an idempotent
// request without an answer is sent to another endpoint too, so that it can still be on
// time. The first attempt goes on: a host may be silent for a while and then answer.
const attemptTimeoutShare = 0.6

// maxUnreachedHosts limits the attempts after failed sends: a request that could
// not be sent to its host goes to another one, whatever the retry budget and the
// route's MaxAttempts allow, until it has had this many attempts.
const maxUnreachedHosts = 4

// plainAttempt is one attempt of a plain request at one host.
type plainAttempt struct {
	host    *fleet.Host
	cancel  context.CancelFunc
	memory  *heldmemory.Account
	started time.Time
	// charged is true if the attempt was charged to the retry budget.
	charged bool
	// overdue is true once the board counts the attempt as failed, because it had no
	// answer within the attempt timeout.
	overdue bool
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt *plainAttempt
	answer  *answer
	// doubtful is true if only the end of the connection shows that the answer is
	// complete and the host has left.
	doubtful bool
	// mayHaveRun is true if the endpoint may have run the request.
	mayHaveRun bool
	err        error
}

// unsent reports whether no byte was sent. Neither the retry budget nor the route's
// MaxAttempts applies to such an attempt.
func (r attemptResult) unsent() bool {
	return r.err != nil && !r.mayHaveRun && !errors.Is(r.err, errNotRun)
}

// plainState is the state of one request whose answer is delivered as a whole.
type plainState struct {
	*requestState
	// running holds the attempts without a result, the oldest first.
	running []*plainAttempt
	// results passes the results of attempts until finished is closed. It has no
	// buffer.
	results  chan attemptResult
	finished chan struct{}
	// silence fires when the attempt timeout of the newest attempt has passed.
	silence *time.Timer
	// fallback is the last failure or doubtful answer of a host, or nil. The caller gets
	// it if no attempt ends better. fallbackMemory is what it takes.
	fallback       *answer
	fallbackMemory *heldmemory.Account
	// refused is why no endpoint was found for another attempt after a failed one, or
	// nil.
	refused *refusal.Error
	// declaredNotRun is true if an endpoint declared that it did not run the request.
	declaredNotRun bool
}

// servePlain serves a request whose answer is delivered as a whole.
func (s *requestState) servePlain(ctx context.Context) {
	p := &plainState{requestState: s, results: make(chan attemptResult), finished: make(chan struct{}), silence: time.NewTimer(0)}
	defer p.finish()
	if refused := p.start(ctx, false); refused != nil {
		s.refuse(refused)
		return
	}
	for len(p.running) > 0 {
		select {
		case result := <-p.results:
			p.handleResult(ctx, result)
		case <-p.silence.C:
			p.handleSilence(ctx, time.Now())
		}
	}
}

// finish ends the attempts that still run.
func (p *plainState) finish() {
	p.silence.Stop()
	p.giveUpRunning()
	if p.fallback != nil {
		p.fallbackMemory.Close()
	}
	close(p.finished)
}

// giveUpRunning ends the attempts that still run, and releases their hosts.
func (p *plainState) giveUpRunning() {
	for _, attempt := range p.running {
		p.endAttempt(attempt, place.OutcomeAbandoned)
		attempt.memory.Close()
		p.giveUp(attempt.host, true)
	}
	p.running = nil
}

// start chooses an endpoint and begins an attempt there.
func (p *plainState) start(ctx context.Context, charged bool) *refusal.Error {
	choice, refused := p.chooseEndpoint()
	if refused != nil {
		return refused
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	memoryCtx, memory := p.answers.Open(attemptCtx, choice.Host.ID)
	attempt := &plainAttempt{host: choice.Host, cancel: cancel, memory: memory, started: time.Now(), charged: charged}
	p.running = append(p.running, attempt)
	p.resetSilenceTimer()
	go p.runAttempt(memoryCtx, attempt, p.newAttempt(choice.Host, p.request.ResumeAfter))
	return nil
}

// runAttempt runs one attempt and passes its result on, unless the request has ended.
func (p *plainState) runAttempt(ctx context.Context, attempt *plainAttempt, toSend Attempt) {
	result := attemptResult{err: errAttemptPanicked, mayHaveRun: true}
	defer func() {
		// A panic in this goroutine would end the whole process.
		if cause := recover(); cause != nil {
			p.logPanic(cause)
		}
		result.attempt = attempt
		select {
		case p.results <- result:
		case <-p.finished:
		}
	}()
	result = p.sendAndRead(ctx, attempt.host, toSend, attempt.memory)
}

// endAttempt releases the host of an attempt and records the outcome on the board.
func (p *plainState) endAttempt(attempt *plainAttempt, outcome place.Outcome) {
	attempt.cancel()
	if attempt.overdue && outcome != place.OutcomeAnswered {
		outcome = place.OutcomeAbandoned // the failure is recorded already
	}
	now := time.Now()
	p.Board.Ended(attempt.host.ID, outcome, now.Sub(attempt.started), now)
}

// handleResult handles an attempt that has ended. The caller gets an answer that is no
// failure at once, and the fallback once no attempt is left. A doubtful answer is a
// fallback where the request may be repeated.
func (p *plainState) handleResult(ctx context.Context, result attemptResult) {
	p.running = slices.DeleteFunc(p.running, func(a *plainAttempt) bool { return a == result.attempt })
	p.mayHaveRun = p.mayHaveRun || result.mayHaveRun
	p.recordResult(ctx, result)
	switch {
	case result.answer == nil:
		result.attempt.memory.Close()
		p.declaredNotRun = p.declaredNotRun || errors.Is(result.err, errNotRun)
	case result.answer.status < http.StatusInternalServerError && !(result.doubtful && p.route.Repeatable()):
		p.giveUpRunning()
		p.deliver(result.answer, result.attempt.memory)
		result.attempt.memory.Close()
		return
	default:
		p.keepFallback(result)
	}
	if !p.retry(ctx, result) && len(p.running) == 0 {
		p.answerWithFailure(ctx)
	}
}

// keepFallback keeps an answer in place of an earlier fallback.
func (p *plainState) keepFallback(result attemptResult) {
	if p.fallback != nil {
		p.fallbackMemory.Close()
	}
	p.fallback, p.fallbackMemory = result.answer, result.attempt.memory
}

// recordResult records the outcome of an attempt on the board, and what it says about
// requests that crash hosts. It blocks while the host of a broken connection is checked.
func (p *plainState) recordResult(ctx context.Context, result attemptResult) {
	host, outcome := result.attempt.host, place.OutcomeFailed
	switch {
	case errors.Is(result.err, errNotRun):
		outcome = place.OutcomeRefused
	case result.err == nil:
		outcome = place.OutcomeAnswered
	}
	p.endAttempt(result.attempt, outcome)
	if result.answer != nil {
		p.recordAnswered(host, result.answer.status, result.attempt.started)
	}
	if result.err == nil || !result.mayHaveRun {
		return
	}
	p.logBroken(host, 0, result.err)
	if ctx.Err() != nil || !connectionBroke(result.err) || !p.reportIfCrashed(ctx, host) {
		p.giveUp(host, true)
	}
}

// retry begins another attempt after a failed one if that is allowed, and reports whether
// it did. It begins none beside an attempt that is not overdue.
func (p *plainState) retry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil {
		return false
	}
	mayAnswerSoon := slices.ContainsFunc(p.running, func(a *plainAttempt) bool { return !a.overdue })
	if result.unsent() && !mayAnswerSoon && len(p.triedHosts) < maxUnreachedHosts {
		if p.refused = p.start(ctx, result.attempt.charged); p.refused == nil {
			return true
		}
		p.refundUnsent(result)
		return false
	}
	p.refundUnsent(result)
	if mayAnswerSoon || result.mayHaveRun && !p.route.Repeatable() || !p.mayRetry(time.Now()) {
		return false
	}
	if p.refused = p.start(ctx, true); p.refused != nil {
		p.retries.Refund(p.service.Name, time.Now())
		return false
	}
	p.Log.Log(eventlog.RequestRetried, eventlog.Fields{"request": p.request.ID, "host": result.attempt.host.ID, "error": errorText(result.err), "handed": result.mayHaveRun})
	return true
}

// refundUnsent returns the charge of an attempt of which nothing was sent. If it had none,
// one beside it is the first that was sent, and its charge is returned.
func (p *plainState) refundUnsent(result attemptResult) {
	if !result.unsent() {
		return
	}
	for _, attempt := range append([]*plainAttempt{result.attempt}, p.running...) {
		if attempt.charged {
			attempt.charged = false
			p.retries.Refund(p.service.Name, time.Now())
			return
		}
	}
}

// attemptTimeout is how long the newest attempt may be without an answer until another
// one is begun beside it, or 0 if none may be.
func (p *plainState) attemptTimeout() time.Duration {
	if p.route.Kind != fleet.KindIdempotent || len(p.triedHosts) >= p.route.MaxAttempts {
		return 0
	}
	return time.Duration(attemptTimeoutShare * float64(p.route.LatencyTarget))
}

// resetSilenceTimer starts the silence timer again, or stops it if no further attempt is
// allowed.
func (p *plainState) resetSilenceTimer() {
	p.silence.Stop()
	if timeout := p.attemptTimeout(); timeout > 0 {
		p.silence.Reset(timeout)
	}
}

// handleSilence begins another attempt beside those that have had no answer within the
// attempt timeout. If none is allowed or no endpoint has room, it will be tried again.
func (p *plainState) handleSilence(ctx context.Context, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	silent := p.running[len(p.running)-1]
	if !silent.overdue {
		silent.overdue = true
		p.Board.Overdue(silent.host.ID, now)
	}
	if !p.mayRetry(now) {
		p.resetSilenceTimer()
		return
	}
	if p.start(ctx, true) != nil {
		p.retries.Refund(p.service.Name, now)
		p.resetSilenceTimer()
		return
	}
	p.Log.Log(eventlog.RequestHedged, eventlog.Fields{
		"request": p.request.ID, "host": silent.host.ID, "to": p.triedHosts[len(p.triedHosts)-1],
		"silent_ms": now.Sub(silent.started).Milliseconds(), "attempt": len(p.triedHosts),
	})
}

// answerWithFailure answers a caller whose attempts have all failed.
func (p *plainState) answerWithFailure(ctx context.Context) {
	switch {
	case p.callerLeft(ctx):
	case p.fallback != nil:
		p.deliver(p.fallback, p.fallbackMemory)
	case ctx.Err() != nil:
		p.refuse(p.deadlineRefusal())
	case p.mayHaveRun:
		p.refuse(refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, "the endpoint's answer was lost; the request may have run"))
	case p.refused != nil:
		p.refuse(p.refused)
	case p.declaredNotRun:
		p.refuse(p.notRunRefusal())
	default:
		p.refuse(refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "no endpoint could be reached; send the request again").WithRetryAfter(NoEndpointRetryAfter))
	}
}
