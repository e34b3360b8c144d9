package soak

import (
	"math/rand"
	"sync"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// The platform's bounds for evacuations and cold hosts.
const (
	// evacuationApplyTime is how long after the request of an evacuation requests may still
	// reach hosts there, and unstableStoreTime is added while the store is unstable.
	evacuationApplyTime = 5 * time.Second
	unstableStoreTime   = 6 * time.Second
	// coldPerSecond, coldOver and coldSlack bound the requests to a cold host in any second.
	coldPerSecond, coldOver, coldSlack = 4.0, 1.5, 1.0
	// coldNotice is how long after a host has become cold its requests are not counted: its
	// registration has to reach the nodes.
	coldNotice = 2 * time.Second
	// coldTime is how long hosts are cold.
	coldTime = 8 * time.Second
)

const (
	evacuations           = "evacuation"
	evacuationsInARow     = "evacuation requested again and again"
	evacuationAndRestore  = "evacuation before the store comes back from a copy"
	coldHosts             = "host becomes cold"
	evacuationOfColdHosts = "evacuation of cold hosts"
)

// evacuationFaults are evacuations of failure domains and hosts that become cold. Where one
// of coldFaults is chosen, hosts are cold after their start and the nodes have a limit.
var (
	evacuationFaults = []fault{
		{evacuations, func(s *Soak, r *rand.Rand) { s.evacuate(r, func(domain string) { s.requestEvacuation(domain) }) }},
		{evacuationsInARow, func(s *Soak, r *rand.Rand) {
			s.evacuate(r, func(domain string) {
				for range 1 + r.Intn(5) {
					s.requestEvacuation(domain)
					time.Sleep(time.Duration(r.Intn(200)) * time.Millisecond)
					s.withdrawEvacuation(domain)
					time.Sleep(time.Duration(r.Intn(200)) * time.Millisecond)
				}
				s.requestEvacuation(domain)
			})
		}},
		{evacuationAndRestore, func(s *Soak, r *rand.Rand) {
			s.evacuate(r, func(domain string) {
				s.store.Checkpoint()
				s.requestEvacuation(domain)
				time.Sleep(3 * time.Second)
				s.store.Restore()
				s.fleet.RegisterAgain(hostRegistrationTTL)
				s.withdrawRestored()
			})
		}},
	}
	coldFaults = []fault{
		{coldHosts, func(s *Soak, r *rand.Rand) {
			host := s.randomHost(r).host
			host.BecomeCold(coldTime)
			time.Sleep(coldTime)
			s.judgeCold(host, coldNotice)
		}},
		{evacuationOfColdHosts, func(s *Soak, r *rand.Rand) {
			domain := s.evacuate(r, func(domain string) { s.requestEvacuation(domain) })
			for _, host := range s.hostsThat(func(h *standin.Host) bool { return h.Zone == domain }) {
				host.BecomeCold(coldTime)
			}
			time.Sleep(coldTime)
			for _, host := range s.hostsThat(func(h *standin.Host) bool { return h.Zone == domain }) {
				s.judgeCold(host, 0)
			}
		}},
	}
)

// evacuationLock keeps evacuations of one failure domain apart, by its name.
type evacuationLock struct {
	mu   sync.Mutex
	held map[string]bool
}

// take returns whether the failure domain was free.
func (l *evacuationLock) take(domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil {
		l.held = map[string]bool{}
	}
	free := !l.held[domain]
	l.held[domain] = true
	return free
}

func (l *evacuationLock) release(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, domain)
}

func (s *Soak) requestEvacuation(domain string)  { s.store.Put("op", "evacuate/"+domain, struct{}{}) }
func (s *Soak) withdrawEvacuation(domain string) { s.store.Drop("op", "evacuate/"+domain) }

// withdrawRestored deletes the requests of evacuations that have ended and that a copy of the
// store has brought back.
func (s *Soak) withdrawRestored() {
	s.evacuating.mu.Lock()
	defer s.evacuating.mu.Unlock()
	for _, domain := range evacuatedDomains {
		if !s.evacuating.held[domain] {
			s.withdrawEvacuation(domain)
		}
	}
}

// evacuatedDomains are the failure domains that are evacuated: those of the model hosts.
var evacuatedDomains = []string{"z0", "z1"}

// evacuate requests the evacuation of a random failure domain, verifies that it is in force in
// time, and withdraws it. It returns the domain, or "" if all are being evacuated.
func (s *Soak) evacuate(r *rand.Rand, request func(domain string)) string {
	domain := evacuatedDomains[r.Intn(len(evacuatedDomains))]
	if !s.evacuating.take(domain) {
		return ""
	}
	defer s.evacuating.release(domain)
	request(domain)
	from := time.Now().Add(evacuationApplyTime)
	if s.storeFaults {
		from = from.Add(unstableStoreTime)
	}
	time.Sleep(time.Until(from))
	sleepFaultDuration(r)
	until := time.Now()
	s.withdrawEvacuation(domain)
	s.judgeEvacuation(domain, from, until)
	return domain
}
