package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/intake"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/object"
)

// ErrCompacted reports that records after the requested revision are gone.
var ErrCompacted = errors.New("records were compacted; read the snapshot")

// Handlers answers the calls of a node's peers.
type Handlers interface {
	Probe(probe Probe) Probe
	// Generate runs a request on this node's groups and blocks until it ends.
	Generate(ctx context.Context, r HomeRequest, sink func(Frame) error) error
	// Log returns the records after a revision, or ErrCompacted.
	Log(after int64) ([]object.Record, error)
	Snapshot() SnapshotBody
	Release(ctx context.Context, r ReleaseRequest) ReleaseReply
	ExplainRequest(requestID string) []Step
	ExplainGroup(group string) []Step
	Burn() BurnDigest
}

// NewServer returns the HTTP handler for calls of peers. It refuses calls
// without the key.
func NewServer(key string, handlers Handlers) http.Handler {
	s := &server{handlers: handlers}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peer/probe", s.probe)
	mux.HandleFunc("POST /peer/generate", s.generate)
	mux.HandleFunc("GET /peer/log", s.log)
	mux.HandleFunc("GET /peer/snapshot", s.snapshot)
	mux.HandleFunc("POST /peer/shares/release", s.release)
	mux.HandleFunc("GET /peer/explain", s.explain)
	mux.HandleFunc("GET /peer/burn", s.burn)
	return requireKey(key, mux)
}

func requireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(key)) != 1 {
			refusal.New(refusal.KindUnauthorized, http.StatusUnauthorized, "the peer key is wrong; set the same key in [peers] on every node").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

type server struct{ handlers Handlers }

// decodeBody reads a JSON body into target. On an error it responds with status
// 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		refuseBody(w, err, "body is not valid JSON: "+err.Error())
		return false
	}
	return true
}

// refuseBody refuses a call whose body could not be read, or is invalid.
func refuseBody(w http.ResponseWriter, err error, invalid string) {
	refused := intake.Refusal(err)
	if refused == nil {
		refused = refusal.New(refusal.KindBadRequest, http.StatusBadRequest, invalid)
	}
	refused.Write(w)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *server) probe(w http.ResponseWriter, r *http.Request) {
	probe, err := DecodeProbe(r.Body)
	if err != nil {
		refuseBody(w, err, err.Error())
		return
	}
	writeProbe(w, s.handlers.Probe(probe))
}

func (s *server) log(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	records, err := s.handlers.Log(after)
	if err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	writeJSON(w, records)
}

func (s *server) snapshot(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.handlers.Snapshot())
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	var request ReleaseRequest
	if decodeBody(w, r, &request) {
		writeJSON(w, s.handlers.Release(r.Context(), request))
	}
}

func (s *server) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("group") {
		writeJSON(w, s.handlers.ExplainGroup(query.Get("group")))
		return
	}
	writeJSON(w, s.handlers.ExplainRequest(query.Get("request")))
}

func (s *server) burn(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.handlers.Burn()) }

func (s *server) generate(w http.ResponseWriter, r *http.Request) {
	var request HomeRequest
	if !decodeBody(w, r, &request) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	writer := newFrameWriter(w)
	stopHeartbeat := writer.startHeartbeat(r.Context())
	err := s.handlers.Generate(r.Context(), request, writer.writeFrame)
	stopHeartbeat()
	if err == nil {
		writer.writeDone()
		return
	}
	// Without the terminal event the entry node treats the answer as truncated.
	panic(http.ErrAbortHandler)
}

// frameWriter writes server-sent events. It is safe for concurrent use.
type frameWriter struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	control *http.ResponseController
}

func newFrameWriter(w http.ResponseWriter) *frameWriter {
	f := &frameWriter{w: w, control: http.NewResponseController(w)}
	_ = f.write(nil, []byte(": open\n\n"))
	return f
}

// write sends prefix and data with one flush.
func (f *frameWriter) write(prefix, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.w.Write(append(prefix, data...)); err != nil {
		return err
	}
	return f.control.Flush()
}

func (f *frameWriter) writeFrame(frame Frame) error {
	data, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	return f.write([]byte("data: "), append(data, '\n', '\n'))
}

func (f *frameWriter) writeDone() { _ = f.write(nil, []byte("data: "+endpoint.DoneMarker+"\n\n")) }

// startHeartbeat starts a goroutine that sends comments until ctx ends or the
// returned function is called. That function blocks until the goroutine ends.
func (f *frameWriter) startHeartbeat(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var sender sync.WaitGroup
	sender.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_ = f.write(nil, []byte(": alive\n\n"))
			}
		}
	})
	return func() {
		cancel()
		sender.Wait()
	}
}
