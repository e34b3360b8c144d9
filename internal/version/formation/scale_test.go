package formation

import (
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// maxPlanTime limits a plan for 3,000 hosts on a free processor core. Groups must
// be open 10 s after the start; a leader with a fifth of a core may spend half of
// that on planning.
const maxPlanTime = time.Second

// BenchmarkFirstPlan plans the first groups of 3,000 hosts in fabric domains of
// eight.
func BenchmarkFirstPlan(b *testing.B) {
	var hosts []*fleet.Host
	for i := range 3000 {
		hosts = append(hosts, host(fmt.Sprintf("h%04d", i), fmt.Sprintf("d%03d", i/8)))
	}
	for b.Loop() {
		in := input(hosts...)
		in.UnlimitedLoads = true
		measurePlan(b, in, 3000)
	}
}

// BenchmarkSteadyPlan plans for 375 domains that need no order: each has one group
// of each model and one spare for each.
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

// measurePlan reports the time of one plan and checks it and the number of
// orders.
func measurePlan(b *testing.B, in Input, wantOrders int) {
	b.Helper()
	start := time.Now()
	plan := MakePlan(in)
	elapsed := time.Since(start)
	b.ReportMetric(float64(elapsed.Milliseconds()), "ms/plan")
	if elapsed > maxPlanTime {
		b.Errorf("plan took %v, want at most %v", elapsed, maxPlanTime)
	}
	if len(plan.Orders) != wantOrders {
		b.Errorf("got %d orders, want %d", len(plan.Orders), wantOrders)
	}
}

// BenchmarkServingSparesPlan plans for 166 domains of 18 hosts, in which one large
// group in ten has lost its head: the survivors leave, and a few
// small groups close at a time.
func BenchmarkServingSparesPlan(b *testing.B) {
	var hosts []*fleet.Host
	for d := range int64(166) {
		domain := mixedDomain(fmt.Sprintf("d%03d", d), 10*d+1, 5)
		if d%10 == 0 {
			domain = domain[1:]
		}
		hosts = append(hosts, domain...)
	}
	const survivors, closed = 17 * 7, maxMovesPerPlan
	for b.Loop() {
		measurePlan(b, spareInput(hosts...), survivors+closed)
	}
}
