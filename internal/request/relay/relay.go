// Package relay carries one caller's request at its entry node: it chooses a
// home node, passes the answer on as it arrives, and resumes it elsewhere from
// the delivered token when a group, a home or a connection fails.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/answer"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/route"
	"currantladder.example/currantladder/internal/request/suspect"
)

// Bounds of one request's way.
const (
	// endpointWait bounds the wait for an open group or a new home.
	endpointWait = 3 * time.Second
	// firstBackoff and maxBackoff bound the pause between looks for one.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// maxPreemptions bounds how often one request gives way.
	maxPreemptions = 16
)

// Request is one admitted completion.
type Request struct {
	ID          string
	Account     string
	Rank        string
	Model       string
	Prompt      string
	MaxTokens   int
	CostTokens  int64
	Fingerprint uint64
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
	// Isolate asks for an endpoint without other work, for a crash suspect.
	Isolate bool
}

// TokenSink receives the text of each token once, in order. It may block.
type TokenSink func(text string) error

// Result describes a whole answer.
type Result struct {
	Finish   endpoint.FinishReason
	Usage    endpoint.Usage
	Attempts int
	// Group served the end of the answer.
	Group string
}

// Homes runs requests at home nodes; the node itself included.
type Homes interface {
	// Run blocks until the request has ended at the home. It returns the
	// error of sink, or a *peer.LinkError when the connection failed.
	Run(ctx context.Context, node string, r peer.HomeRequest, sink func(peer.Frame) error) error
}

// Router chooses the home node for a request.
type Router interface {
	// ChooseHome returns a home for the model that is not in avoid.
	ChooseHome(model string, prefix []uint64, avoid map[string]bool) (node string, ok bool)
}

// RetryBudget bounds retries as a share of first attempts.
type RetryBudget interface {
	// First records a first attempt.
	First(rank string, now time.Time)
	// Retry reports whether a retry is allowed after attempts tries, and
	// takes it from the budget.
	Retry(rank string, attempts int, now time.Time) bool
}

// Suspects knows the requests that may crash the endpoints that run them.
type Suspects interface {
	// Judge reports whether the fingerprint is refused, and whether it must
	// run apart from other work.
	Judge(fingerprint uint64, now time.Time) (refuse, isolate bool)
	// HoldUntil returns the time before which the final error of a suspect
	// must not reach its caller; zero where there is none.
	HoldUntil(fingerprint uint64) time.Time
	// Finished drops the suspicion against a request that ran to its end.
	Finished(fingerprint uint64)
}

// Recorder keeps the decisions on the way of a request.
type Recorder interface {
	Record(requestID, reason, message string)
}

// Relay runs requests. It is safe for concurrent use.
type Relay struct {
	Homes    Homes
	Router   Router
	Budget   RetryBudget
	Suspects Suspects
	Recorder Recorder
}

// relayState is the state of one request on its way.
type relayState struct {
	relay       *Relay
	request     Request
	assembler   *answer.Assembler
	sink        TokenSink
	prefix      []uint64
	avoidNodes  map[string]bool
	avoidGroups []string
	attempts    int
	preemptions int
	ranUnknown  bool
	// assigned is true once a home gave the request a slot.
	assigned bool
	group    string
	// crashed is when an endpoint last died with the request.
	crashed time.Time
	// waitingSince is when the request began to look for an endpoint.
	waitingSince time.Time
	backoff      time.Duration
	lastRefusal  *refusal.Error
}

// callerError marks a failed write to the caller.
type callerError struct{ err error }

// Error implements error.
func (e *callerError) Error() string { return "caller went away: " + e.err.Error() }

// Run serves the request whole or returns a refusal. Tokens already passed to
// sink stay valid; a refusal after the first token means that the answer is
// not whole.
func (r *Relay) Run(ctx context.Context, request Request, sink TokenSink) (Result, *refusal.Error) {
	s := &relayState{
		relay:      r,
		request:    request,
		assembler:  answer.New(request.ID, 0, ""),
		sink:       sink,
		prefix:     route.PrefixBlocks(request.Prompt),
		avoidNodes: make(map[string]bool),
		backoff:    firstBackoff,
	}
	r.Budget.First(request.Rank, time.Now())
	for {
		refused, again := s.step(ctx)
		if s.assembler.Whole() {
			r.Suspects.Finished(request.Fingerprint)
			return s.result(), nil
		}
		if !again {
			s.holdBack()
			return s.result(), s.final(refused)
		}
	}
}

