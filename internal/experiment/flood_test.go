package experiment

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestFloodOfOneRankLeavesUrgentRanksTheirShare floods the model of the gift cards' groups
// of 16 with requests of either of its ranks, six times as many as usual, half of whose
// callers retry at once when refused. A more urgent rank must earn no smaller share of its
// worth than a less urgent one. Before, a flood of the least urgent rank earned 0.53 and left
// 0.29 to the rank above. Reports are as old as hubs deliver them.
func TestFloodOfOneRankLeavesUrgentRanksTheirShare(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		nodes int
		kind  string
	}{{63, "digest"}, {63, "dispute"}, {123, "digest"}} {
		t.Run(fmt.Sprintf("%d nodes, flood of %s", test.nodes, test.kind), func(t *testing.T) {
			t.Parallel()
			s := readTestSheet(t, "flood-giftcards")
			s.Run.Nodes, s.Run.Length = test.nodes, 16*time.Second
			s.Failures = nil
			s.Phases = []PhaseSheet{{Name: "flood", Duration: s.Run.Length, Kind: test.kind, LoadFactor: 6, ImmediateRetryShare: 0.5}}
			r, err := Run(context.Background(), s, testPolicy(t, "product"), nil)
			if err != nil {
				t.Fatal(err)
			}
			urgent, low := r.byKind["dispute"].EarnedShare(), r.byKind["digest"].EarnedShare()
			t.Logf("rank 1 earns %.3f, rank 2 %.3f", urgent, low)
			if urgent < low {
				t.Errorf("rank 1 earns %.3f of its worth and rank 2 %.3f, want no less", urgent, low)
			}
		})
	}
}
