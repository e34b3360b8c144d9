package dispatch

import (
	"context"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/queue"
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
	h.observeWait(h.pools["m"], "m", target, "r", asked)
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
		h.observeWait(h.pools["m"], "m", target, "r", &endpoint.CallError{Status: 503, Facts: endpoint.Facts{Wait: wait}})
	}
	ask(present, 10*time.Second)
	ask(former, 30*time.Second)
	h.mu.Lock()
	defer h.mu.Unlock()
	if wait := time.Until(h.waits.End(present.engine())); wait <= 0 || wait > 10*time.Second {
		t.Errorf("got a wait of %v, want that of the present process, 10s", wait)
	}
}
