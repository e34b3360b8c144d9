package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errTorn reports a stream that ended within an event.
var errTorn = errors.New("the stream ended within an event")

// errEventTooLarge reports an event over maxEventBytes.
var errEventTooLarge = errors.New("an event of the stream is too large")

// event is one server-sent event with its final blank line.
type event struct {
	raw []byte
	// id is the value of the id field, or "".
	id string
}

// eventReader splits a stream into events. Bytes that do not end in a whole
// event are never returned.
type eventReader struct{ lines *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReader(r)} }

// next returns the next event, io.EOF after the last whole one, or the error
// that ended the stream early.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.lines.ReadBytes('\n')
		e.raw = append(e.raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				return event{}, errTorn
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
