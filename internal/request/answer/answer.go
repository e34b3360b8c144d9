// Package answer assembles a streamed answer from its chunks. It checks that
// they belong to one request and follow each other without loss or repetition.
// No call blocks.
package answer

import (
	"fmt"
	"strings"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// MismatchError reports a chunk that does not continue the answer. The
// connection that carried the chunk must not be used again.
type MismatchError struct {
	RequestID string
	Reason    string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("request %s: chunk does not continue the answer: %s", e.RequestID, e.Reason)
}

// Assembler accumulates one answer over any number of attempts. It is not safe
// for concurrent use.
type Assembler struct {
	requestID string
	next      int
	text      strings.Builder
	finish    endpoint.FinishReason
	usage     endpoint.Usage
}

// New returns an assembler for the request that starts with delivered, the text
// of its first next tokens.
func New(requestID string, next int, delivered string) *Assembler {
	a := &Assembler{requestID: requestID, next: next}
	a.text.WriteString(delivered)
	return a
}

// Accept appends the next chunk. If it returns a *MismatchError, the answer is
// unchanged.
func (a *Assembler) Accept(chunk endpoint.Chunk) error {
	switch {
	case chunk.RequestID != a.requestID:
		return a.mismatch("it carries request id %q", chunk.RequestID)
	case a.Complete():
		return a.mismatch("it follows the terminal event")
	case chunk.Index != a.next:
		return a.mismatch("it carries index %d, expected %d", chunk.Index, a.next)
	}
	if chunk.Finish != "" {
		a.finish = chunk.Finish
		if chunk.Usage != nil {
			a.usage = *chunk.Usage
		}
		return nil
	}
	a.next++
	a.text.WriteString(chunk.Text)
	return nil
}

// Complete reports whether the answer is complete: the terminal event was
// accepted.
func (a *Assembler) Complete() bool { return a.finish != "" }

// Next returns the index of the next token, which is also the number of
// tokens accepted so far.
func (a *Assembler) Next() int { return a.next }

// Text returns the text accepted so far.
func (a *Assembler) Text() string { return a.text.String() }

// Finish returns the finish reason; it is empty until the answer is complete.
func (a *Assembler) Finish() endpoint.FinishReason { return a.finish }

// Usage returns the token counts of the terminal event, or zero before it.
func (a *Assembler) Usage() endpoint.Usage { return a.usage }

func (a *Assembler) mismatch(format string, args ...any) error {
	return &MismatchError{RequestID: a.requestID, Reason: fmt.Sprintf(format, args...)}
}
