package forward

import (
	"fmt"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/refusal"
)

// notRun reports whether an endpoint that replied did not run the request. A misdirected request
// that may run again counts as not run without the endpoint's declaration.
func (s *requestState) notRun(reply *Reply) bool {
	return !reply.WrongRequest && (reply.NotRun || reply.Misdirected && s.route.Repeatable())
}

// notRunRefusal returns the refusal of a request that was tried and did not run: endpoints
// declared so, or could not be reached. If all endpoints ask for no requests for a time, the
// caller is to return after it.
func (s *requestState) notRunRefusal() *refusal.Error {
	query := s.query()
	query.Exclude = nil
	retryAfter := max(s.Board.AllWait(s.View.Load(), query, time.Now()), NoEndpointRetryAfter)
	return refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "no endpoint ran the request; send it again").WithRetryAfter(retryAfter)
}

// mayPassOn reports whether the caller may get an endpoint's answer with its status. Some
// statuses promise that the request did not run, and the caller of a request that may run only
// once sends it again then. An answer proves no such thing, whatever its status: an endpoint
// that did not run the request declares so (Reply.NotRun).
func (s *requestState) mayPassOn(a *answer) bool {
	return s.route.Repeatable() || !refusal.PromisesNotRun(a.status)
}

// refuseInsteadOf refuses a request whose answer may not be passed on. The caller gets nothing
// of the answer, because its proof is valid only beside its status.
func (s *requestState) refuseInsteadOf(a *answer) {
	s.Metrics.Counter("forward_answers_withheld").Inc(1)
	s.Log.LogLimited(eventlog.AnswerWithheld, eventlog.Fields{"request": s.request.ID, "host": a.host, "status": a.status})
	message := fmt.Sprintf("the endpoint failed with status %d; the request may have run", a.status)
	s.refuse(refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, message))
}

// withoutUnprovenPromise returns a refusal that does not say that the request did not run if it
// may have run.
func (s *requestState) withoutUnprovenPromise(e *refusal.Error) *refusal.Error {
	if e.Ran == refusal.RanNo && !s.mayHaveRun {
		return e
	}
	if e.Ran == refusal.RanNo || refusal.PromisesNotRun(e.Status) {
		return refusal.NewMayHaveRun(e.Kind, http.StatusBadGateway, e.Message)
	}
	return e
}
