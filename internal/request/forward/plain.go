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

// attemptTimeoutShare is the share of the latency target after which an idempotent
// request is given to another endpoint, so that it can still be on time.
const attemptTimeoutShare = 0.6

// errUnverifiedAnswer reports an answer that is not proven to be the endpoint's
// answer to this request.
var errUnverifiedAnswer = errors.New("answer carries no endpoint proof or belongs to another request")

// errAnswerTooLarge reports an answer larger than endpoint.MaxAnswerBytes. It is
// not delivered, because a part would look like the whole answer.
var errAnswerTooLarge = errors.New("answer is too large")

// errCutAnswer reports an answer without a length or chunks whose connection ended
// because the host crashed.
var errCutAnswer = errors.New("answer ended with its connection as the host crashed")

// errNotRun reports that the endpoint declared that it did not run the request.
var errNotRun = errors.New("endpoint did not run the request")

// answer is a complete answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	answer *answer
	// mayHaveRun is true if the endpoint may have run the request.
	mayHaveRun bool
	err        error
	host       *fleet.Host
}

// servePlain serves a request whose answer is delivered as a whole.
func (s *requestState) servePlain(ctx context.Context) {
	for {
		choice, refused := s.chooseEndpoint()
		if refused != nil {
			s.refuse(refused)
			return
		}
		result := s.tryHost(ctx, choice.Host)
		s.mayHaveRun = s.mayHaveRun || result.mayHaveRun
		if result.err != nil && result.mayHaveRun {
			s.logBroken(result.host, 0, result.err)
			if ctx.Err() != nil || !connectionBroke(result.err) || !s.reportIfCrashed(ctx, result.host) {
				s.giveUp(result.host, true)
			}
		}
		if result.err == nil && !s.isRetryableFailure(result) {
			s.deliver(result.answer)
			return
		}
		if ctx.Err() != nil && result.err != nil {
			if !s.callerLeft(ctx) {
				s.refuse(s.deadlineRefusal())
			}
			return
		}
		if !result.mayHaveRun && !errors.Is(result.err, errNotRun) && result.err != nil {
			// No byte was sent, so neither the retry budget nor the route's
			// MaxAttempts applies to the next attempt.
			if len(s.triedHosts) < maxUnreachedHosts {
				continue
			}
		}
		if (result.mayHaveRun && !s.route.Repeatable()) || !s.mayRetry(time.Now()) {
			s.answerWithLast(result)
			return
		}
		s.Log.Log(eventlog.RequestRetried, eventlog.Fields{"request": s.request.ID, "host": result.host.ID, "error": errorText(result.err), "handed": result.mayHaveRun})
	}
}

// maxUnreachedHosts limits the attempts after failed sends: a request that could
// not be sent to its host goes to another one, whatever the retry budget and the
// route's MaxAttempts allow, until it has had this many attempts.
const maxUnreachedHosts = 4

// isRetryableFailure reports whether the answer is a server error that another
// endpoint may avoid, and the route allows another attempt.
func (s *requestState) isRetryableFailure(r attemptResult) bool {
	return r.answer.status >= http.StatusInternalServerError && s.route.Repeatable() && len(s.triedHosts) < s.route.MaxAttempts
}

// answerWithLast answers the caller with the result of the last attempt.
func (s *requestState) answerWithLast(r attemptResult) {
	switch {
	case r.answer != nil:
		s.deliver(r.answer)
	case errors.Is(r.err, errNotRun):
		s.refuse(refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "the endpoint refused the request; send it again").WithRetryAfter(NoEndpointRetryAfter))
	case !r.mayHaveRun:
		s.refuse(refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "no endpoint could be reached; send the request again").WithRetryAfter(NoEndpointRetryAfter))
	default:
		s.refuse(refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, "the endpoint's answer was lost; the request may have run"))
	}
}

// tryHost sends the request to the host, reads the whole answer and records the
// outcome on the board.
func (s *requestState) tryHost(ctx context.Context, host *fleet.Host) attemptResult {
	started := time.Now()
	if s.route.Kind == fleet.KindIdempotent && len(s.triedHosts) < s.route.MaxAttempts && s.route.LatencyTarget > 0 {
		attemptCtx, cancel := context.WithTimeout(ctx, time.Duration(attemptTimeoutShare*float64(s.route.LatencyTarget)))
		defer cancel()
		ctx = attemptCtx
	}
	outcome := place.OutcomeFailed
	defer func() { s.Board.Ended(host.ID, outcome, time.Since(started), time.Now()) }()
	result := s.sendAndRead(ctx, host)
	result.host = host
	if result.answer != nil {
		s.recordAnswered(host, result.answer.status, started)
	}
	switch {
	case errors.Is(result.err, errNotRun):
		outcome = place.OutcomeRefused
	case result.err == nil:
		outcome = place.OutcomeAnswered
	}
	return result
}

// sendAndRead sends the request to the host, and reads and verifies the answer.
func (s *requestState) sendAndRead(ctx context.Context, host *fleet.Host) attemptResult {
	reply, err := s.Endpoint.Send(ctx, s.request, s.newAttempt(host, s.request.ResumeAfter))
	if err != nil {
		return attemptResult{mayHaveRun: endpoint.MayHaveBeenSent(err), err: err}
	}
	defer reply.Body.Close()
	s.observeHost(host, reply)
	if reply.NotRun && !reply.WrongRequest {
		return attemptResult{err: errNotRun}
	}
	content, err := readWholeBody(reply.Body)
	if err != nil {
		return attemptResult{mayHaveRun: true, err: err}
	}
	if !reply.Verified {
		return attemptResult{mayHaveRun: true, err: errUnverifiedAnswer}
	}
	if reply.EndsWithConnection && s.crashed(ctx, host) {
		return attemptResult{mayHaveRun: true, err: errCutAnswer}
	}
	return attemptResult{mayHaveRun: true, answer: &answer{reply.Status, reply.Header, content}}
}

// crashed reports whether the process of a host is gone although the host was not
// about to leave. A crashed host stays registered for seconds; one that has left does
// not. It blocks while the host is checked.
func (c *Core) crashed(ctx context.Context, host *fleet.Host) bool {
	current := c.View.Load().Host(host.ID)
	if current == nil || current.State == fleet.HostLeaving {
		return false
	}
	return !current.Started.Equal(host.Started) || c.Endpoint.Gone(ctx, host.Address)
}

// readWholeBody reads a body of at most endpoint.MaxAnswerBytes.
func readWholeBody(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, endpoint.MaxAnswerBytes+1))
	if err == nil && len(content) > endpoint.MaxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return content, err
}

// deliver writes a complete answer to the caller.
func (s *requestState) deliver(a *answer) {
	header := s.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	s.w.WriteHeader(a.status)
	if _, err := s.w.Write(a.body); err != nil {
		s.Log.LogLimited(eventlog.CallerDisconnected, eventlog.Fields{"request": s.request.ID, "error": err.Error()})
		return
	}
	s.logAnswered(a.status, 0)
}

// errorText returns the text of err, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
