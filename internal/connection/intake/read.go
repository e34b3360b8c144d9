package intake

import (
	"errors"
	"io"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/request/heldmemory"
)

// A body is read in chunks of minChunkBytes to maxChunkBytes, each twice as large as the
// one before, so that a body that stops short takes little more than has come of it. A body
// of up to directBytes with an announced length is read into one chunk.
const (
	minChunkBytes = 2 << 10
	maxChunkBytes = 64 << 10
	directBytes   = 16 << 10
)

// ReserveBytes is what one body of the given size takes at most while it is read: its
// chunks, the last of which may be empty, and the whole. copies are further copies of the
// body that its handler makes.
func ReserveBytes(size int64, copies int) int64 {
	return size*int64(2+copies) + 2*maxChunkBytes
}

// Limits are those of one body.
type Limits struct {
	// Owner shares the memory for bodies with other owners; "" is the sender's address.
	Owner string
	// MaxBytes is the largest size.
	MaxBytes int64
	// Latest is the time at which the request ends, or zero.
	Latest time.Time
	// Copies is how many further copies of the body the handler makes. They are counted if
	// the body has more bytes than are free of counting.
	Copies int
}

// Content is the whole body of a request. Its memory is counted until Close.
type Content struct {
	// Bytes is the body.
	Bytes   []byte
	copies  int
	account *heldmemory.Account
}

// Decoded records that no more than one copy of the body is held from now on.
func (c *Content) Decoded() {
	if c.account != nil {
		c.account.Shrink(len(c.Bytes) * c.copies)
	}
}

// Close stops counting the memory of the body.
func (c *Content) Close() {
	if c != nil && c.account != nil {
		c.account.Close()
	}
}

// Read reads the whole body of a request. Refusal tells what an error means. The caller
// closes the content when the request has ended. If the body is refused, its connection is
// closed after the answer.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limits Limits) (*Content, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &Content{}, nil
	}
	if r.ContentLength > limits.MaxBytes {
		w.Header().Set("Connection", "close")
		return nil, errTooLarge
	}
	current, ok := r.Body.(*body)
	if !ok {
		current = b.newBody(w, r)
	}
	if limits.Owner != "" {
		current.owner = limits.Owner
	}
	current.latest = limits.Latest
	b.Pool.RaiseReserve(ReserveBytes(limits.MaxBytes, limits.Copies))
	current.start()
	content, err := current.readWhole(r.ContentLength, limits)
	if err != nil {
		current.release()
		w.Header().Set("Connection", "close")
		return nil, err
	}
	current.account.Complete()
	return &Content{Bytes: content, copies: limits.Copies, account: current.account}, nil
}

// readWhole reads the body into one piece. The account holds what that takes.
func (b *body) readWhole(announced int64, limits Limits) ([]byte, error) {
	chunkBytes := int64(minChunkBytes)
	if announced > 0 {
		b.account.Expect(ReserveBytes(announced, limits.Copies))
		if announced <= directBytes {
			chunkBytes = announced
		}
	}
	var chunks [][]byte
	size, held := int64(0), int64(0)
	for {
		if err := b.account.Grow(int(chunkBytes)); err != nil {
			return nil, err
		}
		chunk, err := b.fill(make([]byte, chunkBytes))
		chunks, size, held = append(chunks, chunk), size+int64(len(chunk)), held+chunkBytes
		if size > limits.MaxBytes {
			return nil, errTooLarge
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		chunkBytes = min(max(2*chunkBytes, minChunkBytes), maxChunkBytes)
	}
	if len(chunks) == 1 && limits.Copies == 0 {
		return chunks[0], nil
	}
	return b.join(chunks, size, held, limits.Copies)
}

// join returns the chunks in one piece, and holds memory for further copies.
func (b *body) join(chunks [][]byte, size, held int64, copies int) ([]byte, error) {
	if err := b.account.Grow(int(size) * (1 + copies)); err != nil {
		return nil, err
	}
	if len(chunks) == 1 {
		b.account.Shrink(int(size))
		return chunks[0], nil
	}
	whole := make([]byte, 0, size)
	for _, chunk := range chunks {
		whole = append(whole, chunk...)
	}
	b.account.Shrink(int(held))
	return whole, nil
}

// fill reads into a chunk until it is full or the body ends, and returns what was read.
func (b *body) fill(chunk []byte) ([]byte, error) {
	size := 0
	for size < len(chunk) {
		n, err := b.readSome(chunk[size:])
		size += n
		if err != nil {
			return chunk[:size], err
		}
	}
	return chunk, nil
}
