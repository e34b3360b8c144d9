// Package service is a small stand-in for a plain service, such as a loan or
// booking counter. Its ledger counts how often each call ran, so that tests can
// prove that a non-idempotent call ran at most once.
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

	"currantladder.example/currantladder/internal/standin/fault"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// KeyHeader carries the caller's idempotency key.
const KeyHeader = "Idempotency-Key"

// maxBodyBytes bounds the body of one call.
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
	// Pause holds every call. A held call runs afterwards, even when its
	// caller has gone meanwhile.
	Pause bool `json:"pause,omitempty"`
	// DelayMillis delays every call before it runs.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseNext cuts the connection of the next calls after they ran.
	LoseNext int `json:"loseNext,omitempty"`
	// LoseEvery cuts the connection of every n-th call after it ran.
	LoseEvery int `json:"loseEvery,omitempty"`
	// CutNext cuts the connection of the next calls before they run.
	CutNext int `json:"cutNext,omitempty"`
	// CutEvery cuts the connection of every n-th call before it runs.
	CutEvery int `json:"cutEvery,omitempty"`
}

// Ledger counts executions.
type Ledger struct {
	// Runs counts the executions of each call other than GET and HEAD, by
	// idempotency key, or by the hash of the body where it has none.
	Runs map[string]int `json:"runs"`
	// Lookups counts the executions of GET and HEAD calls, by path.
	Lookups map[string]int `json:"lookups"`
}

// Reply is the answer to a call that ran.
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

// Close cuts the calls that are held.
func (s *Service) Close() { s.stop() }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.calls = 0
	s.mu.Unlock()
	s.gate.Set(f.Pause, time.Duration(f.DelayMillis)*time.Millisecond)
}

// Faults returns the faults in force; LoseNext and CutNext are what is left.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Ledger returns a copy of the ledger.
func (s *Service) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Ledger{Runs: maps.Clone(s.ledger.Runs), Lookups: maps.Clone(s.ledger.Lookups)}
}

// Handler returns the HTTP interface of the service: any method and path, and
// the controls GET /ledger and /faults, POST /faults.
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
	return mux
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
	plan := s.plan()
	switch {
	case plan.refuse:
		jsonhttp.Fail(w, http.StatusServiceUnavailable, "outage")
		return
	case plan.cut:
		jsonhttp.Abort()
	}
	reply := s.execute(r, body)
	if plan.lose {
		jsonhttp.Abort()
	}
	jsonhttp.Write(w, http.StatusOK, reply)
}

// callPlan is what the faults in force do to one call.
type callPlan struct {
	refuse bool
	cut    bool
	lose   bool
}

// plan counts one call and applies the faults in force to it.
func (s *Service) plan() callPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	f := &s.faults
	return callPlan{
		refuse: f.Outage,
		cut:    take(&f.CutNext) || every(f.CutEvery, s.calls),
		lose:   take(&f.LoseNext) || every(f.LoseEvery, s.calls),
	}
}

// take uses one of the remaining faults up.
func take(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

func every(n, count int) bool { return n > 0 && count%n == 0 }

// execute runs one call and enters it in the ledger.
func (s *Service) execute(r *http.Request, body []byte) Reply {
	reply := Reply{Host: s.options.Host, Method: r.Method, Path: r.URL.Path}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.ledger.Lookups[r.URL.Path]++
		reply.Run = s.ledger.Lookups[r.URL.Path]
		return reply
	}
	reply.Key = callKey(r, body)
	s.ledger.Runs[reply.Key]++
	reply.Run = s.ledger.Runs[reply.Key]
	return reply
}

// callKey identifies a call in the ledger.
func callKey(r *http.Request, body []byte) string {
	if key := r.Header.Get(KeyHeader); key != "" {
		return key
	}
	sum := sha256.Sum256(body)
	return "body-" + hex.EncodeToString(sum[:])
}
