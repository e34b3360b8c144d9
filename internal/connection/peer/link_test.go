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

// frameHandlers answers every Generate call with the same frames.
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

// TestRefusalReachesEntryUnchanged verifies that the entry node receives a
// refusal by another node with all fields, including its status and its retry
// delay.
func TestRefusalReachesEntryUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		refused := refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, "full").WithRetryAfter(1500 * time.Millisecond)
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
			t.Fatalf("got end %v and error %v, want an end and no error", got, err)
		}
		if diff := cmp.Diff(refused, got.Refusal); diff != "" {
			t.Error(diff)
		}
	})
}

// FuzzFrames verifies that reading an answer terminates for any bytes from a
// home, and that every End frame carries a usable refusal.
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
		watchdog := time.AfterFunc(time.Hour, func() {})
		defer watchdog.Stop()
		frames := 0
		err := readFrames("home", bytes.NewReader(data), watchdog, func(frame Frame) error {
			frames++
			if frame.End == nil {
				return nil
			}
			refused := frame.End.Refusal
			if refused == nil || refused.Status < 400 || refused.Status > 599 || refused.Kind == "" || refused.RetryAfter < 0 {
				t.Fatalf("got refusal %+v, want one with a kind, a status from 400 to 599 and no negative retry delay", refused)
			}
			if refused.Ran != refusal.RanNo && refused.Ran != refusal.RanUnknown {
				t.Fatalf("got ran %q, want no or unknown", refused.Ran)
			}
			return nil
		})
		if frames > len(data) {
			t.Fatalf("got %d frames from %d bytes (error %v), want at most one frame per byte", frames, len(data), err)
		}
	})
}
