package endpoint

import (
	"errors"
	"io"
)

// A body is read in chunks of MinChunkBytes to MaxChunkBytes, each twice as large as the
// one before, so that nothing is copied while it grows.
const (
	MinChunkBytes = 2 << 10
	MaxChunkBytes = 64 << 10
)

// ErrAnswerTooLarge reports an answer larger than its limit. It is not delivered, because
// a part would look like the whole answer.
var ErrAnswerTooLarge = errors.New("answer is too large")

// AnswerMemory limits the memory that answers take together.
type AnswerMemory interface {
	// Grow adds n bytes. It blocks while there is no memory, and returns an error if the
	// answer has to give way.
	Grow(n int) error
	// Shrink releases n bytes.
	Shrink(n int)
	// Complete records that the whole answer was received.
	Complete()
}

// unlimitedMemory grants everything.
type unlimitedMemory struct{}

func (unlimitedMemory) Grow(int) error { return nil }
func (unlimitedMemory) Shrink(int)     {}
func (unlimitedMemory) Complete()      {}

// ReadChunks reads at most limit bytes up to the end of a reader.
func ReadChunks(r io.Reader, limit int, memory AnswerMemory) ([][]byte, error) {
	var content [][]byte
	size, chunkBytes := 0, MinChunkBytes
	for {
		if err := memory.Grow(chunkBytes); err != nil {
			return nil, err
		}
		chunk, err := fill(make([]byte, chunkBytes), r)
		content, size = append(content, chunk), size+len(chunk)
		switch {
		case size > limit:
			return nil, ErrAnswerTooLarge
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return nil, err
		}
		chunkBytes = min(2*chunkBytes, MaxChunkBytes)
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

// readWhole is ReadChunks for a body in one piece.
func readWhole(r io.Reader, limit int, memory AnswerMemory) ([]byte, error) {
	chunks, err := ReadChunks(r, limit, memory)
	if err != nil {
		return nil, err
	}
	size, held := 0, 0
	for _, chunk := range chunks {
		size, held = size+len(chunk), held+cap(chunk)
	}
	if err := memory.Grow(size); err != nil {
		return nil, err
	}
	whole := make([]byte, 0, size)
	for _, chunk := range chunks {
		whole = append(whole, chunk...)
	}
	memory.Shrink(held)
	memory.Complete()
	return whole, nil
}
