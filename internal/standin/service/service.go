// Package service is a small stand-in for a plain service, such as one for
// loans or bookings. Tests, the demo and the standin command use it. Its ledger
// counts how often each call ran, so that tests can verify that a non-idempotent
// call ran at most once. Calls block while a fault pauses or delays them.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/fault"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// KeyHeader is the request header with the caller's idempotency key.
const KeyHeader = "Idempotency-Key"

// maxBodyBytes limits the body of one call.
const maxBodyBytes = 16 << 20

// Options configure the stand-in.
type Options struct {
	// Host is the name of the host in the platform's list.
	Host string
}

// Faults is the set of faults in force. The zero value means none.
type Faults struct {
	// Outage refuses every call with 503 before it runs.
	Outage bool `json:"outage,omitempty"`
	// RetryAfter is the Retry-After of these refusals, in seconds as text; "" sends none.
	RetryAfter string `json:"retryAfter,omitempty"`
	// Leaving says in every answer that the host is about to leave.
	Leaving bool `json:"leaving,omitempty"`
	// Pause blocks every call before it runs. A blocked call runs after the
	// pause even if its caller has disconnected in the meantime.
	Pause bool `json:"pause,omitempty"`
	// DelayMillis delays every call before it runs.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseNext cuts the connections of the next n calls after they ran.
	LoseNext int `json:"loseNext,omitempty"`
	// LoseEvery cuts the connection of every n-th call after it ran.
	LoseEvery int `json:"loseEvery,omitempty"`
	// FailStatus answers every call with this status after it ran; 0 means none.
	FailStatus int `json:"failStatus,omitempty"`
	// CutNext cuts the connections of the next n calls before they run.
	CutNext int `json:"cutNext,omitempty"`
	// CutEvery cuts the connection of every n-th call before it runs.
	CutEvery int `json:"cutEvery,omitempty"`
}

// Ledger counts the executions of calls.
type Ledger struct {
	// Runs counts the executions of each call other than GET and HEAD by
	// idempotency key. A call without one is counted under the hash of its body.
	Runs map[string]int `json:"runs"`
	// Lookups counts the executions of GET and HEAD calls, by path.
	Lookups map[string]int `json:"lookups"`
	// Refused counts the calls that an outage refused.
	Refused int `json:"refused"`
}

// Reply is the response body of a call that ran.
type Reply struct {
	Host   string `json:"host"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	// Run is the number of executions of this call so far.
	Run int `json:"run"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	options Options
	gate    fault.Gate
	ctx     context.Context
	stop    context.CancelFunc

	mu     sync.Mutex
	faults Faults
	calls  int
	ledger Ledger
}

// New returns a service with an empty ledger.
func New(options Options) *Service {
	s := &Service{options: options, ledger: Ledger{Runs: map[string]int{}, Lookups: map[string]int{}}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Close aborts the calls that a pause or a delay blocks.
func (s *Service) Close() { s.stop() }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.calls = 0
	s.mu.Unlock()
	s.gate.Set(f.Pause, time.Duration(f.DelayMillis)*time.Millisecond)
}

// Faults returns the faults in force; LoseNext and CutNext are the remaining
// counts.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Ledger{Runs: maps.Clone(s.ledger.Runs), Lookups: maps.Clone(s.ledger.Lookups), Refused: s.ledger.Refused}
}

// Handler returns the HTTP interface of the service: the health check GET
// /health, the control endpoints GET /ledger, GET /faults and POST /faults, and
// calls of any other method and path.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.handleHealth)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Ledger())
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if jsonhttp.Read(w, r, &f) {
			s.SetFaults(f)
			jsonhttp.Write(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("/", s.handleCall)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Faults().Leaving {
			w.Header().Set(endpoint.HeaderLeaving, "1")
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Service) handleHealth(w http.ResponseWriter, r *http.Request) {
	if s.gate.Pass(r.Context()) != nil {
		jsonhttp.Abort()
	}
	if s.Faults().Outage {
		jsonhttp.Fail(w, http.StatusServiceUnavailable, "outage")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		jsonhttp.Fail(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	if s.gate.Pass(s.ctx) != nil {
		jsonhttp.Abort()
	}
	faults := s.nextCallFaults()
	switch {
	case faults.refuse:
		if faults.retryAfter != "" {
			w.Header().Set("Retry-After", faults.retryAfter)
		}
		jsonhttp.Fail(w, http.StatusServiceUnavailable, "outage")
		return
	case faults.cutBeforeRun:
		jsonhttp.Abort()
	}
	reply := s.execute(r, body)
	switch {
	case faults.loseReply:
		jsonhttp.Abort()
	case faults.failStatus != 0:
		jsonhttp.Fail(w, faults.failStatus, "failed")
	default:
		jsonhttp.Write(w, http.StatusOK, reply)
	}
}

// callFaults is the set of faults that apply to one call.
type callFaults struct {
	refuse       bool
	retryAfter   string
	cutBeforeRun bool
	loseReply    bool
	failStatus   int
}

// nextCallFaults counts one call and returns the faults that apply to it.
func (s *Service) nextCallFaults() callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	f := &s.faults
	if f.Outage {
		s.ledger.Refused++
	}
	return callFaults{
		refuse:       f.Outage,
		retryAfter:   f.RetryAfter,
		cutBeforeRun: consume(&f.CutNext) || isNth(f.CutEvery, s.calls),
		loseReply:    consume(&f.LoseNext) || isNth(f.LoseEvery, s.calls),
		failStatus:   f.FailStatus,
	}
}

// consume decrements a remaining count. It returns false if none is left.
func consume(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// isNth reports whether a fault that applies to every n-th call applies to the
// call with this count. It never does if n is 0.
func isNth(n, count int) bool { return n > 0 && count%n == 0 }

// execute runs one call and counts it in the ledger.
func (s *Service) execute(r *http.Request, body []byte) Reply {
	reply := Reply{Host: s.options.Host, Method: r.Method, Path: r.URL.Path}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.ledger.Lookups[r.URL.Path]++
		reply.Run = s.ledger.Lookups[r.URL.Path]
		return reply
	}
	reply.Key = ledgerKey(r, body)
	s.ledger.Runs[reply.Key]++
	reply.Run = s.ledger.Runs[reply.Key]
	return reply
}

// ledgerKey returns the key under which the ledger counts a call.
func ledgerKey(r *http.Request, body []byte) string {
	if key := r.Header.Get(KeyHeader); key != "" {
		return key
	}
	sum := sha256.Sum256(body)
	return "body-" + hex.EncodeToString(sum[:])
}
