package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// maxObjectBytes limits the size of one stored object.
const maxObjectBytes = 64 << 20

// objectStore is an in-memory object store. It shares the rate limits of the
// table service.
type objectStore struct {
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	faults       *faultState

	mu     sync.Mutex
	bodies map[string][]byte
}

// admit applies the faults and a rate limit to one call.
func (o *objectStore) admit(ctx context.Context, limiter *rate.Limiter) error {
	if err := o.faults.gate.Pass(ctx); err != nil {
		return fmt.Errorf("%w: no reply: %w", table.ErrUnknown, err)
	}
	if o.faults.get().Outage {
		return errOutage
	}
	if !limiter.Allow() {
		return errRateLimited
	}
	return nil
}

func (o *objectStore) handlePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		jsonhttp.Fail(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	if err := o.admit(r.Context(), o.writeLimiter); err != nil {
		writeError(w, err)
		return
	}
	o.mu.Lock()
	o.bodies[r.PathValue("key")] = body
	o.mu.Unlock()
	if o.faults.losesReply() {
		jsonhttp.Abort()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (o *objectStore) handleGet(w http.ResponseWriter, r *http.Request) {
	if err := o.admit(r.Context(), o.readLimiter); err != nil {
		writeError(w, err)
		return
	}
	o.mu.Lock()
	body, ok := o.bodies[r.PathValue("key")]
	o.mu.Unlock()
	if !ok {
		jsonhttp.Fail(w, http.StatusNotFound, "no object "+r.PathValue("key"))
		return
	}
	_, _ = w.Write(body)
}
