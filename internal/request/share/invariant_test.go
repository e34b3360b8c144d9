package share

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Bounds of the promise.
const (
	minUse        = 0.95
	recoverWithin = 5 // seconds
)

var testCap = Cap{TokensPerSecond: 10_000, BurstTokens: 20_000, InFlight: 200}

// startFleet starts n nodes and lets them settle without load.
func startFleet(t testing.TB, n int, c Cap) (*fleet, []*node) {
	f := newFleet(t, c)
	var nodes []*node
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		nodes = append(nodes, f.start(name, "10.0.0."+fmt.Sprint(i)+":1"))
	}
	time.Sleep(15 * time.Second)
	return f, nodes
}

// skew returns demand of total tokens a second, most of it at one node.
func skew(nodes []*node, hot int, total float64) map[*node]float64 {
	const hotShare = 0.8
	demand := map[*node]float64{}
	for i, n := range nodes {
		demand[n] = total * (1 - hotShare) / float64(len(nodes)-1)
		if i == hot {
			demand[n] = total * hotShare
		}
	}
	return demand
}

func (f *fleet) checkHeld() {
	f.t.Helper()
	if f.oracle.overshoot > 0 {
		f.t.Errorf("overshoot %.3f tokens, want 0", float64(f.oracle.overshoot)/1e9)
	}
	if f.oracle.overInFlight > 0 {
		f.t.Errorf("%d requests above the in-flight cap, want 0", f.oracle.overInFlight)
	}
}

func (f *fleet) checkUse(what string, from, to int) {
	f.t.Helper()
	use := f.oracle.use(from, to)
	f.t.Logf("%s: use %.3f", what, use)
	if use < minUse {
		f.t.Errorf("%s: use %.3f of the cap, want %.2f", what, use, minUse)
	}
}

func TestInvariantCapHeld(t *testing.T) {
	t.Run("skew", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, nodes := startFleet(t, 7, testCap)
			f.load(skew(nodes, 0, 15_000), 15*time.Second)
			for hot := 1; hot < 7; hot += 2 {
				moved := f.oracle.seconds()
				f.load(skew(nodes, hot, 15_000), 20*time.Second)
				end := f.oracle.seconds()
				f.t.Logf("per second %v", f.oracle.perSecond[moved:end])
				f.checkUse(fmt.Sprintf("5 s after the skew moved to n%d", hot), moved+recoverWithin, moved+recoverWithin+5)
				f.checkUse("steady skew", moved+recoverWithin, end)
			}
			f.checkHeld()
			f.stop()
		})
	})
}
