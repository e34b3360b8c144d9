package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/retry"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// defaultTimeLimit applies to callers that send no time limit.
	defaultTimeLimit = 30 * time.Second
	// startupRetryAfter is the retry delay for requests that arrive before the
	// node has a configuration.
	startupRetryAfter = 500 * time.Millisecond
	// NoEndpointRetryAfter is the retry delay for requests that no endpoint can run
	// at present.
	NoEndpointRetryAfter = 500 * time.Millisecond
)

const (
	// defaultAnswerMemoryBytes is Options.AnswerMemoryBytes if that is 0.
	defaultAnswerMemoryBytes = 32 << 20
	// answerReserveBytes is what one answer takes at most.
	answerReserveBytes = endpoint.MaxAnswerBytes + 2*endpoint.MaxChunkBytes
)

// Budget limits the retries of all nodes together. Each node uses its part.
type Budget struct {
	// Ratio is the share of requests that may be retried. Slack is the number of
	// retries allowed in addition within retry.Window. Both apply to all nodes
	// together.
	Ratio float64
	Slack float64
}

// budgetReserveShare is the share of the budget that nodes leave unused, because
// they count independently and over windows that begin at different times.
const budgetReserveShare = 0.3

// NodePolicy returns the retry policy of one node, given the number of nodes, for
// requests that are sent to at most maxAttempts endpoints.
func (b Budget) NodePolicy(nodes, maxAttempts int) retry.Policy {
	return retry.Policy{
		RetryShare:  b.Ratio * (1 - budgetReserveShare),
		Reserve:     b.Slack * (1 - budgetReserveShare) / float64(max(nodes, 1)),
		MaxAttempts: maxAttempts,
	}
}

// Options are the dependencies and settings of a Core.
type Options struct {
	View     *fleet.ViewHolder
	Board    *place.Board
	Endpoint Endpoint
	Budget   Budget
	Refuse   RefusalWriter
	Log      *eventlog.Logger
	Metrics  tally.Scope
	// Poison finds requests that crash endpoints.
	Poison *poison.Tracker
	// MayTryPoison reports whether this node is the one that tries requests again
	// that are refused because they crash endpoints.
	MayTryPoison func() bool
	// ShareEvidence is called after new evidence, so that the other nodes learn of it
	// at once. It must not block.
	ShareEvidence func()
	// HostLeaves is called when a host says in an answer that it is about to leave. It
	// must not block; nil ignores it.
	HostLeaves func(host *fleet.Host, requestID string)
	// FailureDomain is the failure domain of this node.
	FailureDomain string
	// Coordinator chooses groups together with the other nodes; nil lets this node
	// choose alone.
	Coordinator Coordinator
	// AnswerMemoryBytes limits what the node holds of the answers of all hosts, besides
	// one answer and a few KB of each. 0 means defaultAnswerMemoryBytes.
	AnswerMemoryBytes int64
	// UntakenMemoryBytes limits what the node holds of answers that their callers have not
	// taken, besides one answer. 0 means defaultAnswerMemoryBytes.
	UntakenMemoryBytes int64
	// Admit returns the refusal of a request that is complete now, or nil. RequestsEnd
	// returns when requests end because the node is stopping, or zero. Both may be nil.
	Admit       func() *refusal.Error
	RequestsEnd func() time.Time
}

// Core serves requests. It is safe for concurrent use.
type Core struct {
	Options
	// retries counts attempts by service: it gets the service's name as the rank.
	retries *retry.Budget
	// crashChecks passes hosts to RunCrashChecks.
	crashChecks chan *fleet.Host
	answers     *heldmemory.Pool
	// untaken is the memory for whole answers that are being delivered.
	untaken *heldmemory.Pool
}

// New returns a core. RunCrashChecks must run beside it.
func New(o Options) *Core {
	if o.Admit == nil {
		o.Admit = func() *refusal.Error { return nil }
	}
	if o.RequestsEnd == nil {
		o.RequestsEnd = func() time.Time { return time.Time{} }
	}
	if o.AnswerMemoryBytes == 0 {
		o.AnswerMemoryBytes = defaultAnswerMemoryBytes
	}
	if o.UntakenMemoryBytes == 0 {
		o.UntakenMemoryBytes = defaultAnswerMemoryBytes
	}
	return &Core{
		Options: o, retries: retry.NewBudget(), crashChecks: make(chan *fleet.Host, maxWaitingCrashChecks),
		answers: heldmemory.NewPool(o.AnswerMemoryBytes, answerReserveBytes, heldmemory.AnswerPace),
		untaken: heldmemory.NewPool(o.UntakenMemoryBytes, answerReserveBytes, heldmemory.CallerPace).WithMaxWait(maxUntakenWait),
	}
}

