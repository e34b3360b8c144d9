package placement

import (
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
)

// maxPlanAllocations bounds the allocations of one plan of a failure domain. A
// controller plans once a second and after each change.
const maxPlanAllocations = 10_000

// BenchmarkCapacityPlacementPlan measures one plan of a failure domain in which a
// host of one group is silent.
func BenchmarkCapacityPlacementPlan(b *testing.B) {
	groups := (capacity.Groups + capacity.FailureDomains - 1) / capacity.FailureDomains
	for _, n := range []int{groups / 4, groups / 2, groups, capacity.Groups} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			w := newSimWorld(Plan, n, 42)
			w.hosts[0].silent = true
			w.observe()
			w.now = w.now.Add(10 * time.Second)
			in := w.input()
			b.ReportAllocs()
			for b.Loop() {
				Plan(in)
			}
			if allocated := testing.AllocsPerRun(1, func() { Plan(in) }); n == groups && allocated > maxPlanAllocations {
				b.Fatalf("got %.0f allocations for one plan, want at most maxPlanAllocations", allocated)
			}
		})
	}
}
