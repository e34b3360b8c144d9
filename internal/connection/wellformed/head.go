package wellformed

import (
	"bytes"
	"fmt"
	"regexp"

	"golang.org/x/net/http/httpguts"
)

// Error reports a response that RFC 9110 or RFC 9112 does not allow. The server may have
// run the request.
type Error struct {
	// Problem says what is wrong, Line is the line where.
	Problem string
	Line    []byte
}

// maxQuotedBytes limits what an Error quotes of a response.
const maxQuotedBytes = 80

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("response is not well-formed: %s: %q", e.Problem, e.Line[:min(len(e.Line), maxQuotedBytes)])
}

// maxLineBytes limits a line of a head.
const maxLineBytes = 1 << 20

// statusLine matches a status line and its status code. As RFC 9112 section 4 allows, there
// may be more than one space before the code and none behind it.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// headChecker checks the heads of one response: those of informational responses and the
// final one. What net/http rejects by itself is not checked again.
type headChecker struct {
	// line is the start of a line whose end has not come.
	line []byte
	// started is true behind the status line of a head, informational if more heads follow
	// it, http10 if its version is 1.0, and done behind the final head.
	started, informational, http10, done bool
}

// check checks the next bytes of a response. It returns the number of bytes before the end
// of the first malformed line, or all of them.
func (h *headChecker) check(content []byte) (int, error) {
	for checked := 0; !h.done; {
		end := bytes.IndexByte(content[checked:], '\n')
		if end < 0 {
			h.line = append(h.line, content[checked:]...)
			if len(h.line) > maxLineBytes {
				return checked, &Error{"line is too long", h.line}
			}
			break
		}
		line := content[checked : checked+end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
			h.line = h.line[:0]
		}
		if err := h.checkLine(line); err != nil {
			return checked + end, err
		}
		checked += end + 1
	}
	return len(content), nil
}

// checkLine checks a line, given without its line feed. A line feed alone is no end of a
// line, because one inside a head would move the end of the head.
func (h *headChecker) checkLine(line []byte) error {
	line, ended := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !ended:
		return &Error{"line feed without a carriage return", bytes.Clone(line)}
	case !h.started:
		h.started = true
		return h.checkStatusLine(line)
	case len(line) == 0:
		h.started, h.done = false, !h.informational
		return nil
	default:
		return h.checkField(line)
	}
}

// checkField checks the name of a field. RFC 9112 section 5 allows no blank around it, and
// a proxy to reject a line that begins with one and so continues the value before it.
// Section 6.1 has no transfer codings in HTTP/1.0, where net/http ignores them.
func (h *headChecker) checkField(line []byte) error {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch {
	case !httpguts.ValidHeaderFieldName(string(name)):
		return &Error{"invalid field name", bytes.Clone(line)}
	case h.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return &Error{"transfer coding in HTTP/1.0", bytes.Clone(line)}
	}
	return nil
}

func (h *headChecker) checkStatusLine(line []byte) error {
	match := statusLine.FindSubmatch(line)
	if match == nil {
		return &Error{"invalid status line", bytes.Clone(line)}
	}
	code := string(match[1])
	if code == "101" {
		return &Error{"change of protocol that was not requested", bytes.Clone(line)}
	}
	h.informational, h.http10 = code[0] == '1', bytes.HasPrefix(line, []byte("HTTP/1.0 "))
	return nil
}
