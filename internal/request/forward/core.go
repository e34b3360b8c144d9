package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/retry"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Times of requests.
const (
	// defaultTimeLimit holds for callers that name none.
	defaultTimeLimit = 30 * time.Second
	// startupReturn is when a caller may return that came before the node had
	// a configuration.
	startupReturn = 500 * time.Millisecond
	// NoEndpointReturn is when a caller may return whose request no endpoint
	// can run at present.
	NoEndpointReturn = 500 * time.Millisecond
)

// Budget bounds second sends. One node may use its part of what all nodes
// share.
type Budget struct {
	// Ratio is the part of requests that may be sent again, Slack the number
	// in addition within retry.Window; both count over all nodes.
	Ratio float64
	Slack float64
}

// budgetReserve is the part of the fleet's budget that nodes leave unused,
// since they count apart from each other and at other moments.
const budgetReserve = 0.3

// Part is the part of the budget that one of so many nodes may use for
// requests that are sent to maxAttempts endpoints at most.
func (b Budget) Part(nodes, maxAttempts int) retry.Policy {
	return retry.Policy{
		Share:       b.Ratio * (1 - budgetReserve),
		Reserve:     b.Slack * (1 - budgetReserve) / float64(max(nodes, 1)),
		MaxAttempts: maxAttempts,
	}
}

// Options are the parts that a Core works with.
type Options struct {
	View     *fleet.Holder
	Board    *place.Board
	Endpoint Endpoint
	Budget   Budget
	Refuse   RefusalWriter
	Log      *eventlog.Logger
	Metrics  tally.Scope
	// FailureDomain is the node's own.
	FailureDomain string
}

// Core serves requests. It is safe for concurrent use.
type Core struct {
	Options
	retries *retry.Budget
}

// New returns a core.
func New(o Options) *Core { return &Core{Options: o, retries: retry.NewBudget()} }

// MaxBodyBytes bounds the body of a request; 0 before there is a
// configuration.
func (c *Core) MaxBodyBytes() int64 {
	if configuration := c.View.Load().Configuration; configuration != nil {
		return configuration.Limits.MaxBodyBytes
	}
	return 0
}

// call is the state of one request.
type call struct {
	*Core
	request *Request
	route   *fleet.Route
	service *fleet.Service
	account string
	rank    int
	// due is when the request must be over: the caller's time limit or the
	// route's timeout.
	due time.Time
	// tried are the hosts that were sent the request.
	tried []string
	// handed is true once an endpoint may have run the request.
	handed bool
	w      http.ResponseWriter
}

// Serve answers one request. It returns when the answer is complete, and
// panics with http.ErrAbortHandler where it must end as incomplete.
func (c *Core) Serve(w http.ResponseWriter, r *http.Request, request *Request) {
	view := c.View.Load()
	s := &call{Core: c, request: request, w: w}
	if refused := s.authorize(view); refused != nil {
		s.refuse(refused)
		return
	}
	s.setDue()
	c.retries.First(s.service.Name, time.Now())
	ctx, cancel := context.WithDeadline(r.Context(), s.due)
	defer cancel()
	if s.route.Kind == fleet.KindStream {
		s.stream(ctx)
		return
	}
	s.plain(ctx)
}

// authorize finds route, service and account.
func (s *call) authorize(view *fleet.View) *refusal.Error {
	configuration := view.Configuration
	if configuration == nil {
		return refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "the node has no configuration yet; send the request again").After(startupReturn)
	}
	s.route = configuration.Route(hostName(s.request.Host), s.request.Path)
	if s.route == nil {
		return refusal.New(refusal.KindUnknownService, http.StatusNotFound, "no route of this host has a prefix of the path; check both")
	}
	s.rank = s.route.Rank
	if configuration.HasAccounts() {
		account := configuration.Account(s.request.Key)
		if account == nil && !s.route.Public {
			return refusal.New(refusal.KindUnauthorized, http.StatusUnauthorized, "the key is unknown; use a key of the client account")
		}
		if account != nil {
			s.account = account.Name
			if account.Rank != nil {
				s.rank = *account.Rank
			}
		}
	}
	s.service = configuration.Services[pickTarget(s.route.Targets, rand.Float64())]
	if s.service == nil {
		return refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "the route's service is not configured; the operator must add it").After(NoEndpointReturn)
	}
	return nil
}

// hostName drops the port of a Host header.
func hostName(host string) string {
	for i := len(host) - 1; i >= 0; i-- {
		switch {
		case host[i] == ':':
			return host[:i]
		case host[i] < '0' || host[i] > '9':
			return host
		}
	}
	return host
}

// pickTarget chooses a service by weight; at is in [0, 1).
func pickTarget(targets []fleet.WeightedService, at float64) string {
	total := 0.0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	at *= total
	for _, t := range targets {
		if at -= max(t.Weight, 0); at < 0 {
			return t.Service
		}
	}
	if len(targets) > 0 {
		return targets[len(targets)-1].Service
	}
	return ""
}

func (s *call) setDue() {
	limit := s.request.TimeLimit
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	if s.route.Timeout > 0 {
		limit = min(limit, s.route.Timeout)
	}
	s.due = s.request.Received.Add(limit)
}

