package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	json "github.com/goccy/go-json"
	"io"
)

// MaxEventBytes is the maximum size of one server-sent event.
const MaxEventBytes = 1 << 20

// DoneMarker is the data of the event that ends a stream.
const DoneMarker = "[DONE]"

// ErrTruncated reports a stream that ended without its terminal event.
var ErrTruncated = errors.New("stream ended without its terminal event")

var (
	dataPrefix = []byte("data:")
	doneData   = []byte(DoneMarker)
)

// EventReader reads the data of server-sent events. It is not safe for
// concurrent use.
type EventReader struct {
	scanner *bufio.Scanner
	done    bool
}

// NewEventReader returns a reader over r.
func NewEventReader(r io.Reader) *EventReader {
	const initialBufferBytes = 4 << 10
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialBufferBytes), MaxEventBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the data of the next event, which is valid until the following
// call. It returns io.EOF at the terminal event and an error that wraps
// ErrTruncated if the stream ends before it. If onComment is not nil, it is
// called for each comment line; servers send comments as heartbeats.
func (r *EventReader) Next(onComment func()) ([]byte, error) {
	if r.done {
		return nil, io.EOF
	}
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) > 0 && line[0] == ':' && onComment != nil {
			onComment()
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			r.done = true
			return nil, io.EOF
		}
		return data, nil
	}
	if err := r.scanner.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return nil, ErrTruncated
}

// Stream reads the chunks of a generation that runs at an engine.
type Stream struct {
	// Facts are what the engine said of itself in the head of its answer.
	Facts  Facts
	reader *EventReader
	body   io.ReadCloser
}

// NewStream returns a stream that reads chunks from body.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{reader: NewEventReader(body), body: body}
}

// Next returns the next chunk. It returns io.EOF after [DONE] and an error that
// wraps ErrTruncated if the stream ends before it.
func (s *Stream) Next() (Chunk, error) {
	data, err := s.reader.Next(nil)
	if err != nil {
		return Chunk{}, err
	}
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Chunk{}, fmt.Errorf("chunk is not valid JSON: %w", err)
	}
	return chunk, nil
}

// Close closes the response body; the engine cancels a generation that is still
// running.
func (s *Stream) Close() error { return s.body.Close() }
