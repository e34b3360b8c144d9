// Package relay serves one caller's request at its entry node: it chooses a home
// node, passes the answer on as it arrives, and resumes it at another group or
// home after the last delivered token when a group, a home or a connection fails.
package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/answer"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/route"
	"currantladder.example/currantladder/internal/request/suspect"
)

// Limits on the attempts of one request.
const (
	// endpointTimeout is how long to wait for an open group or a home node.
	endpointTimeout = 3 * time.Second
	// initialEndpointBackoff and maxEndpointBackoff are the smallest and the
	// largest delay between two tries to find one.
	initialEndpointBackoff = 50 * time.Millisecond
	maxEndpointBackoff     = 400 * time.Millisecond
	// maxPreemptions is how often one request may be preempted before it is
	// refused.
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
	// Isolate requests an endpoint without other work, for a crash suspect.
	Isolate bool
}

// TokenSink receives the text of each token once, in order. It may block.
type TokenSink func(text string) error

// Result describes an answer, which is incomplete if Run also returns a refusal.
type Result struct {
	Finish   endpoint.FinishReason
	Usage    endpoint.Usage
	Attempts int
	// Group is the group that served the last part of the answer.
	Group string
}

// Homes runs requests at home nodes, including this node.
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
	// RecordFirstAttempt records a first attempt.
	RecordFirstAttempt(rank string, now time.Time)
	// Retry reports whether a retry is allowed after that many attempts, and
	// takes it from the budget.
	Retry(rank string, attempts int, now time.Time) bool
}

// Suspects tracks requests that are suspected of crashing the endpoints that
// run them.
type Suspects interface {
	// Check reports whether a request with the fingerprint must be refused, and
	// whether it must run on a group without other work.
	Check(fingerprint uint64, now time.Time) (refuse, isolate bool)
	// DelayErrorsUntil returns the time before which the final error of a suspect
	// must not reach its caller; zero if there is none.
	DelayErrorsUntil(fingerprint uint64) time.Time
	// ClearSuspicion clears the suspicion against a request that ran to its end.
	ClearSuspicion(fingerprint uint64)
}

// Recorder records the decisions that are taken for a request.
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

// requestState is the state of one request between its attempts.
type requestState struct {
	relay       *Relay
	request     Request
	assembler   *answer.Assembler
	sink        TokenSink
	prefix      []uint64
	avoidNodes  map[string]bool
	avoidGroups []string
	attempts    int
	preemptions int
	// ranUnknown is true once a failed attempt may have run.
	ranUnknown bool
	// assigned is true once a home gave the request a slot.
	assigned bool
	group    string
	// crashedAt is when an endpoint last crashed while it ran the request.
	crashedAt time.Time
	// waitingSince is when the request began to wait for an endpoint; zero while
	// it does not wait.
	waitingSince time.Time
	backoff      time.Duration
	lastRefusal  *refusal.Error
	// refusals are those of the homes without an open group, since the last backoff.
	refusals []*refusal.Error
}

// callerError wraps a failed write to the caller.
type callerError struct{ err error }

// Error implements error.
func (e *callerError) Error() string {
	return "answer could not be written to the caller: " + e.err.Error()
}

// Run blocks until the complete answer has been passed to sink, or returns a
// refusal. Tokens already passed to sink stay valid; a refusal after the first
// token means that the answer is incomplete.
func (r *Relay) Run(ctx context.Context, request Request, sink TokenSink) (Result, *refusal.Error) {
	s := &requestState{
		relay:      r,
		request:    request,
		assembler:  answer.New(request.ID, 0, ""),
		sink:       sink,
		prefix:     route.PrefixBlocks(request.Prompt),
		avoidNodes: make(map[string]bool),
		backoff:    initialEndpointBackoff,
	}
	r.Budget.RecordFirstAttempt(request.Rank, time.Now())
	for {
		refused, retry := s.attempt(ctx)
		if s.assembler.Complete() {
			r.Suspects.ClearSuspicion(request.Fingerprint)
			return s.result(), nil
		}
		if !retry {
			s.waitForAnnouncement()
			return s.result(), s.finalRefusal(refused)
		}
	}
}

