package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"syscall"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// Times of faults.
const (
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// stopLimit is the time in which a node must end after SIGTERM.
	stopLimit = 9 * time.Second
	// hostLapse is how long a dead host stays registered.
	hostLapse = 1500 * time.Millisecond
)

// fault is one kind of disturbance. It blocks until the disturbance has ended.
type fault struct {
	name string
	play func(s *Soak, r *rand.Rand)
}

// faults are all kinds, drawn with equal chance.
var faults = []fault{
	{"kill node", func(s *Soak, r *rand.Rand) {
		n := s.anyNode(r)
		n.end(syscall.SIGKILL, stopLimit)
		sleepFor(r)
		s.must(n.restarted())
		s.must(n.start())
	}},
	{"stop node", func(s *Soak, r *rand.Rand) {
		n := s.anyNode(r)
		if !n.end(syscall.SIGTERM, stopLimit) {
			s.ledger.Break("%s did not end within %v of SIGTERM", n.name, stopLimit)
		}
		s.must(n.restarted())
		s.must(n.start())
	}},
	{"pause node", func(s *Soak, r *rand.Rand) {
		n := s.anyNode(r)
		n.signal(syscall.SIGSTOP)
		sleepFor(r)
		n.signal(syscall.SIGCONT)
	}},
	{"reload node", func(s *Soak, r *rand.Rand) { s.anyNode(r).signal(syscall.SIGHUP) }},
	{"kill all nodes", func(s *Soak, r *rand.Rand) {
		for _, n := range s.nodes {
			n.end(syscall.SIGKILL, stopLimit)
		}
		sleepFor(r)
		for _, n := range s.nodes {
			s.must(n.restarted())
			s.must(n.start())
		}
	}},
	{"cut node from store", func(s *Soak, r *rand.Rand) {
		s.disturb(r, s.anyNode(r).store, linkState{silentTo: true, silentFrom: true})
	}},
	{"cut one way from store", func(s *Soak, r *rand.Rand) { s.disturb(r, s.anyNode(r).store, linkState{silentFrom: true}) }},
	{"delay store", func(s *Soak, r *rand.Rand) {
		s.disturb(r, s.anyNode(r).store, linkState{delay: time.Duration(r.Intn(300)) * time.Millisecond})
	}},
	{"reset store connections", func(s *Soak, r *rand.Rand) { s.anyNode(r).store.reset() }},
	{"store refuses", func(s *Soak, r *rand.Rand) {
		s.store.SetFaults(standin.StoreFaults{Refuse: http.StatusServiceUnavailable})
		sleepFor(r)
		s.store.SetFaults(standin.StoreFaults{})
	}},
	{"store loses answers", func(s *Soak, r *rand.Rand) {
		s.store.SetFaults(standin.StoreFaults{LoseNext: 1 + r.Intn(5)})
		sleepFor(r)
		s.store.SetFaults(standin.StoreFaults{})
	}},
	{"store drops history", func(s *Soak, _ *rand.Rand) { s.store.Compact() }},
	{"kill host", func(s *Soak, r *rand.Rand) { s.replaceHost(r, func(h *standin.Host) { h.Kill(hostLapse) }) }},
	{"host leaves", func(s *Soak, r *rand.Rand) {
		s.replaceHost(r, func(h *standin.Host) {
			h.Drain()
			time.AfterFunc(maxFault, func() { h.Kill(0) })
		})
	}},
	{"silence host", func(s *Soak, r *rand.Rand) {
		s.disturb(r, s.anyHost(r).link, linkState{silentTo: true, silentFrom: true})
	}},
	{"delay host", func(s *Soak, r *rand.Rand) {
		s.disturb(r, s.anyHost(r).link, linkState{delay: time.Duration(r.Intn(200)) * time.Millisecond})
	}},
	{"refuse host connections", func(s *Soak, r *rand.Rand) { s.disturb(r, s.anyHost(r).link, linkState{refuse: true}) }},
	{"reset host connections", func(s *Soak, r *rand.Rand) { s.anyHost(r).link.reset() }},
	{"change configuration", func(s *Soak, _ *rand.Rand) { s.changeConfiguration() }},
}

// sleepFor waits for the length of one fault.
func sleepFor(r *rand.Rand) { time.Sleep(minFault + time.Duration(r.Int63n(int64(maxFault-minFault)))) }

// disturb holds a link in a state for a while.
func (s *Soak) disturb(r *rand.Rand, link *relay, state linkState) {
	link.set(state)
	sleepFor(r)
	link.set(linkState{})
}

func (s *Soak) anyNode(r *rand.Rand) *node { return s.nodes[r.Intn(len(s.nodes))] }

func (s *Soak) anyHost(r *rand.Rand) *soakHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[r.Intn(len(s.hosts))]
}

// replaceHost takes a model host away and adds another one to its domain.
func (s *Soak) replaceHost(r *rand.Rand, away func(*standin.Host)) {
	s.mu.Lock()
	i := r.Intn(s.modelHosts)
	old := s.hosts[i]
	s.added++
	id := fmt.Sprintf("m%d", s.added)
	s.mu.Unlock()
	away(old.host)
	sleepFor(r)
	fresh, err := s.addHost(id, "models", old.host.Zone, old.host.Domain)
	s.must(err)
	s.mu.Lock()
	s.hosts[i] = fresh
	s.mu.Unlock()
}
