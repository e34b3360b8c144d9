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

// OnWait sets the function that is told of waits. It must be called before Serve.
func (h *Home) OnWait(report WaitReporter) { h.onWait = report }

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
	if slots == 0 || end.After(now) {
		return 0
	}
	return max(int(place.RampShare(end, now)*float64(slots)), 1)
}

// observeWait closes a group to new work for as long as its engine asked when it turned
// a request away. An answer of a former process says nothing of the present one.
func (h *Home) observeWait(p *pool, model string, target Target, requestID string, err error) {
	var call *endpoint.CallError
	if !errors.As(err, &call) || call.Facts.Wait == 0 {
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
	until, changed := h.waits.Observe(target.engine(), call.Facts.Wait, now)
	if !changed {
		return
	}
	if h.onWait != nil {
		h.onWait(target, requestID, call.Facts.Wait, until.Sub(now))
	}
	p.setGroups(h.ctx, h.slotsLocked(slices.Collect(maps.Values(h.targets[model]))), h.retryAfterLocked(model, now))
}

// retryAfterLocked returns when a request should come back that no group of the model
// takes: at the first end if all of them wait, and else after noOpenGroupRetryAfter. The
// caller holds mu.
func (h *Home) retryAfterLocked(model string, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, target := range h.targets[model] {
		wait := h.waits.End(target.engine()).Sub(now)
		if wait <= 0 || target.usableSlots() == 0 {
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
