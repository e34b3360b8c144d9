package coordinate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// TestMatters verifies that the engines of both deployments with long passes are found,
// and that a service keeps its own choice if a route allows the longest pass.
func TestMatters(t *testing.T) {
	engine := testService().Engine
	for _, c := range []struct {
		pause time.Duration
		want  bool
	}{{300 * time.Millisecond, true}, {400 * time.Millisecond, false}, {0, false}} {
		if got := Matters(engine, c.pause); got != c.want {
			t.Errorf("pause target %v, longest pass %v: got %t, want %t", c.pause, engine.PassTime(&engine.Models[0], 6), got, c.want)
		}
	}
	if Matters(nil, time.Second) {
		t.Error("plain service: got true, want false")
	}
	routes := &fleet.Configuration{Routes: []fleet.Route{
		{PauseTarget: 200 * time.Millisecond, Targets: []fleet.WeightedService{{Service: "models", Weight: 1}}},
		{PauseTarget: 300 * time.Millisecond, Targets: []fleet.WeightedService{{Service: "models", Weight: 1}}},
		{PauseTarget: time.Second, Targets: []fleet.WeightedService{{Service: "other", Weight: 1}}},
	}}
	if got := LongestPause(routes, "models"); got != 300*time.Millisecond {
		t.Errorf("longest pause: got %v, want 300ms", got)
	}
}

// TestOrder verifies that all nodes get the same order, whatever the order in which
// they know the nodes, that only the largest nodes are in it, and that models are
// spread over them.
func TestOrder(t *testing.T) {
	var nodes []Node
	for i := range 123 {
		nodes = append(nodes, Node{fmt.Sprintf("n%03d", i), 0.2 + 0.6*float64(i%10/9)})
	}
	reversed := slices.Clone(nodes)
	slices.Reverse(reversed)
	first := map[string]bool{}
	for i := range 20 {
		key := Key{"models", fmt.Sprintf("m%d", i)}
		order := Order(key, slices.Clone(nodes))
		if !slices.Equal(order, Order(key, slices.Clone(reversed))) || len(order) != maxCandidates {
			t.Fatalf("got order %v, want the same %d nodes for each order of the nodes", order, maxCandidates)
		}
		if order[0][3] != '9' {
			t.Errorf("got %s first, want a node with the largest share", order[0])
		}
		first[order[0]] = true
	}
	if len(first) < maxCandidates/2 {
		t.Errorf("20 models have only %d coordinators, want at least %d", len(first), maxCandidates/2)
	}
}

// TestSilentCoordinatorIsReplaced verifies that a node is asked again after a pause, and
// that the second of the order gets the reports before it is needed.
func TestSilentCoordinatorIsReplaced(t *testing.T) {
	targets, order, now := NewTargets(), []string{"a", "b", "c"}, testStart
	for i := range maxTimeouts {
		if asked := targets.Asked(order, now); asked != "a" {
			t.Errorf("after %d asks without an answer: got %s asked, want a", i, asked)
		}
		targets.TimedOut("a", now)
	}
	if asked, reported := targets.Asked(order, now), targets.Reported(order, now); asked != "b" || !slices.Equal(reported, order) {
		t.Errorf("got %s asked and reports to %v, want b asked and reports to all three", asked, reported)
	}
	now = now.Add(initialPause)
	if asked := targets.Asked(order, now); asked != "a" {
		t.Errorf("after the pause: got %s asked, want a", asked)
	}
	targets.TimedOut("a", now)
	if asked := targets.Asked(order, now.Add(initialPause)); asked != "b" {
		t.Errorf("after one more ask without an answer: got %s asked, want b for a longer time", asked)
	}
	targets.Answered("a")
	if asked, reported := targets.Asked(order, now), targets.Reported(order, now); asked != "a" || !slices.Equal(reported, order[:2]) {
		t.Errorf("after an answer: got %s asked and reports to %v, want a, and a and b", asked, reported)
	}
}

// TestDueReports verifies that reports are repeated while requests are in flight, and
// that an idle node sends nothing after its last change.
func TestDueReports(t *testing.T) {
	tracker, now := NewTracker("n0", testStart), testStart
	use := tracker.Begin(testKey, "h0", 10, 20)
	for i, want := range []int{1, 0, 1} {
		if due := tracker.Due(now); len(due) != want {
			t.Errorf("call %d: got %d reports, want %d", i, len(due), want)
		}
		now = now.Add(refreshInterval/2 + time.Millisecond)
	}
	use.End()
	use.End()
	if due := tracker.Due(now); len(due) != 1 || len(due[0].Groups) != 0 {
		t.Errorf("after the end: got %+v, want one empty report", due)
	}
	if due := tracker.Due(now.Add(time.Hour)); len(due) != 0 {
		t.Errorf("idle node: got %d reports, want none", len(due))
	}
}