// HeldBytes returns the counted bytes of answers, and of those that callers have not taken.
func (c *Core) HeldBytes() (answers, untaken int64) { return c.answers.Used(), c.untaken.Used() }

// MaxBodyBytes returns the maximum size of a request body, or 0 before there is a
// configuration.
func (c *Core) MaxBodyBytes() int64 {
	if configuration := c.View.Load().Configuration; configuration != nil {
		return configuration.Limits.MaxBodyBytes
	}
	return 0
}

// requestState is the state of one request.
type requestState struct {
	*Core
	request *Request
	route   *fleet.Route
	service *fleet.Service
	account string
	rank    int
	// deadline is when the request must end: the earlier of the caller's time
	// limit and the route's timeout.
	deadline time.Time
	// judged is true once admission has counted the request.
	judged bool
	// triedHosts lists the IDs of the hosts chosen so far.
	triedHosts []string
	// preferredHost is the choice of the coordinating node for the first attempt, or "".
	preferredHost string
	// mayHaveRun is true once an endpoint may have run the request.
	mayHaveRun bool
	// identity is what the request may share with others that crash endpoints.
	// isTrial is true if the request tries whether that is still so.
	identity poison.Request
	isTrial  bool
	w        http.ResponseWriter
	// caller is the context of the request without its deadline.
	caller context.Context
}

// cause returns why the context of the request has ended, or nil.
func (s *requestState) cause() error { return context.Cause(s.caller) }

// Serve answers one request. It returns when the answer is complete, and panics
// with http.ErrAbortHandler if an answer that has begun cannot be completed. If the
// cause of the end of the request's context is a *refusal.Error, this refuses a request
// that has not run.
func (c *Core) Serve(w http.ResponseWriter, r *http.Request, request *Request) {
	view := c.View.Load()
	s := &requestState{Core: c, request: request, w: w, caller: r.Context()}
	defer func() {
		if cause := recover(); cause != nil {
			s.logPanic(cause)
			panic(http.ErrAbortHandler)
		}
	}()
	if refused := s.Admit(); refused != nil {
		s.refuse(refused)
		return
	}
	if refused := s.authorize(view); refused != nil {
		s.refuse(refused)
		return
	}
	if refused := s.checkPoison(time.Now()); refused != nil {
		s.refuse(refused)
		return
	}
	s.setDeadline()
	c.retries.RecordFirstAttempt(s.service.Name, time.Now())
	ctx, cancel := context.WithDeadline(r.Context(), s.deadline)
	defer cancel()
	if s.route.Kind == fleet.KindStream {
		s.serveStream(ctx)
		return
	}
	s.servePlain(ctx)
}

// logPanic logs the cause of a panic, unless it aborts an answer as intended.
func (s *requestState) logPanic(cause any) {
	if cause == http.ErrAbortHandler {
		return
	}
	s.Log.Log(eventlog.RequestPanicked, eventlog.Fields{"request": s.request.ID, "panic": fmt.Sprint(cause), "stack": string(debug.Stack())})
}

// authorize looks up the route, the account and the service of the request.
func (s *requestState) authorize(view *fleet.View) *refusal.Error {
	configuration := view.Configuration
	if configuration == nil {
		return refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "the node has no configuration yet; send the request again").WithRetryAfter(startupRetryAfter)
	}
	s.route = configuration.Route(hostName(s.request.Host), s.request.Path)
	if s.route == nil {
		return refusal.New(refusal.KindUnknownService, http.StatusNotFound, "no route of this host has a prefix of the path; check both")
	}
	s.rank = s.route.Rank
	if configuration.HasAccounts() {
		account := configuration.Account(s.request.APIKey)
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
		return refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "the route's service is not configured; the operator must add it").WithRetryAfter(NoEndpointRetryAfter)
	}
	return nil
}

// hostName returns the value of a Host header without its port.
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

// pickTarget chooses a service by weight. position, in [0, 1), selects a point in
// the range of the cumulative weights.
func pickTarget(targets []fleet.WeightedService, position float64) string {
	total := 0.0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	position *= total
	for _, t := range targets {
		if position -= max(t.Weight, 0); position < 0 {
			return t.Service
		}
	}
	if len(targets) > 0 {
		return targets[len(targets)-1].Service
	}
	return ""
}

func (s *requestState) setDeadline() {
	limit := s.request.TimeLimit
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	if s.route.Timeout > 0 {
		limit = min(limit, s.route.Timeout)
	}
	s.deadline = s.request.Received.Add(limit)
}

// query describes the next attempt.
func (s *requestState) query() place.Query {
	query := place.Query{
		Service: s.service, Rank: s.rank, Exclude: s.triedHosts, FailureDomain: s.FailureDomain, Preferred: s.preferredHost,
		Account: s.account, TimeLeft: time.Until(s.deadline),
	}
	if s.service.Engine != nil {
		query.Model = s.request.Model
	}
	return query
}

