package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/answer"
	"currantladder.example/currantladder/internal/request/queue"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/route"
)

// noOpenGroupRetryAfter is the Retry-After of requests that are refused because
// no group may take them.
const noOpenGroupRetryAfter = 2 * time.Second

// errPreempted cancels a stream whose slot is needed for more urgent work.
var errPreempted = errors.New("preempted by urgent work")

// Serve runs one request and passes its frames to sink. It returns after it
// passed the terminal chunk or an End frame, or with the error of sink or ctx.
func (h *Home) Serve(ctx context.Context, r peer.HomeRequest, sink Sink) error {
	offeredAt := time.Now()
	mayHold := maxHold
	for {
		held, refused := h.hold(ctx, r, mayHold)
		if refused != nil {
			return sink(endFrame(peer.EndRefused, "", refused, false))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		mayHold -= held
		refuse, isolate := h.checkSuspect(r.Fingerprint)
		if refuse {
			return sink(endFrame(peer.EndRefused, "", refusal.NewCrashSuspect(), false))
		}
		r.Isolate = r.Isolate || isolate
		p, refused := h.openPool(r)
		if refused != nil {
			return sink(endFrame(peer.EndRefused, "", refused, false))
		}
		signals, ok := h.enqueue(ctx, p, r, offeredAt)
		if !ok {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			p.cancel(h.ctx, r.RequestID)
			return ctx.Err()
		case s := <-signals:
			switch {
			case s.refusal != nil:
				return sink(endFrame(peer.EndRefused, "", s.refusal, false))
			case !h.becameSuspect(r):
				err := h.runAssigned(ctx, p, r, s.group, signals, offeredAt, mayHold > 0, sink)
				if !errors.Is(err, errHeld) {
					return err
				}
				continue
			}
			// The suspicion against the request arose or grew while it
			// waited: free the slot and check it again.
			p.finish(h.ctx, r.RequestID, 0)
		}
	}
}

// becameSuspect reports whether a request must now be refused, or must now be
// isolated although it was queued for a shared group.
func (h *Home) becameSuspect(r peer.HomeRequest) bool {
	refuse, isolate := h.checkSuspect(r.Fingerprint)
	return refuse || (isolate && !r.Isolate)
}

// enqueue queues the request for a shared group, or for a group without other
// work if it must be isolated.
func (h *Home) enqueue(ctx context.Context, p *pool, r peer.HomeRequest, offeredAt time.Time) (<-chan signal, bool) {
	request := queueRequest(r, offeredAt)
	if !r.Isolate {
		return p.offer(ctx, request)
	}
	h.mu.Lock()
	priority := h.priority[r.Rank]
	h.mu.Unlock()
	return p.offerIsolated(ctx, request, priority)
}

// openPool returns the pool of the request's model if one of its groups may take
// the request, or else a refusal.
func (h *Home) openPool(r peer.HomeRequest) (*pool, *refusal.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	reason := "this node is not home for a group of it"
	for key, target := range h.targets[r.Model] {
		switch {
		case h.leaving.Leaves(target.engine(), now):
			reason = fmt.Sprintf("group %s: its engine is leaving", target.Group)
		case h.waits.End(target.engine()).After(now):
			reason = fmt.Sprintf("group %s: its engine wants no requests for now", target.Group)
		case h.usableSlotsLocked(target) == 0:
			reason = fmt.Sprintf("group %s: %s", target.Group, target.ClosedReason)
		case slices.Contains(r.Avoid, key):
			reason = fmt.Sprintf("group %s has just failed the request", target.Group)
		default:
			return h.pools[r.Model], nil
		}
	}
	refused := refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable,
		fmt.Sprintf("no replica group of model %q is open here (%s); send the request again later", r.Model, reason))
	return nil, refused.WithRetryAfter(h.retryAfterLocked(r.Model, now))
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

// runAssigned runs the request on the group that the scheduler chose. If mayHold is true
// and the request must not start yet, it frees the slot and returns errHeld.
func (h *Home) runAssigned(ctx context.Context, p *pool, r peer.HomeRequest, key string, signals <-chan signal, offeredAt time.Time, mayHold bool, sink Sink) error {
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	target, err := h.register(r, key, mayHold, cancel)
	if errors.Is(err, errHeld) {
		p.finish(h.ctx, r.RequestID, 0)
		return err
	}
	if err != nil {
		p.finish(h.ctx, r.RequestID, 0)
		refused := refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "replica group "+key+" closed before the request started; send it again")
		return sink(endFrame(peer.EndRefused, key, refused, false))
	}
	stop := watchPreemption(runCtx, signals, cancel)
	defer stop()
	wait := time.Since(offeredAt)
	if err := sink(peer.Frame{Assigned: &peer.Assigned{Group: key, WaitMillis: wait.Milliseconds()}}); err != nil {
		h.unregister(key, r)
		p.finish(h.ctx, r.RequestID, 0)
		return err
	}
	assembler := answer.New(r.RequestID, r.ResumeIndex, "")
	err = h.stream(runCtx, p, r, target, assembler, sink)
	crashed := err != nil && ctx.Err() == nil && isCrash(runCtx, err)
	if crashed {
		h.reportCrash(p, r.Model, target)
	} else if ctx.Err() != nil && err != nil && endpoint.MayHaveBeenSent(err) {
		// The same error results if the engine crashes as the caller leaves.
		h.reportIfGone(p, r, target)
		if r.Isolate {
			// Other requests on the group would share the blame for a crash.
			h.awaitVerdict(r.Fingerprint)
		}
	}
	h.observeFailure(p, r.Model, target, r.RequestID, err)
	if assembler.Complete() {
		h.suspects.ClearSuspicion(r.Fingerprint)
	}
	h.unregister(key, r)
	p.finish(h.ctx, r.RequestID, int64(assembler.Next()-r.ResumeIndex))
	var sinkErr *sinkError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &sinkErr):
		return sinkErr.err
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return sink(h.failedFrame(runCtx, key, err, crashed))
}

