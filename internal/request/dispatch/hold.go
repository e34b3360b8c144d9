package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/refusal"
)

// maxHold is how long a copy of a request is held at most, in all. After that it runs
// on a group without other work, whatever its earlier runs do.
const maxHold = 4 * departedWindow

// errHeld reports a copy that got a slot and must not start yet.
var errHeld = errors.New("an earlier run of the request may still crash its engine")

// mustHold reports whether a further copy of a request must not start yet: an engine
// that an earlier run was using when its caller left may still crash, or the request is
// suspect and a run of it is at work. The caller must hold mu.
func (h *Home) mustHold(fingerprint uint64) bool {
	if h.unverified[fingerprint] > 0 || h.hasDeparted(fingerprint) {
		return true
	}
	if h.copies[fingerprint] == 0 {
		return false
	}
	_, isolate := h.suspects.Check(fingerprint, time.Now())
	return isolate
}

// hold blocks while a copy of a request must not start yet, at most limit or until ctx
// ends. It returns the time that it blocked, or a refusal if too many copies wait.
func (h *Home) hold(ctx context.Context, r peer.HomeRequest, limit time.Duration) (time.Duration, *refusal.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if limit <= 0 || !h.mustHold(r.Fingerprint) {
		return 0, nil
	}
	if h.held >= maxWaitingSuspects && !r.Resumed {
		refused := refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, "too many requests that may have crashed endpoints wait for their earlier runs; send the request again later")
		return 0, refused.WithRetryAfter(noOpenGroupRetryAfter)
	}
	h.held++
	defer func() { h.held-- }()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for ctx.Err() == nil && h.mustHold(r.Fingerprint) {
		changed := h.changed[r.Fingerprint]
		if changed == nil {
			changed = make(chan struct{})
			h.changed[r.Fingerprint] = changed
		}
		h.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		h.mu.Lock()
	}
	return time.Since(began), nil
}

// wakeHeld wakes the held copies of a request, so that they look again whether they may
// start. It is called whenever a run or a check of the request ends. The caller must hold
// mu.
func (h *Home) wakeHeld(fingerprint uint64) {
	if changed := h.changed[fingerprint]; changed != nil {
		close(changed)
		delete(h.changed, fingerprint)
	}
}
