package node

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/engine"
	"currantladder.example/currantladder/internal/standin/platform"
)

// turnAwayAt makes the leading engine of a group refuse requests with a Retry-After,
// sends completions until one has been refused, and returns the time of that.
func (f *fleet) turnAwayAt(group, retryAfter string) time.Time {
	f.t.Helper()
	f.engines[f.leader(group)].SetFaults(engine.Faults{RetryAfter: retryAfter})
	before := len(f.arrivalsAt(group))
	for i := range 20 {
		f.complete(fmt.Sprintf("turned away %s %d", group, i))
		if arrivals := f.arrivalsAt(group); len(arrivals) > before {
			return arrivals[len(arrivals)-1].at
		}
	}
	f.t.Fatalf("group %s got no request", group)
	return time.Time{}
}

func (f *fleet) complete(prompt string) answer {
	return f.call(context.Background(), completion{node: nodeName(0), rank: "urgent", prompt: prompt, tokens: 2})
}

// TestWaitingEngineGetsNoRequests guards against requests to a group whose engine asked
// for none, whatever happens to connections and the platform, and against one that gets
// none in its next life.
func TestWaitingEngineGetsNoRequests(t *testing.T) {
	inFleet(t, 1, 2, func(f *fleet) {
		refusedAt := f.turnAwayAt("g0", "6")
		before := len(f.arrivalsAt("g0"))
		for i := range 50 {
			switch i {
			case 10:
				f.closeIdle()
			case 20:
				f.platform.SetFaults(platform.Faults{Outage: true, HostsOutage: true})
			case 35:
				f.platform.SetFaults(platform.Faults{})
			}
			if a := f.complete(fmt.Sprintf("beside %d", i)); !a.check(t) {
				t.Errorf("request %d: got %+v, want an answer of the other group", i, a)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if time.Since(refusedAt) >= 6*time.Second {
			t.Fatal("the requests took longer than the wait")
		}
		if n := len(f.arrivalsAt("g0")) - before; n != 0 {
			t.Errorf("the waiting group got %d requests, want none", n)
		}
		f.engines[f.leader("g0")].SetFaults(engine.Faults{})
		time.Sleep(time.Until(refusedAt.Add(6*time.Second + 2*replanInterval)))
		// Each group has four slots. At first the one that waited offers one of them.
		for _, wave := range []struct{ requests, want int }{{5, 1}, {8, 4}} {
			before := len(f.arrivalsAt("g0"))
			var callers sync.WaitGroup
			for i := range wave.requests {
				callers.Go(func() {
					a := f.call(context.Background(), completion{node: nodeName(0), rank: "urgent", prompt: fmt.Sprintf("wave %d %d", wave.want, i), tokens: 50})
					if !a.check(t) {
						t.Errorf("got %+v, want an answer", a)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			if n := len(f.arrivalsAt("g0")) - before; n != wave.want {
				t.Errorf("the group got %d of %d requests at once after its wait, want %d", n, wave.requests, wave.want)
			}
			callers.Wait()
			time.Sleep(3 * time.Second)
		}
	})
}

// TestCompletionsAreRefusedWhileAllEnginesWait verifies that a completion is refused at
// once without reaching an engine, and is to come back no earlier than the first engine
// takes requests again.
func TestCompletionsAreRefusedWhileAllEnginesWait(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			inFleet(t, nodes, 2, func(f *fleet) {
				longer := f.turnAwayAt("g0", "30").Add(30 * time.Second)
				first := f.turnAwayAt("g1", "12").Add(12 * time.Second)
				if !first.Before(longer) {
					t.Fatal("the waits end in another order")
				}
				before := len(f.arrivalsAt("g0")) + len(f.arrivalsAt("g1"))
				for i := range 5 {
					sent := time.Now()
					a := f.complete(fmt.Sprintf("all wait %d", i))
					if a.refused == nil || a.refused.Kind != refusal.KindNoEndpoint || a.refused.Ran != refusal.RanNo || a.status != http.StatusServiceUnavailable {
						t.Fatalf("got %+v, want a refusal of a request that did not run", a)
					}
					if took := time.Since(sent); took > 500*time.Millisecond {
						t.Errorf("refused after %v, want at once", took)
					}
					seconds, err := strconv.Atoi(a.retryAfter)
					if err != nil {
						t.Fatal(err)
					}
					if back := time.Now().Add(time.Duration(seconds) * time.Second); back.Before(first) || back.After(first.Add(time.Second)) {
						t.Errorf("is to come back %v after the first end, want 0 to 1 s", back.Sub(first))
					}
					time.Sleep(300 * time.Millisecond)
				}
				if n := len(f.arrivalsAt("g0")) + len(f.arrivalsAt("g1")) - before; n != 0 {
					t.Errorf("the waiting groups got %d requests, want none", n)
				}
			})
		})
	}
}

// TestEngineThatSaysItLeavesGetsNoRequests guards against requests to a group a member of
// which says in its answers that it leaves, while the host list shows it live.
func TestEngineThatSaysItLeavesGetsNoRequests(t *testing.T) {
	const maxDelay = 500 * time.Millisecond // a probe and a plan
	for _, scenario := range []struct {
		name   string
		member int
		faults platform.Faults
	}{
		{"leader", 0, platform.Faults{}},
		{"member", 1, platform.Faults{}},
		{"leader while the store is down", 0, platform.Faults{Outage: true}},
		{"member while the store is down", 1, platform.Faults{Outage: true}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			inFleet(t, 2, 3, func(f *fleet) {
				placement := *f.anyNode().node.follower.Current().Placements["g0"]
				calls := f.newCallGroup()
				f.load(calls, "before", 100*time.Millisecond, time.Second, 200, nodeName(0), nodeName(1))
				f.platform.SetFaults(scenario.faults)
				f.engines[placement.Members[scenario.member]].SetFaults(engine.Faults{Leaving: true})
				saidAt := time.Now()
				f.load(calls, "after", 100*time.Millisecond, 10*time.Second, 30, nodeName(0), nodeName(1))
				for _, a := range calls.wait() {
					if !a.check(t) {
						t.Errorf("%q: got an incomplete answer: refusal %v, error %v", a.call.prompt, a.refused, a.err)
					}
				}
				used := 0
				for _, a := range f.arrivalsAt("g0") {
					if a.generation != placement.Generation {
						continue
					}
					used++
					if delay := a.at.Sub(saidAt); delay > maxDelay {
						t.Errorf("got a request at the group %v after its member's word, want none later than %v", delay, maxDelay)
					}
				}
				if used == 0 {
					t.Error("group of the leaving host got no requests, want some to drain")
				}
			})
		})
	}
}
