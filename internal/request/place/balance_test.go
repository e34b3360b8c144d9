package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestNodesWithSameReportsBalanceGroups lets six nodes each place a request on the
// same reports, in which one group has two requests fewer than the others.
// Together they must not make it the fullest group. If each node took the least
// loaded group of the reports, all six requests would go there, for a load of 20.
func TestNodesWithSameReportsBalanceGroups(t *testing.T) {
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
	// An even distribution gives 17; one more or less is allowed.
	if mean := 14 + float64(total)/rounds; mean > 18 || mean < 16 {
		t.Errorf("mean load of the least loaded group is %.1f, want 16 to 18", mean)
	}
}

// TestNodeBalancesItsOwnRequests verifies that a node whose own requests are all
// at one of two groups prefers the other group, although both have the same total
// load. Reports are old, but the node's own count is current.
func TestNodeBalancesItsOwnRequests(t *testing.T) {
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
		t.Errorf("%d of 200 requests went to the group without own requests, want at least 190", counts["b"])
	}
}
