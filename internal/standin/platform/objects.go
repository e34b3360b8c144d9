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

// maxObjectBytes bounds one stored object.
const maxObjectBytes = 64 << 20

// objects is the object store. It shares the limits of the table service.
type objects struct {
	writes *rate.Limiter
	reads  *rate.Limiter
	faults *faultSwitch

	mu     sync.Mutex
	bodies map[string][]byte
}

// enter applies the faults and a limit to one call.
func (o *objects) enter(ctx context.Context, limit *rate.Limiter) error {
	if err := o.faults.gate.Pass(ctx); err != nil {
		return fmt.Errorf("%w: no answer: %w", table.ErrUnknown, err)
	}
	if o.faults.get().Outage {
		return errOutage
	}
	if !limit.Allow() {
		return errLimited
	}
	return nil
}

func (o *objects) handlePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		jsonhttp.Fail(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	if err := o.enter(r.Context(), o.writes); err != nil {
		writeError(w, err)
		return
	}
	o.mu.Lock()
	o.bodies[r.PathValue("key")] = body
	o.mu.Unlock()
	if o.faults.losesAnswer() {
		jsonhttp.Abort()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (o *objects) handleGet(w http.ResponseWriter, r *http.Request) {
	if err := o.enter(r.Context(), o.reads); err != nil {
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
