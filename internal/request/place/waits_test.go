package place

import (
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// waitingFleet returns a view of plain hosts of the service "s" with the given IDs.
func waitingFleet(started time.Time, ids ...string) (*fleet.View, Query) {
	var hosts []*fleet.Host
	for _, id := range ids {
		hosts = append(hosts, &fleet.Host{ID: id, Service: "s", Slots: 10, State: fleet.HostReady, Started: started})
	}
	return fleet.NewView(nil, hosts, 1, start, true), Query{Service: &fleet.Service{Name: "s"}}
}

// TestWaitingHostGetsNoRequest guards against requests to a host that asked for none.
func TestWaitingHostGetsNoRequest(t *testing.T) {
	view, query := waitingFleet(start, "a", "b")
	b := NewBoard()
	b.ObserveWait(view.Host("a"), 3*time.Second, start)
	b.ObserveWait(view.Host("a"), time.Second, start.Add(time.Second)) // ends earlier and changes nothing
	b.RemoveUnregistered(fleet.NewView(nil, nil, 2, start, true))      // the registration lapses and comes back
	for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
		choice, refused := b.Choose(view, query, start.Add(at))
		if refused != nil || choice.Host.ID != "b" {
			t.Fatalf("after %v: got %+v %+v, want host b", at, choice, refused)
		}
		b.Ended("b", OutcomeAnswered, time.Millisecond, start.Add(at))
	}
	chosen := map[string]int{}
	for range 100 {
		choice, refused := b.Choose(view, query, start.Add(3*time.Second))
		if refused != nil {
			break
		}
		chosen[choice.Host.ID]++
	}
	if chosen["a"] == 0 || chosen["a"] > chosen["b"]/2 {
		t.Errorf("got %v requests at the end of the wait, want some at a and at most half as many as at b", chosen)
	}
	for range 100 {
		if choice, refused := b.Choose(view, query, start.Add(3*time.Second+waitRampTime)); refused == nil {
			chosen[choice.Host.ID]++
		}
	}
	if chosen["a"] != chosen["b"] {
		t.Errorf("got %v requests after the ramp, want both hosts filled alike", chosen)
	}
}

// TestWaitEndsWithTheLifeOfItsHost guards against a restarted host that gets no requests
// because of what its former process said.
func TestWaitEndsWithTheLifeOfItsHost(t *testing.T) {
	b := NewBoard()
	old, query := waitingFleet(start, "a")
	b.ObserveWait(old.Host("a"), 10*time.Second, start)
	restarted, _ := waitingFleet(start.Add(time.Second), "a")
	if _, refused := b.Choose(restarted, query, start.Add(2*time.Second)); refused != nil {
		t.Errorf("got refusal %+v, want the restarted host", refused)
	}
	b.ObserveWait(restarted.Host("a"), time.Second, start.Add(2*time.Second))
	if _, changed := b.ObserveWait(old.Host("a"), 20*time.Second, start.Add(2*time.Second)); changed {
		t.Error("a late answer of the former process changed the wait of the new one")
	}
}

// TestRefusalWhileAllHostsWaitNamesTheFirstEnd verifies that callers return no earlier
// than the first host takes requests, and not all at once.
func TestRefusalWhileAllHostsWaitNamesTheFirstEnd(t *testing.T) {
	view, query := waitingFleet(start, "a", "b")
	b := NewBoard()
	b.ObserveWait(view.Host("a"), 4*time.Second, start)
	b.ObserveWait(view.Host("b"), 2*time.Second, start)
	delays := map[time.Duration]bool{}
	for range 50 {
		_, refused := b.Choose(view, query, start.Add(500*time.Millisecond))
		if refused == nil || refused.Waiting != 2 || refused.Candidates != 0 {
			t.Fatalf("got %+v, want a refusal because of two waiting hosts", refused)
		}
		if refused.RetryAfter < 1500*time.Millisecond || refused.RetryAfter > 1500*time.Millisecond+waitReturnSpread {
			t.Errorf("got a delay of %v, want 1.5s to 1.5s and %v", refused.RetryAfter, waitReturnSpread)
		}
		delays[refused.RetryAfter] = true
	}
	if len(delays) < 25 {
		t.Errorf("got %d different delays for 50 callers, want them spread", len(delays))
	}
}

func TestWaitIsBounded(t *testing.T) {
	view, _ := waitingFleet(start, "a")
	if until, _ := NewBoard().ObserveWait(view.Host("a"), 1<<62, start); until.Sub(start) != MaxHostWait {
		t.Errorf("got a wait of %v, want %v", until.Sub(start), MaxHostWait)
	}
}

// TestEndedWaitIsReportedOnce verifies how long a host waited and how often it was left out.
func TestEndedWaitIsReportedOnce(t *testing.T) {
	view, query := waitingFleet(start, "a", "b")
	b := NewBoard()
	b.ObserveWait(view.Host("a"), time.Second, start)
	for range 3 {
		b.Choose(view, query, start.Add(500*time.Millisecond))
	}
	b.ObserveWait(view.Host("a"), 2*time.Second, start.Add(500*time.Millisecond)) // the same wait ends later
	b.Choose(view, query, start.Add(2*time.Second))
	if ended := b.TakeEndedWaits(start.Add(2499 * time.Millisecond)); len(ended) > 0 {
		t.Errorf("got %+v before the end, want none", ended)
	}
	b.ObserveWait(view.Host("b"), time.Second, start.Add(10*time.Second)) // keeps what is not reported
	want := EndedWait{HostID: "a", Started: start, Waited: 2500 * time.Millisecond, LeftOut: 4}
	if ended := b.TakeEndedWaits(start.Add(10 * time.Second)); len(ended) != 1 || ended[0] != want {
		t.Errorf("got %+v, want %+v", ended, want)
	}
	if ended := b.TakeEndedWaits(start.Add(10 * time.Second)); len(ended) > 0 {
		t.Errorf("got %+v again, want none", ended)
	}
	b.ObserveWait(view.Host("a"), time.Second, start.Add(20*time.Second))
	want = EndedWait{HostID: "a", Started: start, Waited: time.Second}
	ended := b.TakeEndedWaits(start.Add(21 * time.Second))
	if len(ended) != 2 || ended[0] != want && ended[1] != want {
		t.Errorf("got %+v, want the wait of b and the new one of a, %+v", ended, want)
	}
}

// TestWaitingHostCostsAChoiceNoAllocation compares choices beside a waiting host with those
// without it.
func TestWaitingHostCostsAChoiceNoAllocation(t *testing.T) {
	allocations := func(ids ...string) float64 {
		view, query := waitingFleet(start, ids...)
		b := NewBoard()
		if host := view.Host("waits"); host != nil {
			b.ObserveWait(host, time.Minute, start)
		}
		return testing.AllocsPerRun(100, func() {
			b.Choose(view, query, start)
			b.Ended("a", OutcomeAnswered, time.Millisecond, start)
		})
	}
	if alone, beside := allocations("a"), allocations("a", "waits"); beside > alone {
		t.Errorf("got %v allocations beside a waiting host, %v without it", beside, alone)
	}
}
