package formation

import (
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// planBound is the longest time of a plan for 3,000 hosts on a free processor
// core: groups must be open ten seconds after the start, of which a leader with
// a fifth of a core may plan for five.
const planBound = time.Second

// BenchmarkFirstPlan plans the first groups of 3,000 hosts in fabric domains of
// eight.
func BenchmarkFirstPlan(b *testing.B) {
	var hosts []*fleet.Host
	for i := range 3000 {
		hosts = append(hosts, host(fmt.Sprintf("h%04d", i), fmt.Sprintf("d%03d", i/8)))
	}
	for b.Loop() {
		in := input(hosts...)
		in.LoadsFree = true
		measurePlan(b, in, 3000)
	}
}

// BenchmarkSteadyPlan plans for 375 domains with a group of each model and two
// spares, none of which needs anything.
func BenchmarkSteadyPlan(b *testing.B) {
	var hosts []*fleet.Host
	for d := range int64(375) {
		domain := fmt.Sprintf("d%03d", d)
		hosts = append(hosts, openGroup(domain, "big", 2*d+1, 4)...)
		hosts = append(hosts, openGroup(domain, "small", 2*d+2, 2)...)
		hosts = append(hosts, spare("x"+domain, domain, "big"), spare("y"+domain, domain, "small"))
	}
	for b.Loop() {
		measurePlan(b, input(hosts...), 0)
	}
}

func measurePlan(b *testing.B, in Input, wantOrders int) {
	b.Helper()
	begin := time.Now()
	plan := MakePlan(in)
	took := time.Since(begin)
	b.ReportMetric(float64(took.Milliseconds()), "ms/plan")
	if took > planBound {
		b.Errorf("the plan took %v, bound %v", took, planBound)
	}
	if len(plan.Orders) != wantOrders {
		b.Errorf("%d orders, want %d", len(plan.Orders), wantOrders)
	}
}
