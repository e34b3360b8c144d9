package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"syscall"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

const (
	// A fault lasts for a random time between minFaultDuration and
	// maxFaultDuration.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// stopTimeout is how long a node may take to exit after SIGTERM.
	stopTimeout = 9 * time.Second
	// hostRegistrationTTL is how long a killed host stays registered.
	hostRegistrationTTL = 1500 * time.Millisecond
)

// fault is one kind of fault that a run injects. inject blocks until the fault
// has ended. The name of a fault that signals or restarts nodes contains "node"
// but not "store"; injectFaults recognizes these faults by it.
type fault struct {
	name   string
	inject func(s *Soak, r *rand.Rand)
}

// faults lists all kinds of fault. Each is chosen with equal probability.
var faults = []fault{
	{"kill node", func(s *Soak, r *rand.Rand) {
		n := s.randomNode(r)
		n.terminate(syscall.SIGKILL, stopTimeout)
		sleepFaultDuration(r)
		s.recordHarnessError(n.clearFirstStart())
		s.recordHarnessError(n.start())
	}},
	{"stop node", func(s *Soak, r *rand.Rand) {
		n := s.randomNode(r)
		if !n.terminate(syscall.SIGTERM, stopTimeout) {
			s.ledger.RecordViolation("%s did not exit within %v of SIGTERM", n.name, stopTimeout)
		}
		s.recordHarnessError(n.clearFirstStart())
		s.recordHarnessError(n.start())
	}},
	{"pause node", func(s *Soak, r *rand.Rand) {
		n := s.randomNode(r)
		n.signal(syscall.SIGSTOP)
		sleepFaultDuration(r)
		n.signal(syscall.SIGCONT)
	}},
	{"reload node", func(s *Soak, r *rand.Rand) { s.randomNode(r).signal(syscall.SIGHUP) }},
	{"kill all nodes", func(s *Soak, r *rand.Rand) {
		for _, n := range s.nodes {
			n.terminate(syscall.SIGKILL, stopTimeout)
		}
		sleepFaultDuration(r)
		for _, n := range s.nodes {
			s.recordHarnessError(n.clearFirstStart())
			s.recordHarnessError(n.start())
		}
	}},
	{"cut node from store", func(s *Soak, r *rand.Rand) {
		s.injectLinkFault(r, s.randomNode(r).storeRelay, linkState{dropToTarget: true, dropFromTarget: true})
	}},
	{"cut one way from store", func(s *Soak, r *rand.Rand) {
		s.injectLinkFault(r, s.randomNode(r).storeRelay, linkState{dropFromTarget: true})
	}},
	{"delay store", func(s *Soak, r *rand.Rand) {
		s.injectLinkFault(r, s.randomNode(r).storeRelay, linkState{delay: time.Duration(r.Intn(300)) * time.Millisecond})
	}},
	{"reset store connections", func(s *Soak, r *rand.Rand) { s.randomNode(r).storeRelay.resetConns() }},
	{"store refuses", func(s *Soak, r *rand.Rand) {
		s.store.SetFaults(standin.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})
		sleepFaultDuration(r)
		s.store.SetFaults(standin.StoreFaults{})
	}},
	{"store loses answers", func(s *Soak, r *rand.Rand) {
		s.store.SetFaults(standin.StoreFaults{LoseNextAnswers: 1 + r.Intn(5)})
		sleepFaultDuration(r)
		s.store.SetFaults(standin.StoreFaults{})
	}},
	{"store drops history", func(s *Soak, _ *rand.Rand) { s.store.Compact() }},
	{"kill host", func(s *Soak, r *rand.Rand) { s.replaceHost(r, func(h *standin.Host) { h.Kill(hostRegistrationTTL) }) }},
	{"host leaves", func(s *Soak, r *rand.Rand) {
		s.replaceHost(r, func(h *standin.Host) {
			h.Drain()
			time.AfterFunc(maxFaultDuration, func() { h.Kill(0) })
		})
	}},
	{"silence host", func(s *Soak, r *rand.Rand) {
		s.injectLinkFault(r, s.randomHost(r).relay, linkState{dropToTarget: true, dropFromTarget: true})
	}},
	{"delay host", func(s *Soak, r *rand.Rand) {
		s.injectLinkFault(r, s.randomHost(r).relay, linkState{delay: time.Duration(r.Intn(200)) * time.Millisecond})
	}},
	{"refuse host connections", func(s *Soak, r *rand.Rand) { s.injectLinkFault(r, s.randomHost(r).relay, linkState{refuse: true}) }},
	{"reset host connections", func(s *Soak, r *rand.Rand) { s.randomHost(r).relay.resetConns() }},
	{"change configuration", func(s *Soak, _ *rand.Rand) { s.changeConfiguration() }},
}

// sleepFaultDuration sleeps for the duration of one fault.
func sleepFaultDuration(r *rand.Rand) {
	time.Sleep(minFaultDuration + time.Duration(r.Int63n(int64(maxFaultDuration-minFaultDuration))))
}

// injectLinkFault puts a link into a faulty state for the duration of one fault.
func (s *Soak) injectLinkFault(r *rand.Rand, link *relay, state linkState) {
	link.setState(state)
	sleepFaultDuration(r)
	link.setState(linkState{})
}

func (s *Soak) randomNode(r *rand.Rand) *node { return s.nodes[r.Intn(len(s.nodes))] }

func (s *Soak) randomHost(r *rand.Rand) *soakHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[r.Intn(len(s.hosts))]
}

// replaceHost removes a random model host and then adds another one to its
// domain.
func (s *Soak) replaceHost(r *rand.Rand, remove func(*standin.Host)) {
	s.mu.Lock()
	i := r.Intn(s.modelHostCount)
	old := s.hosts[i]
	s.modelHostsAdded++
	id := fmt.Sprintf("m%d", s.modelHostsAdded)
	s.mu.Unlock()
	remove(old.host)
	sleepFaultDuration(r)
	replacement, err := s.addHost(id, "models", old.host.Zone, old.host.Domain)
	s.recordHarnessError(err)
	s.mu.Lock()
	s.hosts[i] = replacement
	s.mu.Unlock()
}
