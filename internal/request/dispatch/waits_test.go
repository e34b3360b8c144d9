package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/queue"
	"currantladder.example/currantladder/internal/request/refusal"
)

// TestSlotsAroundWait verifies the slots that a group offers in and after the wait of its
// engine, and that the wait belongs to one process of it, whatever group it leads.
func TestSlotsAroundWait(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	h := NewHome(ctx, endpoint.NewClient(), noSuspects{}, nil)
	t.Cleanup(func() {
		cancel()
		h.Wait()
	})
	target := Target{Group: "g", Generation: 1, Address: "e:1", BootID: "1", Slots: 10}
	h.Configure([]queue.Rank{{Name: "urgent", QueueBound: 8}}, map[string][]Target{"m": {target}})
	asked := &endpoint.CallError{MaybeSent: true, Status: 503, Facts: endpoint.Facts{Wait: 10 * time.Second}}
	h.observeFailure(h.pools["m"], "m", target, "r", asked)
	h.mu.Lock()
	defer h.mu.Unlock()
	end := h.waits.End(target.engine())
	for _, test := range []struct {
		after time.Duration
		want  int
	}{{-9 * time.Second, 0}, {-1, 0}, {0, 2}, {time.Second, 6}, {2 * time.Second, 10}} {
		if got := h.slotsAfterWaitLocked(target, end.Add(test.after)); got != test.want {
			t.Errorf("%v after the wait: got %d slots, want %d", test.after, got, test.want)
		}
	}
	sameProcess, restarted, draining := target, target, target
	sameProcess.Group, sameProcess.Generation = "other", 7
	restarted.BootID = "2"
	draining.Draining = true
	for _, test := range []struct {
		name   string
		target Target
		after  time.Duration
		want   int
	}{{"same process in another group", sameProcess, -1, 0}, {"restarted", restarted, -1, 10}, {"draining", draining, time.Hour, 0}} {
		if got := h.slotsAfterWaitLocked(test.target, end.Add(test.after)); got != test.want {
			t.Errorf("%s: got %d slots, want %d", test.name, got, test.want)
		}
	}
}

// TestLateWaitOfFormerProcessIsIgnored guards against a restarted engine that gets no
// requests because of a late answer of its former process.
func TestLateWaitOfFormerProcessIsIgnored(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	h := NewHome(ctx, endpoint.NewClient(), noSuspects{}, nil)
	t.Cleanup(func() {
		cancel()
		h.Wait()
	})
	former := Target{Group: "g", Generation: 1, Address: "e:1", BootID: "1", Slots: 10}
	present := Target{Group: "g", Generation: 2, Address: "e:1", BootID: "2", Slots: 10}
	h.Configure([]queue.Rank{{Name: "urgent", QueueBound: 8}}, map[string][]Target{"m": {present}})
	ask := func(target Target, wait time.Duration) {
		h.observeFailure(h.pools["m"], "m", target, "r", &endpoint.CallError{Status: 503, Facts: endpoint.Facts{Wait: wait}})
	}
	ask(present, 10*time.Second)
	ask(former, 30*time.Second)
	h.mu.Lock()
	defer h.mu.Unlock()
	if wait := time.Until(h.waits.End(present.engine())); wait <= 0 || wait > 10*time.Second {
		t.Errorf("got a wait of %v, want that of the present process, 10s", wait)
	}
}

// TestWordOfLeavingInAnAnswerClosesTheGroup guards against requests to an engine between
// its first answer that says that it leaves and the next probe of it.
func TestWordOfLeavingInAnAnswerClosesTheGroup(t *testing.T) {
	requests := 0
	d := newDepartureTest(t, func(w http.ResponseWriter, r *http.Request) {
		readBody(r)
		requests++
		w.Header().Set(endpoint.HeaderLeaving, "1")
		_, _ = io.WriteString(w, "data: {\"requestID\":\"r\",\"index\":0,\"finish\":\"length\"}\n\ndata: [DONE]\n\n") // a failed write fails the run
	})
	target := Target{Group: "g", Address: strings.TrimPrefix(d.engine.URL, "http://"), BootID: "1", Slots: 4}
	ranks := []queue.Rank{{Name: "urgent", Priority: 1, QueueBound: 8}}
	ask := func() (refused *refusal.Error) {
		request := peer.HomeRequest{RequestID: "r", Model: "m", Rank: "urgent", Prompt: "p", MaxTokens: 8}
		if err := d.home.Serve(context.Background(), request, func(f peer.Frame) error {
			if f.End != nil {
				refused = f.End.Refusal
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		return refused
	}
	d.home.Configure(ranks, map[string][]Target{"m": {target}})
	if refused := ask(); refused != nil {
		t.Fatalf("got %v, want an answer: the engine finishes what it has", refused)
	}
	for range 3 {
		d.home.Configure(ranks, map[string][]Target{"m": {target}})
		if refused := ask(); refused == nil || refused.Ran != refusal.RanNo || requests != 1 {
			t.Errorf("got %v and %d requests at the engine, want a refusal and 1", refused, requests)
		}
	}
	target.BootID = "2"
	d.home.Configure(ranks, map[string][]Target{"m": {target}})
	if refused := ask(); refused != nil || requests != 2 {
		t.Errorf("after the restart: got %v and %d requests, want an answer and 2", refused, requests)
	}
}
