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

// event is one server-sent event, including its final blank line and the blank
// lines and comments before it.
type event struct {
	raw []byte
	// id is the value of the id field, or "".
	id string
}

// eventReader splits a stream into events. It never returns part of an event.
type eventReader struct{ lines *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReader(r)} }

// next returns the next event, io.EOF after the last complete one, or the error
// that ended the stream early. Blank lines and comments without a field are no
// event: an endpoint that sends only these makes no progress. It reads at most
// maxEventBytes and one buffer.
func (r *eventReader) next() (event, error) {
	var e event
	hasField := false
	for {
		line, err := r.readLine(len(e.raw))
		e.raw = append(e.raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && (hasField || len(line) > 0) {
				return event{}, errTruncatedEvent
			}
			return event{}, err
		}
		content := bytes.TrimRight(line, "\r\n")
		switch {
		case len(content) == 0 && hasField:
			return e, nil
		case len(content) == 0 || content[0] == ':':
			continue
		}
		hasField = true
		if value, ok := bytes.CutPrefix(content, []byte("id:")); ok {
			e.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// readLine returns a line with its end. It returns errEventTooLarge if the line
// and the given number of earlier bytes exceed maxEventBytes.
func (r *eventReader) readLine(before int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		line = append(line, part...)
		if before+len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
