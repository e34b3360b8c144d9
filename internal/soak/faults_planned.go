package soak

import (
	"math/rand"
	"slices"
	"syscall"
	"time"
)

const (
	// maxStopInterval is the largest time between two stops of a series.
	maxStopInterval = 2 * time.Second
	// reloads is the number of reloads of a series.
	reloads        = 10
	reloadInterval = 100 * time.Millisecond
)

// plannedFaults are planned work in quick succession.
var plannedFaults = []fault{
	{"configuration storm", func(s *Soak, r *rand.Rand) {
		for end := time.Now().Add(maxFaultDuration); time.Now().Before(end); {
			s.changeConfiguration(randomVariation(r))
			time.Sleep(time.Duration(r.Int63n(int64(2 * stormInterval))))
		}
		s.changeConfiguration(defaultVariation)
	}},
	{"stop nodes in turn", func(s *Soak, r *rand.Rand) {
		for _, i := range r.Perm(len(s.nodes)) {
			s.stopAndStart(s.nodes[i])
		}
	}},
	{"stop nodes at once", func(s *Soak, r *rand.Rand) {
		stops := make(chan struct{})
		started := r.Perm(len(s.nodes))[:1+r.Intn(len(s.nodes))]
		for _, i := range started {
			go func() {
				s.stopAndStart(s.nodes[i])
				stops <- struct{}{}
			}()
			time.Sleep(time.Duration(r.Int63n(int64(maxStopInterval))))
		}
		for range started {
			<-stops
		}
	}},
	{"reload nodes", func(s *Soak, r *rand.Rand) {
		for range reloads {
			for _, n := range slices.Clone(s.nodes) {
				n.signal(syscall.SIGHUP)
			}
			time.Sleep(time.Duration(r.Int63n(int64(2 * reloadInterval))))
		}
	}},
}

// stopAndStart stops a node as planned work does and starts it again.
func (s *Soak) stopAndStart(n *node) {
	if !n.terminate(syscall.SIGTERM, stopTimeout) {
		s.ledger.RecordViolation("%s did not exit within %v of SIGTERM", n.name, stopTimeout)
	}
	s.recordHarnessError(n.clearFirstStart())
	s.recordHarnessError(n.start())
}
