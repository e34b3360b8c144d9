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

// journey is the state of one request on its way.
type journey struct {
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
	j := &journey{
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
		refused, again := j.step(ctx)
		if j.assembler.Whole() {
			r.Suspects.Finished(request.Fingerprint)
			return j.result(), nil
		}
		if !again {
			j.holdBack()
			return j.result(), j.final(refused)
		}
	}
}

func (j *journey) result() Result {
	return Result{
		Finish:   j.assembler.Finish(),
		Usage:    j.assembler.Usage(),
		Attempts: j.attempts,
		Group:    j.group,
	}
}

// final gives the refusal the request id and whether any attempt may have run.
func (j *journey) final(refused *refusal.Error) *refusal.Error {
	copied := *refused
	copied.RequestID = j.request.ID
	if j.ranUnknown {
		copied.Ran = refusal.RanUnknown
	}
	j.record("Refused", copied.Error())
	return &copied
}

// holdBack waits until every node knows of the suspicion against the request,
// so that its caller cannot send it again before. It outlasts the deadline.
func (j *journey) holdBack() {
	until := j.relay.Suspects.HoldUntil(j.request.Fingerprint)
	if !j.crashed.IsZero() && j.crashed.Add(suspect.AnnounceDelay).After(until) {
		until = j.crashed.Add(suspect.AnnounceDelay)
	}
	time.Sleep(time.Until(until))
}

func (j *journey) record(reason, message string) {
	j.relay.Recorder.Record(j.request.ID, reason, message)
}

// step makes one attempt. It returns a refusal and whether to go on.
func (j *journey) step(ctx context.Context) (*refusal.Error, bool) {
	if ctx.Err() != nil {
		return j.ended()
	}
	node, ok := j.relay.Router.ChooseHome(j.request.Model, j.prefix, j.avoidNodes)
	if !ok {
		return j.waitForEndpoint(ctx, j.noHome())
	}
	j.attempts++
	j.record("SentToHome", fmt.Sprintf("attempt %d goes to home node %s from token %d", j.attempts, node, j.assembler.Next()))
	var end *peer.End
	err := j.relay.Homes.Run(ctx, node, j.homeRequest(), func(frame peer.Frame) error { return j.frame(frame, &end) })
	if j.assembler.Whole() {
		return nil, false
	}
	return j.afterAttempt(ctx, node, end, err)
}

// frame handles one frame of the home's answer.
func (j *journey) frame(frame peer.Frame, end **peer.End) error {
	switch {
	case frame.Assigned != nil:
		j.assigned = true
		j.group = frame.Assigned.Group
		j.waitingSince = time.Time{}
		j.backoff = firstBackoff
		j.record("Assigned", fmt.Sprintf("group %s after %d ms in the queue", j.group, frame.Assigned.WaitMillis))
	case frame.End != nil:
		*end = frame.End
	case frame.Chunk != nil:
		return j.chunk(*frame.Chunk)
	}
	return nil
}

func (j *journey) chunk(chunk endpoint.Chunk) error {
	if err := j.assembler.Accept(chunk); err != nil {
		return err
	}
	if chunk.Finish != "" {
		return nil
	}
	if err := j.sink(chunk.Text); err != nil {
		return &callerError{err}
	}
	return nil
}

func (j *journey) homeRequest() peer.HomeRequest {
	r := peer.HomeRequest{
		RequestID:   j.request.ID,
		Account:     j.request.Account,
		Rank:        j.request.Rank,
		Model:       j.request.Model,
		Prompt:      j.request.Prompt,
		MaxTokens:   j.request.MaxTokens,
		CostTokens:  j.request.CostTokens,
		Fingerprint: j.request.Fingerprint,
		ResumeIndex: j.assembler.Next(),
		Delivered:   j.assembler.Text(),
		Avoid:       j.avoidGroups,
		Resumed:     j.assigned || j.attempts > 1,
		Isolate:     j.request.Isolate,
	}
	if !j.request.Deadline.IsZero() {
		r.RemainingMillis = max(time.Until(j.request.Deadline).Milliseconds(), 1)
	}
	return r
}

