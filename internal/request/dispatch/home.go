package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/answer"
	"currantladder.example/currantladder/internal/request/queue"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/route"
)

// progressTokens is the number of tokens between two progress events.
const progressTokens = 16

// Timeouts of the stream from an engine.
const (
	// firstChunkTimeout bounds the wait for the first chunk of a run.
	firstChunkTimeout = 10 * time.Second
	// nextChunkTimeout bounds the wait between two chunks.
	nextChunkTimeout = 2 * time.Second
)

// openRetryAfter is the hint to callers while no group of a model is open.
const openRetryAfter = 2 * time.Second

// Target is one replica group that this node is home for.
type Target struct {
	Group      string
	Generation int64
	// Address is the leading engine's host:port.
	Address string
	// Slots is the number of concurrent streams; 0 while the gate is closed.
	Slots int
	// Draining is true while a member is leaving: what runs may end, and
	// nothing new starts.
	Draining bool
	// Why tells why the group takes no new work.
	Why string
}

// key names the group and its generation to the scheduler, so that a request
// which avoids a failed group may run on its next generation.
func (t Target) key() string { return fmt.Sprintf("%s@%d", t.Group, t.Generation) }

// usable returns the slots for new work.
func (t Target) usable() int {
	if t.Draining {
		return 0
	}
	return t.Slots
}

// Sink receives the frames of one answer, in order. It may block.
type Sink func(peer.Frame) error

// CrashReporter learns when the endpoint of a group died, with the
// fingerprints of all requests that were in flight there.
type CrashReporter func(group string, fingerprints []uint64)

// Home runs requests on the groups that this node is home for. It is safe for
// concurrent use.
type Home struct {
	ctx    context.Context
	client *endpoint.Client
	crash  CrashReporter

	mu       sync.Mutex
	pools    map[string]*pool
	targets  map[string]map[string]Target // model -> key -> target
	inFlight map[string]map[string]*run   // key -> request ID -> run
	priority map[string]int
	duties   sync.WaitGroup
}

// run is one request in flight at a group.
type run struct {
	group       string
	fingerprint uint64
	cancel      context.CancelCauseFunc
	// reported is true once a crash report has counted the run.
	reported bool
}

// errGateClosed cancels the streams of a group whose gate closed.
var errGateClosed = errors.New("a member of the replica group is missing")

// errPreempted cancels a stream whose slot goes to urgent work.
var errPreempted = errors.New("preempted by urgent work")

// NewHome returns a home whose duties end with ctx.
func NewHome(ctx context.Context, client *endpoint.Client, crash CrashReporter) *Home {
	return &Home{
		ctx:      ctx,
		client:   client,
		crash:    crash,
		pools:    make(map[string]*pool),
		targets:  make(map[string]map[string]Target),
		inFlight: make(map[string]map[string]*run),
		priority: make(map[string]int),
	}
}

// Wait blocks until all duties have ended.
func (h *Home) Wait() { h.duties.Wait() }

// Configure sets ranks and targets by model. Streams of groups whose gate is
// closed, or whose generation changed, are cancelled; their entry nodes
// resume them elsewhere.
func (h *Home) Configure(ranks []queue.Rank, targets map[string][]Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, rank := range ranks {
		h.priority[rank.Name] = rank.Priority
	}
	for model := range targets {
		h.poolLocked(model)
	}
	for model, p := range h.pools {
		h.targets[model] = indexTargets(targets[model])
		p.configure(h.ctx, ranks, slotsOf(targets[model]))
	}
	h.cancelClosedLocked()
}

func indexTargets(targets []Target) map[string]Target {
	byKey := make(map[string]Target, len(targets))
	for _, target := range targets {
		byKey[target.key()] = target
	}
	return byKey
}

func slotsOf(targets []Target) []queue.Group {
	groups := make([]queue.Group, 0, len(targets))
	for _, target := range targets {
		groups = append(groups, queue.Group{Name: target.key(), Slots: target.usable()})
	}
	return groups
}

// cancelClosedLocked cancels the runs of groups whose gate closed or whose
// generation changed. Groups that moved to another home run to their end.
func (h *Home) cancelClosedLocked() {
	current := make(map[string]Target)
	for _, targets := range h.targets {
		for _, target := range targets {
			current[target.Group] = target
		}
	}
	for key, runs := range h.inFlight {
		for _, r := range runs {
			target, known := current[r.group]
			if known && (target.Slots == 0 || target.key() != key) {
				r.cancel(errGateClosed)
			}
		}
	}
}