func (s *requestState) result() Result {
	return Result{
		Finish:   s.assembler.Finish(),
		Usage:    s.assembler.Usage(),
		Attempts: s.attempts,
		Group:    s.group,
	}
}

// finalRefusal returns a copy of the refusal with the request ID and whether any
// attempt may have run.
func (s *requestState) finalRefusal(refused *refusal.Error) *refusal.Error {
	copied := *refused
	copied.RequestID = s.request.ID
	if s.ranUnknown {
		copied.Ran = refusal.RanUnknown
	}
	s.record("Refused", copied.Error())
	return &copied
}

// waitForAnnouncement blocks until the digests with the suspicion against the
// request should have reached every node, so that its caller cannot send it again
// earlier. It may block beyond the request's deadline.
func (s *requestState) waitForAnnouncement() {
	until := s.relay.Suspects.DelayErrorsUntil(s.request.Fingerprint)
	if !s.crashedAt.IsZero() && s.crashedAt.Add(suspect.AnnounceDelay).After(until) {
		until = s.crashedAt.Add(suspect.AnnounceDelay)
	}
	time.Sleep(time.Until(until))
}

func (s *requestState) record(reason, message string) {
	s.relay.Recorder.Record(s.request.ID, reason, message)
}

// attempt makes one attempt. If the answer is not complete after it, it returns a
// refusal and whether to make another attempt.
func (s *requestState) attempt(ctx context.Context) (*refusal.Error, bool) {
	if ctx.Err() != nil {
		return s.abandonedRefusal()
	}
	node, ok := s.relay.Router.ChooseHome(s.request.Model, s.prefix, s.avoidNodes)
	if !ok {
		if refused := s.longRefusal(); refused != nil {
			return refused, false
		}
		return s.waitForEndpoint(ctx, s.noHomeRefusal())
	}
	s.attempts++
	s.record("SentToHome", fmt.Sprintf("attempt %d goes to home node %s from token %d", s.attempts, node, s.assembler.Next()))
	var end *peer.End
	err := s.relay.Homes.Run(ctx, node, s.homeRequest(), func(frame peer.Frame) error { return s.handleFrame(frame, &end) })
	if s.assembler.Complete() {
		return nil, false
	}
	return s.afterAttempt(ctx, node, end, err)
}

// handleFrame processes one frame from the home. It stores an End frame in end.
func (s *requestState) handleFrame(frame peer.Frame, end **peer.End) error {
	switch {
	case frame.Assigned != nil:
		s.assigned = true
		s.group = frame.Assigned.Group
		s.waitingSince = time.Time{}
		s.backoff = initialEndpointBackoff
		s.record("Assigned", fmt.Sprintf("group %s after %d ms in the queue", s.group, frame.Assigned.WaitMillis))
	case frame.End != nil:
		*end = frame.End
	case frame.Chunk != nil:
		return s.handleChunk(*frame.Chunk)
	}
	return nil
}

