package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// errTruncatedEvent reports a stream that ended within an event.
var errTruncatedEvent = errors.New("stream ended within an event")

// errEventTooLarge reports an event larger than maxEventBytes.
var errEventTooLarge = errors.New("stream event is too large")

// event is one server-sent event, including its final blank line.
type event struct {
	raw []byte
	// id is the value of the id field, or "".
	id string
}

// eventReader splits a stream into events. It never returns part of an event.
type eventReader struct{ lines *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReader(r)} }

// next returns the next event, io.EOF after the last complete one, or the error
// that ended the stream early.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.lines.ReadBytes('\n')
		e.raw = append(e.raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				return event{}, errTruncatedEvent
			}
			return event{}, err
		}
		if len(e.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			e.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
