package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	json "github.com/goccy/go-json"
	"io"
)

// MaxEventBytes bounds one server-sent event.
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
	const initialBuffer = 4 << 10
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialBuffer), MaxEventBytes)
	return &EventReader{scanner: scanner}
}

// Next returns the data of the next event, valid until the following call. It
// returns io.EOF after the terminal event and ErrTruncated where the stream
// ends before it. onComment, where not nil, is called for each comment line,
// which servers send as heartbeat.
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

// Stream is a running generation at an engine.
type Stream struct {
	reader *EventReader
	body   io.ReadCloser
}

// NewStream returns a stream that reads chunks from body.
func NewStream(body io.ReadCloser) *Stream {
	return &Stream{reader: NewEventReader(body), body: body}
}

// Next returns the next chunk, io.EOF after [DONE], or ErrTruncated, wrapped.
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

// Close ends the stream; the engine cancels it if it still runs.
func (s *Stream) Close() error { return s.body.Close() }
