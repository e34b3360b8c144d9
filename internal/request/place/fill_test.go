package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestNodesOnTheSameReportsLevelTheGroups plays six nodes that each place a
// request on the same reports, in which one group has two requests less than
// the others: together they must not make it the fullest. A node that goes by
// the reports alone sends all six there, to 20.
func TestNodesOnTheSameReportsLevelTheGroups(t *testing.T) {
	const (
		rounds = 400
		nodes  = 6
	)
	engine := engineService()
	engine.Engine.Slots = 40
	v, q := view(openHead("a"), openHead("b"), openHead("c"), openHead("d")), Query{Service: engine, Model: "m"}
	random := rand.New(rand.NewPCG(1, 1))
	total := 0
	for range rounds {
		for range nodes {
			b := NewBoardFrom(random.Float64)
			b.Merge("others", map[string]int{"a": 14, "b": 16, "c": 16, "d": 16}, nodes-1, nil, start)
			if mustPlace(t, b, v, q, start) == "a" {
				total++
			}
		}
	}
	// All groups level would be 17; one more is allowed.
	if mean := 14 + float64(total)/rounds; mean > 18 || mean < 16 {
		t.Errorf("the emptiest group comes to %.1f, want 16 to 18", mean)
	}
}

// TestNodeEvensOutItsOwnRequests plays a node all of whose requests are at one
// of two groups that are equally full by the reports: those are old, its own
// count is not.
func TestNodeEvensOutItsOwnRequests(t *testing.T) {
	engine := engineService()
	engine.Engine.Slots = 40
	v, q := view(openHead("a"), openHead("b")), Query{Service: engine, Model: "m"}
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	for range 200 {
		b := NewBoardFrom(random.Float64)
		for range 6 {
			b.Started("a")
		}
		for i := range 3 {
			b.Merge(fmt.Sprint(i), map[string]int{"a": 4, "b": 6}, 1, nil, start)
		}
		counts[mustPlace(t, b, v, q, start)]++
	}
	if counts["b"] < 190 {
		t.Errorf("%d of 200 requests go to the group without own requests, want 190", counts["b"])
	}
}
