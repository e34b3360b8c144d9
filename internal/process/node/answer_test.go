package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/standin/engine"
)

// leader returns the host of a group's leading engine.
func (f *fleet) leader(group string) string { return f.member(group, 0) }

// member returns the host of the i-th member of a group.
func (f *fleet) member(group string, i int) string {
	return f.anyNode().node.follower.Current().Placements[group].Members[i]
}

// anyNode returns a node that is running.
func (f *fleet) anyNode() *runningNode {
	for n := range len(f.nodes) {
		if running := f.nodes[nodeName(n)]; running != nil && running.node.backgroundCtx.Err() == nil {
			return running
		}
	}
	f.t.Fatal("no node is running")
	return nil
}

// home returns the name of a node that is home for a group.
func (f *fleet) home() string {
	for name, running := range f.nodes {
		if len(running.node.router.plan.Load().owned[testModel]) > 0 {
			return name
		}
	}
	f.t.Fatal("no node is home for a group")
	return ""
}

// saturate takes all slots with batch requests, then sends urgent requests.
func (f *fleet) saturate(calls *callGroup, batch int) {
	for i := range batch {
		calls.start(completion{node: nodeName(i % 3), rank: "batch", prompt: fmt.Sprintf("batch %d", i), tokens: 100, stream: true})
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 6 {
		calls.start(completion{node: nodeName(i % 3), rank: "urgent", prompt: fmt.Sprintf("urgent %d", i), tokens: 20, stream: true})
	}
}

// TestInvariantAnswerWhole verifies that under each fault every answer contains
// exactly its own tokens and is complete. Only callers of a killed entry node may
// get an incomplete answer.
func TestInvariantAnswerWhole(t *testing.T) {
	const (
		streams = 12
		tokens  = 50
	)
	faulty := func(faults engine.Faults) func(*fleet, *callGroup) {
		return func(f *fleet, _ *callGroup) { f.engines[f.leader("g0")].SetFaults(faults) }
	}
	for _, scenario := range []struct {
		name  string
		fault func(*fleet, *callGroup)
		// entryNodeKilled is true if the callers of one node lose their
		// connections.
		entryNodeKilled bool
	}{
		{"cut", faulty(engine.Faults{CutAfter: 7}), false},
		{"late", faulty(engine.Faults{LateMillis: 700}), false},
		{"stalls", faulty(engine.Faults{StallAfter: 5}), false},
		{"swapped", faulty(engine.Faults{SwapEvery: 11}), false},
		{"reordered", faulty(engine.Faults{ReorderEvery: 6}), false},
		{"repeated", func(f *fleet, _ *callGroup) { f.repeatEvents(f.leader("g0"), 5) }, false},
		{"preempted", func(f *fleet, calls *callGroup) { f.saturate(calls, 24) }, false},
		{"leader loss", func(f *fleet, _ *callGroup) { f.crash(f.leader("g0")) }, false},
		{"member loss", func(f *fleet, _ *callGroup) { f.crash(f.member("g0", 1)) }, false},
		{"member pauses, gate closes", func(f *fleet, _ *callGroup) { f.engines[f.member("g0", 1)].SetFaults(engine.Faults{Pause: true}) }, false},
		{"engine connections break", func(f *fleet, _ *callGroup) { f.cut(f.leader("g0")) }, false},
		{"peer connections break", func(f *fleet, _ *callGroup) { f.cut(peerAddress(f.home())) }, false},
		{"home loss", func(f *fleet, _ *callGroup) { f.kill(f.home()) }, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			inFleet(t, 3, 3, func(f *fleet) {
				random := rand.New(rand.NewPCG(1, uint64(len(scenario.name))))
				calls := f.newCallGroup()
				for i := range streams {
					if i == streams/2 {
						scenario.fault(f, calls)
					}
					calls.start(completion{node: nodeName(i % 3), rank: "batch", prompt: fmt.Sprintf("%s %d", scenario.name, i), tokens: tokens, stream: i%4 != 0})
					time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
				}
				for _, a := range calls.wait() {
					if !a.check(t) && !(scenario.entryNodeKilled && f.nodes[a.call.node].killed) {
						t.Errorf("%q at %s: got an incomplete answer: refusal %v, error %v", a.call.prompt, a.call.node, a.refused, a.err)
					}
				}
			})
		})
	}
}
