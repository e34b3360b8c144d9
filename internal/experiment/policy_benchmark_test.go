package experiment

import (
	"context"
	"sync"
	"testing"
)

// earnedShare is the earned part of the offered worth, averaged over seeds: over
// the whole load, and in the worst span of each run.
type earnedShare struct{ mean, worst float64 }

func runSeeds(t testing.TB, name, policyName string, seeds int) earnedShare {
	t.Helper()
	p := testPolicy(t, policyName)
	results := make([]*Result, seeds)
	var runs sync.WaitGroup
	for i := range seeds {
		s := readTestSheet(t, name)
		s.Run.Seed = uint64(i + 1)
		runs.Go(func() {
			r, err := Run(context.Background(), s, p, nil)
			if err != nil {
				t.Error(err)
			}
			results[i] = r
		})
	}
	runs.Wait()
	var earned earnedShare
	for _, r := range results {
		earned.mean += r.EarnedShare() / float64(seeds)
		earned.worst += r.WorstSpanShare(worstSpanSeconds) / float64(seeds)
		if r.IncompleteGroups > 0 {
			t.Errorf("%s, %s: %d groups opened although a live host of their member list did not belong to them, want 0", name, policyName, r.IncompleteGroups)
		}
	}
	return earned
}

// BenchmarkBaselinePolicies compares the product's policy with its former rule
// (random), with one that uses the reported requests alone, and with simple
// baselines. Callers must earn no less than with any of them when the load exceeds
// the capacity of the groups or members are lost, and nearly the whole offered
// worth when nothing fails.
func BenchmarkBaselinePolicies(b *testing.B) {
	const (
		seeds = 3
		// minCalmShare is the share that must be earned under the calm load, where
		// no policy has anything to decide.
		minCalmShare = 0.99
	)
	for b.Loop() {
		if calm := runSeeds(b, "calm", "product", seeds); calm.mean < minCalmShare {
			b.Errorf("calm: product earns %.3f, want at least %.2f", calm.mean, minCalmShare)
		}
		for _, name := range []string{"members-lost", "bursts", "storm", "overload", "nodes-killed"} {
			product := runSeeds(b, name, "product", seeds)
			for _, baseline := range []string{"random", "reported", "fifo", "slots", "static"} {
				got := runSeeds(b, name, baseline, seeds)
				b.Logf("%s: product %.3f, worst seconds %.3f; %s %.3f, worst seconds %.3f", name, product.mean, product.worst, baseline, got.mean, got.worst)
				if product.mean < got.mean {
					b.Errorf("%s: product earns %.3f, want no less than %s with %.3f", name, product.mean, baseline, got.mean)
				}
			}
		}
	}
}

// BenchmarkLargeFleet simulates a fleet whose nodes exchange loads through hubs.
// Callers must earn no less than with the baseline policies.
func BenchmarkLargeFleet(b *testing.B) {
	policies := []string{"product", "reported", "fifo", "slots"}
	for b.Loop() {
		earned := make([]earnedShare, len(policies))
		var runs sync.WaitGroup
		for i, name := range policies {
			runs.Go(func() { earned[i] = runSeeds(b, "grown", name, 1) })
		}
		runs.Wait()
		for i, name := range policies {
			b.Logf("grown: %s %.3f, worst seconds %.3f", name, earned[i].mean, earned[i].worst)
			if earned[0].mean < earned[i].mean {
				b.Errorf("grown: product earns %.3f, want no less than %s with %.3f", earned[0].mean, name, earned[i].mean)
			}
		}
	}
}
