package queue

import (
	"fmt"
	"testing"
	"time"
)

const (
	simGroups = 7
	simSlots  = 8
	// simRequestsPerSecond is the capacity of the slots at simMeanServiceTime.
	simRequestsPerSecond = simGroups * simSlots / 5.0
	// urgentTarget is the first-token target of the most urgent rank.
	urgentTarget = 670 * time.Millisecond
)

// floorSeeds is the number of runs in BenchmarkFloodFloors, each with its own
// seed.
const floorSeeds = 5

var simRanks = []Rank{
	{Name: "urgent", Priority: 0, FirstTokenTarget: urgentTarget, FloorShare: 0.4, QueueBound: 400},
	{Name: "draft", Priority: 1, FirstTokenTarget: 10 * time.Second, FloorShare: 0.2, QueueBound: 400, Preemptible: true},
	{Name: "digest", Priority: 2, FirstTokenTarget: 60 * time.Second, FloorShare: 0.1, QueueBound: 400, Preemptible: true},
}

func newSimGroups(count, slots int) []Group {
	var groups []Group
	for i := range count {
		groups = append(groups, Group{Name: fmt.Sprintf("group-%03d", i), Slots: slots})
	}
	return groups
}

// newSimScheduler returns a scheduler with the simulated ranks and groups.
func newSimScheduler(groups, slots int) *Scheduler {
	s := New()
	s.SetRanks(simRanks, simStart)
	s.SetGroups(newSimGroups(groups, slots), simStart)
	return s
}

// policies returns a new policy of each kind by name.
func policies() map[string]policy {
	return map[string]policy{
		"scheduler": newSimScheduler(simGroups, simSlots),
		"fifo":      newBaseline(nil),
		"strict":    newBaseline([]string{"urgent", "draft", "digest"}),
	}
}

// equalSources returns one source per account, all with the same rate. load is
// their total rate as a multiple of the capacity.
func equalSources(rank string, accounts int, load float64) []source {
	var sources []source
	for i := range accounts {
		sources = append(sources, source{
			account: fmt.Sprintf("account-%02d", i), rank: rank, perSecond: load * simRequestsPerSecond / float64(accounts),
		})
	}
	return sources
}

// isInRank returns a function that reports whether a source is in the rank.
func isInRank(sources []source, rank string) func(int) bool {
	return func(i int) bool { return sources[i].rank == rank }
}

// BenchmarkUrgentFirst floods the least urgent rank while the urgent load is
// below the capacity. The 95th percentile of the urgent first-token waits must
// be within the rank's first-token target. Refused requests count as infinite
// waits.
func BenchmarkUrgentFirst(b *testing.B) {
	for _, urgent := range []float64{0.3, 0.6} {
		for _, flood := range []float64{1, 3, 10} {
			b.Run(fmt.Sprintf("urgent=%.1f/flood=%.0fx", urgent, flood), func(b *testing.B) {
				sources := equalSources("urgent", 10, urgent)
				sources = append(sources, equalSources("draft", 10, 0.1)...)
				sources = append(sources, equalSources("digest", 10, flood)...)
				for b.Loop() {
					for name, p := range policies() {
						r := simulate(p, simConfig{seed: 1, sources: sources, duration: 3 * time.Minute, warmup: 20 * time.Second})
						waits := r.waits(isInRank(sources, "urgent"))
						b.ReportMetric(quantile(waits, 0.5), name+"-p50-ms")
						b.ReportMetric(quantile(waits, 0.95), name+"-p95-ms")
						if name != "scheduler" {
							continue
						}
						b.ReportMetric(quantile(waits, 0.99), name+"-p99-ms")
						b.ReportMetric(float64(r.preemptions), "preemptions")
						b.ReportMetric(float64(r.refusals["urgent"]), "urgent-refusals")
						if p95 := quantile(waits, 0.95); p95 < 0 || p95 > float64(urgentTarget.Milliseconds()) {
							b.Fatalf("p95 of urgent first-token waits: got %.0f ms, want at most %v", p95, urgentTarget)
						}
					}
				}
			})
		}
	}
}

// BenchmarkFloodFloors floods each rank in turn, while the load of the others is
// above their floors. Each other rank must get its floor in every window in
// which it has a backlog throughout.
func BenchmarkFloodFloors(b *testing.B) {
	for _, flooded := range simRanks {
		for _, flood := range []float64{3, 10} {
			b.Run(fmt.Sprintf("%s=%.0fx", flooded.Name, flood), func(b *testing.B) {
				var sources []source
				for _, rank := range simRanks {
					load := 0.6
					if rank.Name == flooded.Name {
						load = flood
					}
					sources = append(sources, equalSources(rank.Name, 10, load)...)
				}
				for b.Loop() {
					for name := range policies() {
						least, windows := leastShares(name, sources)
						checkFloors(b, name, flooded.Name, least, windows)
					}
				}
			})
		}
	}
}

// leastShares returns the least share of each rank in any window with backlog
// over floorSeeds runs of the named policy, and the number of such windows.
func leastShares(name string, sources []source) (map[string]float64, map[string]int) {
	least, windows := map[string]float64{}, map[string]int{}
	for seed := range uint64(floorSeeds) {
		r := simulate(policies()[name], simConfig{seed: seed + 1, sources: sources, duration: 2 * time.Minute})
		for _, rank := range simRanks {
			share, count := r.leastWindowShare(rank.Name)
			if windows[rank.Name] == 0 || share < least[rank.Name] {
				least[rank.Name] = share
			}
			windows[rank.Name] += count
		}
	}
	return least, windows
}

// checkFloors reports the least shares of a policy. It fails if the scheduler
// gave a rank other than the flooded one less than its floor.
func checkFloors(b *testing.B, name, flooded string, least map[string]float64, windows map[string]int) {
	for _, rank := range simRanks {
		if windows[rank.Name] == 0 {
			continue
		}
		share := least[rank.Name]
		b.ReportMetric(share, fmt.Sprintf("%s-%s-least-share", name, rank.Name))
		if name == "scheduler" && rank.Name != flooded && share < rank.FloorShare {
			b.Errorf("rank %s: got %.3f of the tokens in one of %d windows with backlog, want at least its floor %.2f", rank.Name, share, windows[rank.Name], rank.FloorShare)
		}
	}
}
