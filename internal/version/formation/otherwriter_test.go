package formation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// TestPlaceClaimedTwiceEndsNoGroup guards against members that are told to join another group while they serve, because
// another writer has copied the registration of a member under another ID.
func TestPlaceClaimedTwiceEndsNoGroup(t *testing.T) {
	now := time.Unix(1e9, 0)
	engine := &fleet.Engine{Models: []fleet.Model{{Name: "m", Size: 2, WorkShare: 1, LoadTime: time.Second}}}
	member := func(id string, rank int, state fleet.MemberState) *fleet.Host {
		return &fleet.Host{ID: id, FabricDomain: "d", Started: now, LoadedModel: "m", StagedModels: []string{"m"}, Group: fleet.Membership{Name: "m.1000001", Epoch: 1_000_001, Rank: rank, State: state}}
	}
	for _, copyID := range []string{"a", "z"} { // before and after the IDs of the members
		for rank := range 2 {
			for _, state := range []fleet.MemberState{fleet.MemberOpen, fleet.MemberReady, fleet.MemberJoining, fleet.MemberBroken, fleet.MemberClosing} {
				in := Input{Now: now, Engine: engine, FirstEpoch: 1_000_002, Hosts: []*fleet.Host{
					member(copyID, rank, state), member("m0", 0, fleet.MemberOpen), member("m1", 1, fleet.MemberReady), {ID: "spare", FabricDomain: "d", Started: now, StagedModels: []string{"m"}},
				}}
				slices.SortFunc(in.Hosts, func(a, b *fleet.Host) int { return map[bool]int{true: -1, false: 1}[a.ID < b.ID] })
				// Nothing answers at the address of the copy once it has been probed.
				for _, conditions := range []map[string]Condition{nil, {copyID: {Lost: true}}} {
					in.Conditions = conditions
					plan := MakePlan(in)
					for _, o := range plan.Orders {
						if o.HostID == "m0" || o.HostID == "m1" {
							t.Errorf("%s: got the order %v to %s (%s), want none", fmt.Sprintf("copy %s of rank %d, %s, lost %t", copyID, rank, state, conditions != nil), o.Operation, o.HostID, o.Reason)
						}
					}
				}
			}
		}
	}
}

// TestCopyWithOtherEpochDoesNotNameTheEpochOfItsGroup guards against orders that hosts refuse, because another writer has
// copied the registration of a member with another epoch.
func TestCopyWithOtherEpochDoesNotNameTheEpochOfItsGroup(t *testing.T) {
	now := time.Unix(1e9, 0)
	engine := &fleet.Engine{Models: []fleet.Model{{Name: "m", Size: 2, WorkShare: 1, LoadTime: time.Second}}}
	member := func(id string, epoch int64, rank int, state fleet.MemberState) *fleet.Host {
		return &fleet.Host{ID: id, FabricDomain: "d", Started: now, LoadedModel: "m", StagedModels: []string{"m"}, Group: fleet.Membership{Name: "m.1000001", Epoch: epoch, Rank: rank, State: state}}
	}
	for _, copyID := range []string{"a", "z"} { // before and after the IDs of the members
		for rank := range 2 {
			for _, epoch := range []int64{1, 3_000_000_000_000_000} {
				in := Input{Now: now, Engine: engine, FirstEpoch: 1_000_002, Conditions: map[string]Condition{copyID: {Lost: true}}, LatestJoins: map[string]int64{"m0": 1_000_001, "m1": 1_000_001}, Hosts: []*fleet.Host{
					member(copyID, epoch, rank, fleet.MemberReady), member("m0", 1_000_001, 0, fleet.MemberReady), member("m1", 1_000_001, 1, fleet.MemberReady),
				}}
				slices.SortFunc(in.Hosts, func(a, b *fleet.Host) int { return strings.Compare(a.ID, b.ID) })
				opened := false
				for _, o := range MakePlan(in).Orders {
					opened = opened || o.Operation == OpOpen && o.HostID == "m0" && o.Epoch == 1_000_001
				}
				if !opened {
					t.Errorf("copy %s of rank %d with epoch %d: got no order to open the group at its epoch", copyID, rank, epoch)
				}
			}
		}
	}
}
