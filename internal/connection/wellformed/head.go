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
	// Problem says what is wrong with Line, the malformed line of the response.
	Problem, Line string
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
// may be more than one space before the code, and none after it.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// headChecker checks the heads of one response: those of informational responses and the
// final one. What net/http rejects by itself is not checked again.
type headChecker struct {
	// line is the start of a line that has not been read to its end.
	line []byte
	// started is true after the status line of a head, informational if more heads follow
	// it, http10 if its version is 1.0, and done after the final head.
	started, informational, http10, done bool
}

// check checks the next bytes of a response. With an error it returns the number of bytes
// that may be read: those before a malformed field line, or before the line feed of a
// malformed status line. net/http sends some requests again if it can read no byte of a
// response.
func (h *headChecker) check(content []byte) (int, error) {
	for checked := 0; !h.done; {
		end := bytes.IndexByte(content[checked:], '\n')
		if end < 0 {
			h.line = append(h.line, content[checked:]...)
			if len(h.line) > maxLineBytes {
				return checked, &Error{"line is too long", string(h.line)}
			}
			break
		}
		line := content[checked : checked+end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
			h.line = h.line[:0]
		}
		isStatusLine := !h.started
		if err := h.checkLine(line); err != nil {
			if isStatusLine {
				checked += end
			}
			return checked, err
		}
		checked += end + 1
	}
	return len(content), nil
}

// checkLine checks a line, given without its line feed. A line that ends with a line feed
// alone is rejected, because a stray one may end the head too early.
func (h *headChecker) checkLine(line []byte) error {
	line, ended := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !ended:
		return &Error{"line feed without a carriage return", string(line)}
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

// checkField checks the name of a field. RFC 9112 section 5 allows no whitespace in or
// around it, and lets a proxy reject a line that continues the value before it. HTTP/1.0 has
// no transfer codings; net/http ignores them there, so the body would include the chunks'
// sizes.
func (h *headChecker) checkField(line []byte) error {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch {
	case !httpguts.ValidHeaderFieldName(string(name)):
		return &Error{"invalid field name", string(line)}
	case h.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return &Error{"transfer coding in HTTP/1.0", string(line)}
	}
	return nil
}

func (h *headChecker) checkStatusLine(line []byte) error {
	match := statusLine.FindSubmatch(line)
	if match == nil {
		return &Error{"invalid status line", string(line)}
	}
	code := string(match[1])
	if code == "101" {
		return &Error{"change of protocol that was not requested", string(line)}
	}
	h.informational, h.http10 = code[0] == '1', bytes.HasPrefix(line, []byte("HTTP/1.0 "))
	return nil
}
