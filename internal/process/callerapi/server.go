// Package callerapi is the listener for callers: the completions API, plain
// services and readiness. It authenticates, validates and admits requests and
// hands them to the relay or to a service endpoint.
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
	"currantladder.example/currantladder/internal/request/claim"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/relay"
	"currantladder.example/currantladder/internal/request/share"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// Headers of caller requests and answers.
const (
	// HeaderRank names the rank of the request.
	HeaderRank = "X-Rank"
	// HeaderTimeout is the caller's deadline, in milliseconds from now.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderRequestID carries the node's id of the request.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey names a non-idempotent call across repeats.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a recorded answer.
	HeaderReplayed = "Idempotency-Replayed"
)

// maxTimeout bounds the deadline that a caller may set.
const maxTimeout = 24 * time.Hour

// Outcome classifies how a request ended for the caller.
type Outcome string

// Outcomes.
const (
	OutcomeWhole   Outcome = "whole"
	OutcomeRefused Outcome = "refused"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeLeft: the caller closed the connection before the end.
	OutcomeLeft Outcome = "left"
)

// Sample is what one request contributes to metrics and the burn report.
type Sample struct {
	Rank    string
	Account string
	Class   object.AccountClass
	Outcome Outcome
	// Kind is the refusal's kind; empty for a whole answer.
	Kind refusal.Kind
	// FirstToken is the time to the first token; zero where none came.
	FirstToken time.Duration
	// Waited is how long a caller that left had waited for the first token;
	// zero where one came.
	Waited time.Duration
	// MaxInterToken is the longest time between two tokens.
	MaxInterToken time.Duration
	Tokens        int
}

// Observer receives a sample for each admitted or refused request. It must not
// block.
type Observer interface{ Observe(sample Sample) }

// Suspects tells how to treat a request that may have crashed endpoints.
type Suspects interface {
	// Judge reports whether the fingerprint is refused, and whether it must
	// run apart from other work.
	Judge(fingerprint uint64, now time.Time) (refuse, isolate bool)
	// Fingerprint identifies a request across repeats.
	Fingerprint(model, prompt string, maxTokens int) uint64
}

// ServiceEndpoints chooses endpoints of plain services.
type ServiceEndpoints interface {
	// Pick returns a live endpoint that is not in avoid.
	Pick(service string, avoid map[string]bool) (host, address string, ok bool)
	// Failed reports that a call of the host failed.
	Failed(host string)
}

// Gate admits work while the node may take it.
type Gate interface {
	// Enter returns a refusal, or a function to call when the work has ended.
	Enter() (leave func(), refused *refusal.Error)
	// Ready reports whether the balancer may send work, and why not.
	Ready() (ready bool, why string)
}

// Deps are the parts that the listener uses.
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
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// RequestLimit bounds the time of one request; zero means no bound.
	RequestLimit time.Duration
}

// Server serves callers.
type Server struct {
	deps Deps
	mux  *http.ServeMux
}

// New returns the callers' handler.
func New(deps Deps) *Server {
	s := &Server{deps: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	s.mux.HandleFunc("GET /readyz", s.readiness)
	s.mux.HandleFunc("POST /v1/completions", s.entered(s.completions))
	s.mux.HandleFunc("POST /v1/chat/completions", s.entered(s.chatCompletions))
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("/services/{service}/{path...}", s.entered(s.service))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	ready, why := s.deps.Gate.Ready()
	if !ready {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// session is one authenticated caller request.
type session struct {
	id       string
	snapshot *snapshot.Snapshot
	account  *snapshot.Account
	rank     *snapshot.Rank
	received time.Time
	deadline time.Time
	body     []byte
}

type sessionHandler func(w http.ResponseWriter, r *http.Request, s *session) *refusal.Error

// entered passes the gate, authenticates the caller and reads the body before
// the handler runs. A refusal that the handler returns is written here.
func (s *Server) entered(handler sessionHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		current := &session{id: uuid.NewString(), snapshot: s.deps.View.Current(), received: time.Now()}
		w.Header().Set(HeaderRequestID, current.id)
		refused := s.enter(w, r, current, handler)
		if refused == nil {
			return
		}
		copied := *refused
		copied.RequestID = current.id
		s.observeRefusal(r.Context(), current, &copied)
		copied.Write(w)
	}
}

func (s *Server) enter(w http.ResponseWriter, r *http.Request, current *session, handler sessionHandler) *refusal.Error {
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
	if refused := s.readBody(w, r, current); refused != nil {
		return refused
	}
	ctx, cancel := current.context(r.Context(), s.deps.RequestLimit)
	defer cancel()
	return handler(w, r.WithContext(ctx), current)
}

func (s *Server) authenticate(r *http.Request, current *session) *refusal.Error {
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

// readHeaders takes rank and deadline from the request's headers.
func (c *session) readHeaders(r *http.Request) *refusal.Error {
	if refused := c.chooseRank(r.Header.Get(HeaderRank)); refused != nil {
		return refused
	}
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 || millis > maxTimeout.Milliseconds() {
		return refusal.New(refusal.KindBadRequest, http.StatusBadRequest, fmt.Sprintf("header %s is %q; use a number of milliseconds from 1 to %d", HeaderTimeout, text, maxTimeout.Milliseconds()))
	}
	c.deadline = c.received.Add(time.Duration(millis) * time.Millisecond)
	return nil
}

// chooseRank sets the rank by name; without a name it is the least urgent rank
// that the account may use.
func (c *session) chooseRank(name string) *refusal.Error {
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

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, current *session) *refusal.Error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.deps.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.KindBodyTooLarge, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes; send a smaller one", tooLarge.Limit))
	}
	if err != nil {
		return refusal.New(refusal.KindBadRequest, http.StatusBadRequest, "the body could not be read whole: "+err.Error())
	}
	current.body = body
	return nil
}

// context returns a context that ends at the caller's deadline or the limit,
// whichever comes first.
func (c *session) context(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	end := c.deadline
	if last := c.received.Add(limit); limit > 0 && (end.IsZero() || last.Before(end)) {
		end = last
	}
	if end.IsZero() {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, end)
}

func (s *Server) observeRefusal(ctx context.Context, current *session, refused *refusal.Error) {
	sample := Sample{Outcome: outcomeOf(refused), Kind: refused.Kind}
	if callerLeft(ctx) {
		sample.Outcome = OutcomeLeft
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

// callerLeft reports whether the context of a request ended because its caller
// closed the connection, and not at the caller's deadline.
func callerLeft(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

func outcomeOf(refused *refusal.Error) Outcome {
	if refused.Ran == refusal.RanNo {
		return OutcomeRefused
	}
	return OutcomeUnknown
}