// chooseEndpoint chooses the endpoint of the next attempt, or returns the refusal
// if there is none.
func (s *requestState) chooseEndpoint() (place.Choice, *refusal.Error) {
	view, query := s.View.Load(), s.query()
	choice, none := s.Board.Choose(view, query, time.Now())
	if none == nil {
		s.triedHosts = append(s.triedHosts, choice.Host.ID)
		if choice.RateLimited {
			s.Metrics.Counter("place_sent_to_limited").Inc(1)
		}
		if choice.Cold {
			s.Metrics.Counter("place_sent_to_cold").Inc(1)
		}
		s.logPlaced(view, choice)
		return choice, nil
	}
	return place.Choice{}, s.notPlaced(view, query, none)
}

// notPlaced logs and returns the refusal of a request without an endpoint.
func (s *requestState) notPlaced(view *fleet.View, query place.Query, none *place.Refusal) *refusal.Error {
	s.Log.LogLimited(eventlog.RequestNotPlaced, eventlog.Fields{
		"request": s.request.ID, "service": s.service.Name, "model": query.Model, "rank": s.rank,
		"candidates": none.Candidates, "waiting": none.Waiting, "cold": none.Cold, "load": none.Load, "limit": none.Limit, "hosts_version": view.HostsVersion,
		"hosts_age_ms": time.Since(view.HostsRead).Milliseconds(), "attempt": len(s.triedHosts) + 1,
		"admitted_share": none.AdmittedShare, "promised": none.Promised,
	})
	if none.Cold > 0 {
		s.Metrics.Counter("place_refused_beside_cold").Inc(1)
	}
	if none.Candidates == 0 && none.Waiting > 0 {
		s.Metrics.Counter("place_refused_by_waits").Inc(1)
		return refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "all endpoints ask for no requests at present; send the request again after the given time").WithRetryAfter(none.RetryAfter)
	}
	if none.Candidates == 0 {
		return refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "no endpoint can run the request at present; send it again").WithRetryAfter(NoEndpointRetryAfter)
	}
	if none.RateLimited {
		return refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, "the endpoints take no more requests a second; send the request again after the given time").WithRetryAfter(none.RetryAfter)
	}
	s.countAdmission(none)
	return refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, "all endpoints are full; send the request again after the given time").WithRetryAfter(none.RetryAfter)
}

func (s *requestState) logPlaced(view *fleet.View, choice place.Choice) {
	s.Log.LogLimited(eventlog.RequestPlaced, eventlog.Fields{
		"request": s.request.ID, "route": s.route.Name, "account": s.account, "rank": s.rank, "model": s.request.Model,
		"host": choice.Host.ID, "group": choice.Host.Group.Name, "load": choice.Load, "limit": choice.Limit,
		"attempt": len(s.triedHosts), "revision": view.Configuration.Revision, "hosts_version": view.HostsVersion,
		"left_ms": time.Until(s.deadline).Milliseconds(),
	})
}

// newAttempt returns the attempt to send to the chosen host.
func (s *requestState) newAttempt(host *fleet.Host, resumeAfter string) Attempt {
	deadline := s.deadline
	if end := s.RequestsEnd(); !end.IsZero() && end.Before(deadline) {
		deadline = end
	}
	return Attempt{
		Address: host.Address, HostID: host.ID, Account: s.account, Urgency: min(max(s.rank, 0), 9),
		TimeLeft: time.Until(deadline), ResumeAfter: resumeAfter,
		FreshConnection: !s.route.Repeatable(),
	}
}

// mayRetry reports whether the request may be retried, and charges the retry to
// the budget if so.
func (s *requestState) mayRetry(now time.Time) bool {
	if s.Poison.Suspected(s.identity, now) {
		return false
	}
	nodes := s.Board.LiveNodes(now)
	policy := s.Budget.NodePolicy(nodes, s.route.MaxAttempts)
	allowed := s.retries.Allow(retry.Attempt{Rank: s.service.Name, Policy: policy, AttemptsMade: len(s.triedHosts), Idempotent: true}, now)
	if !allowed && len(s.triedHosts) < s.route.MaxAttempts {
		s.Log.Log(eventlog.RetryBudgetSpent, eventlog.Fields{"request": s.request.ID, "service": s.service.Name, "nodes": nodes})
	}
	return allowed
}

// refuse ends a request without an endpoint's answer. If the request may have run,
// the refusal does not claim that it did not run.
func (s *requestState) refuse(e *refusal.Error) {
	e = s.withoutUnprovenPromise(e)
	e.RequestID = s.request.ID
	s.recordRefused(e)
	s.count("refused", string(e.Kind))
	s.Log.LogLimited(eventlog.RequestRefused, eventlog.Fields{
		"request": s.request.ID, "kind": e.Kind, "status": e.Status, "ran": e.Ran, "retry_after_ms": e.RetryAfter.Milliseconds(),
		"attempts": len(s.triedHosts), "took_ms": time.Since(s.request.Received).Milliseconds(),
	})
	s.Refuse(s.w, e)
}

