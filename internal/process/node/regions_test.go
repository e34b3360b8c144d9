package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/object"
)

// TestRequestsFailOverToAnotherRegion crashes the only group of a region under
// load. Its streams and new requests are completed by the group of the other
// region. Requests return to the region once its own group serves again.
func TestRequestsFailOverToAnotherRegion(t *testing.T) {
	inTwoRegions(t, 3, 2, southStart{node: 2, group: 1}, func(f *fleet) {
		sendAndCheck := func(phase string, wantGroup string) {
			t.Helper()
			before := len(f.arrivalsAt(wantGroup))
			for _, node := range []string{nodeName(0), nodeName(1)} {
				a := f.call(context.Background(), completion{node: node, rank: "urgent", prompt: phase + " " + node, tokens: 5, stream: true})
				if !a.check(t) {
					t.Errorf("%s at %s: got an incomplete answer: refusal %v, error %v", phase, node, a.refused, a.err)
				}
			}
			if got := len(f.arrivalsAt(wantGroup)) - before; got != 2 {
				t.Errorf("%s: got %d requests at %s, want 2", phase, got, wantGroup)
			}
		}
		sendAndCheck("before the crash", "g0")
		calls := f.newCallGroup()
		for i := range 4 {
			calls.start(completion{node: nodeName(i % 2), rank: "batch", prompt: fmt.Sprintf("running %d", i), tokens: 100, stream: true})
		}
		time.Sleep(500 * time.Millisecond)
		leader := f.leader("g0")
		f.crash(leader)
		for _, a := range calls.wait() {
			if !a.check(t) {
				t.Errorf("running stream at %s: got an incomplete answer: refusal %v, error %v", a.call.node, a.refused, a.err)
			}
		}
		time.Sleep(5 * time.Second)
		sendAndCheck("after the crash", "g1")
		f.engines[leader].Restart()
		f.listEngine(leader)
		time.Sleep(15 * time.Second)
		sendAndCheck("after the restart", "g0")
	})
}

// TestInForceAcrossRegions verifies that a node learns the applied revision of a
// node in another region.
func TestInForceAcrossRegions(t *testing.T) {
	inTwoRegions(t, 3, 2, southStart{node: 2, group: 1}, func(f *fleet) {
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
			t.Fatalf("revisions before the change: got %v, want 3 live nodes and the southern one at head %d", got, head)
		}
		f.changeConfig()
		time.Sleep(5 * time.Second)
		if got := applied(); got[nodeName(2)] <= head {
			t.Errorf("revisions 5s after the change: got %v, want the southern node above %d", got, head)
		}
	})
}

// changeConfig commits a new version of rank batch.
func (f *fleet) changeConfig() {
	f.t.Helper()
	o := &object.Object{Kind: object.KindRank, Metadata: object.Metadata{Name: "batch"}, Spec: testRank(1, 50_000, 0.1, true)}
	f.propose(object.Change{Object: o})
}

// arrivalsAt returns the generate requests that reached a group's engines.
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
