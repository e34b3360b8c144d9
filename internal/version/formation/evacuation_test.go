package formation

import (
	"fmt"
	"strings"
	"testing"

	"currantladder.example/currantladder/internal/version/fleet"
)

// TestEvacuatedGroupsAreKeptAndReplaced guards against an evacuation that ends groups of its
// failure domain, forms others there, or leaves the spares of other domains idle.
func TestEvacuatedGroupsAreKeptAndReplaced(t *testing.T) {
	hosts := append(openGroup("e", "small", 7, 2), openGroup("k", "big", 8, 4)...)
	for i := range 4 {
		hosts = append(hosts, spare(fmt.Sprint("e-spare", i), "e", "small"), spare(fmt.Sprint("k-spare", i), "k", "small"))
	}
	for _, h := range hosts {
		h.Evacuated = strings.HasPrefix(h.ID, "e-")
	}
	plan := MakePlan(input(hosts...))
	for _, o := range plan.Orders {
		if strings.HasPrefix(o.HostID, "e-") {
			t.Errorf("got order %v to the evacuated host %s, want none", o.Operation, o.HostID)
		}
	}
	if plan.Serving["small"] != 0 || plan.Evacuated["small"] != 1 || plan.Serving["big"] != 1 || plan.Forming["small"] != 2 {
		t.Errorf("got serving %v, evacuated %v, forming %v, want one big group serving, a small one evacuated, two small ones formed", plan.Serving, plan.Evacuated, plan.Forming)
	}
}

// TestGroupsServeAgainAfterAnEvacuation verifies that hosts of an evacuated domain get no
// orders to form, close or stage, whatever else is lost, and that their groups are still
// open when the evacuation ends.
func TestGroupsServeAgainAfterAnEvacuation(t *testing.T) {
	for seed := range int64(20) {
		s := newSmallSimulation(t, seed)
		for range 40 {
			s.step()
		}
		open := map[string]string{}
		for _, h := range s.hosts {
			if h.Evacuated = h.FabricDomain == "d0"; h.Evacuated && h.Group.State == fleet.MemberOpen {
				open[h.ID] = h.Group.Name
			}
		}
		if len(open) == 0 {
			t.Fatalf("seed %d: no group is open before the evacuation", seed)
		}
		for range 30 {
			s.step()
		}
		for id, group := range open {
			if h := s.host(id); h.Group.Name != group || h.Group.State != fleet.MemberOpen {
				t.Errorf("seed %d: host %s got into %+v during the evacuation, want %s open", seed, id, h.Group, group)
			}
		}
	}
}
