// Package callerapi implements the HTTP API for callers: completions, calls of
// plain services and readiness. It authenticates, validates and admits requests
// and passes them to the relay or to a service endpoint. A handler blocks until
// its request has ended.
package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/intake"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/claim"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/relay"
	"currantladder.example/currantladder/internal/request/share"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// Headers of requests and answers.
const (
	// HeaderRank names the rank of the request.
	HeaderRank = "X-Rank"
	// HeaderTimeout is the caller's deadline, in milliseconds from the arrival
	// of the request.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderRequestID is the ID that the node gave to the request.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey identifies a non-idempotent call across its repeats.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks the recorded answer of an earlier call.
	HeaderReplayed = "Idempotency-Replayed"
)

// maxCallerTimeout is the longest timeout that a caller may set.
const maxCallerTimeout = 24 * time.Hour

// Outcome classifies how a request ended for the caller.
type Outcome string

// Outcomes.
const (
	// OutcomeComplete: the answer is complete.
	OutcomeComplete Outcome = "whole"
	// OutcomeRefused: the request was refused and did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown: the request failed and may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeCallerLeft: the caller closed the connection before its answer ended.
	OutcomeCallerLeft Outcome = "left"
)

// Sample is what one request contributes to metrics and the burn report.
type Sample struct {
	Rank    string
	Account string
	Class   object.AccountClass
	Outcome Outcome
	// Kind is the kind of the refusal; empty for a complete answer.
	Kind refusal.Kind
	// FirstToken is the time to the first token, or to the whole answer of a
	// plain service; zero if there was none.
	FirstToken time.Duration
	// Waited is how long a caller that left had waited for its answer to begin;
	// zero if the answer had begun.
	Waited time.Duration
	// MaxInterToken is the longest time between two tokens.
	MaxInterToken time.Duration
	Tokens        int
}

// Observer receives a sample for each admitted or refused request. Observe must
// not block.
type Observer interface{ Observe(sample Sample) }

// Suspects decides how to handle requests that may have crashed endpoints.
type Suspects interface {
	// Check reports whether a request with the fingerprint is refused and
	// whether it must run isolated from other requests.
	Check(fingerprint uint64, now time.Time) (refuse, isolate bool)
	// Fingerprint returns a value that is the same for repeats of a request.
	Fingerprint(model, prompt string, maxTokens int) uint64
}

// ServiceEndpoints chooses endpoints of plain services.
type ServiceEndpoints interface {
	// Pick returns a live endpoint that takes calls now and is not in avoid. If there is
	// none because endpoints want no calls for a time, retryAfter is the time until the
	// first of them takes calls again.
	Pick(service string, avoid map[string]bool) (host hostlist.Host, retryAfter time.Duration, ok bool)
	// Failed records that a call to the host failed.
	Failed(host string)
	// Said records what the host said of itself in its answer to a request.
	Said(host hostlist.Host, facts endpoint.Facts, requestID string)
}

// Gate accepts requests while the node may take them.
type Gate interface {
	// Enter returns a refusal, or a function to call when the request has ended.
	Enter() (leave func(), refused *refusal.Error)
	// Ready reports whether the load balancer may send requests and, if not,
	// the reason.
	Ready() (ready bool, reason string)
}

// Deps are the dependencies and limits of a Server.
type Deps struct {
	View     configlog.View
	Gate     Gate
	Limiter  share.Limiter
	Claims   claim.Claims
	Relay    *relay.Relay
	Suspects Suspects
	Services ServiceEndpoints
	Client   *endpoint.Client
	Observer Observer
	// Bodies reads the bodies of requests, and MaxBodyBytes limits their size.
	Bodies       *intake.Bodies
	MaxBodyBytes int64
	// UntakenBytes limits what a node holds of the services' answers that callers have not
	// taken, besides one answer.
	UntakenBytes int64
	Events       *eventlog.Logger
	// RequestTimeout is the longest time that a request may run; zero means no
	// limit.
	RequestTimeout time.Duration
}

// Server is the HTTP handler for callers.
type Server struct {
	deps    Deps
	mux     *http.ServeMux
	answers *heldmemory.Pool
	// untaken is the memory for whole answers that are being delivered.
	untaken *heldmemory.Pool
}

