package experiment

import (
	"context"
	"testing"
)

// TestNamedLimitsHold guards against hosts that get more than the limit that they name
// from all nodes together.
func TestNamedLimitsHold(t *testing.T) {
	t.Parallel()
	for name, seeds := range map[string]uint64{"limited": 3, "limited-73": 1} {
		for seed := range seeds {
			sheet := readTestSheet(t, name)
			sheet.Run.Seed = seed + 1
			r, err := Run(context.Background(), sheet, testPolicy(t, "product"), nil)
			if err != nil {
				t.Fatal(err)
			}
			if r.Limits.Limited == 0 || r.Limits.Broken > 0 {
				t.Errorf("%s, seed %d: %d of %d hosts over the bound of their limits, want none of some", name, seed, r.Limits.Broken, r.Limits.Limited)
			}
		}
	}
}
