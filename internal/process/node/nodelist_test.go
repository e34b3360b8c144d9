package node

import (
	"testing"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/lease"
)

// TestNodeListReportsAppliedRevisions verifies which nodes are listed as live, and
// with which applied revision. The InForce condition waits for live nodes.
func TestNodeListReportsAppliedRevisions(t *testing.T) {
	view := fleetView{
		self:    "north-1",
		applied: 9,
		digests: []peer.Digest{{Node: "north-1", Region: "north", AppliedRevision: 8}, {Node: "north-2", Region: "north", AppliedRevision: 7}},
		regions: []peer.RegionSummary{{Region: "south", MinApplied: 6}},
		sessions: []lease.SessionRow{
			{Node: "north-1", Region: "north"}, {Node: "north-2", Region: "north"}, {Node: "north-3", Region: "north"},
			{Node: "south-1", Region: "south"}, {Node: "east-1", Region: "east"}, {Node: "lapsed-1", Region: "north"},
		},
		liveSessions: []string{"north-1", "north-2", "north-3", "south-1", "east-1"},
	}
	type state struct {
		live    bool
		applied int64
	}
	want := map[string]state{
		"north-1":  {true, 9},
		"north-2":  {true, 7},
		"north-3":  {true, 0}, // no digest, but its session is live
		"south-1":  {true, 6}, // from the summary of its region
		"east-1":   {true, 0}, // no summary of its region
		"lapsed-1": {false, 0},
	}
	for _, n := range view.nodes() {
		if got := (state{n.Status.Live, n.Status.AppliedRevision}); got != want[n.Name] {
			t.Errorf("%s: got %+v, want %+v", n.Name, got, want[n.Name])
		}
		delete(want, n.Name)
	}
	if len(want) > 0 {
		t.Errorf("nodes missing from the list: %v", want)
	}
}
