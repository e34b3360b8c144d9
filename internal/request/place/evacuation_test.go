package place

import (
	"testing"

	"currantladder.example/currantladder/internal/version/fleet"
)

// TestEvacuatedHostGetsNoRequest guards against requests to evacuated hosts while others
// are full, and against streams that wait for room there.
func TestEvacuatedHostGetsNoRequest(t *testing.T) {
	evacuated := &fleet.Host{ID: "a", Service: "s", Slots: 1, Evacuated: true}
	view := fleet.NewView(nil, []*fleet.Host{evacuated, {ID: "b", Service: "s", Slots: 1}}, 1, start, true)
	query, b := Query{Service: &fleet.Service{Name: "s"}}, NewBoard()
	for range 2 * plainRequestsPerSlot {
		if choice, refused := b.Choose(view, query, start); refused == nil && choice.Host.ID == "a" {
			t.Fatal("got the evacuated host, want the other one or a refusal")
		}
	}
	query.Exclude = []string{"b"}
	if _, refused := b.Choose(view, query, start); refused == nil || refused.Candidates != 0 {
		t.Errorf("without another host: got refusal %+v, want one without candidates", refused)
	}
	if MayServe(view, query) {
		t.Error("a stream may wait for room at the evacuated host, want it ended")
	}
}
