package forward

import (
	"context"
	"errors"
	"net/http"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/heldmemory"
)

// body is the body of an answer in chunks.
type body [][]byte

// size returns the number of bytes.
func (b body) size() int {
	size := 0
	for _, chunk := range b {
		size += len(chunk)
	}
	return size
}

// readAnswerBody reads the whole body of a reply. It returns heldmemory.ErrEvicted
// if the answer had to give way. ctx must be the account's.
func readAnswerBody(ctx context.Context, reply *Reply, memory *heldmemory.Account) (body, error) {
	limit := endpoint.MaxAnswerBytes
	if reply.Status >= http.StatusBadRequest {
		limit = maxErrorAnswerBytes
	}
	content, err := endpoint.ReadChunks(reply.Body, limit, memory)
	if err != nil {
		return nil, evictionOr(ctx, err)
	}
	memory.Complete()
	return content, nil
}

// evictionOr returns heldmemory.ErrEvicted if it is why the context of an account
// ended, and otherwise the error of the reader.
func evictionOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, heldmemory.ErrEvicted) {
		return cause
	}
	return err
}
