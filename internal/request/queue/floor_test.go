package queue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFloorsAreMetUnderRandomLoad verifies for random floors and loads that a
// rank with a backlog throughout a window gets at least its floor of the
// window's tokens.
func TestFloorsAreMetUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := slices.Clone(simRanks)
		var sources []source
		for i := range ranks {
			ranks[i].FloorShare = float64(rapid.IntRange(2, 6).Draw(t, "floor of "+ranks[i].Name)) / 20
			load := rapid.SampledFrom([]float64{0.1, 0.5, 1, 3, 10}).Draw(t, "load of "+ranks[i].Name)
			sources = append(sources, equalSources(ranks[i].Name, rapid.IntRange(1, 10).Draw(t, "accounts"), load)...)
		}
		s := newSimScheduler(simGroups, simSlots)
		s.SetRanks(ranks, simStart)
		r := simulate(s, simConfig{seed: rapid.Uint64().Draw(t, "seed"), sources: sources, duration: 40 * time.Second})
		for _, rank := range ranks {
			if share, windows := r.leastWindowShare(rank.Name); windows > 0 && share < rank.FloorShare {
				t.Fatalf("rank %s: got %.3f of the tokens in one of %d windows with backlog, want at least its floor %.2f", rank.Name, share, windows, rank.FloorShare)
			}
		}
	})
}