func (s *relayState) result() Result {
	return Result{
		Finish:   s.assembler.Finish(),
		Usage:    s.assembler.Usage(),
		Attempts: s.attempts,
		Group:    s.group,
	}
}

// final gives the refusal the request id and whether any attempt may have run.
func (s *relayState) final(refused *refusal.Error) *refusal.Error {
	copied := *refused
	copied.RequestID = s.request.ID
	if s.ranUnknown {
		copied.Ran = refusal.RanUnknown
	}
	s.record("Refused", copied.Error())
	return &copied
}

// holdBack waits until every node knows of the suspicion against the request,
// so that its caller cannot send it again before. It outlasts the deadline.
func (s *relayState) holdBack() {
	until := s.relay.Suspects.HoldUntil(s.request.Fingerprint)
	if !s.crashed.IsZero() && s.crashed.Add(suspect.AnnounceDelay).After(until) {
		until = s.crashed.Add(suspect.AnnounceDelay)
	}
	time.Sleep(time.Until(until))
}

func (s *relayState) record(reason, message string) {
	s.relay.Recorder.Record(s.request.ID, reason, message)
}

// step makes one attempt. It returns a refusal and whether to go on.
func (s *relayState) step(ctx context.Context) (*refusal.Error, bool) {
	if ctx.Err() != nil {
		return s.ended()
	}
	node, ok := s.relay.Router.ChooseHome(s.request.Model, s.prefix, s.avoidNodes)
	if !ok {
		return s.waitForEndpoint(ctx, s.noHome())
	}
	s.attempts++
	s.record("SentToHome", fmt.Sprintf("attempt %d goes to home node %s from token %d", s.attempts, node, s.assembler.Next()))
	var end *peer.End
	err := s.relay.Homes.Run(ctx, node, s.homeRequest(), func(frame peer.Frame) error { return s.frame(frame, &end) })
	if s.assembler.Whole() {
		return nil, false
	}
	return s.afterAttempt(ctx, node, end, err)
}

// frame handles one frame of the home's answer.
func (s *relayState) frame(frame peer.Frame, end **peer.End) error {
	switch {
	case frame.Assigned != nil:
		s.assigned = true
		s.group = frame.Assigned.Group
		s.waitingSince = time.Time{}
		s.backoff = firstBackoff
		s.record("Assigned", fmt.Sprintf("group %s after %d ms in the queue", s.group, frame.Assigned.WaitMillis))
	case frame.End != nil:
		*end = frame.End
	case frame.Chunk != nil:
		return s.chunk(*frame.Chunk)
	}
	return nil
}

func (s *relayState) chunk(chunk endpoint.Chunk) error {
	if err := s.assembler.Accept(chunk); err != nil {
		return err
	}
	if chunk.Finish != "" {
		return nil
	}
	if err := s.sink(chunk.Text); err != nil {
		return &callerError{err}
	}
	return nil
}

func (s *relayState) homeRequest() peer.HomeRequest {
	r := peer.HomeRequest{
		RequestID:   s.request.ID,
		Account:     s.request.Account,
		Rank:        s.request.Rank,
		Model:       s.request.Model,
		Prompt:      s.request.Prompt,
		MaxTokens:   s.request.MaxTokens,
		CostTokens:  s.request.CostTokens,
		Fingerprint: s.request.Fingerprint,
		ResumeIndex: s.assembler.Next(),
		Delivered:   s.assembler.Text(),
		Avoid:       s.avoidGroups,
		Resumed:     s.assigned || s.attempts > 1,
		Isolate:     s.request.Isolate,
	}
	if !s.request.Deadline.IsZero() {
		r.RemainingMillis = max(time.Until(s.request.Deadline).Milliseconds(), 1)
	}
	return r
}

