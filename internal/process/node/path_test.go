package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/standin/engine"
)

// leader returns the leading engine of a group.
func (f *fleet) leader(group string) string { return f.member(group, 0) }

func (f *fleet) member(group string, i int) string {
	return f.anyNode().node.follower.Current().Placements[group].Members[i]
}

func (f *fleet) anyNode() *runningNode {
	for n := range len(f.nodes) {
		if running := f.nodes[nodeName(n)]; running != nil && running.node.dutiesCtx.Err() == nil {
			return running
		}
	}
	f.t.Fatal("no node runs")
	return nil
}

// home returns a node that is home for a group.
func (f *fleet) home() string {
	for name, running := range f.nodes {
		if len(running.node.router.plan.Load().owned[testModel]) > 0 {
			return name
		}
	}
	f.t.Fatal("no node is home")
	return ""
}

// flood takes all slots with batch work, then brings urgent work.
func (f *fleet) flood(calls *pending, batch int) {
	for i := range batch {
		calls.start(completion{node: nodeName(i % 3), rank: "batch", prompt: fmt.Sprintf("flood %d", i), tokens: 100, stream: true})
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 6 {
		calls.start(completion{node: nodeName(i % 3), rank: "urgent", prompt: fmt.Sprintf("urgent %d", i), tokens: 20, stream: true})
	}
}

func TestInvariantAnswerWhole(t *testing.T) {
	const (
		streams = 12
		tokens  = 50
	)
	faulty := func(faults engine.Faults) func(*fleet, *pending) {
		return func(f *fleet, _ *pending) { f.engines[f.leader("g0")].SetFaults(faults) }
	}
	for _, scenario := range []struct {
		name  string
		fault func(*fleet, *pending)
		// entryDies is true where callers of one node lose their connections.
		entryDies bool
	}{
		{"cut", faulty(engine.Faults{CutAfter: 7}), false},
		{"late", faulty(engine.Faults{LateMillis: 700}), false},
		{"silent", faulty(engine.Faults{StallAfter: 5}), false},
		{"swapped", faulty(engine.Faults{SwapEvery: 11}), false},
		{"reordered", faulty(engine.Faults{ReorderEvery: 6}), false},
		{"repeated", func(f *fleet, _ *pending) { f.repeatEvents(f.leader("g0"), 5) }, false},
		{"preempted", func(f *fleet, calls *pending) { f.flood(calls, 24) }, false},
		{"leader dies", func(f *fleet, _ *pending) { f.crash(f.leader("g0")) }, false},
		{"member dies", func(f *fleet, _ *pending) { f.crash(f.member("g0", 1)) }, false},
		{"member pauses, gate closes", func(f *fleet, _ *pending) { f.engines[f.member("g0", 1)].SetFaults(engine.Faults{Pause: true}) }, false},
		{"engine connections break", func(f *fleet, _ *pending) { f.cut(f.leader("g0")) }, false},
		{"peer connections break", func(f *fleet, _ *pending) { f.cut(peerAddress(f.home())) }, false},
		{"home dies", func(f *fleet, _ *pending) { f.kill(f.home()) }, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			inFleet(t, 3, 3, func(f *fleet) {
				random := rand.New(rand.NewPCG(1, uint64(len(scenario.name))))
				calls := f.newPending()
				for i := range streams {
					if i == streams/2 {
						scenario.fault(f, calls)
					}
					calls.start(completion{node: nodeName(i % 3), rank: "batch", prompt: fmt.Sprintf("%s %d", scenario.name, i), tokens: tokens, stream: i%4 != 0})
					time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
				}
				for _, a := range calls.wait() {
					if !a.check(t) && !(scenario.entryDies && f.nodes[a.call.node].killed) {
						t.Errorf("%q at %s is not whole: %v, %v", a.call.prompt, a.call.node, a.refused, a.err)
					}
				}
			})
		})
	}
}
