package experiment

import (
	"context"
	"sync"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/coordinate"
)

var longPromptSheets = []string{"prompts-giftcards", "prompts-plates"}

// loadedSheet returns a sheet whose kinds load the groups of each model with a multiple
// of their capacity, outside bursts.
func loadedSheet(t testing.TB, name string, load float64) *Sheet {
	t.Helper()
	s := readTestSheet(t, name)
	start := *s
	start.Run.Length = time.Second
	formed, err := Run(context.Background(), &start, testPolicy(t, "alone"), nil)
	if err != nil {
		t.Fatal(err)
	}
	groups, engine := formed.Groups[len(formed.Groups)-1], s.service().Engine
	for _, m := range s.Models {
		perToken := (engine.StepTime.Seconds()/float64(engine.Slots) + engine.StepTimePerRequest.Seconds()) * m.TimeFactor
		work := 0.0
		for _, k := range s.Kinds {
			if k.Model == m.Name {
				work += k.RequestsPerSecond * (perToken*k.MeanAnswerTokens + k.MeanPromptTokens/engine.PrefillTokensPerSecond*m.TimeFactor)
			}
		}
		for i := range s.Kinds {
			if s.Kinds[i].Model == m.Name {
				s.Kinds[i].RequestsPerSecond *= load * float64(groups[m.Name]) / work
			}
		}
	}
	return s
}

// mergedKind sums the results of several seeds.
func mergedKind(results []*Result, i int) *KindResult {
	sum := *results[0].Kinds[i]
	for _, r := range results[1:] {
		k := r.Kinds[i]
		sum.OnTime, sum.Late, sum.Refused, sum.Failed, sum.Abandoned = sum.OnTime+k.OnTime, sum.Late+k.Late, sum.Refused+k.Refused, sum.Failed+k.Failed, sum.Abandoned+k.Abandoned
		sum.OfferedWorth, sum.EarnedWorth = sum.OfferedWorth+k.OfferedWorth, sum.EarnedWorth+k.EarnedWorth
		sum.Large = LargeResult{sum.Large.Total + k.Large.Total, sum.Large.Served + k.Large.Served, sum.Large.OnTime + k.Large.OnTime}
		sum.FirstEventMicros.Merge(k.FirstEventMicros)
	}
	return &sum
}

func runMerged(t testing.TB, sheet *Sheet, policyName string, seeds int) []*KindResult {
	t.Helper()
	results := make([]*Result, seeds)
	var runs sync.WaitGroup
	for i := range seeds {
		s := *sheet
		s.Run.Seed = uint64(i + 1)
		runs.Go(func() {
			r, err := Run(context.Background(), &s, testPolicy(t, policyName), nil)
			if err != nil {
				t.Error(err)
			}
			results[i] = r
		})
	}
	runs.Wait()
	var kinds []*KindResult
	for i := range results[0].Kinds {
		kinds = append(kinds, mergedKind(results, i))
	}
	return kinds
}

func logKind(t testing.TB, name string, load float64, policyName string, k *KindResult) {
	total, large := float64(max(k.Total(), 1)), float64(max(k.Large.Total, 1))
	millis := func(q float64) int64 { return k.FirstEventMicros.ValueAtQuantile(q) / 1000 }
	t.Logf("%s %.1f %s %s: on time %.3f late %.3f refused %.3f, first event p50 %d p99 %d ms, longest tenth on time %.3f served %.3f, worth %.3f",
		name, load, policyName, k.Kind.Name, float64(k.OnTime)/total, float64(k.Late)/total, float64(k.Refused)/total, millis(50), millis(99),
		float64(k.Large.OnTime)/large, float64(k.Large.Served)/large, k.EarnedShare())
}

