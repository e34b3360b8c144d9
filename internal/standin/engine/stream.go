package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/fault"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// doneEvent ends the event stream.
const doneEvent = "[DONE]"

// errCut ends a stream whose connection a fault cuts.
var errCut = errors.New("connection cut by a fault")

// stream is one request in the engine.
type stream struct {
	request endpoint.GenerateRequest
	ticket  *ticket
	ctx     context.Context
	abort   context.CancelFunc
	seed    uint64
	writer  http.ResponseWriter
	held    *endpoint.Chunk // sent after the next chunk
	sent    int
}

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request endpoint.GenerateRequest
	if !jsonhttp.Read(w, r, &request) {
		return
	}
	if request.RequestID == "" || request.ResumeIndex < 0 || request.ResumeIndex > request.MaxTokens {
		jsonhttp.Fail(w, http.StatusBadRequest, "requestID must be set, and resumeIndex between 0 and maxTokens")
		return
	}
	s, refusal := e.admit(r.Context(), request)
	if s == nil {
		jsonhttp.Fail(w, http.StatusConflict, refusal)
		return
	}
	defer e.release(s)
	s.writer = w
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if s.flush() != nil || e.run(s) != nil {
		jsonhttp.Abort()
	}
}

// admit queues a stream for a slot, or tells why the engine refuses it.
func (e *Engine) admit(ctx context.Context, request endpoint.GenerateRequest) (*stream, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.refusal(request); refusal != "" {
		return nil, refusal
	}
	s := &stream{request: request, seed: answerSeed(request.Model, request.Prompt)}
	s.ctx, s.abort = context.WithCancel(ctx)
	s.ticket = e.slots.enter(request.Priority)
	e.streams[s] = struct{}{}
	e.recordLoad()
	return s, ""
}

// refusal tells why the engine cannot run a request; empty means that it can.
// The caller holds mu.
func (e *Engine) refusal(request endpoint.GenerateRequest) string {
	state := e.state
	switch {
	case e.crashed || state.State != endpoint.EngineReady:
		return "the engine is not ready"
	case request.Group != state.Group || request.Generation != state.Generation:
		return fmt.Sprintf("loaded is group %q generation %d", state.Group, state.Generation)
	case request.Model != state.Model:
		return fmt.Sprintf("loaded is model %q", state.Model)
	case !e.leads():
		return "another member leads the group"
	case e.memberMissing():
		return "a member of the group is missing"
	}
	return ""
}

// release gives the slot of a stream back.
func (e *Engine) release(s *stream) {
	s.abort()
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[s]; !ok {
		return // the engine was restarted
	}
	delete(e.streams, s)
	e.slots.leave(s.ticket)
	e.recordLoad()
}

// recordLoad notes the present load. The caller holds mu.
func (e *Engine) recordLoad() {
	waiting := len(e.slots.waiting)
	e.reports.record(len(e.streams)-waiting, waiting, time.Now())
}

// run generates the whole answer. It blocks until the terminal event is sent,
// or returns an error when the stream must be cut.
func (e *Engine) run(s *stream) error {
	select {
	case <-s.ticket.granted:
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	if marker := e.Faults().CrashMarker; marker != "" && strings.Contains(s.request.Prompt, marker) {
		e.Crash()
		return errCut
	}
	cached, err := e.prefill(s)
	if err != nil {
		return err
	}
	for i := s.request.ResumeIndex; i < s.request.MaxTokens; i++ {
		if err := e.step(s, i); err != nil {
			return err
		}
	}
	return e.finish(s, cached)
}

// prefill blocks for the part of the prompt that is not cached, and returns
// the number of cached prompt tokens.
func (e *Engine) prefill(s *stream) (int, error) {
	prompt := s.request.Prompt
	text := prompt + s.request.Delivered
	blocks := endpoint.PrefixBlocks(text)
	e.mu.Lock()
	hits := e.cache.match(blocks)
	e.mu.Unlock()
	cachedText := text[:hits*endpoint.BlockChars]
	missing := endpoint.CountTokens(text) - len(strings.Fields(cachedText))
	pause := e.scaled(time.Duration(missing) * e.options.PrefillPerToken)
	if err := fault.Sleep(s.ctx, pause); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ctx.Err() != nil {
		return 0, s.ctx.Err()
	}
	e.cache.store(blocks, time.Now())
	e.kv.put(endpoint.KVExport{RequestID: s.request.RequestID, Tokens: endpoint.CountTokens(text), Blocks: blocks})
	return min(len(strings.Fields(cachedText)), endpoint.CountTokens(prompt)), nil
}

// step generates and sends one token.
func (e *Engine) step(s *stream, i int) error {
	if err := fault.Sleep(s.ctx, e.scaled(e.options.TokenInterval)); err != nil {
		return err
	}
	chunk := endpoint.Chunk{RequestID: s.request.RequestID, Index: i, Text: tokenOf(s.seed, i)}
	return e.send(s, chunk)
}

// finish sends the terminal event.
func (e *Engine) finish(s *stream, cached int) error {
	usage := &endpoint.Usage{
		PromptTokens:     endpoint.CountTokens(s.request.Prompt),
		CompletionTokens: s.request.MaxTokens,
		CachedTokens:     cached,
	}
	chunk := endpoint.Chunk{RequestID: s.request.RequestID, Index: s.request.MaxTokens, Finish: endpoint.FinishLength, Usage: usage}
	if err := e.send(s, chunk); err != nil {
		return err
	}
	return s.event([]byte(doneEvent))
}

// send applies the faults in force to one chunk and sends it.
func (e *Engine) send(s *stream, chunk endpoint.Chunk) error {
	if err := e.gate.Hold(s.ctx); err != nil {
		return err
	}
	faults := e.Faults()
	switch {
	case faults.CutAfter > 0 && s.sent >= faults.CutAfter:
		return errCut
	case faults.StallAfter > 0 && s.sent >= faults.StallAfter:
		return hold(s.ctx)
	}
	s.sent++
	chunk = e.swapped(s, chunk)
	terminal := chunk.Finish != ""
	if s.held == nil && !terminal && every(faults.ReorderEvery, s.sent) {
		s.held = &chunk
		return nil
	}
	if err := s.chunk(chunk); err != nil {
		return err
	}
	if s.held == nil {
		return nil
	}
	late := *s.held
	s.held = nil
	return s.chunk(late)
}

// swapped gives a chunk the id and text of another request where the fault
// says so.
func (e *Engine) swapped(s *stream, chunk endpoint.Chunk) endpoint.Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.chunks++
	if !every(e.faults.SwapEvery, e.chunks) || chunk.Finish != "" {
		return chunk
	}
	for other := range e.streams {
		if other.request.RequestID != s.request.RequestID {
			chunk.RequestID = other.request.RequestID
			chunk.Text = tokenOf(other.seed, chunk.Index)
			return chunk
		}
	}
	chunk.RequestID = "swapped-" + chunk.RequestID
	chunk.Text = tokenOf(s.seed+1, chunk.Index)
	return chunk
}

// chunk sends one chunk.
func (s *stream) chunk(chunk endpoint.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.event(data)
}

// event sends one server-sent event.
func (s *stream) event(data []byte) error {
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	if _, err := fmt.Fprintf(s.writer, "data: %s\n\n", data); err != nil {
		return err
	}
	return s.flush()
}

func (s *stream) flush() error {
	return http.NewResponseController(s.writer).Flush()
}
