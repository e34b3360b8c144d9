package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/engine"
)

// crashedEngines counts the engines that have died.
func (f *fleet) crashedEngines() int {
	count := 0
	for _, e := range f.engines {
		if !e.Alive() {
			count++
		}
	}
	return count
}

// TestCrashingRequestIsRefusedEverywhere sends a request that crashes every
// engine which runs it again and again, to one node after the other, beside
// other work: it kills at most two endpoints, and the other work is served.
func TestCrashingRequestIsRefusedEverywhere(t *testing.T) {
	const (
		crasher = "boom"
		sends   = 6
	)
	for name, load := range map[string]struct {
		groups int
		period time.Duration
	}{
		// Two homes of a model, so that one alone does not see every loss.
		"two homes":      {9, 16 * time.Millisecond},
		"no group idle":  {3, 45 * time.Millisecond},
		"nothing beside": {3, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 3, load.groups, func(f *fleet) {
				for _, e := range f.engines {
					e.SetFaults(engine.Faults{CrashMarker: crasher})
				}
				innocents := f.newPending()
				f.duties.Go(func() {
					f.load(innocents, "innocent", load.period, 10*time.Second, 20, nodeName(0), nodeName(1), nodeName(2))
				})
				time.Sleep(2 * time.Second)
				for i := range sends {
					a := f.call(context.Background(), completion{node: nodeName(i % 3), rank: "urgent", prompt: crasher, tokens: 20, stream: true})
					if a.check(t) || a.refused == nil {
						t.Fatalf("the crashing request ended with %+v", a)
					}
					if i > 0 && (a.refused.Kind != refusal.KindCrashSuspect || a.refused.Ran != refusal.RanNo) {
						t.Errorf("send %d to %s got %v", i+1, a.call.node, a.refused)
					}
				}
				if n := f.crashedEngines(); n > 2 {
					t.Errorf("%d engines died, want at most 2", n)
				}
				time.Sleep(10 * time.Second)
				var slowest time.Duration
				for _, a := range innocents.wait() {
					if !a.check(t) {
						t.Errorf("%q is not whole: %v, %v", a.call.prompt, a.refused, a.err)
					}
					slowest = max(slowest, a.took)
				}
				t.Logf("%d engines died, %d innocents, slowest %v", f.crashedEngines(), innocents.calls.Load(), slowest)
			})
		})
	}
}

// TestStalledEngineIsNoCrash covers an engine that goes silent: what runs
// there moves, and nothing becomes suspect.
func TestStalledEngineIsNoCrash(t *testing.T) {
	inFleet(t, 2, 3, func(f *fleet) {
		f.engines[f.leader("g0")].SetFaults(engine.Faults{StallAfter: 3})
		calls := f.newPending()
		f.load(calls, "silent", 100*time.Millisecond, time.Second, 30, nodeName(0), nodeName(1))
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			for name, n := range f.nodes {
				if lines := n.node.suspects.Digest(time.Now()); len(lines) > 0 {
					t.Fatalf("%s suspects %v", name, fmt.Sprint(lines))
				}
			}
		}
		for _, a := range calls.wait() {
			if !a.check(t) {
				t.Errorf("%q is not whole: %v", a.call.prompt, a.refused)
			}
		}
	})
}

// TestCrashingRequestOfImpatientCaller covers a caller that gives up early and
// sends the crashing request to the next node at once, before the nodes have
// told each other of the first death. All groups have one home.
func TestCrashingRequestOfImpatientCaller(t *testing.T) {
	const (
		crasher = "boom"
		sends   = 20
		// The first sends end before any digest has gone round.
		hasty      = 3
		noPatience = 30 * time.Millisecond
		patience   = 700 * time.Millisecond
	)
	inFleet(t, 3, 5, func(f *fleet) {
		for _, e := range f.engines {
			e.SetFaults(engine.Faults{CrashMarker: crasher})
		}
		innocents := f.newPending()
		f.duties.Go(func() {
			f.load(innocents, "innocent", 40*time.Millisecond, 10*time.Second, 20, nodeName(0), nodeName(1), nodeName(2))
		})
		time.Sleep(time.Second)
		var last answer
		for i := range sends {
			wait := patience
			if i < hasty {
				wait = noPatience
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			last = f.call(ctx, completion{node: nodeName(i % 3), rank: "urgent", prompt: crasher, tokens: 20, stream: true})
			cancel()
		}
		if last.refused == nil || last.refused.Kind != refusal.KindCrashSuspect {
			t.Errorf("the last send got %v, %v", last.refused, last.err)
		}
		time.Sleep(10 * time.Second)
		for _, a := range innocents.wait() {
			if !a.check(t) {
				t.Errorf("%q is not whole: %v, %v", a.call.prompt, a.refused, a.err)
			}
		}
		if n := f.crashedEngines(); n > 2 {
			t.Errorf("%d engines died, want at most 2", n)
		}
	})
}