// TestLongPromptsBesideShortOnes guards against long prompts that delay short ones, and
// against groups that are full while others have room: with the rates of both
// deployments and bursts of each kind, at their numbers of nodes and with digests over
// hubs, no kind may earn less than with nodes that choose alone. The plates earn the
// share of the worth that is the goal of their quiet day, and each kind's longest tenth
// is served as often as the rest, within the noise of a few hundred requests.
func TestLongPromptsBesideShortOnes(t *testing.T) {
	t.Parallel()
	const (
		seeds     = 2
		goal      = 0.9
		tolerance = 0.05
	)
	for _, name := range longPromptSheets {
		sheet := readTestSheet(t, name)
		alone := runMerged(t, sheet, "alone", seeds)
		for i, k := range runMerged(t, sheet, "product", seeds) {
			logKind(t, name, 0, "alone", alone[i])
			logKind(t, name, 0, "product", k)
			if k.EarnedShare() < alone[i].EarnedShare() {
				t.Errorf("%s, %s: earns %.3f, want no less than alone with %.3f", name, k.Kind.Name, k.EarnedShare(), alone[i].EarnedShare())
			}
			if name == "prompts-plates" && k.EarnedShare() < goal {
				t.Errorf("%s, %s: earns %.3f, want at least %.2f", name, k.Kind.Name, k.EarnedShare(), goal)
			}
			served, large := float64(k.OnTime+k.Late)/float64(k.Total()), float64(k.Large.Served)/float64(k.Large.Total)
			if large < served-tolerance {
				t.Errorf("%s, %s: %.3f of the longest tenth are served, want at least %.3f, since %.3f of all are", name, k.Kind.Name, large, served-tolerance, served)
			}
		}
	}
}

// BenchmarkLongPrompts reports what callers get by kind at 0.7, 0.9 and 1.3 times the
// capacity of the groups, with bursts of long and of short prompts. Callers must earn
// no less than with nodes that choose alone.
func BenchmarkLongPrompts(b *testing.B) {
	const seeds = 3
	earned := func(kinds []*KindResult) float64 {
		offered, earned := 0.0, 0.0
		for _, k := range kinds {
			offered, earned = offered+k.OfferedWorth, earned+k.EarnedWorth
		}
		return earned / offered
	}
	for b.Loop() {
		for _, name := range longPromptSheets {
			for _, load := range []float64{0.7, 0.9, 1.3} {
				sheet, share := loadedSheet(b, name, load), map[string]float64{}
				for _, policyName := range []string{"product", "alone", "home"} {
					kinds := runMerged(b, sheet, policyName, seeds)
					share[policyName] = earned(kinds)
					for _, k := range kinds {
						logKind(b, name, load, policyName, k)
					}
				}
				b.Logf("%s %.1f: product %.3f, alone %.3f, home %.3f", name, load, share["product"], share["alone"], share["home"])
				if share["product"] < share["alone"] {
					b.Errorf("%s, load %.1f: product earns %.3f, want no less than alone with %.3f", name, load, share["product"], share["alone"])
				}
			}
		}
	}
}

// TestKilledCoordinators guards against requests that depend on the coordinator of their
// model: while the first ones of both models are killed together, for good or for some
// seconds, callers earn no less than with nodes that choose alone.
func TestKilledCoordinators(t *testing.T) {
	t.Parallel()
	sheet := readTestSheet(t, "prompts-plates")
	sheet.Run.Length = 12 * time.Second
	earned := func(policyName string, restartAfter time.Duration) *Result {
		sim := newSimulation(sheet, testPolicy(t, policyName))
		for _, m := range sheet.Models {
			first := sim.nodeNamed(sim.coordinators(coordinate.Key{Service: serviceName, Model: m.Name})[0])
			sim.after(warmUpTime+3*time.Second, func() { first.kill(restartAfter) })
		}
		sim.runUntil(warmUpTime + sheet.Run.Length + drainTime)
		return sim.result
	}
	for _, restartAfter := range []time.Duration{0, 3 * time.Second} {
		product, alone := earned("product", restartAfter), earned("alone", restartAfter)
		t.Logf("killed for %v: product %.3f, worst 3 s %.3f; alone %.3f, worst 3 s %.3f", restartAfter, product.EarnedShare(), product.WorstSpanShare(worstSpanSeconds), alone.EarnedShare(), alone.WorstSpanShare(worstSpanSeconds))
		if product.EarnedShare() < alone.EarnedShare() || product.WorstSpanShare(worstSpanSeconds) < alone.WorstSpanShare(worstSpanSeconds) {
			t.Errorf("killed for %v: earns %.3f and %.3f in the worst seconds, want no less than alone with %.3f and %.3f", restartAfter,
				product.EarnedShare(), product.WorstSpanShare(worstSpanSeconds), alone.EarnedShare(), alone.WorstSpanShare(worstSpanSeconds))
		}
	}
}
