package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

// BeganWellDelay is how long a host must go on after the first event of an answer
// until the request counts as one that crashes nothing. It is longer than a pass.
const BeganWellDelay = 250 * time.Millisecond

// identify returns what the request may share with others that crash endpoints.
func (s *requestState) identify() poison.Request {
	r := poison.Request{
		Class: s.service.Name + "/" + s.request.Model,
		Whole: poison.RequestTrait(s.service.Name, s.request.Method, s.request.Host, s.request.Target, s.account, s.request.Prompt, s.request.Body),
	}
	for _, part := range s.request.SharedParts {
		r.Parts = append(r.Parts, poison.PartTrait(s.service.Name, part))
	}
	return r
}

// checkPoison returns the refusal of a request that crashes endpoints, or nil.
func (s *requestState) checkPoison(now time.Time) *refusal.Error {
	s.identity = s.identify()
	decision := s.Poison.Check(s.identity, s.MayTryPoison(), now)
	s.isTrial = decision.Trial
	if s.isTrial {
		s.Log.Log(eventlog.PoisonTried, eventlog.Fields{"request": s.request.ID, "parts": s.request.SharedParts})
	}
	if !decision.Refuse {
		return nil
	}
	return refusal.NewCrashSuspect()
}

// connectionBroke reports whether an attempt ended because its connection did, and
// not by an answer or by this node.
func connectionBroke(err error) bool {
	var failure *statusError
	for _, other := range []error{errUnverifiedAnswer, endpoint.ErrAnswerTooLarge, errEventTooLarge, heldmemory.ErrEvicted, errAttemptPanicked, errNotRun, context.DeadlineExceeded, context.Canceled} {
		if errors.Is(err, other) {
			return false
		}
	}
	return !errors.As(err, &failure)
}

// hostLife identifies one life of a host.
func hostLife(host *fleet.Host) string {
	return host.ID + "/" + strconv.FormatInt(host.Started.UnixMilli(), 10)
}

// reportIfCrashed records the request as suspected if the host that was about to
// answer it is gone, and reports whether it is. It blocks while the host is checked.
func (s *requestState) reportIfCrashed(ctx context.Context, host *fleet.Host) bool {
	if !s.crashed(ctx, host) {
		return false
	}
	findings := s.Poison.Lost(s.identity, hostLife(host), time.Now())
	s.Metrics.Counter("forward_attempts_lost_with_host").Inc(1)
	crashedHosts, chance := s.Poison.Evidence(s.identity, time.Now())
	s.Log.Log(eventlog.HostCrashed, eventlog.Fields{
		"request": s.request.ID, "host": host.ID, "group": host.Group.Name, "parts": s.request.SharedParts,
		"crashed_hosts": crashedHosts, "chance": chance,
	})
	s.logFindings(findings)
	s.ShareEvidence()
	return true
}

// recordAnswered records that a host answered the request with the given status. A
// host's own failure may come before it begins to run the request, so it is no sign
// that the request crashes nothing.
func (s *requestState) recordAnswered(host *fleet.Host, status int, started time.Time) {
	if status >= http.StatusInternalServerError {
		return
	}
	if crashedHosts, _ := s.Poison.Evidence(s.identity, started); crashedHosts > 0 {
		s.Log.Log(eventlog.SuspectAnswered, eventlog.Fields{"request": s.request.ID, "host": host.ID, "status": status, "crashed_hosts": crashedHosts})
	}
	s.logFindings(s.Poison.Began(s.identity, started, time.Now()))
}

// logFindings logs changed verdicts, with the part or request if they concern this
// one.
func (s *requestState) logFindings(findings []poison.Finding) {
	for _, f := range findings {
		s.Metrics.Counter("poison_verdicts").Inc(1)
		LogPoisonFinding(s.Log, f, s.describe(f.Trait))
	}
	if len(findings) > 0 {
		s.ShareEvidence()
	}
}

// describe returns the part of this request that has the trait, "request" if it is
// the whole request, or "" if the trait belongs to others.
func (s *requestState) describe(trait poison.Trait) string {
	for i, part := range s.identity.Parts {
		if part == trait {
			return s.request.SharedParts[i]
		}
	}
	if s.identity.Whole == trait {
		return "request"
	}
	return ""
}

// LogPoisonFinding logs a changed verdict. subject names what has the trait, if that
// is known.
func LogPoisonFinding(log *eventlog.Logger, f poison.Finding, subject string) {
	event := eventlog.PoisonCleared
	if f.Refused {
		event = eventlog.PoisonFound
	}
	log.Log(event, eventlog.Fields{"trait": f.Trait.String(), "subject": subject, "crashed_hosts": f.Losses, "failed_trials": f.FailedTrials})
}

// recordBegan records that the current attempt began to be answered and went on
// well.
func (s *streamState) recordBegan(now time.Time) {
	if s.current.beganWell || s.current.events == 0 {
		return
	}
	s.current.beganWell = true
	s.logFindings(s.Poison.Began(s.identity, s.current.beganAt, now))
}

// checkPoisoned records an attempt that goes on well, and ends a request that has not
// begun and is now known to crash hosts. It reports whether the request is finished.
func (s *streamState) checkPoisoned(now time.Time) bool {
	if s.current != nil && s.current.events > 0 {
		if now.Sub(s.current.beganAt) >= BeganWellDelay {
			s.recordBegan(now)
		}
		return false
	}
	if s.isTrial || !s.Poison.Refused(s.identity) {
		return false
	}
	s.endAll(place.OutcomeAbandoned)
	if s.headerSent {
		s.abort("the request crashes endpoints")
		return true
	}
	s.refuse(refusal.NewMayHaveRun(refusal.KindCrashSuspect, http.StatusBadGateway, "the request crashes endpoints; it may have run"))
	return true
}