func (h *Home) poolLocked(model string) *pool {
	p := h.pools[model]
	if p == nil {
		p = newPool()
		h.pools[model] = p
		h.duties.Go(func() { p.run(h.ctx) })
	}
	return p
}

// Stats returns the load of each model's pool.
func (h *Home) Stats() map[string]Stats {
	h.mu.Lock()
	pools := make(map[string]*pool, len(h.pools))
	for model, p := range h.pools {
		pools[model] = p
	}
	h.mu.Unlock()
	all := make(map[string]Stats, len(pools))
	for model, p := range pools {
		reply := make(chan Stats, 1)
		select {
		case p.stats <- reply:
			all[model] = <-reply
		case <-h.ctx.Done():
			return all
		}
	}
	return all
}

// Serve runs one request and passes its frames to sink. It returns after the
// terminal chunk or an End frame was passed, or with the error of sink.
func (h *Home) Serve(ctx context.Context, r peer.HomeRequest, sink Sink) error {
	p, refused := h.openPool(r)
	if refused != nil {
		return sink(endFrame(peer.EndRefused, "", refused, false))
	}
	offered := time.Now()
	signals, ok := p.offer(ctx, queueRequest(r, offered))
	if !ok {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		p.cancel(h.ctx, r.RequestID)
		return ctx.Err()
	case s := <-signals:
		if s.refusal != nil {
			return sink(endFrame(peer.EndRefused, "", s.refusal, false))
		}
		return h.runAssigned(ctx, p, r, s.group, signals, offered, sink)
	}
}

func (h *Home) openPool(r peer.HomeRequest) (*pool, *refusal.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	why := "this node is not home for a group of it"
	for key, target := range h.targets[r.Model] {
		switch {
		case target.usable() == 0:
			why = fmt.Sprintf("group %s: %s", target.Group, target.Why)
		case slices.Contains(r.Avoid, key):
			why = fmt.Sprintf("group %s has just failed the request", target.Group)
		default:
			return h.pools[r.Model], nil
		}
	}
	refused := refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable,
		fmt.Sprintf("no replica group of model %q is open here (%s); send the request again later", r.Model, why))
	return nil, refused.After(openRetryAfter)
}

func queueRequest(r peer.HomeRequest, now time.Time) queue.Request {
	request := queue.Request{
		ID:         r.RequestID,
		Account:    r.Account,
		Rank:       r.Rank,
		CostTokens: r.CostTokens,
		Prefix:     route.PrefixBlocks(r.Prompt),
		Resumed:    r.Resumed,
		Avoid:      r.Avoid,
	}
	if r.RemainingMillis > 0 {
		request.Deadline = now.Add(time.Duration(r.RemainingMillis) * time.Millisecond)
	}
	return request
}

// runAssigned runs the request on the group that the scheduler chose.
func (h *Home) runAssigned(ctx context.Context, p *pool, r peer.HomeRequest, key string, signals <-chan signal, offered time.Time, sink Sink) error {
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	target, open := h.register(r, key, cancel)
	if !open {
		p.finish(h.ctx, r.RequestID, 0)
		refused := refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "replica group "+key+" closed before the request started; send it again")
		return sink(endFrame(peer.EndRefused, key, refused, false))
	}
	stop := watchPreemption(runCtx, signals, cancel)
	defer stop()
	wait := time.Since(offered)
	if err := sink(peer.Frame{Assigned: &peer.Assigned{Group: key, WaitMillis: wait.Milliseconds()}}); err != nil {
		h.unregister(key, r.RequestID)
		p.finish(h.ctx, r.RequestID, 0)
		return err
	}
	assembler := answer.New(r.RequestID, r.ResumeIndex, "")
	err := h.stream(runCtx, p, r, target, assembler, sink)
	crashed := err != nil && ctx.Err() == nil && isCrash(runCtx, err)
	if crashed {
		h.reportCrash(target.Group, key, r.RequestID)
	}
	h.unregister(key, r.RequestID)
	p.finish(h.ctx, r.RequestID, int64(assembler.Next()-r.ResumeIndex))
	var broken *sinkError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &broken):
		return broken.err
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return sink(h.failedFrame(runCtx, key, err, crashed))
}

func (h *Home) failedFrame(runCtx context.Context, group string, err error, crashed bool) peer.Frame {
	if errors.Is(context.Cause(runCtx), errPreempted) {
		refused := refusal.Unknown(refusal.KindOverloaded, http.StatusServiceUnavailable, "the request was preempted by urgent work; send it again")
		return endFrame(peer.EndPreempted, group, refused, false)
	}
	message := fmt.Sprintf("replica group %s failed: %v; send the request again", group, err)
	refused := refusal.Unknown(refusal.KindIncomplete, http.StatusBadGateway, message)
	if !endpoint.WasHanded(err) {
		refused.Ran = refusal.RanNo
	}
	return endFrame(peer.EndFailed, group, refused, crashed)
}

