package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// Handler returns the HTTP interface of the engine: its protocol, and the
// control endpoints GET and POST /faults, POST /crash and POST /restart, which
// also work while the engine is paused or crashed.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.withFaults(e.handleGenerate))
	mux.HandleFunc("DELETE /v1/generate/{id}", e.withFaults(e.handleCancel))
	mux.HandleFunc("GET /v1/state", e.withFaults(e.handleState))
	mux.HandleFunc("GET /v1/load", e.withFaults(e.handleLoad))
	mux.HandleFunc("GET /v1/cache/events", e.withFaults(e.handleCacheEvents))
	mux.HandleFunc("GET /v1/kv/{id}", e.withFaults(e.handleExport))
	mux.HandleFunc("POST /v1/kv", e.withFaults(e.handleImport))
	mux.HandleFunc("POST /v1/orders", e.withFaults(e.handleOrder))
	mux.HandleFunc("GET /faults", e.handleFaults)
	mux.HandleFunc("POST /faults", e.handleSetFaults)
	mux.HandleFunc("POST /crash", controlHandler(e.Crash))
	mux.HandleFunc("POST /restart", controlHandler(e.Restart))
	return mux
}

// withFaults blocks or delays a call as the faults demand, and aborts the
// connection if the engine has crashed.
func (e *Engine) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := e.requestContext(r.Context())
		defer cancel()
		if e.gate.Pass(ctx) != nil || !e.Alive() {
			jsonhttp.Abort()
		}
		if e.Faults().Leaving {
			w.Header().Set(endpoint.HeaderLeaving, "1")
		}
		next(w, r)
	}
}

// requestContext returns a context that ends with parent or with the engine
// process, whichever is first.
func (e *Engine) requestContext(parent context.Context) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	processCtx := e.processCtx
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(processCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// controlHandler returns a handler that runs an action and replies 204.
func controlHandler(action func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		action()
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) handleFaults(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, e.Faults())
}

func (e *Engine) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if jsonhttp.Read(w, r, &f) {
		e.SetFaults(f)
		jsonhttp.Write(w, http.StatusOK, f)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.streams {
		if s.request.RequestID == r.PathValue("id") {
			s.abort()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, e.State())
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, e.Load())
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil && r.URL.Query().Get("from") != "" {
		jsonhttp.Fail(w, http.StatusBadRequest, "from: "+err.Error())
		return
	}
	jsonhttp.Write(w, http.StatusOK, e.CacheEvents(from))
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	export, ok := e.Export(r.PathValue("id"))
	if !ok {
		jsonhttp.Fail(w, http.StatusNotFound, "no cache of stream "+r.PathValue("id"))
		return
	}
	jsonhttp.Write(w, http.StatusOK, export)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var export endpoint.KVExport
	if !jsonhttp.Read(w, r, &export) {
		return
	}
	e.mu.Lock()
	e.cache.store(export.Blocks, time.Now())
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
