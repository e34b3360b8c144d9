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

// hedgeShare is the part of the latency target after which a repeatable
// request is given to a second endpoint, so that it can still be on time.
const hedgeShare = 0.6

// errProofMissing reports an answer that the endpoint cannot have made for
// this request.
var errProofMissing = errors.New("the answer carries no proof of the endpoint, or belongs to another request")

// errNotRun reports an endpoint's word that it did not run the request.
var errNotRun = errors.New("the endpoint did not run the request")

// answer is a whole answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the end of one attempt.
type attemptResult struct {
	answer *answer
	// handed is true where the endpoint may have run the request.
	handed bool
	err    error
	host   *fleet.Host
}

// plain serves a request that has one whole answer.
func (s *call) plain(ctx context.Context) {
	for {
		choice, refused := s.place()
		if refused != nil {
			s.refuse(refused)
			return
		}
		result := s.try(ctx, choice.Host)
		s.handed = s.handed || result.handed
		if result.err == nil && !s.improvable(result) {
			s.deliver(result.answer)
			return
		}
		if ctx.Err() != nil && result.err != nil {
			if !s.callerLeft(ctx) {
				s.refuse(s.expired())
			}
			return
		}
		if !result.handed && !errors.Is(result.err, errNotRun) && result.err != nil {
			// No byte was sent: the endpoint does not count as tried by rule,
			// and another one may take the request.
			if len(s.tried) < maxUnreached {
				continue
			}
		}
		if (result.handed && !s.route.Repeatable()) || !s.mayRetry(time.Now()) {
			s.finish(result)
			return
		}
		s.Log.Log(eventlog.RequestRetried, eventlog.Fields{"request": s.request.ID, "host": result.host.ID, "error": errorText(result.err), "handed": result.handed})
	}
}

// maxUnreached bounds the endpoints that are tried without a connection.
const maxUnreached = 4

// improvable reports whether a second endpoint may give a better answer: a
// failure of a repeatable request.
func (s *call) improvable(r attemptResult) bool {
	return r.answer.status >= http.StatusInternalServerError && s.route.Repeatable() && len(s.tried) < s.route.MaxAttempts
}

// finish delivers what the last attempt gave.
func (s *call) finish(r attemptResult) {
	switch {
	case r.answer != nil:
		s.deliver(r.answer)
	case errors.Is(r.err, errNotRun):
		s.refuse(refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "the endpoint refused the request; send it again").After(NoEndpointReturn))
	case !r.handed:
		s.refuse(refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "no endpoint could be reached; send the request again").After(NoEndpointReturn))
	default:
		s.refuse(refusal.Unknown(refusal.KindIncomplete, http.StatusBadGateway, "the endpoint's answer was lost; the request may have run"))
	}
}

// try sends the request to the host and reads the whole answer.
func (s *call) try(ctx context.Context, host *fleet.Host) attemptResult {
	started := time.Now()
	if s.route.Kind == fleet.KindIdempotent && len(s.tried) < s.route.MaxAttempts && s.route.Target > 0 {
		bounded, cancel := context.WithTimeout(ctx, time.Duration(hedgeShare*float64(s.route.Target)))
		defer cancel()
		ctx = bounded
	}
	result := s.exchange(ctx, host)
	result.host = host
	outcome := place.OutcomeAnswered
	switch {
	case errors.Is(result.err, errNotRun):
		outcome = place.OutcomeRefused
	case result.err != nil:
		outcome = place.OutcomeFailed
	}
	s.Board.Ended(host.ID, outcome, time.Since(started), time.Now())
	return result
}

func (s *call) exchange(ctx context.Context, host *fleet.Host) attemptResult {
	reply, err := s.Endpoint.Send(ctx, s.request, s.attempt(host, s.request.ResumeAfter))
	if err != nil {
		return attemptResult{handed: endpoint.WasHanded(err), err: err}
	}
	defer reply.Body.Close()
	if reply.NotRun && !reply.Other {
		return attemptResult{err: errNotRun}
	}
	content, err := io.ReadAll(io.LimitReader(reply.Body, endpoint.MaxAnswerBytes))
	if err != nil {
		return attemptResult{handed: true, err: err}
	}
	if !reply.Genuine {
		return attemptResult{handed: true, err: errProofMissing}
	}
	return attemptResult{handed: true, answer: &answer{reply.Status, reply.Header, content}}
}

// deliver writes a whole answer to the caller.
func (s *call) deliver(a *answer) {
	header := s.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	s.w.WriteHeader(a.status)
	if _, err := s.w.Write(a.body); err != nil {
		s.Log.Ordinary(eventlog.CallerLeft, eventlog.Fields{"request": s.request.ID, "error": err.Error()})
		return
	}
	s.logAnswered(a.status, 0)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