// place chooses the next endpoint, or says why there is none.
func (s *call) place() (place.Choice, *refusal.Error) {
	view := s.View.Load()
	query := place.Query{Service: s.service, Rank: s.rank, Exclude: s.tried, FailureDomain: s.FailureDomain}
	if s.service.Engine != nil {
		query.Model = s.request.Model
	}
	choice, none := s.Board.Choose(view, query, time.Now())
	if none == nil {
		s.tried = append(s.tried, choice.Host.ID)
		s.logPlaced(view, choice)
		return choice, nil
	}
	s.Log.Ordinary(eventlog.RequestNotPlaced, eventlog.Fields{
		"request": s.request.ID, "service": s.service.Name, "model": query.Model, "rank": s.rank,
		"candidates": none.Candidates, "load": none.Load, "limit": none.Limit, "hosts_version": view.HostsVersion,
		"hosts_age_ms": time.Since(view.HostsRead).Milliseconds(), "attempt": len(s.tried) + 1,
	})
	if none.Candidates == 0 {
		return place.Choice{}, refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "no endpoint can run the request at present; send it again").After(NoEndpointReturn)
	}
	return place.Choice{}, refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, "all endpoints are full; send the request again after the given time").After(none.ReturnAfter)
}

func (s *call) logPlaced(view *fleet.View, choice place.Choice) {
	s.Log.Ordinary(eventlog.RequestPlaced, eventlog.Fields{
		"request": s.request.ID, "route": s.route.Name, "account": s.account, "rank": s.rank, "model": s.request.Model,
		"host": choice.Host.ID, "group": choice.Host.Group.Name, "load": choice.Load, "limit": choice.Limit,
		"attempt": len(s.tried), "revision": view.Configuration.Revision, "hosts_version": view.HostsVersion,
		"left_ms": time.Until(s.due).Milliseconds(),
	})
}

// attempt describes the next send to the chosen host.
func (s *call) attempt(host *fleet.Host, resumeAfter string) Attempt {
	return Attempt{
		Address: host.Address, HostID: host.ID, Account: s.account, Urgency: min(max(s.rank, 0), 9),
		TimeLeft: time.Until(s.due), ResumeAfter: resumeAfter,
		FreshConnection: !s.route.Repeatable(),
	}
}

// mayRetry reports whether the request may be sent once more, and counts the
// retry against the budget if so.
func (s *call) mayRetry(now time.Time) bool {
	nodes := s.Board.LiveNodes(now)
	policy := s.Budget.Part(nodes, s.route.MaxAttempts)
	allowed := s.retries.Allow(retry.Attempt{Rank: s.service.Name, Policy: policy, Made: len(s.tried), Idempotent: true}, now)
	if !allowed && len(s.tried) < s.route.MaxAttempts {
		s.Log.Log(eventlog.RetryBudgetSpent, eventlog.Fields{"request": s.request.ID, "service": s.service.Name, "nodes": nodes})
	}
	return allowed
}

// refuse ends a request without an endpoint's answer. Where the request may
// have run, the status promises nothing.
func (s *call) refuse(e *refusal.Error) {
	if s.handed && e.Ran == refusal.RanNo {
		e = refusal.Unknown(e.Kind, http.StatusBadGateway, e.Message)
	}
	e.RequestID = s.request.ID
	s.count("refused", string(e.Kind))
	s.Log.Ordinary(eventlog.RequestRefused, eventlog.Fields{
		"request": s.request.ID, "kind": e.Kind, "status": e.Status, "ran": e.Ran, "retry_after_ms": e.RetryAfter.Milliseconds(),
		"attempts": len(s.tried), "took_ms": time.Since(s.request.Received).Milliseconds(),
	})
	s.Refuse(s.w, e)
}

// expired is the refusal of a request whose time is over.
func (s *call) expired() *refusal.Error {
	if s.handed {
		return refusal.Unknown(refusal.KindDeadline, http.StatusGatewayTimeout, "the time of the request is over; it may have run")
	}
	return refusal.New(refusal.KindDeadline, http.StatusServiceUnavailable, "the time of the request is over before an endpoint took it").After(NoEndpointReturn)
}

// callerLeft reports that the caller has closed its connection.
func (s *call) callerLeft(ctx context.Context) bool {
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		return false
	}
	s.count("left", "")
	s.Log.Ordinary(eventlog.CallerLeft, eventlog.Fields{
		"request": s.request.ID, "attempts": len(s.tried), "took_ms": time.Since(s.request.Received).Milliseconds(),
	})
	return true
}

// latencyBuckets bound the histograms of request times, from 1 ms to 32 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func (s *call) count(outcome, kind string) {
	route := "none"
	if s.route != nil {
		route = s.route.Kind.String()
	}
	s.Metrics.Tagged(map[string]string{"outcome": outcome, "kind": kind, "route_kind": route}).Counter("forward_requests").Inc(1)
}

func (s *call) observe(name string, d time.Duration) {
	s.Metrics.Tagged(map[string]string{"route_kind": s.route.Kind.String()}).Histogram(name, latencyBuckets).RecordDuration(d)
}

func (s *call) logAnswered(status, events int) {
	s.count("answered", "")
	took := time.Since(s.request.Received)
	s.observe("forward_answer_seconds", took)
	s.Log.Ordinary(eventlog.RequestAnswered, eventlog.Fields{
		"request": s.request.ID, "status": status, "events": events, "attempts": len(s.tried), "took_ms": took.Milliseconds(),
		"late": s.route.Kind != fleet.KindStream && s.route.Target > 0 && took > s.route.Target,
	})
}
