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

// doneEvent is the data of the last event of a stream.
const doneEvent = "[DONE]"

// errConnectionCut ends a stream whose connection is cut by a fault.
var errConnectionCut = errors.New("connection cut by a fault")

// stream is one generate request that the engine has admitted.
type stream struct {
	request    endpoint.GenerateRequest
	ticket     *ticket
	ctx        context.Context
	abort      context.CancelFunc
	seed       uint64
	writer     http.ResponseWriter
	delayed    *endpoint.Chunk // sent after the next chunk
	sentChunks int
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
	if retryAfter := e.Faults().RetryAfter; retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
		jsonhttp.Fail(w, http.StatusServiceUnavailable, "the engine wants no requests for now")
		return
	}
	s, reason := e.admit(r.Context(), request)
	if s == nil {
		jsonhttp.Fail(w, http.StatusConflict, reason)
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

// admit queues a stream for a slot. If the engine refuses the request, it
// returns the reason and no stream.
func (e *Engine) admit(ctx context.Context, request endpoint.GenerateRequest) (*stream, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusalReason(request); reason != "" {
		return nil, reason
	}
	s := &stream{request: request, seed: answerSeed(request.Model, request.Prompt)}
	s.ctx, s.abort = context.WithCancel(ctx)
	s.ticket = e.slots.enqueue(request.Priority)
	e.streams[s] = struct{}{}
	e.recordLoad()
	return s, ""
}

// refusalReason returns why the engine cannot run a request; empty means that it
// can. The caller holds mu.
func (e *Engine) refusalReason(request endpoint.GenerateRequest) string {
	state := e.state
	switch {
	case e.crashed || state.State != endpoint.EngineReady:
		return "the engine is not ready"
	case request.Group != state.Group || request.Generation != state.Generation:
		return fmt.Sprintf("loaded is group %q generation %d", state.Group, state.Generation)
	case request.Model != state.Model:
		return fmt.Sprintf("loaded is model %q", state.Model)
	case !e.isLeader():
		return "another member leads the group"
	case e.anyMemberMissing():
		return "a member of the group is missing"
	}
	return ""
}

// release ends a stream and frees its slot or its place in the queue.
func (e *Engine) release(s *stream) {
	s.abort()
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.streams[s]; !ok {
		return // the engine was restarted and has new slots
	}
	delete(e.streams, s)
	e.slots.release(s.ticket)
	e.recordLoad()
}

// recordLoad adds a report of the current load. The caller holds mu.
func (e *Engine) recordLoad() {
	waiting := len(e.slots.waiting)
	e.reports.record(len(e.streams)-waiting, waiting, time.Now())
}

// run waits for a slot and generates the answer. It blocks until the terminal
// event is sent, and returns an error if the connection must be aborted.
func (e *Engine) run(s *stream) error {
	select {
	case <-s.ticket.granted:
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
	if faults := e.Faults(); faults.CrashMarker != "" && strings.Contains(s.request.Prompt, faults.CrashMarker) {
		if faults.BeforeCrash != nil {
			faults.BeforeCrash()
		}
		e.Crash()
		if faults.OnCrash != nil {
			faults.OnCrash()
		}
		return errConnectionCut
	}
	cachedTokens, err := e.prefill(s)
	if err != nil {
		return err
	}
	for i := s.request.ResumeIndex; i < s.request.MaxTokens; i++ {
		if err := e.generateToken(s, i); err != nil {
			return err
		}
	}
	return e.finish(s, cachedTokens)
}

// prefill blocks for the prefill time of the tokens that are not cached, and
// returns the number of cached prompt tokens.
func (e *Engine) prefill(s *stream) (int, error) {
	prompt := s.request.Prompt
	text := prompt + s.request.Delivered
	blocks := endpoint.PrefixBlocks(text)
	e.mu.Lock()
	hits := e.cache.match(blocks)
	e.mu.Unlock()
	cachedText := text[:hits*endpoint.BlockBytes]
	uncachedTokens := endpoint.CountTokens(text) - len(strings.Fields(cachedText))
	prefillTime := e.scaled(time.Duration(uncachedTokens) * e.options.PrefillPerToken)
	if err := fault.Sleep(s.ctx, prefillTime); err != nil {
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

// generateToken blocks for the token interval and sends token i.
func (e *Engine) generateToken(s *stream, i int) error {
	if err := fault.Sleep(s.ctx, e.scaled(e.options.TokenInterval)); err != nil {
		return err
	}
	chunk := endpoint.Chunk{RequestID: s.request.RequestID, Index: i, Text: tokenFromSeed(s.seed, i)}
	return e.send(s, chunk)
}

// finish sends the terminal chunk and the done event.
func (e *Engine) finish(s *stream, cachedTokens int) error {
	usage := &endpoint.Usage{
		PromptTokens:     endpoint.CountTokens(s.request.Prompt),
		CompletionTokens: s.request.MaxTokens,
		CachedTokens:     cachedTokens,
	}
	chunk := endpoint.Chunk{RequestID: s.request.RequestID, Index: s.request.MaxTokens, Finish: endpoint.FinishLength, Usage: usage}
	if err := e.send(s, chunk); err != nil {
		return err
	}
	return s.sendEvent([]byte(doneEvent))
}

// send applies the faults in force to one chunk and sends it.
func (e *Engine) send(s *stream, chunk endpoint.Chunk) error {
	if err := e.gate.WaitOpen(s.ctx); err != nil {
		return err
	}
	faults := e.Faults()
	switch {
	case faults.CutAfter > 0 && s.sentChunks >= faults.CutAfter:
		return errConnectionCut
	case faults.StallAfter > 0 && s.sentChunks >= faults.StallAfter:
		return waitDone(s.ctx)
	}
	s.sentChunks++
	chunk = e.applySwap(s, chunk)
	terminal := chunk.Finish != ""
	if s.delayed == nil && !terminal && isNth(faults.ReorderEvery, s.sentChunks) {
		s.delayed = &chunk
		return nil
	}
	if err := s.sendChunk(chunk); err != nil {
		return err
	}
	if s.delayed == nil {
		return nil
	}
	previous := *s.delayed
	s.delayed = nil
	return s.sendChunk(previous)
}

// applySwap gives every SwapEvery-th chunk the request ID and text of another
// request; without another stream, it makes both up.
func (e *Engine) applySwap(s *stream, chunk endpoint.Chunk) endpoint.Chunk {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sentChunks++
	if !isNth(e.faults.SwapEvery, e.sentChunks) || chunk.Finish != "" {
		return chunk
	}
	for other := range e.streams {
		if other.request.RequestID != s.request.RequestID {
			chunk.RequestID = other.request.RequestID
			chunk.Text = tokenFromSeed(other.seed, chunk.Index)
			return chunk
		}
	}
	chunk.RequestID = "swapped-" + chunk.RequestID
	chunk.Text = tokenFromSeed(s.seed+1, chunk.Index)
	return chunk
}

// sendChunk sends one chunk without faults.
func (s *stream) sendChunk(chunk endpoint.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.sendEvent(data)
}

// sendEvent sends one server-sent event.
func (s *stream) sendEvent(data []byte) error {
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
