package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestCrashingClassIsFoundAtAnyShareAndMoment guards against a class of requests that ends
// host after host, in a fleet that knows little or much of its parts and sees it seldom or
// often.
func TestCrashingClassIsFoundAtAnyShareAndMoment(t *testing.T) {
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 7))
		share := 0.01 + 0.09*random.Float64()
		moment := time.Duration(random.Int64N(int64(12 * time.Second))).Truncate(simulationStep)
		nodes := 2 + random.IntN(10)
		t.Run(fmt.Sprintf("%d: share %.3f from %v, %d nodes", seed, share, moment, nodes), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, seed, nodes, 15, 130)
			s.run(moment)
			s.poisonShare, s.crashing["bad"] = share, true
			s.poisonous = func(r *rand.Rand) []string { return []string{"service", fmt.Sprint("topic", r.IntN(40)), "bad"} }
			s.run(20 * time.Second)
			if n := s.arrivalsAfterBound(5, testStable); n > maxAfterBound {
				t.Errorf("%d crashing requests after the bound, want at most %d; %d hosts crashed", n, maxAfterBound, len(s.crashes))
			}
			s.checkConvicted("bad")
		})
	}
}
