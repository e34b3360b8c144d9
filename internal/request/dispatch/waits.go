package dispatch

import (
	"errors"
	"maps"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/request/place"
)

// WaitReporter is called when the engine of a group turned a request away and wants no
// others for a time. asked is that time, wait the part that counts.
type WaitReporter func(target Target, requestID string, asked, wait time.Duration)

// LeavingReporter is called when the engine of a group has said that it leaves.
type LeavingReporter func(target Target, requestID string)

// OnFacts sets the functions that are told what engines say of themselves. It must be
// called before Serve.
func (h *Home) OnFacts(onWait WaitReporter, onLeaving LeavingReporter) {
	h.onWait, h.onLeaving = onWait, onLeaving
}

// engine returns the identity of the leading engine: its wait stays with the process,
// whatever group it leads.
func (t Target) engine() hostlist.Host {
	return hostlist.Host{Name: t.Address, Address: t.Address, BootID: t.BootID}
}

// slotsAfterWaitLocked returns the number of slots of a group that take new work at now
// as far as its engine wants requests. The caller holds mu.
func (h *Home) slotsAfterWaitLocked(target Target, now time.Time) int {
	slots := target.usableSlots()
	end := h.waits.End(target.engine())
	if slots == 0 || end.After(now) || h.leaving.Leaves(target.engine(), now) {
		return 0
	}
	return max(int(place.RampShare(end, now)*float64(slots)), 1)
}

// observeFailure records what the engine said of itself in a refusal, if err is one.
func (h *Home) observeFailure(p *pool, model string, target Target, requestID string, err error) {
	var call *endpoint.CallError
	if errors.As(err, &call) {
		h.observe(p, model, target, requestID, call.Facts)
	}
}

// observe closes a group to new work for as long as its engine asked when it turned a
// request away, and for the rest of the life of one that leaves. An answer of a former
// process says nothing of the present one.
func (h *Home) observe(p *pool, model string, target Target, requestID string, facts endpoint.Facts) {
	if facts == (endpoint.Facts{}) {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, current := range h.targets[model] {
		if current.Address == target.Address && current.BootID != target.BootID {
			return
		}
	}
	leaves := facts.Leaving && h.leaving.Observe(target.engine(), now, h.leadsLocked)
	if leaves && h.onLeaving != nil {
		h.onLeaving(target, requestID)
	}
	waits := false
	if facts.Wait > 0 {
		var until time.Time
		until, waits = h.waits.Observe(target.engine(), facts.Wait, now)
		if waits && h.onWait != nil {
			h.onWait(target, requestID, facts.Wait, until.Sub(now))
		}
	}
	if leaves || waits {
		p.setGroups(h.ctx, h.slotsLocked(slices.Collect(maps.Values(h.targets[model]))), h.retryAfterLocked(model, now))
	}
}

// leadsLocked reports whether the engine at an address leads a group of this home. The
// caller holds mu.
func (h *Home) leadsLocked(address string) bool {
	for _, targets := range h.targets {
		for _, target := range targets {
			if target.Address == address {
				return true
			}
		}
	}
	return false
}

// retryAfterLocked returns when a request should come back that no group of the model
// takes: at the first end if all of them wait, and else after noOpenGroupRetryAfter. The
// caller holds mu.
func (h *Home) retryAfterLocked(model string, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, target := range h.targets[model] {
		wait := h.waits.End(target.engine()).Sub(now)
		if wait <= 0 || target.usableSlots() == 0 || h.leaving.Leaves(target.engine(), now) {
			return noOpenGroupRetryAfter
		}
		if first == 0 || wait < first {
			first = wait
		}
	}
	if first == 0 {
		return noOpenGroupRetryAfter
	}
	return first
}