// afterAttempt decides what follows an attempt that did not make the answer
// whole.
func (j *journey) afterAttempt(ctx context.Context, node string, end *peer.End, err error) (*refusal.Error, bool) {
	var gone *callerError
	if errors.As(err, &gone) || ctx.Err() != nil {
		j.ranUnknown = true
		return j.ended()
	}
	if end == nil {
		return j.linkFailed(ctx, node, err)
	}
	j.record(string(end.Cause), end.Refusal.Error())
	j.lastRefusal = end.Refusal
	if end.Refusal.Ran != refusal.RanNo {
		j.ranUnknown = true
	}
	switch end.Cause {
	case peer.EndPreempted:
		j.preemptions++
		j.attempts--
		return end.Refusal, j.preemptions <= maxPreemptions
	case peer.EndRefused:
		return j.refusedByHome(node, end.Refusal)
	default:
		return j.groupFailed(end)
	}
}

// refusedByHome handles an attempt that did not run: only a missing endpoint
// is worth a look elsewhere.
func (j *journey) refusedByHome(node string, refused *refusal.Error) (*refusal.Error, bool) {
	j.attempts--
	j.avoidNodes[node] = true
	return refused, refused.Kind == refusal.KindNoEndpoint
}

func (j *journey) groupFailed(end *peer.End) (*refusal.Error, bool) {
	j.avoidGroups = append(j.avoidGroups, end.Group)
	if !end.Crashed {
		return j.retry(end.Refusal)
	}
	j.crashed = time.Now()
	alone := j.request.Isolate
	j.request.Isolate = true
	if alone {
		// The next attempt waits for what other nodes know: a loss of many
		// endpoints at once is not the request's fault.
		j.holdBack()
		if refuse, _ := j.relay.Suspects.Judge(j.request.Fingerprint, time.Now()); refuse {
			return refusal.Suspect(), false
		}
	}
	return j.retry(end.Refusal)
}

// linkFailed handles a broken or silent connection to the home node, or an
// answer that does not fit the request.
func (j *journey) linkFailed(ctx context.Context, node string, err error) (*refusal.Error, bool) {
	j.avoidNodes[node] = true
	message := fmt.Sprintf("home node %s failed: %v; send the request again", node, err)
	j.record("HomeFailed", message)
	refused := refusal.Unknown(refusal.KindIncomplete, http.StatusBadGateway, message)
	var link *peer.LinkError
	if errors.As(err, &link) && !link.Handed {
		j.attempts--
		refused.Ran = refusal.RanNo
		return j.waitForEndpoint(ctx, refused)
	}
	j.ranUnknown = true
	return j.retry(refused)
}

func (j *journey) retry(refused *refusal.Error) (*refusal.Error, bool) {
	if j.relay.Budget.Retry(j.request.Rank, j.attempts, time.Now()) {
		return refused, true
	}
	message := fmt.Sprintf("attempt %d failed and no further retry is allowed (%s); send the request again later", j.attempts, refused.Message)
	return &refusal.Error{Kind: refusal.KindRetriesExhausted, Message: message, Ran: refused.Ran, Status: http.StatusBadGateway, RetryAfter: time.Second}, false
}

// waitForEndpoint pauses before another look for an open group, which may be
// one that failed the request.
func (j *journey) waitForEndpoint(ctx context.Context, refused *refusal.Error) (*refusal.Error, bool) {
	now := time.Now()
	if j.waitingSince.IsZero() {
		j.waitingSince = now
	}
	if now.Sub(j.waitingSince) >= endpointWait {
		return refused, false
	}
	select {
	case <-ctx.Done():
		return j.ended()
	case <-time.After(j.backoff):
	}
	j.backoff = min(2*j.backoff, maxBackoff)
	clear(j.avoidNodes)
	j.avoidGroups = nil
	return refused, true
}

func (j *journey) noHome() *refusal.Error {
	if j.lastRefusal != nil {
		return j.lastRefusal
	}
	message := fmt.Sprintf("no live node is home for model %q; send the request again later", j.request.Model)
	return refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, message).After(time.Second)
}

// ended is the refusal of a request whose caller left or whose deadline passed.
func (j *journey) ended() (*refusal.Error, bool) {
	refused := refusal.New(refusal.KindDeadline, http.StatusGatewayTimeout, "the deadline passed or the caller left before the answer was whole; allow more time")
	if j.assembler.Next() > 0 {
		refused.Ran = refusal.RanUnknown
	}
	return refused, false
}
