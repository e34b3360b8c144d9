package dispatch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// Suspects judges requests that may crash the endpoints that run them.
type Suspects interface {
	// Judge reports whether the fingerprint is refused, and whether it must
	// run apart from other work.
	Judge(fingerprint uint64, now time.Time) (refuse, isolate bool)
	// Finished drops the suspicion against a request that ran to its end.
	Finished(fingerprint uint64)
}

// crashPause is how long a group takes no new work after its endpoint broke a
// stream, and breaks of its other streams belong to the same death. By its end
// the group's gate has closed if the endpoint is dead.
const crashPause = 1 * time.Second

// isCrash reports whether the engine broke the connection by itself: not a
// refusal, not a cancelled run, not a stall, not a mismatched chunk.
func isCrash(runCtx context.Context, err error) bool {
	if runCtx.Err() != nil || errors.Is(err, errStalled) {
		return false
	}
	var call *endpoint.CallError
	if errors.As(err, &call) {
		return call.Handed && call.Status == 0
	}
	return errors.Is(err, endpoint.ErrTruncated)
}

// reportCrash reports every request in flight at the group, once for each
// death: streams that break soon after the first one are already counted. The
// group takes no new work for crashPause.
func (h *Home) reportCrash(p *pool, model string, target Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := target.key()
	if at, known := h.crashed[key]; known && time.Since(at) < crashPause {
		return
	}
	h.crashed[key] = time.Now()
	var fingerprints []uint64
	for _, r := range h.inFlight[key] {
		fingerprints = append(fingerprints, r.fingerprint)
	}
	if h.crash != nil {
		h.crash(target.Group, fingerprints)
	}
	p.regroup(h.ctx, h.slotsLocked(slices.Collect(maps.Values(h.targets[model]))))
}
