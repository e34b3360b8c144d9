package gateway

import (
	"math"
	"testing"

	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/version/fleet"
	"currantladder.example/currantladder/internal/version/formation"
)

// TestEpochOfAnotherWriterRaisesNoTerm guards against terms without usable epochs, because a registration with an epoch
// at the limit raises the term of the next leader.
func TestEpochOfAnotherWriterRaisesNoTerm(t *testing.T) {
	if got := formation.TermOf(formation.MaxEpoch); got <= leader.MaxTerm {
		t.Errorf("got the term %d of the highest epoch, want room above %d", got, int64(leader.MaxTerm))
	}
	for _, epoch := range []int64{formation.MaxEpoch, math.MaxInt64, -1} {
		hosts := []*fleet.Host{{ID: "a", Group: fleet.Membership{Name: "m.1", Epoch: epoch}}, {ID: "b", Group: fleet.Membership{Name: "m.7000002", Epoch: 7_000_002}}}
		if got := highestTermOf(hosts); got != 7 {
			t.Errorf("epoch %d: got the highest term %d, want 7", epoch, got)
		}
	}
}