// afterAttempt decides what follows an attempt that did not make the answer
// whole.
func (s *relayState) afterAttempt(ctx context.Context, node string, end *peer.End, err error) (*refusal.Error, bool) {
	var gone *callerError
	if errors.As(err, &gone) || ctx.Err() != nil {
		s.ranUnknown = true
		return s.ended()
	}
	if end == nil {
		return s.linkFailed(ctx, node, err)
	}
	s.record(string(end.Cause), end.Refusal.Error())
	s.lastRefusal = end.Refusal
	if end.Refusal.Ran != refusal.RanNo {
		s.ranUnknown = true
	}
	switch end.Cause {
	case peer.EndPreempted:
		s.preemptions++
		s.attempts--
		return end.Refusal, s.preemptions <= maxPreemptions
	case peer.EndRefused:
		return s.refusedByHome(node, end.Refusal)
	default:
		return s.groupFailed(end)
	}
}

// refusedByHome handles an attempt that did not run: only a missing endpoint
// is worth a look elsewhere.
func (s *relayState) refusedByHome(node string, refused *refusal.Error) (*refusal.Error, bool) {
	s.attempts--
	s.avoidNodes[node] = true
	return refused, refused.Kind == refusal.KindNoEndpoint
}

func (s *relayState) groupFailed(end *peer.End) (*refusal.Error, bool) {
	s.avoidGroups = append(s.avoidGroups, end.Group)
	if !end.Crashed {
		return s.retry(end.Refusal)
	}
	s.crashed = time.Now()
	alone := s.request.Isolate
	s.request.Isolate = true
	if alone {
		// The next attempt waits for what other nodes know: a loss of many
		// endpoints at once is not the request's fault.
		s.holdBack()
		if refuse, _ := s.relay.Suspects.Judge(s.request.Fingerprint, time.Now()); refuse {
			return refusal.Suspect(), false
		}
	}
	return s.retry(end.Refusal)
}

// linkFailed handles a broken or silent connection to the home node, or an
// answer that does not fit the request.
func (s *relayState) linkFailed(ctx context.Context, node string, err error) (*refusal.Error, bool) {
	s.avoidNodes[node] = true
	message := fmt.Sprintf("home node %s failed: %v; send the request again", node, err)
	s.record("HomeFailed", message)
	refused := refusal.Unknown(refusal.KindIncomplete, http.StatusBadGateway, message)
	var link *peer.LinkError
	if errors.As(err, &link) && !link.Handed {
		s.attempts--
		refused.Ran = refusal.RanNo
		return s.waitForEndpoint(ctx, refused)
	}
	s.ranUnknown = true
	return s.retry(refused)
}

func (s *relayState) retry(refused *refusal.Error) (*refusal.Error, bool) {
	if s.relay.Budget.Retry(s.request.Rank, s.attempts, time.Now()) {
		return refused, true
	}
	message := fmt.Sprintf("attempt %d failed and no further retry is allowed (%s); send the request again later", s.attempts, refused.Message)
	return &refusal.Error{Kind: refusal.KindRetriesExhausted, Message: message, Ran: refused.Ran, Status: http.StatusBadGateway, RetryAfter: time.Second}, false
}

// waitForEndpoint pauses before another look for an open group, which may be
// one that failed the request.
func (s *relayState) waitForEndpoint(ctx context.Context, refused *refusal.Error) (*refusal.Error, bool) {
	now := time.Now()
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	if now.Sub(s.waitingSince) >= endpointWait {
		return refused, false
	}
	select {
	case <-ctx.Done():
		return s.ended()
	case <-time.After(s.backoff):
	}
	s.backoff = min(2*s.backoff, maxBackoff)
	clear(s.avoidNodes)
	s.avoidGroups = nil
	return refused, true
}

func (s *relayState) noHome() *refusal.Error {
	if s.lastRefusal != nil {
		return s.lastRefusal
	}
	message := fmt.Sprintf("no live node is home for model %q; send the request again later", s.request.Model)
	return refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, message).After(time.Second)
}

// ended is the refusal of a request whose caller left or whose deadline passed.
func (s *relayState) ended() (*refusal.Error, bool) {
	refused := refusal.New(refusal.KindDeadline, http.StatusGatewayTimeout, "the deadline passed or the caller left before the answer was whole; allow more time")
	if s.assembler.Next() > 0 {
		refused.Ran = refusal.RanUnknown
	}
	return refused, false
}
