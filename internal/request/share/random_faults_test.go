package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/standin/platform"
)

// TestInvariantCapHeldUnderRandomFaults verifies that the cap is never exceeded
// under seeded random faults: cut links, pauses, crashes, restarts, outages, lost
// and late answers, and live nodes missing from the host list, while demand moves
// between nodes.
func TestInvariantCapHeldUnderRandomFaults(t *testing.T) {
	const (
		seeds = 5
		steps = 80
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, nodes := startFleet(t, 5, testCap)
				f.update(func() { f.rng = rand.New(rand.NewPCG(seed, 7)) })
				r := &randomRun{fleet: f, nodes: nodes, rng: rand.New(rand.NewPCG(seed, 0))}
				for range steps {
					r.step()
				}
				r.heal()
				f.checkCapHeld()
				f.stop()
			})
		})
	}
}

// randomRun is the state of one run with random faults.
type randomRun struct {
	fleet *fleet
	nodes []*node
	// predecessors are replaced processes, which may still run.
	predecessors []*node
	rng          *rand.Rand
	starts       int
}

// step changes one fault and applies random demand for a random time.
func (r *randomRun) step() {
	target := r.nodes[r.rng.IntN(len(r.nodes))]
	other := r.nodes[r.rng.IntN(len(r.nodes))]
	on := r.rng.IntN(2) == 0
	switch r.rng.IntN(13) {
	case 0:
		target.update(func() { target.tableCut = on })
	case 1:
		target.update(func() { target.hostListCut = on })
	case 2, 3:
		target.update(func() { target.peersCut[other.name] = on })
	case 4:
		r.togglePause(target)
	case 5:
		r.restart(target)
	case 6:
		r.fleet.platform.SetFaults(platform.Faults{Outage: on})
	case 7:
		r.fleet.platform.SetFaults(platform.Faults{LoseEvery: 3})
	case 8:
		r.fleet.dropFromHostList(target.name)
	case 9:
		r.fleet.addToHostList(target.name, target.address)
	case 10:
		delay := time.Duration(r.rng.IntN(900)) * time.Millisecond
		r.fleet.update(func() { r.fleet.maxAnswerDelay = delay })
	case 11:
		r.fleet.serviceTime = time.Duration(50+r.rng.IntN(5900)) * time.Millisecond
	default:
		oneIn := r.rng.IntN(6)
		r.fleet.update(func() { r.fleet.loseOneIn = oneIn })
	}
	r.fleet.applyDemand(r.demand(), time.Duration(200+r.rng.IntN(5000))*time.Millisecond)
}

func (r *randomRun) togglePause(n *node) {
	if n.paused() {
		n.unpause()
		return
	}
	n.pause()
	r.fleet.dropFromHostList(n.name)
}

// restart replaces the node's process with a new one. The earlier process ends, or
// is paused and resumes later.
func (r *randomRun) restart(n *node) {
	for i, old := range r.nodes {
		if old != n || old.paused() {
			continue
		}
		r.starts++
		if r.rng.IntN(2) == 0 {
			old.cancel()
		} else {
			old.pause()
			r.predecessors = append(r.predecessors, old)
			time.AfterFunc(time.Duration(r.rng.IntN(60))*time.Second, old.unpause)
		}
		r.nodes[i] = r.fleet.start(n.name, fmt.Sprintf("10.1.0.%d:1", r.starts))
	}
}

// demand returns random demand for every process, from none to overload.
func (r *randomRun) demand() map[*node]float64 {
	levels := []float64{0, 500, 3000, overload}
	demand := map[*node]float64{}
	for _, n := range append(append([]*node{}, r.nodes...), r.predecessors...) {
		demand[n] = levels[r.rng.IntN(len(levels))]
	}
	return demand
}

// heal ends all faults and checks that the cap is used again.
func (r *randomRun) heal() {
	r.fleet.update(func() { r.fleet.loseOneIn, r.fleet.maxAnswerDelay = 0, 0 })
	r.fleet.serviceTime = 200 * time.Millisecond
	r.fleet.platform.SetFaults(platform.Faults{})
	for _, n := range r.nodes {
		if n.paused() {
			n.unpause()
		}
		n.update(func() { n.tableCut, n.hostListCut = false, false; clear(n.peersCut) })
		r.fleet.addToHostList(n.name, n.address)
	}
	r.fleet.applyDemand(nil, time.Minute)
	for _, old := range r.predecessors {
		old.cancel()
	}
	r.fleet.applyDemand(skewedDemand(r.nodes, 0, 15_000), 2*maxReclaimTime)
	from := r.fleet.oracle.seconds()
	r.fleet.applyDemand(skewedDemand(r.nodes, 0, 15_000), 10*time.Second)
	r.fleet.checkUtilization("after all faults", from, from+10)
}
