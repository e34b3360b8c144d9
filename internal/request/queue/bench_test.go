package queue

import (
	"fmt"
	"testing"
	"time"
)

const (
	simGroups = 7
	simSlots  = 8
	// simCapacity is the number of requests a second that the slots serve.
	simCapacity = simGroups * simSlots / 5.0
	// urgentTarget is the first-token target of the most urgent rank.
	urgentTarget = 670 * time.Millisecond
)

// floorSeeds is the number of runs in BenchmarkFloodFloors, each with its seed.
const floorSeeds = 5

var simRanks = []Rank{
	{Name: "urgent", Priority: 0, FirstTokenTarget: urgentTarget, FloorShare: 0.4, QueueBound: 400},
	{Name: "draft", Priority: 1, FirstTokenTarget: 10 * time.Second, FloorShare: 0.2, QueueBound: 400, Preemptible: true},
	{Name: "digest", Priority: 2, FirstTokenTarget: 60 * time.Second, FloorShare: 0.1, QueueBound: 400, Preemptible: true},
}

func simGroupSet(count, slots int) []Group {
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
	s.SetGroups(simGroupSet(groups, slots), simStart)
	return s
}

// rivals returns a fresh policy of each kind by name.
func rivals() map[string]policy {
	return map[string]policy{
		"scheduler": newSimScheduler(simGroups, simSlots),
		"fifo":      newBaseline(nil),
		"strict":    newBaseline([]string{"urgent", "draft", "digest"}),
	}
}

// accountsOf returns equal sources of several accounts whose sum is the
// given multiple of the capacity.
func accountsOf(rank string, accounts int, load float64) []source {
	var sources []source
	for i := range accounts {
		sources = append(sources, source{
			account: fmt.Sprintf("account-%02d", i), rank: rank, perSecond: load * simCapacity / float64(accounts),
		})
	}
	return sources
}

func ofRank(sources []source, rank string) func(int) bool {
	return func(i int) bool { return sources[i].rank == rank }
}

// BenchmarkUrgentFirst floods the least urgent rank beside urgent load that
// fits. The bound is the urgent rank's first-token target at the 95th
// percentile, with refused requests counted as infinite waits.
func BenchmarkUrgentFirst(b *testing.B) {
	for _, urgent := range []float64{0.3, 0.6} {
		for _, flood := range []float64{1, 3, 10} {
			b.Run(fmt.Sprintf("urgent=%.1f/flood=%.0fx", urgent, flood), func(b *testing.B) {
				sources := accountsOf("urgent", 10, urgent)
				sources = append(sources, accountsOf("draft", 10, 0.1)...)
				sources = append(sources, accountsOf("digest", 10, flood)...)
				for b.Loop() {
					for name, p := range rivals() {
						r := simulate(p, simConfig{seed: 1, sources: sources, duration: 3 * time.Minute, warmup: 20 * time.Second})
						waits := r.waits(ofRank(sources, "urgent"))
						b.ReportMetric(quantile(waits, 0.5), name+"-p50-ms")
						b.ReportMetric(quantile(waits, 0.95), name+"-p95-ms")
						if name != "scheduler" {
							continue
						}
						b.ReportMetric(quantile(waits, 0.99), name+"-p99-ms")
						b.ReportMetric(float64(r.preemptions), "preemptions")
						b.ReportMetric(float64(r.refusals["urgent"]), "urgent-refusals")
						if p95 := quantile(waits, 0.95); p95 < 0 || p95 > float64(urgentTarget.Milliseconds()) {
							b.Fatalf("urgent first token p95 %.0f ms, want at most %v", p95, urgentTarget)
						}
					}
				}
			})
		}
	}
}

// BenchmarkFloodFloors floods each rank in turn, beside load of the others
// above their floors. The bound is the floor of each other rank in any window
// in which it has backlog.
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
					sources = append(sources, accountsOf(rank.Name, 10, load)...)
				}
				for b.Loop() {
					for name := range rivals() {
						least, windows := leastShares(name, sources)
						reportFloors(b, name, flooded.Name, least, windows)
					}
				}
			})
		}
	}
}

// leastShares returns the least share of each rank in any window with
// backlog over floorSeeds runs, and the number of such windows.
func leastShares(name string, sources []source) (map[string]float64, map[string]int) {
	least, windows := map[string]float64{}, map[string]int{}
	for seed := range uint64(floorSeeds) {
		r := simulate(rivals()[name], simConfig{seed: seed + 1, sources: sources, duration: 2 * time.Minute})
		for _, rank := range simRanks {
			share, count := r.windowShares(rank.Name)
			if windows[rank.Name] == 0 || share < least[rank.Name] {
				least[rank.Name] = share
			}
			windows[rank.Name] += count
		}
	}
	return least, windows
}

func reportFloors(b *testing.B, name, flooded string, least map[string]float64, windows map[string]int) {
	for _, rank := range simRanks {
		if windows[rank.Name] == 0 {
			continue
		}
		share := least[rank.Name]
		b.ReportMetric(share, fmt.Sprintf("%s-%s-least-share", name, rank.Name))
		if name == "scheduler" && rank.Name != flooded && share < rank.FloorShare {
			b.Errorf("rank %s had %.3f of the tokens in one of %d windows with backlog, want at least its floor %.2f", rank.Name, share, windows[rank.Name], rank.FloorShare)
		}
	}
}
