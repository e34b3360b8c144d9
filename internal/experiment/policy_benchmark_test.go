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
	return runChangedSheet(t, name, policyName, seeds, func(*Sheet) {})
}

// runChangedSheet is runSeeds for a sheet that is changed first.
func runChangedSheet(t testing.TB, name, policyName string, seeds int, change func(*Sheet)) earnedShare {
	t.Helper()
	p := testPolicy(t, policyName)
	results := make([]*Result, seeds)
	var runs sync.WaitGroup
	for i := range seeds {
		s := readTestSheet(t, name)
		s.Run.Seed = uint64(i + 1)
		change(s)
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

// BenchmarkLargeFleet simulates a fleet of a size at which nodes exchange loads over
// hubs; the simulation itself exchanges them directly. Callers must earn no less
// than with the baseline policies.
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

// BenchmarkServingSpares compares the plates, where hosts of small groups are the
// spares of large ones, with the same fleet whose hosts keep nothing staged beside the
// model in memory, so that spares stay idle. Callers must earn no less.
func BenchmarkServingSpares(b *testing.B) {
	const seeds = 2
	for b.Loop() {
		serving := runSeeds(b, "planning-plates", "product", seeds)
		idle := runChangedSheet(b, "planning-plates", "product", seeds, func(s *Sheet) { s.Engine.StagedModels = 0 })
		b.Logf("plates: serving spares %.3f, worst seconds %.3f; idle spares %.3f, worst seconds %.3f", serving.mean, serving.worst, idle.mean, idle.worst)
		if serving.mean < idle.mean {
			b.Errorf("plates: serving spares earn %.3f, want no less than idle spares with %.3f", serving.mean, idle.mean)
		}
	}
}