func endFrame(cause peer.EndCause, group string, refused *refusal.Error, crashed bool) peer.Frame {
	return peer.Frame{End: &peer.End{Cause: cause, Group: group, Refusal: refused, Crashed: crashed}}
}

// watchPreemption cancels the run when the scheduler takes its slot back. The
// returned function ends the watch.
func watchPreemption(ctx context.Context, signals <-chan signal, cancel context.CancelCauseFunc) func() {
	done := make(chan struct{})
	go func() {
		select {
		case s := <-signals:
			if s.preempt {
				cancel(errPreempted)
			}
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

func (h *Home) register(r peer.HomeRequest, key string, cancel context.CancelCauseFunc) (Target, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	target := h.targets[r.Model][key]
	if target.usable() == 0 {
		return target, false
	}
	if h.inFlight[key] == nil {
		h.inFlight[key] = make(map[string]*run)
	}
	h.inFlight[key][r.RequestID] = &run{group: target.Group, fingerprint: r.Fingerprint, cancel: cancel}
	return target, true
}

func (h *Home) unregister(key, requestID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight[key], requestID)
	if len(h.inFlight[key]) == 0 {
		delete(h.inFlight, key)
	}
}

// sinkError marks an error of the way back to the caller.
type sinkError struct{ err error }

// Error implements error.
func (e *sinkError) Error() string { return "answer could not be passed on: " + e.err.Error() }

// stream copies chunks from the engine to sink until the answer is whole.
func (h *Home) stream(ctx context.Context, p *pool, r peer.HomeRequest, target Target, assembler *answer.Assembler, sink Sink) error {
	watchdog := newWatchdog(ctx, firstChunkTimeout)
	defer watchdog.stop()
	stream, err := h.client.Generate(watchdog.ctx, target.Address, h.generateRequest(r, target))
	if err != nil {
		return err
	}
	defer stream.Close()
	reported := assembler.Next()
	for !assembler.Whole() {
		chunk, err := stream.Next()
		if err != nil {
			return chunkError(err)
		}
		watchdog.reset(nextChunkTimeout)
		if err := assembler.Accept(chunk); err != nil {
			return err
		}
		if err := sink(peer.Frame{Chunk: &chunk}); err != nil {
			return &sinkError{err}
		}
		if assembler.Next()-reported >= progressTokens {
			p.progress(ctx, r.RequestID, int64(assembler.Next()-reported))
			reported = assembler.Next()
		}
	}
	return nil
}

func chunkError(err error) error {
	if errors.Is(err, io.EOF) {
		return endpoint.ErrTruncated
	}
	return err
}

func (h *Home) generateRequest(r peer.HomeRequest, target Target) endpoint.GenerateRequest {
	h.mu.Lock()
	priority := h.priority[r.Rank]
	h.mu.Unlock()
	return endpoint.GenerateRequest{
		RequestID:   r.RequestID,
		Model:       r.Model,
		Group:       target.Group,
		Generation:  target.Generation,
		Prompt:      r.Prompt,
		MaxTokens:   r.MaxTokens,
		Priority:    priority,
		ResumeIndex: r.ResumeIndex,
		Delivered:   r.Delivered,
	}
}

// isCrash reports whether the engine broke the connection by itself: not a
// refusal, not a cancelled run, not a mismatched chunk.
func isCrash(runCtx context.Context, err error) bool {
	if runCtx.Err() != nil {
		return false
	}
	var call *endpoint.CallError
	if errors.As(err, &call) {
		return call.Handed && call.Status == 0
	}
	return errors.Is(err, endpoint.ErrTruncated)
}

// reportCrash reports every request in flight at the group, once for each
// death: the streams that break after the first one are already counted.
func (h *Home) reportCrash(group, key, requestID string) {
	h.mu.Lock()
	runs := h.inFlight[key]
	if own := runs[requestID]; own == nil || own.reported {
		h.mu.Unlock()
		return
	}
	var fingerprints []uint64
	for _, r := range runs {
		r.reported = true
		fingerprints = append(fingerprints, r.fingerprint)
	}
	h.mu.Unlock()
	if h.crash != nil {
		h.crash(group, fingerprints)
	}
}