// New returns the handler for callers.
func New(deps Deps) *Server {
	s := &Server{
		deps: deps, mux: http.NewServeMux(), answers: heldmemory.NewPool(answerMemoryBytes, answerReserveBytes, heldmemory.AnswerPace),
		untaken: heldmemory.NewPool(deps.UntakenBytes, endpoint.MaxAnswerBytes, heldmemory.CallerPace).WithMaxWait(maxUntakenWait),
	}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("GET /readyz", s.readiness)
	s.mux.HandleFunc("POST /v1/completions", s.wrap(s.completions))
	s.mux.HandleFunc("POST /v1/chat/completions", s.wrap(s.chatCompletions))
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("/services/{service}/{path...}", s.wrapServices)
	return s
}

// HeldBytes returns the counted bytes of services' answers, and of those that callers have
// not taken.
func (s *Server) HeldBytes() (answers, untaken int64) { return s.answers.Used(), s.untaken.Used() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	ready, reason := s.deps.Gate.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// callerRequest is the state of one request of a caller.
type callerRequest struct {
	id       string
	snapshot *snapshot.Snapshot
	account  *snapshot.Account
	rank     *snapshot.Rank
	received time.Time
	deadline time.Time
	// content is the body; its memory is counted until the end of the request.
	content *intake.Content
}

type requestHandler func(w http.ResponseWriter, r *http.Request, current *callerRequest) *refusal.Error

// wrap returns an HTTP handler that passes the gate, authenticates the caller
// and reads the body before it calls handler. It observes and writes every
// refusal, including one that handler returns.
func (s *Server) wrap(handler requestHandler) http.HandlerFunc {
	return s.wrapBodies(handler, BodyCopies)
}

// wrapServices is wrap for calls of services, whose bodies are passed on as they are.
func (s *Server) wrapServices(w http.ResponseWriter, r *http.Request) {
	s.wrapBodies(s.service, 0)(w, r)
}

// BodyCopies is how many copies of the body of a completion are made besides the body: the
// prompt, and the message in which it is passed on.
const BodyCopies = 2

// wrapBodies is wrap for a handler that makes copies of the body.
func (s *Server) wrapBodies(handler requestHandler, copies int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current := &callerRequest{id: uuid.NewString(), snapshot: s.deps.View.Current(), received: time.Now()}
		w.Header().Set(HeaderRequestID, current.id)
		refused := s.serveRequest(w, r, current, handler, copies)
		if refused == nil {
			return
		}
		withID := *refused
		withID.RequestID = current.id
		s.observeRefusal(r.Context(), current, &withID)
		withID.Write(w)
	}
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, current *callerRequest, handler requestHandler, copies int) *refusal.Error {
	leave, refused := s.deps.Gate.Enter()
	if refused != nil {
		return refused
	}
	defer leave()
	if refused := s.authenticate(r, current); refused != nil {
		return refused
	}
	if refused := current.readHeaders(r); refused != nil {
		return refused
	}
	if refused := checkService(r, current); refused != nil {
		return refused
	}
	if refused := s.readBody(w, r, current, copies); refused != nil {
		return refused
	}
	defer current.content.Close()
	ctx, cancel := current.withDeadline(r.Context(), s.deps.RequestTimeout)
	defer cancel()
	return handler(w, r.WithContext(ctx), current)
}

func (s *Server) authenticate(r *http.Request, current *callerRequest) *refusal.Error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return refusal.New(refusal.KindUnauthorized, http.StatusUnauthorized, "no bearer key was sent; send the header Authorization: Bearer KEY")
	}
	hash := sha256.Sum256([]byte(key))
	current.account = current.snapshot.AccountByKeyHash(hex.EncodeToString(hash[:]))
	if current.account == nil {
		return refusal.New(refusal.KindUnauthorized, http.StatusUnauthorized, "the bearer key belongs to no client account; ask the operator for a key")
	}
	return nil
}

