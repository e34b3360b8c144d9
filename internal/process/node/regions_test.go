package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/object"
)

// TestRequestsGoToAnotherRegion loses the only group of a region under load:
// streams and new requests are served whole by the other region's group, and
// come back when the own group serves again.
func TestRequestsGoToAnotherRegion(t *testing.T) {
	inRegions(t, 3, 2, southern{node: 2, group: 1}, func(f *fleet) {
		ask := func(phase string, wantGroup string) {
			t.Helper()
			before := len(f.arrivalsAt(wantGroup))
			for _, node := range []string{nodeName(0), nodeName(1)} {
				a := f.call(context.Background(), completion{node: node, rank: "urgent", prompt: phase + " " + node, tokens: 5, stream: true})
				if !a.check(t) {
					t.Errorf("%s at %s is not whole: %v, %v", phase, node, a.refused, a.err)
				}
			}
			if got := len(f.arrivalsAt(wantGroup)) - before; got != 2 {
				t.Errorf("%s: %d of 2 requests went to %s", phase, got, wantGroup)
			}
		}
		ask("all well", "g0")
		calls := f.newPending()
		for i := range 4 {
			calls.start(completion{node: nodeName(i % 2), rank: "batch", prompt: fmt.Sprintf("begun %d", i), tokens: 100, stream: true})
		}
		time.Sleep(500 * time.Millisecond)
		leader := f.leader("g0")
		f.crash(leader)
		for _, a := range calls.wait() {
			if !a.check(t) {
				t.Errorf("begun stream at %s is not whole: %v, %v", a.call.node, a.refused, a.err)
			}
		}
		time.Sleep(5 * time.Second)
		ask("north lost", "g1")
		f.engines[leader].Restart()
		f.relist(leader)
		time.Sleep(15 * time.Second)
		ask("north back", "g0")
	})
}

// TestInForceAcrossRegions reads, at a node of one region, the revision in force
// at a node of another one.
func TestInForceAcrossRegions(t *testing.T) {
	inRegions(t, 3, 2, southern{node: 2, group: 1}, func(f *fleet) {
		applied := func() map[string]int64 {
			revisions := make(map[string]int64)
			for _, n := range (nodeList{f.nodes[nodeName(0)].node}).Nodes() {
				if n.Status.Live {
					revisions[n.Name] = n.Status.AppliedRevision
				}
			}
			return revisions
		}
		head := f.nodes[nodeName(0)].node.AppliedRevision()
		if got := applied(); len(got) != 3 || got[nodeName(2)] < head {
			t.Fatalf("revisions before: %v, head %d", got, head)
		}
		f.change()
		time.Sleep(5 * time.Second)
		if got := applied(); got[nodeName(2)] <= head {
			t.Errorf("revisions 5s after a change: %v, want all above %d", got, head)
		}
	})
}

// change accepts a new version of rank batch.
func (f *fleet) change() {
	f.t.Helper()
	o := &object.Object{Kind: object.KindRank, Metadata: object.Metadata{Name: "batch"}, Spec: testRank(1, 50_000, 0.1, true)}
	f.propose(object.Change{Object: o})
}

// arrivalsAt returns the requests that reached a group.
func (f *fleet) arrivalsAt(group string) []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	var at []arrival
	for _, a := range f.arrivals {
		if a.group == group {
			at = append(at, a)
		}
	}
	return at
}
