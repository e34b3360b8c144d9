package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/version/fleet"
)

// TestIndexFollowsTheBoard guards against sums and orders that drift from the counts of the
// hosts while requests start and end, reports come, shrink and expire, hosts register,
// leave and serve another model.
func TestIndexFollowsTheBoard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, services := NewBoard(), start, engineService()
		hosts := rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 1, 8, rapid.ID).Draw(t, "hosts")
		build := func() *fleet.View {
			var all []*fleet.Host
			for _, i := range hosts {
				h := openHead(fmt.Sprint("h", i))
				h.LoadedModel = rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")
				all = append(all, h)
			}
			return view(all...)
		}
		v := build()
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("h", rapid.IntRange(0, 8).Draw(t, "host")) })
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) { b.Started(id.Draw(t, "id")) },
			"end":   func(t *rapid.T) { b.Ended(id.Draw(t, "id"), OutcomeAbandoned, 0, now) },
			"merge": func(t *rapid.T) {
				counts := rapid.MapOf(id, rapid.IntRange(0, 12)).Draw(t, "counts")
				b.Merge(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"), counts, 3, nil, now)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"hosts": func(t *rapid.T) {
				hosts = rapid.SliceOfNDistinct(rapid.IntRange(0, 7), 1, 8, rapid.ID).Draw(t, "hosts")
				v = build()
				if rapid.Bool().Draw(t, "prune") {
					b.RemoveUnregistered(v)
				}
			},
			"": func(t *rapid.T) {
				for _, model := range []string{"m", "n"} {
					q := Query{Service: services, Model: model}
					b.survey(q.hosts(v), q, now)
					if heads := v.OpenHeads("models", model); len(heads) > 0 {
						checkIndex(t, b, b.index(heads, q, now), now)
					}
				}
			},
		})
	})
}

func checkIndex(t *rapid.T, b *Board, x *loadIndex, now time.Time) {
	load, own, last, byReports := 0, 0, 0, 0
	for i, e := range x.entries {
		if e.load < last || e.position != i || e.load != e.record.load() {
			t.Fatalf("entry %d: got load %d at position %d after load %d, want the load %d", i, e.load, e.position, last, e.record.load())
		}
		last, load, own = e.load, load+e.record.load(), own+e.record.inFlight
		for _, r := range b.reports {
			if now.Sub(r.receivedAt) <= ReportTTL {
				byReports += r.inFlight[e.host.ID]
			}
		}
	}
	if load != x.load || own != x.own || byReports+own != load {
		t.Fatalf("got load %d and own %d, want %d (%d by reports) and %d", x.load, x.own, load, byReports+own, own)
	}
}

// TestLastRoomIsFound guards against refusals while one of many groups has room: a sample
// seldom holds it.
func TestLastRoomIsFound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for n := maxCandidates + 1; n < 1000; n += 100 {
		b := NewBoardFrom(random.Float64)
		var heads []*fleet.Host
		counts := map[string]int{}
		for i := range n {
			heads = append(heads, openHead(fmt.Sprintf("h%04d", i)))
			counts[heads[i].ID] = 10
		}
		last, suspected := heads[random.IntN(n)].ID, heads[random.IntN(n)].ID
		counts[suspected], counts[last] = 0, 9
		b.Merge("others", counts, 6, nil, start)
		if suspected != last {
			b.Suspect(suspected, start)
		}
		if id := mustPlace(t, b, view(heads...), Query{Service: engineService(), Model: "m"}, start); id != last {
			t.Errorf("%d heads: got %s, want %s, which alone has room", n, id, last)
		}
	}
}

// TestSampleBalancesAsAllHostsDo verifies that groups which are filled by choices from
// samples end as evenly loaded as nodes with the same reports make them: 300 groups with
// loads from 0 to 9 that get as many requests again. If each choice took the least loaded of
// a few groups, the first ones would become the fullest.
func TestSampleBalancesAsAllHostsDo(t *testing.T) {
	b, v, q := largeFleet(600)
	q.Service.Engine.Slots = 40
	loads := b.Reported(start)
	total, chosen := 0, map[string]int{}
	heads := v.OpenHeads("models", "m")
	for _, r := range loads {
		for _, n := range r.InFlight {
			total += n
		}
	}
	const unreported = 0.4
	rounds := 40
	placed := int(unreported * float64(total))
	for range rounds * placed {
		id := mustPlace(t, b, v, q, start)
		chosen[id]++
		b.Ended(id, OutcomeAbandoned, 0, start)
	}
	level := (unreported*float64(total) + float64(total)) / float64(len(heads))
	for _, h := range heads {
		got := float64(b.Load(h.ID, start)) + float64(chosen[h.ID])/float64(rounds)
		if got > max(level, float64(b.Load(h.ID, start)))*1.5+1 {
			t.Errorf("%s: got a load of %.1f from %d, the mean is %.1f", h.ID, got, b.Load(h.ID, start), level)
		}
	}
}