func (s *requestState) handleChunk(chunk endpoint.Chunk) error {
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

func (s *requestState) homeRequest() peer.HomeRequest {
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

// afterAttempt returns a refusal and whether to retry after an attempt that did
// not complete the answer.
func (s *requestState) afterAttempt(ctx context.Context, node string, end *peer.End, err error) (*refusal.Error, bool) {
	var callerErr *callerError
	if errors.As(err, &callerErr) || ctx.Err() != nil {
		s.ranUnknown = true
		return s.abandonedRefusal()
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

// refusedByHome handles an attempt that did not run. Only a refusal for lack of
// an endpoint is followed by an attempt at another home.
func (s *requestState) refusedByHome(node string, refused *refusal.Error) (*refusal.Error, bool) {
	s.attempts--
	s.avoidNodes[node] = true
	s.refusals = append(s.refusals, refused)
	return refused, refused.Kind == refusal.KindNoEndpoint
}

// longRefusal returns the refusal of the home that expects an open group first, if every
// home has refused the request for longer than it would wait; else nil.
func (s *requestState) longRefusal() *refusal.Error {
	if len(s.refusals) == 0 || len(s.refusals) < len(s.avoidNodes) {
		return nil
	}
	first := slices.MinFunc(s.refusals, func(a, b *refusal.Error) int { return cmp.Compare(a.RetryAfter, b.RetryAfter) })
	if first.RetryAfter <= endpointTimeout {
		return nil
	}
	return first
}

func (s *requestState) groupFailed(end *peer.End) (*refusal.Error, bool) {
	s.avoidGroups = append(s.avoidGroups, end.Group)
	if !end.Crashed {
		return s.retry(end.Refusal)
	}
	s.crashedAt = time.Now()
	wasIsolated := s.request.Isolate
	s.request.Isolate = true
	if wasIsolated {
		// Before the next attempt, wait for the digests of the other nodes. A
		// loss that turns out to be part of an outage of many endpoints does
		// not count against the request.
		s.waitForAnnouncement()
		if refuse, _ := s.relay.Suspects.Check(s.request.Fingerprint, time.Now()); refuse {
			return refusal.NewCrashSuspect(), false
		}
	}
	return s.retry(end.Refusal)
}

// linkFailed handles a broken or stalled connection to the home node, or an
// answer that does not match the request.
func (s *requestState) linkFailed(ctx context.Context, node string, err error) (*refusal.Error, bool) {
	s.avoidNodes[node] = true
	message := fmt.Sprintf("home node %s failed: %v; send the request again", node, err)
	s.record("HomeFailed", message)
	refused := refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, message)
	var link *peer.LinkError
	if errors.As(err, &link) && !link.MaybeSent {
		s.attempts--
		refused.Ran = refusal.RanNo
		return s.waitForEndpoint(ctx, refused)
	}
	s.ranUnknown = true
	return s.retry(refused)
}

func (s *requestState) retry(refused *refusal.Error) (*refusal.Error, bool) {
	if s.relay.Budget.Retry(s.request.Rank, s.attempts, time.Now()) {
		return refused, true
	}
	message := fmt.Sprintf("attempt %d failed and no further retry is allowed (%s); send the request again later", s.attempts, refused.Message)
	return &refusal.Error{Kind: refusal.KindRetriesExhausted, Message: message, Ran: refused.Ran, Status: http.StatusBadGateway, RetryAfter: time.Second}, false
}

// waitForEndpoint waits for the backoff before another attempt to find an open
// group. It clears the nodes and groups to avoid, so that the next attempt may
// use one that failed the request.
func (s *requestState) waitForEndpoint(ctx context.Context, refused *refusal.Error) (*refusal.Error, bool) {
	now := time.Now()
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	if now.Sub(s.waitingSince) >= endpointTimeout {
		return refused, false
	}
	select {
	case <-ctx.Done():
		return s.abandonedRefusal()
	case <-time.After(s.backoff):
	}
	s.backoff = min(2*s.backoff, maxEndpointBackoff)
	clear(s.avoidNodes)
	s.avoidGroups = nil
	s.refusals = nil
	return refused, true
}

func (s *requestState) noHomeRefusal() *refusal.Error {
	if s.lastRefusal != nil {
		return s.lastRefusal
	}
	message := fmt.Sprintf("no live node is home for model %q; send the request again later", s.request.Model)
	return refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, message).WithRetryAfter(time.Second)
}

// abandonedRefusal returns the refusal of a request whose caller left or whose
// deadline passed.
func (s *requestState) abandonedRefusal() (*refusal.Error, bool) {
	refused := refusal.New(refusal.KindDeadline, http.StatusGatewayTimeout, "the deadline passed or the caller left before the answer was whole; allow more time")
	if s.assembler.Next() > 0 {
		refused.Ran = refusal.RanUnknown
	}
	return refused, false
}
