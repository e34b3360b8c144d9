package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"currantladder.example/currantladder/internal/request/heldmemory"
)

// maxEventBytes is the maximum size of one event of a stream, and maxEventIDBytes that of
// its ID, which is kept until the next one.
const (
	maxEventBytes   = 1 << 20
	maxEventIDBytes = 4 << 10
)

// errTruncatedEvent reports a stream that ended within an event.
var errTruncatedEvent = errors.New("stream ended within an event")

// errEventTooLarge reports an event larger than maxEventBytes, or an ID larger than
// maxEventIDBytes.
var errEventTooLarge = errors.New("stream event is too large")

// event is one server-sent event, including its final blank line and the blank
// lines and comments before it.
type event struct {
	raw []byte
	// id is the value of the id field, or "".
	id string
}

// minEventCapacity is the initial capacity of an event.
const minEventCapacity = 256

// eventReader splits a stream into events. It never returns part of an event. It adds
// the capacity of each event to the account, and the receiver of the event releases it.
type eventReader struct {
	lines  *bufio.Reader
	memory *heldmemory.Account
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{lines: bufio.NewReader(r)} }

// next returns the next event, io.EOF after the last complete one, or the error
// that ended the stream early. Blank lines and comments without a field are no
// event: an endpoint that sends only these makes no progress. It reads at most
// maxEventBytes and one buffer.
func (r *eventReader) next() (event, error) {
	var e event
	hasField := false
	for {
		start := len(e.raw)
		err := r.appendLine(&e)
		if err == nil {
			err = e.setID(e.raw[start:])
		}
		if err != nil {
			r.memory.Shrink(cap(e.raw))
			if errors.Is(err, io.EOF) && (hasField || len(e.raw) > start) {
				return event{}, errTruncatedEvent
			}
			return event{}, err
		}
		content := bytes.TrimRight(e.raw[start:], "\r\n")
		switch {
		case len(content) == 0 && hasField:
			return e, nil
		case len(content) == 0 || content[0] == ':':
			continue
		}
		hasField = true
	}
}

// setID sets the ID of an event if the line is an id field.
func (e *event) setID(line []byte) error {
	value, isID := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
	if !isID {
		return nil
	}
	if len(value) > maxEventIDBytes {
		return errEventTooLarge
	}
	e.id = string(bytes.TrimPrefix(value, []byte(" ")))
	return nil
}

// appendLine appends a line with its end to an event. It returns errEventTooLarge if
// the event exceeds maxEventBytes.
func (r *eventReader) appendLine(e *event) error {
	for {
		part, err := r.lines.ReadSlice('\n')
		if len(e.raw)+len(part) > maxEventBytes {
			return errEventTooLarge
		}
		if err := r.reserve(e, len(part)); err != nil {
			return err
		}
		e.raw = append(e.raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// reserve makes room for n more bytes of an event.
func (r *eventReader) reserve(e *event, n int) error {
	former := cap(e.raw)
	if len(e.raw)+n <= former {
		return nil
	}
	capacity := max(2*former, len(e.raw)+n, minEventCapacity)
	if err := r.memory.Grow(capacity); err != nil {
		return err
	}
	e.raw = append(make([]byte, 0, capacity), e.raw...)
	r.memory.Shrink(former)
	return nil
}
