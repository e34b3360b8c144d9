package dispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
)

// Suspects tracks requests that are suspected of crashing the endpoints that
// run them.
type Suspects interface {
	// Check reports whether a request with the fingerprint must be refused, and
	// whether it must run on a group without other work.
	Check(fingerprint uint64, now time.Time) (refuse, isolate bool)
	// ClearSuspicion clears the suspicion against a request that ran to its end.
	ClearSuspicion(fingerprint uint64)
}

// crashQuarantine is how long a group gets no new work after its endpoint broke
// a stream. Further streams of the group that break in this time count as the
// same crash. By its end the group's gate has closed if the endpoint is down.
const crashQuarantine = 1 * time.Second

// Check of engines whose run ended because its caller left.
const (
	// engineCheckTimeout is how long a check may take, including the wait for
	// earlier checks. The run keeps its slot for that long.
	engineCheckTimeout = 100 * time.Millisecond
	// maxEngineChecks is the largest number of engines that are checked at once.
	maxEngineChecks = 16
	// departedCheckInterval separates further checks of an engine that still ran at
	// the first one, and departedWindow is how long after the departure a crash is
	// held against the run.
	departedCheckInterval = 50 * time.Millisecond
	departedWindow        = 500 * time.Millisecond
)

// departedRun is a run whose caller left while the engine was at work.
type departedRun struct {
	fingerprint uint64
	at          time.Time
}

// reportIfGone reports a crash if the engine of a run whose caller left is gone. It
// blocks up to engineCheckTimeout.
func (h *Home) reportIfGone(p *pool, r peer.HomeRequest, target Target) {
	h.addUnverified(r.Fingerprint, 1)
	defer h.addUnverified(r.Fingerprint, -1)
	ctx, cancel := context.WithTimeout(h.ctx, engineCheckTimeout)
	defer cancel()
	select {
	case h.engineChecks <- struct{}{}:
		defer func() { <-h.engineChecks }()
	case <-ctx.Done():
		return
	}
	if h.client.Gone(ctx, target.Address) {
		h.reportCrash(p, r.Model, target)
		return
	}
	h.watchDeparted(p, r, target)
}

// watchDeparted records a run whose caller left, so that a crash of its engine within
// departedWindow is held against it. One goroutine checks each engine during that time.
func (h *Home) watchDeparted(p *pool, r peer.HomeRequest, target Target) {
	key := target.key()
	h.mu.Lock()
	h.departed[key] = append(h.departed[key], departedRun{r.Fingerprint, time.Now()})
	watched := len(h.departed[key]) > 1
	h.mu.Unlock()
	if watched {
		return
	}
	go func() {
		ticker := time.NewTicker(departedCheckInterval)
		defer ticker.Stop()
		for h.dropDeparted(key) {
			select {
			case <-h.ctx.Done():
				return
			case <-ticker.C:
			}
			ctx, cancel := context.WithTimeout(h.ctx, engineCheckTimeout)
			if h.client.Gone(ctx, target.Address) {
				h.reportCrash(p, r.Model, target)
			}
			cancel()
		}
	}()
}

// dropDeparted drops the departed runs of an engine that are older than departedWindow,
// and reports whether any is left.
func (h *Home) dropDeparted(key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.departed[key] = slices.DeleteFunc(h.departed[key], func(d departedRun) bool {
		if time.Since(d.at) < departedWindow {
			return false
		}
		h.wakeHeld(d.fingerprint)
		return true
	})
	if len(h.departed[key]) > 0 {
		return true
	}
	delete(h.departed, key)
	return false
}

// hasDeparted reports whether a run of the request was left by its caller within
// departedWindow. The caller must hold mu.
func (h *Home) hasDeparted(fingerprint uint64) bool {
	for _, runs := range h.departed {
		if slices.ContainsFunc(runs, func(d departedRun) bool { return d.fingerprint == fingerprint }) {
			return true
		}
	}
	return false
}

func (h *Home) addUnverified(fingerprint uint64, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unverified[fingerprint] += count
	if h.unverified[fingerprint] == 0 {
		delete(h.unverified, fingerprint)
		h.wakeHeld(fingerprint)
	}
}

// checkSuspect reports whether a request must be refused, and whether it must run on a
// group without other work. The latter is also true while the engine of an earlier run
// of it is being checked, and shortly after.
func (h *Home) checkSuspect(fingerprint uint64) (refuse, isolate bool) {
	refuse, isolate = h.suspects.Check(fingerprint, time.Now())
	h.mu.Lock()
	defer h.mu.Unlock()
	return refuse, isolate || h.unverified[fingerprint] > 0 || h.hasDeparted(fingerprint)
}

// isCrash reports whether the engine broke the connection by itself. A refusal,
// a cancelled run, a stall and a chunk that does not match the answer are not
// crashes.
func isCrash(runCtx context.Context, err error) bool {
	if runCtx.Err() != nil || errors.Is(err, errStalled) {
		return false
	}
	var call *endpoint.CallError
	if errors.As(err, &call) {
		return call.MaybeSent && call.Status == 0
	}
	return errors.Is(err, endpoint.ErrTruncated)
}

// reportCrash reports every request in flight at the group and quarantines the
// group. Streams that break within crashQuarantine of the first one belong to
// the same crash and are not reported again.
func (h *Home) reportCrash(p *pool, model string, target Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := target.key()
	if at, known := h.crashedAt[key]; known && time.Since(at) < crashQuarantine {
		return
	}
	h.crashedAt[key] = time.Now()
	var fingerprints []uint64
	for _, r := range h.inFlight[key] {
		fingerprints = append(fingerprints, r.fingerprint)
	}
	for _, d := range h.departed[key] {
		fingerprints = append(fingerprints, d.fingerprint)
	}
	delete(h.departed, key)
	if h.onCrash != nil {
		h.onCrash(target.Group, fingerprints)
	}
	for _, fingerprint := range fingerprints {
		h.wakeHeld(fingerprint)
	}
	p.setGroups(h.ctx, h.slotsLocked(slices.Collect(maps.Values(h.targets[model]))), h.retryAfterLocked(model, time.Now()))
}
