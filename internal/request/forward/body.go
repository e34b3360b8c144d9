package forward

import (
	"context"
	"errors"
	"io"
	"net/http"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/answermemory"
)

// A body is read in chunks of minChunkBytes to maxChunkBytes, each twice as large as the
// one before, so that nothing is copied while it grows.
const (
	minChunkBytes = 2 << 10
	maxChunkBytes = 64 << 10
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

// readAnswerBody reads the whole body of a reply. It returns answermemory.ErrEvicted
// if the answer had to give way. ctx must be the account's.
func readAnswerBody(ctx context.Context, reply *Reply, memory *answermemory.Account) (body, error) {
	limit := endpoint.MaxAnswerBytes
	if reply.Status >= http.StatusBadRequest {
		limit = maxErrorAnswerBytes
	}
	content, err := readChunks(reply.Body, limit, memory)
	if err != nil {
		return nil, evictionOr(ctx, err)
	}
	memory.Complete()
	return content, nil
}

// evictionOr returns answermemory.ErrEvicted if it is why the context of an account
// ended, and otherwise the error of the reader.
func evictionOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, answermemory.ErrEvicted) {
		return cause
	}
	return err
}

// readChunks reads at most limit bytes up to the end of a reader.
func readChunks(r io.Reader, limit int, memory *answermemory.Account) (body, error) {
	var content body
	size, chunkBytes := 0, minChunkBytes
	for {
		if err := memory.Grow(chunkBytes); err != nil {
			return nil, err
		}
		chunk, err := fill(make([]byte, chunkBytes), r)
		content, size = append(content, chunk), size+len(chunk)
		switch {
		case size > limit:
			return nil, errAnswerTooLarge
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return nil, err
		}
		chunkBytes = min(2*chunkBytes, maxChunkBytes)
	}
}

// fill reads into a chunk until it is full or the reader returns an error, io.EOF
// included, and returns what was read.
func fill(chunk []byte, r io.Reader) ([]byte, error) {
	size := 0
	for size < len(chunk) {
		n, err := r.Read(chunk[size:])
		size += n
		if err != nil {
			return chunk[:size], err
		}
	}
	return chunk, nil
}
