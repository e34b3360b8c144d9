package node

import (
	"testing"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/lease"
)

// TestNodeListNamesWhoMayLag checks which nodes hold back the InForce
// condition, and from which revision on.
func TestNodeListNamesWhoMayLag(t *testing.T) {
	view := fleetView{
		self:    "north-1",
		applied: 9,
		digests: []peer.Digest{{Node: "north-1", Region: "north", AppliedRevision: 8}, {Node: "north-2", Region: "north", AppliedRevision: 7}},
		regions: []peer.RegionSummary{{Region: "south", MinApplied: 6}},
		sessions: []lease.SessionRow{
			{Node: "north-1", Region: "north"}, {Node: "north-2", Region: "north"}, {Node: "north-3", Region: "north"},
			{Node: "south-1", Region: "south"}, {Node: "east-1", Region: "east"}, {Node: "lapsed-1", Region: "north"},
		},
		leased: []string{"north-1", "north-2", "north-3", "south-1", "east-1"},
	}
	type state struct {
		live    bool
		applied int64
	}
	want := map[string]state{
		"north-1":  {true, 9},
		"north-2":  {true, 7},
		"north-3":  {true, 0}, // cut off from this node, its session is in force
		"south-1":  {true, 6}, // known from its region's summary
		"east-1":   {true, 0}, // nothing is heard of its region
		"lapsed-1": {false, 0},
	}
	for _, n := range view.nodes() {
		if got := (state{n.Status.Live, n.Status.AppliedRevision}); got != want[n.Name] {
			t.Errorf("%s: got %+v, want %+v", n.Name, got, want[n.Name])
		}
		delete(want, n.Name)
	}
	if len(want) > 0 {
		t.Errorf("not listed: %v", want)
	}
}
