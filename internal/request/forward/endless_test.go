package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/fleet"
)

// endlessReader returns the same text again and again and counts the bytes read.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}

// TestEndlessEventIsBounded guards against an endpoint that sends bytes without
// end: a line without an end used to be read until the deadline of the request,
// and blank lines or comments counted as events.
func TestEndlessEventIsBounded(t *testing.T) {
	for name, text := range map[string]string{"no line end": "x", "blank lines": "\n", "comments": ": still here\n\n", "fields": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			source := &endlessReader{text: text}
			if _, err := newEventReader(source).next(); !errors.Is(err, errEventTooLarge) {
				t.Fatalf("got error %v, want %v", err, errEventTooLarge)
			}
			if limit := maxEventBytes + 1<<16; source.read > limit {
				t.Errorf("%d bytes were read, want at most %d", source.read, limit)
			}
		})
	}
}

// TestCommentsAndBlankLinesBelongToNextEvent verifies that they reach the caller
// with the event that follows, so that the body is passed on unchanged.
func TestCommentsAndBlankLinesBelongToNextEvent(t *testing.T) {
	reader := newEventReader(strings.NewReader("\n: comment\n\nid: 1\ndata: a\n\nid: 2\n\n"))
	for _, want := range []event{{[]byte("\n: comment\n\nid: 1\ndata: a\n\n"), "1"}, {[]byte("id: 2\n\n"), "2"}} {
		got, err := reader.next()
		if err != nil || string(got.raw) != string(want.raw) || got.id != want.id {
			t.Fatalf("got event %q with ID %q and error %v, want %q with ID %q", got.raw, got.id, err, want.raw, want.id)
		}
	}
	if _, err := reader.next(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v at the end, want io.EOF", err)
	}
}

// trickleBlankLines sends the events up to last and then a blank line every 100 ms
// until the attempt ends.
func trickleBlankLines(last int) hostBehavior {
	return streamEvents(last, 20*time.Millisecond, func(w *io.PipeWriter) {
		for {
			time.Sleep(100 * time.Millisecond)
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
	})
}

// TestTricklingEndpointCountsAsStalled guards against a stalled endpoint that sends
// a byte now and then: its streams must move to another endpoint.
func TestTricklingEndpointCountsAsStalled(t *testing.T) {
	setup := newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": trickleBlankLines(3), "b": trickleBlankLines(3)})
	setup.endpoint.behaviors["b"] = streamEvents(9, 20*time.Millisecond, closeStream)
	setup.hosts = []string{"a"}
	serveOnce(t, setup, func(t *testing.T, got callerResult) {
		if !got.aborted || got.took < time.Second {
			t.Errorf("got %+v from the only endpoint, which trickles, want an aborted answer at the deadline", got)
		}
	})
	setup.hosts = []string{"a", "b"}
	for range 8 { // the first endpoint is chosen at random
		setup.endpoint.behaviors["a"], setup.endpoint.behaviors["b"] = setup.endpoint.behaviors["b"], setup.endpoint.behaviors["a"]
		serveOnce(t, setup, func(t *testing.T, got callerResult) {
			if got.aborted || !strings.HasSuffix(got.body, eventsText(9, 9)) || got.took > 2*time.Second {
				t.Errorf("got body %q, aborted %t after %v, want all nine events within 2 s", got.body, got.aborted, got.took)
			}
		})
	}
}

// TestOversizedAnswerIsNotDelivered guards against an answer that is longer than a
// node reads: its first part used to be delivered as the whole answer.
func TestOversizedAnswerIsNotDelivered(t *testing.T) {
	endless := func(context.Context, *Request, Attempt) (*Reply, error) {
		return verifiedReply(http.StatusOK, io.NopCloser(&endlessReader{text: "x"})), nil
	}
	largest := func(context.Context, *Request, Attempt) (*Reply, error) {
		return verifiedReply(http.StatusOK, io.NopCloser(io.LimitReader(&endlessReader{text: "x"}, endpoint.MaxAnswerBytes))), nil
	}
	for name, c := range map[string]struct {
		behavior hostBehavior
		want     int
	}{"without end": {endless, http.StatusBadGateway}, "as long as allowed": {largest, http.StatusOK}} {
		t.Run(name, func(t *testing.T) {
			serveOnce(t, newTestSetup(fleet.KindNonIdempotent, 1, map[string]hostBehavior{"a": c.behavior}), func(t *testing.T, got callerResult) {
				if got.status != c.want {
					t.Errorf("got status %d with %d bytes, want %d", got.status, len(got.body), c.want)
				}
			})
		})
	}
}