func (h *Home) failedFrame(runCtx context.Context, group string, err error, crashed bool) peer.Frame {
	if errors.Is(context.Cause(runCtx), errPreempted) {
		refused := refusal.NewMayHaveRun(refusal.KindOverloaded, http.StatusServiceUnavailable, "the request was preempted by urgent work; send it again")
		return endFrame(peer.EndPreempted, group, refused, false)
	}
	message := fmt.Sprintf("replica group %s failed: %v; send the request again", group, err)
	refused := refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, message)
	if !endpoint.MayHaveBeenSent(err) {
		refused.Ran = refusal.RanNo
	}
	return endFrame(peer.EndFailed, group, refused, crashed)
}

func endFrame(cause peer.EndCause, group string, refused *refusal.Error, crashed bool) peer.Frame {
	end := peer.NewEnd(cause, group, refused)
	end.Crashed = crashed
	return peer.Frame{End: end}
}

// watchPreemption cancels the run when the scheduler preempts it. The returned
// function stops the watch.
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

// register adds the request to those in flight at the group. It returns errGateClosed
// if the group takes no new work any more, and errHeld if mayHold is true and the request
// must not start yet.
func (h *Home) register(r peer.HomeRequest, key string, mayHold bool, cancel context.CancelCauseFunc) (Target, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	target := h.targets[r.Model][key]
	if h.usableSlotsLocked(target) == 0 {
		return target, errGateClosed
	}
	if mayHold && h.mustHold(r.Fingerprint) {
		return target, errHeld
	}
	if h.inFlight[key] == nil {
		h.inFlight[key] = make(map[string]*inFlightRequest)
	}
	h.inFlight[key][r.RequestID] = &inFlightRequest{group: target.Group, fingerprint: r.Fingerprint, cancel: cancel}
	h.copies[r.Fingerprint]++
	return target, nil
}

func (h *Home) unregister(key string, r peer.HomeRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight[key], r.RequestID)
	if len(h.inFlight[key]) == 0 {
		delete(h.inFlight, key)
	}
	h.copies[r.Fingerprint]--
	if h.copies[r.Fingerprint] == 0 {
		delete(h.copies, r.Fingerprint)
	}
	h.wakeHeld(r.Fingerprint)
}
