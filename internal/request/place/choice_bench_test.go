package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// largeFleet returns a board with reports of forty nodes, and a view of the given number
// of hosts: every second one the head of an open group, with loads from 0 to 9 of 10, and
// the others their members.
func largeFleet(hosts int) (*Board, *fleet.View, Query) {
	random := rand.New(rand.NewPCG(1, 1))
	b := NewBoardFrom(random.Float64)
	var all []*fleet.Host
	reports := make([]map[string]int, 40)
	for i := range hosts {
		h := openHead(fmt.Sprintf("h%05d", i))
		if h.Group.Rank = i % 2; h.Group.Rank == 0 {
			for range random.IntN(10) {
				node := random.IntN(len(reports))
				if reports[node] == nil {
					reports[node] = map[string]int{}
				}
				reports[node][h.ID]++
			}
		}
		all = append(all, h)
	}
	for i, r := range reports {
		b.Merge(fmt.Sprint("node", i), r, 1, nil, start)
	}
	return b, view(all...), Query{Service: engineService(), Model: "m"}
}

// BenchmarkChoiceCost verifies that a choice costs no more among 5,000 hosts than among
// 300, where it already takes a sample: it looks at no more hosts and allocates no more,
// with room and when all heads are full. At 50 hosts it looks at each head. The times are reported only.
func BenchmarkChoiceCost(b *testing.B) {
	// maxLooked is the sample, and as many hosts again if the sample has no room.
	const maxLooked = maxCandidates + maxFurtherCandidates
	for _, full := range []bool{false, true} {
		var allocations []float64
		for _, hosts := range []int{50, 300, 5000} {
			b.Run(fmt.Sprintf("%d hosts, full %t", hosts, full), func(b *testing.B) {
				board, v, q := largeFleet(hosts)
				if full {
					for _, h := range v.OpenHeads("models", "m") {
						for board.Load(h.ID, start) < 10 {
							board.Started(h.ID)
						}
					}
				}
				choose := func() {
					if choice, refused := board.Choose(v, q, start); refused == nil {
						board.Ended(choice.Host.ID, OutcomeAnswered, time.Second, start)
					} else if !full && refused.Load > refused.Limit*3/5 {
						b.Fatalf("got refusal %+v, want a place", refused)
					}
				}
				allocations = append(allocations, testing.AllocsPerRun(20, choose))
				for b.Loop() {
					choose()
				}
				s := board.survey(q.hosts(v), q, start)
				if len(board.withRoom(&s, start)) == 0 && s.index != nil {
					board.lookFurther(&s, q, start)
				}
				if s.looked > maxLooked {
					b.Errorf("a choice looks at %d hosts, want at most %d", s.looked, maxLooked)
				}
			})
		}
		if len(allocations) == 3 && allocations[2] > allocations[1]+1 {
			b.Errorf("full %t: %v allocations at 5,000 hosts, %v at 300", full, allocations[2], allocations[1])
		}
	}
}
