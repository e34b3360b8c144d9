package soak

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
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

// faults lists the kinds of fault that a run chooses from by default, each with equal
// probability. faultsByName are the others. A new kind among the former changes the schedules
// of all seeds.
var (
	faults       = slices.Concat(unplannedFaults, silenceFaults, oddFaults, plannedFaults)
	faultsByName = slices.Concat(wordFaults, evacuationFaults, coldFaults, orderFaults, failureFaults)
)

var unplannedFaults = []fault{
	{"kill node", func(s *Soak, r *rand.Rand) {
		n := s.randomNode(r)
		defer s.disturbances.begin(n.name)()
		n.terminate(syscall.SIGKILL, stopTimeout)
		sleepFaultDuration(r)
		s.recordHarnessError(n.clearFirstStart())
		s.recordHarnessError(n.start())
	}},
	{"stop node", func(s *Soak, r *rand.Rand) { s.stopAndStart(s.randomNode(r)) }},
	{"pause node", func(s *Soak, r *rand.Rand) {
		n := s.randomNode(r)
		defer s.disturbances.begin(n.name)()
		n.signal(syscall.SIGSTOP)
		sleepFaultDuration(r)
		n.signal(syscall.SIGCONT)
	}},
	{"reload node", func(s *Soak, r *rand.Rand) { s.randomNode(r).signal(syscall.SIGHUP) }},
	{"kill all nodes", func(s *Soak, r *rand.Rand) { s.restartAll(r) }},
	{"cut node from store", func(s *Soak, r *rand.Rand) {
		s.injectLinkFault(r, s.randomNode(r).storeRelay, linkState{holdToTarget: true, holdFromTarget: true})
	}},
	{"cut one way from store", func(s *Soak, r *rand.Rand) {
		s.injectLinkFault(r, s.randomNode(r).storeRelay, linkState{holdFromTarget: true})
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
	{"kill host", func(s *Soak, r *rand.Rand) {
		s.replaceHost(r, func(h *standin.Host) {
			s.disturbances.begin(h.ID)
			h.Kill(hostRegistrationTTL)
		})
	}},
	{"host leaves", func(s *Soak, r *rand.Rand) {
		s.replaceHost(r, func(h *standin.Host) {
			h.Drain()
			time.AfterFunc(maxFaultDuration, func() {
				s.disturbances.begin(h.ID)
				h.Kill(0)
			})
		})
	}},
	{"silence host", func(s *Soak, r *rand.Rand) {
		s.injectHostFault(r, linkState{holdToTarget: true, holdFromTarget: true})
	}},
	{"delay host", func(s *Soak, r *rand.Rand) {
		s.injectHostFault(r, linkState{delay: time.Duration(r.Intn(200)) * time.Millisecond})
	}},
	{"refuse host connections", func(s *Soak, r *rand.Rand) { s.injectHostFault(r, linkState{refuse: true}) }},
	{"reset host connections", func(s *Soak, r *rand.Rand) {
		host := s.randomHost(r)
		defer s.disturbances.begin(host.host.ID)()
		host.relay.resetConns()
	}},
	{"store comes back from a copy", func(s *Soak, r *rand.Rand) { s.restoreStore(r) }},
	{"crashing plain request", func(s *Soak, r *rand.Rand) { s.sendCrashingTarget(r) }},
	{"crashing prompt part", func(s *Soak, r *rand.Rand) { s.sendCrashingPart(r) }},
	{"host names a limit", func(s *Soak, r *rand.Rand) { s.limitHost(r) }},
	{"change configuration", func(s *Soak, _ *rand.Rand) { s.changeConfiguration(defaultVariation) }},
}

// restartAll kills all nodes and starts them again.
func (s *Soak) restartAll(r *rand.Rand) {
	for _, n := range s.nodes {
		defer s.disturbances.begin(n.name)()
		n.terminate(syscall.SIGKILL, stopTimeout)
	}
	sleepFaultDuration(r)
	for _, n := range s.nodes {
		s.recordHarnessError(n.clearFirstStart())
		s.recordHarnessError(n.start())
	}
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

// injectHostFault puts the link of a random host into a faulty state for the duration of one
// fault.
func (s *Soak) injectHostFault(r *rand.Rand, state linkState) {
	host := s.randomHost(r)
	defer s.disturbances.begin(host.host.ID)()
	s.injectLinkFault(r, host.relay, state)
}

func (s *Soak) randomNode(r *rand.Rand) *node { return s.nodes[r.Intn(len(s.nodes))] }

func (s *Soak) randomHost(r *rand.Rand) *soakHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[r.Intn(len(s.hosts))]
}

// crashingRequestInterval is the time between two requests with a crashing part.
const crashingRequestInterval = 100 * time.Millisecond

// sendCrashingPart sends requests that share a prompt part which crashes hosts, to
// random nodes, for the duration of one fault. The callers ignore how they end.
func (s *Soak) sendCrashingPart(r *rand.Rand) {
	part := fmt.Sprintf("crash%d", r.Int63())
	s.fleet.Crashing.Set(part)
	defer s.fleet.Crashing.Set()
	s.sendCrashing(r, func(caller *standin.Caller, address string, i int) {
		caller.Model, caller.PromptParts = "big", fmt.Sprintf("common:40,%s:10,own%d:5", part, i)
		caller.Stream(context.Background(), address, "/stream/1", fmt.Sprintf("s%d-%s-%d", s.options.Seed, part, i), 10, requestTimeout)
	})
}

// sendCrashing calls send with a new caller and a random node at intervals, for the
// duration of one fault, and blocks until all calls have returned.
func (s *Soak) sendCrashing(r *rand.Rand, send func(caller *standin.Caller, address string, i int)) {
	var callers sync.WaitGroup
	defer callers.Wait()
	duration := minFaultDuration + time.Duration(r.Int63n(int64(maxFaultDuration-minFaultDuration)))
	for i := range int(duration / crashingRequestInterval) {
		address := s.randomNode(r).callerAddress
		callers.Go(func() {
			send(&standin.Caller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Ledger: s.ledger, Host: "a.example", Key: "key"}, address, i)
		})
		time.Sleep(crashingRequestInterval)
	}
}

// maxCrashDelay is how long after a host began to run the crashing plain request it
// crashes at most. The nodes give the attempt up before that at times.
const maxCrashDelay = 500 * time.Millisecond

// sendCrashingTarget sends one plain request that crashes hosts to random nodes again
// and again, for the duration of one fault. The callers ignore how they end.
func (s *Soak) sendCrashingTarget(r *rand.Rand) {
	path := fmt.Sprintf("/safe/crash%d", r.Int63())
	s.fleet.Crashing.SetTarget(path, time.Duration(r.Int63n(int64(maxCrashDelay))))
	defer s.fleet.Crashing.SetTarget("", 0)
	s.sendCrashing(r, func(caller *standin.Caller, address string, i int) {
		caller.Call(context.Background(), http.MethodGet, address, path, fmt.Sprintf("s%d-%s-%d", s.options.Seed, path, i), requestTimeout)
	})
}

// restoreStore lets the store refuse calls for a moment and come back from a copy. The
// hosts and the operator then write again what was lost.
func (s *Soak) restoreStore(r *rand.Rand) {
	s.store.Checkpoint()
	sleepFaultDuration(r)
	s.store.SetFaults(standin.StoreFaults{RefuseStatus: http.StatusServiceUnavailable})
	time.Sleep(minFaultDuration)
	s.store.Restore()
	s.store.SetFaults(standin.StoreFaults{})
	time.Sleep(minFaultDuration)
	s.fleet.RegisterAgain(hostRegistrationTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeConfiguration()
}

// Limit that a host names, and the platform's bound: from limitGrace after an answer
// first named it, at most limitFactor times what it allows in limitWindow, and
// limitSlack more.
const (
	hostLimitPerSecond = 3.0
	// limitNamingTimeout is how long to wait for a request that the host can answer.
	limitNamingTimeout = 10 * time.Second
	limitPollInterval  = 100 * time.Millisecond
	limitGrace         = 3 * time.Second
	limitWindow        = 4 * time.Second
	limitFactor        = 1.5
	limitSlack         = 5
)

// limitHost makes a random model host name a limit, and verifies that the nodes hold
// it.
func (s *Soak) limitHost(r *rand.Rand) {
	s.mu.Lock()
	host := s.hosts[r.Intn(s.modelHostCount)].host
	s.mu.Unlock()
	host.SetLimit(hostLimitPerSecond)
	for deadline := time.Now().Add(limitNamingTimeout); host.LimitNamed().IsZero(); time.Sleep(limitPollInterval) {
		if time.Now().After(deadline) {
			host.SetLimit(0)
			return // the host leads no group
		}
	}
	time.Sleep(time.Until(host.LimitNamed().Add(limitGrace + limitWindow)))
	allowed := limitFactor*hostLimitPerSecond*limitWindow.Seconds() + limitSlack
	if most := host.MostArrivals(limitWindow, limitGrace); float64(most) > allowed {
		s.ledger.RecordViolation("host %s got %d requests in %v at a limit of %v a second, allowed %v", host.ID, most, limitWindow, hostLimitPerSecond, allowed)
	}
	host.SetLimit(0)
}

// replaceCrashed closes the relay of a host that a request is about to crash, and adds
// another host in its place later. It does not block.
func (s *Soak) replaceCrashed(crashed *standin.Host) {
	s.disturbances.begin(crashed.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.hosts, func(h *soakHost) bool { return h.host == crashed })
	if i < 0 {
		return // another fault has replaced it
	}
	s.hosts[i].relay.close()
	s.modelHostsAdded++
	id := fmt.Sprintf("m%d", s.modelHostsAdded)
	s.replacements.Go(func() {
		time.Sleep(minFaultDuration)
		replacement, err := s.addHost(id, crashed.Service, crashed.Zone, crashed.Domain)
		s.recordHarnessError(err)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.hosts[i] = replacement
	})
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