// readHeaders sets rank and deadline from the headers of the request.
func (c *callerRequest) readHeaders(r *http.Request) *refusal.Error {
	if refused := c.chooseRank(r.Header.Get(HeaderRank)); refused != nil {
		return refused
	}
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 || millis > maxCallerTimeout.Milliseconds() {
		return refusal.New(refusal.KindBadRequest, http.StatusBadRequest, fmt.Sprintf("header %s is %q; use a number of milliseconds from 1 to %d", HeaderTimeout, text, maxCallerTimeout.Milliseconds()))
	}
	c.deadline = c.received.Add(time.Duration(millis) * time.Millisecond)
	return nil
}

// chooseRank sets the rank with the given name. Without a name it sets the least
// urgent rank that the account may use.
func (c *callerRequest) chooseRank(name string) *refusal.Error {
	allowed := make(map[string]bool, len(c.account.Ranks))
	for _, rank := range c.account.Ranks {
		allowed[rank] = true
	}
	if name == "" {
		for _, rank := range c.snapshot.Ranks() {
			if allowed[rank.Name] {
				c.rank = rank
			}
		}
	} else {
		c.rank = c.snapshot.Rank(name)
	}
	if c.rank == nil {
		return refusal.New(refusal.KindUnknownRank, http.StatusBadRequest, fmt.Sprintf("rank %q is not declared; use one of %s", name, strings.Join(c.account.Ranks, ", ")))
	}
	if !allowed[c.rank.Name] {
		return refusal.New(refusal.KindRankNotAllowed, http.StatusForbidden, fmt.Sprintf("account %s may not use rank %s; use one of %s", c.account.Name, name, strings.Join(c.account.Ranks, ", ")))
	}
	return nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, current *callerRequest, copies int) *refusal.Error {
	limits := intake.Limits{Owner: current.account.Name, MaxBytes: s.deps.MaxBodyBytes, Latest: current.latest(s.deps.RequestTimeout), Copies: copies}
	content, err := s.deps.Bodies.Read(w, r, limits)
	if err == nil {
		current.content = content
		return nil
	}
	if refused := intake.Refusal(err); refused != nil {
		s.deps.Bodies.Refused(r, refused)
		return refused
	}
	if errors.Is(context.Cause(r.Context()), context.Canceled) || !errors.Is(err, context.Cause(r.Context())) {
		return refusal.New(refusal.KindBadRequest, http.StatusBadRequest, "the body could not be read whole: "+err.Error())
	}
	return refusal.New(refusal.KindNodeStopping, http.StatusServiceUnavailable, "the node stopped before the body was complete; send the request to another node")
}

// latest returns the earlier of the caller's deadline and the end of timeout, or zero if
// there is neither. A timeout of zero is ignored.
func (c *callerRequest) latest(timeout time.Duration) time.Time {
	deadline := c.deadline
	if latest := c.received.Add(timeout); timeout > 0 && (deadline.IsZero() || latest.Before(deadline)) {
		deadline = latest
	}
	return deadline
}

// withDeadline returns a context that ends at the caller's deadline or after
// timeout, whichever comes first. A timeout of zero is ignored.
func (c *callerRequest) withDeadline(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	deadline := c.latest(timeout)
	if deadline.IsZero() {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, deadline)
}

func (s *Server) observeRefusal(ctx context.Context, current *callerRequest, refused *refusal.Error) {
	sample := Sample{Outcome: outcomeOf(refused), Kind: refused.Kind}
	// net/http ends the context as if the caller had left when the time for a body is over.
	if callerLeft(ctx) && refused.Kind != refusal.KindBodyTooSlow {
		sample.Outcome = OutcomeCallerLeft
		sample.Waited = time.Since(current.received)
	}
	if current.account != nil {
		sample.Account = current.account.Name
		sample.Class = current.account.Class
	}
	if current.rank != nil {
		sample.Rank = current.rank.Name
	}
	s.deps.Observer.Observe(sample)
}

// callerLeft reports whether the context of a request ended because the caller
// closed the connection, rather than at a deadline or at the end of the node, which has
// a cause of its own.
func callerLeft(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

func outcomeOf(refused *refusal.Error) Outcome {
	if refused.Ran == refusal.RanNo {
		return OutcomeRefused
	}
	return OutcomeUnknown
}
