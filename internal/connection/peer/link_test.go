package peer

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/memnet"
)

// frameHandlers answers every request with the same frames.
type frameHandlers struct {
	Handlers
	frames []Frame
}

// Generate implements Handlers.
func (h frameHandlers) Generate(_ context.Context, _ HomeRequest, sink func(Frame) error) error {
	for _, frame := range h.frames {
		if err := sink(frame); err != nil {
			return err
		}
	}
	return nil
}

// TestRefusalCrossesLink covers what the entry node tells its caller of a
// refusal by another node: its status and its hint to wait included.
func TestRefusalCrossesLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		refused := refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, "full").After(1500 * time.Millisecond)
		server := network.Serve("home:80", NewServer("key", frameHandlers{frames: []Frame{{End: NewEnd(EndRefused, "g", refused)}}}))
		defer server.Close()
		client := NewClientOver("key", nil, network.Dial)
		defer client.Close()
		var got *End
		err := client.Generate(t.Context(), "home", HomeRequest{RequestID: "r"}, func(frame Frame) error {
			got = frame.End
			return nil
		})
		if err != nil || got == nil {
			t.Fatalf("got %v, %v", got, err)
		}
		if diff := cmp.Diff(refused, got.Refusal); diff != "" {
			t.Error(diff)
		}
	})
}

// FuzzFrames checks that any bytes of a home end its answer, and that an end
// always says whether and how the request failed.
func FuzzFrames(f *testing.F) {
	for _, seed := range []string{
		`data: {"assigned":{"group":"g@1","waitMillis":3}}` + "\n\n" + `data: {"chunk":{"requestID":"r","index":0,"text":"a "}}` + "\n\ndata: [DONE]\n\n",
		`data: {"end":{"cause":"refused","refusal":{"kind":"overloaded","message":"m","ran":"no"},"status":429}}` + "\n\n",
		`data: {"end":{"cause":"failed"}}` + "\n\n",
		`data: {"end":{"cause":"refused","refusal":{},"status":-1,"retryAfterMillis":-9}}` + "\n\n",
		"data: {\n\n", ": alive\n\n", "data: null\n\n", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		silence := time.AfterFunc(time.Hour, func() {})
		defer silence.Stop()
		frames := 0
		err := readFrames("home", bytes.NewReader(data), silence, func(frame Frame) error {
			frames++
			if frame.End == nil {
				return nil
			}
			refused := frame.End.Refusal
			if refused == nil || refused.Status < 400 || refused.Status > 599 || refused.Kind == "" || refused.RetryAfter < 0 {
				t.Fatalf("end without a usable refusal: %+v", refused)
			}
			if refused.Ran != refusal.RanNo && refused.Ran != refusal.RanUnknown {
				t.Fatalf("ran is %q", refused.Ran)
			}
			return nil
		})
		if frames > len(data) {
			t.Fatalf("%d frames from %d bytes, %v", frames, len(data), err)
		}
	})
}