// deadlineRefusal returns the refusal of a request whose deadline has passed, or which
// the end of the node has ended.
func (s *requestState) deadlineRefusal() *refusal.Error {
	if s.route.Kind == fleet.KindStream && len(s.triedHosts) > 0 {
		s.mayHaveRun = true // the endpoint of an attempt without a reply may run it
	}
	var ended *refusal.Error
	if errors.As(s.cause(), &ended) {
		if s.mayHaveRun {
			return refusal.NewMayHaveRun(ended.Kind, http.StatusGatewayTimeout, "the node stopped before the answer was complete; the request may have run")
		}
		return ended
	}
	if s.mayHaveRun {
		return refusal.NewMayHaveRun(refusal.KindDeadline, http.StatusGatewayTimeout, "the time of the request is over; it may have run")
	}
	return refusal.New(refusal.KindDeadline, http.StatusServiceUnavailable, "the time of the request is over before an endpoint took it").WithRetryAfter(NoEndpointRetryAfter)
}

// callerLeft reports whether the caller closed its connection, and logs it if so.
func (s *requestState) callerLeft(ctx context.Context) bool {
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		return false
	}
	s.count("left", "")
	s.Log.LogLimited(eventlog.CallerDisconnected, eventlog.Fields{
		"request": s.request.ID, "attempts": len(s.triedHosts), "took_ms": time.Since(s.request.Received).Milliseconds(),
	})
	return true
}

// observeHost records what a host says of itself in its answer: its limit of requests,
// that it leaves, or that it wants no requests for a time.
func (s *requestState) observeHost(host *fleet.Host, reply *Reply) {
	s.observeRateLimit(host, reply)
	if reply.Leaving && s.HostLeaves != nil {
		s.HostLeaves(host, s.request.ID)
	}
	if reply.Wait > 0 {
		if until, changed := s.Board.ObserveWait(host, reply.Wait, time.Now()); changed {
			s.Metrics.Counter("place_host_waits").Inc(1)
			s.Log.LogLimited(eventlog.HostWaits, eventlog.Fields{"host": host.ID, "request": s.request.ID, "asked_ms": reply.Wait.Milliseconds(), "wait_ms": time.Until(until).Milliseconds()})
		}
	}
}

// observeRateLimit records the limit that a host names in its answer, and logs it if
// it changed.
func (s *requestState) observeRateLimit(host *fleet.Host, reply *Reply) {
	if reply.RateLimit == nil || !s.Board.ObserveRateLimit(host, *reply.RateLimit, time.Now()) {
		return
	}
	s.Log.LogLimited(eventlog.RateLimitChanged, eventlog.Fields{"host": host.ID, "limited": reply.RateLimit.Named, "per_second": reply.RateLimit.PerSecond})
}

// logBroken logs and counts an attempt that the host may have run and whose answer
// broke off after the given number of events.
func (s *requestState) logBroken(host *fleet.Host, events int, err error) {
	began := "no"
	if events > 0 {
		began = "yes"
	}
	s.Metrics.Tagged(map[string]string{"began": began}).Counter("forward_attempts_broken").Inc(1)
	s.Log.Log(eventlog.AttemptBroken, eventlog.Fields{
		"request": s.request.ID, "host": host.ID, "group": host.Group.Name, "account": s.account, "target": s.request.Target,
		"parts": s.request.SharedParts, "events": events, "error": err.Error(),
	})
}

// latencyBuckets are the histogram buckets of request times, from 1 ms to 32 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

func (s *requestState) count(outcome, kind string) {
	route := "none"
	if s.route != nil {
		route = s.route.Kind.String()
	}
	s.Metrics.Tagged(map[string]string{"outcome": outcome, "kind": kind, "route_kind": route}).Counter("forward_requests").Inc(1)
}

func (s *requestState) observe(name string, d time.Duration) {
	s.Metrics.Tagged(map[string]string{"route_kind": s.route.Kind.String()}).Histogram(name, latencyBuckets).RecordDuration(d)
}

func (s *requestState) logAnswered(status, events int) {
	s.count("answered", "")
	took := time.Since(s.request.Received)
	s.observe("forward_answer_seconds", took)
	s.Log.LogLimited(eventlog.RequestAnswered, eventlog.Fields{
		"request": s.request.ID, "status": status, "events": events, "attempts": len(s.triedHosts), "took_ms": took.Milliseconds(),
		"late": s.route.Kind != fleet.KindStream && s.route.LatencyTarget > 0 && took > s.route.LatencyTarget,
	})
}
