package experiment

import (
	"context"
	"testing"
	"time"
)

// TestCrashingPartIsContained guards against a prompt part that crashes host after
// host: beyond the platform's bound no more than three requests with it reach hosts,
// every node knows it within that time, and no sound request is refused for it.
func TestCrashingPartIsContained(t *testing.T) {
	t.Parallel()
	for name, seeds := range map[string]uint64{"crashing-part": 3, "crashing-part-73": 1} {
		for seed := range seeds {
			sheet := readTestSheet(t, name)
			sheet.Run.Seed = seed + 1
			r, err := Run(context.Background(), sheet, testPolicy(t, "product"), nil)
			if err != nil {
				t.Fatal(err)
			}
			p := r.Poison
			if p.Sent == 0 || p.CrashedHosts == 0 {
				t.Fatalf("%s, seed %d: %d requests with a crashing part crashed %d hosts, want some", name, seed, p.Sent, p.CrashedHosts)
			}
			const maxReached, knownWithin = 3, 3 * time.Second
			if p.ReachedAfterBound > maxReached || p.SoundRefused > 0 || p.KnownAfter == 0 || p.KnownAfter > knownWithin {
				t.Errorf("%s, seed %d: got %+v, want at most %d after the bound, no sound request refused, known within %v", name, seed, p, maxReached, knownWithin)
			}
		}
	}
}

// TestTwoCrashingPartsAreContained verifies the same for two parts at a time, while
// hosts end for other reasons.
func TestTwoCrashingPartsAreContained(t *testing.T) {
	t.Parallel()
	sheet := readTestSheet(t, "crashing-part")
	for i := range sheet.Failures {
		sheet.Failures[i].Count, sheet.Failures[i].Share = 2, 0.1
	}
	for at := 2 * time.Second; at < 20*time.Second; at += 2 * time.Second {
		sheet.Failures = append(sheet.Failures, FailureSheet{Kind: FailureHostsLost, Start: at, Duration: 6 * time.Second, Count: 1})
	}
	r, err := Run(context.Background(), sheet, testPolicy(t, "product"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if p := r.Poison; p.KnownAfter == 0 || p.KnownAfter > 4*time.Second || p.SoundRefused > 0 {
		t.Errorf("got %+v, want both parts known within 4 s and no sound request refused", p)
	}
}
