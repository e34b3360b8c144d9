package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/platform"
)

// load starts a call every interval, at each node in turn, until total has
// passed.
func (f *fleet) load(calls *callGroup, prefix string, interval, total time.Duration, tokens int, nodes ...string) {
	f.background.Go(func() {
		for i := range int(total / interval) {
			calls.start(completion{node: nodes[i%len(nodes)], rank: "batch", prompt: fmt.Sprintf("%s %d", prefix, i), tokens: tokens, stream: true})
			time.Sleep(interval)
		}
	})
	time.Sleep(total)
}

// TestInvariantLeavingDrains marks a host of a group, its leader or another
// member, as leaving in the host list. Within maxDelay the group stops getting
// requests, and every answer is complete. While the store is down, no controller moves the group to other
// hosts, so the home alone must stop dispatching.
func TestInvariantLeavingDrains(t *testing.T) {
	const maxDelay = 3 * time.Second
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
				leaving := placement.Members[scenario.member]
				calls := f.newCallGroup()
				f.load(calls, "before", 100*time.Millisecond, time.Second, 200, nodeName(0), nodeName(1))
				f.platform.SetFaults(scenario.faults)
				f.list(hostlist.Host{Name: leaving, Address: leaving, Role: hostlist.RoleEngine, FabricDomain: testFabric, State: hostlist.StateLeaving})
				listedAt := time.Now().Add(testHostListLag)
				f.load(calls, "after", 100*time.Millisecond, 10*time.Second, 30, nodeName(0), nodeName(1))
				for _, a := range calls.wait() {
					if !a.check(t) {
						t.Errorf("%q: got an incomplete answer: refusal %v, error %v", a.call.prompt, a.refused, a.err)
					}
				}
				used := 0
				for _, a := range f.arrivals {
					if a.group != "g0" || a.generation != placement.Generation {
						continue
					}
					used++
					if delay := a.at.Sub(listedAt); delay > maxDelay {
						t.Errorf("got a request at the group %v after the host list marked %s as leaving, want none later than maxDelay", delay, leaving)
					}
				}
				if used == 0 {
					t.Error("group of the leaving host got no requests, want some to drain")
				}
			})
		})
	}
}

// checkStopped checks the answers of calls around graceful stops. Each one is
// complete, or refused as not run, or its connection was refused because nothing
// listens any more. No stream was resumed at another engine.
func (f *fleet) checkStopped(t *testing.T, answers []answer) {
	t.Helper()
	seen := make(map[string]bool)
	for _, a := range f.arrivals {
		if seen[a.requestID] {
			t.Errorf("request %s reached an engine more than once, want once", a.requestID)
		}
		seen[a.requestID] = true
	}
	refusedCalls := 0
	for _, a := range answers {
		switch {
		case a.check(t):
		case a.refused != nil && a.refused.Ran == refusal.RanNo && a.text == "":
			refusedCalls++
		case a.err != nil && strings.Contains(a.err.Error(), "connection refused"):
			refusedCalls++
		default:
			t.Errorf("%q at %s: got an incomplete answer: refusal %v, error %v", a.call.prompt, a.call.node, a.refused, a.err)
		}
	}
	t.Logf("%d answers, %d refused as not run", len(answers), refusedCalls)
}

// stopNode stops a node gracefully and waits for its end.
func (f *fleet) stopNode(name string) {
	f.nodes[name].stop()
	<-f.nodes[name].done
}

// TestInvariantGracefulStop stops nodes while streams of several seconds run.
// Callers go on sending to a stopping node. No running request is interrupted.
func TestInvariantGracefulStop(t *testing.T) {
	t.Run("one of three", func(t *testing.T) {
		for n := range 3 {
			inFleet(t, 3, 3, func(f *fleet) {
				calls := f.newCallGroup()
				f.load(calls, "long", 250*time.Millisecond, time.Second, 400, nodeName((n+1)%3), nodeName((n+2)%3))
				f.load(calls, "own", 100*time.Millisecond, 300*time.Millisecond, 100, nodeName(n))
				f.background.Go(func() { f.stopNode(nodeName(n)) })
				f.load(calls, "short", 100*time.Millisecond, 4*time.Second, 10, nodeName(0), nodeName(1), nodeName(2))
				f.checkStopped(t, calls.wait())
			})
		}
	})
	t.Run("rolling restart", func(t *testing.T) {
		inFleet(t, 3, 3, func(f *fleet) {
			calls := f.newCallGroup()
			f.background.Go(func() {
				f.load(calls, "long", 300*time.Millisecond, 45*time.Second, 150, nodeName(0), nodeName(1), nodeName(2))
			})
			for n := range 3 {
				time.Sleep(2 * time.Second)
				f.stopNode(nodeName(n))
				f.startNode(nodeName(n))
				time.Sleep(6 * time.Second)
			}
			time.Sleep(20 * time.Second)
			f.checkStopped(t, calls.wait())
		})
	})
}
