package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/answer"
)

// progressTokens is the number of tokens between two progress events.
const progressTokens = 16

// Timeouts of the stream from an engine.
const (
	// firstChunkTimeout is how long to wait for the first chunk of a run.
	firstChunkTimeout = 10 * time.Second
	// nextChunkTimeout is how long to wait for each further chunk.
	nextChunkTimeout = 2 * time.Second
)

// sinkError wraps an error of the sink, so that it is not taken for a failure
// of the group.
type sinkError struct{ err error }

// Error implements error.
func (e *sinkError) Error() string { return "answer could not be passed on: " + e.err.Error() }

// stream copies chunks from the engine to sink until the answer is complete.
func (h *Home) stream(ctx context.Context, p *pool, r peer.HomeRequest, target Target, assembler *answer.Assembler, sink Sink) error {
	watchdog := newWatchdog(ctx, firstChunkTimeout)
	defer watchdog.stop()
	stream, err := h.client.Generate(watchdog.ctx, target.Address, h.generateRequest(r, target))
	if err != nil {
		return watchdog.withCause(err)
	}
	defer stream.Close()
	h.observe(p, r.Model, target, r.RequestID, stream.Facts)
	reported := assembler.Next()
	for !assembler.Complete() {
		chunk, err := stream.Next()
		if err != nil {
			return watchdog.withCause(chunkError(err))
		}
		watchdog.reset(nextChunkTimeout)
		if err := assembler.Accept(chunk); err != nil {
			return err
		}
		if err := sink(peer.Frame{Chunk: &chunk}); err != nil {
			return &sinkError{err}
		}
		if assembler.Next()-reported >= progressTokens {
			p.progress(ctx, r.RequestID, int64(assembler.Next()-reported))
			reported = assembler.Next()
		}
	}
	return nil
}

func chunkError(err error) error {
	if errors.Is(err, io.EOF) {
		return endpoint.ErrTruncated
	}
	return err
}

func (h *Home) generateRequest(r peer.HomeRequest, target Target) endpoint.GenerateRequest {
	h.mu.Lock()
	priority := h.priority[r.Rank]
	h.mu.Unlock()
	return endpoint.GenerateRequest{
		RequestID:   r.RequestID,
		Model:       r.Model,
		Group:       target.Group,
		Generation:  target.Generation,
		Prompt:      r.Prompt,
		MaxTokens:   r.MaxTokens,
		Priority:    priority,
		ResumeIndex: r.ResumeIndex,
		Delivered:   r.Delivered,
	}
}
