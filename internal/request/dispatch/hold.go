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
	h.waitWhile(ctx, r.Fingerprint, h.mustHold)
	return time.Since(began), nil
}

// awaitVerdict blocks until no engine is watched on behalf of the request any more, at
// most departedWindow and the check after it.
func (h *Home) awaitVerdict(fingerprint uint64) {
	ctx, cancel := context.WithTimeout(h.ctx, departedWindow+departedCheckInterval+engineCheckTimeout)
	defer cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitWhile(ctx, fingerprint, h.hasDeparted)
}

// waitWhile blocks while the condition is true of the request, or until ctx ends. The
// caller must hold mu, which is free during the wait.
func (h *Home) waitWhile(ctx context.Context, fingerprint uint64, condition func(uint64) bool) {
	for ctx.Err() == nil && condition(fingerprint) {
		changed := h.changed[fingerprint]
		if changed == nil {
			changed = make(chan struct{})
			h.changed[fingerprint] = changed
		}
		h.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		h.mu.Lock()
	}
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
