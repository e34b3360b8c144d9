package health

import (
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// TestWordOfLeavingHoldsForOneLife verifies that a host counts as leaving from its first
// word to the end of its process.
func TestWordOfLeavingHoldsForOneLife(t *testing.T) {
	now := time.Now()
	var seen Observation
	for i, step := range []struct {
		bootID     string
		says, want bool
	}{{"1", false, false}, {"1", true, true}, {"1", false, true}, {"2", false, false}, {"2", true, true}, {"", true, true}, {"", false, false}} {
		before := seen
		seen = nextObservation(before, endpoint.State{BootID: step.bootID, Leaving: step.says}, nil, now, now)
		if seen.State.Leaving != step.want {
			t.Errorf("step %d: got leaving %t, want %t", i, seen.State.Leaving, step.want)
		}
		if before.State.Leaving != step.want && !significantChange(before, seen) {
			t.Errorf("step %d: the change is not reported", i)
		}
	}
}
