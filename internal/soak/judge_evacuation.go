package soak

import (
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// judgeEvacuation records a violation for each request that reached a host of a failure domain
// within the time in which its evacuation had to be in force. A node that was frozen, killed or
// started within that time or shortly before may not have known of it.
func (s *Soak) judgeEvacuation(domain string, from, until time.Time) {
	hosts := s.hostsThat(func(h *standin.Host) bool { return h.Zone == domain })
	for _, host := range hosts {
		s.judgeArrivalsAtEvacuated(host.ID, s.arrivalsAt(host), from, until)
	}
	s.progress("failure domain %s with %d hosts was evacuated for %v", domain, len(hosts), until.Sub(from).Round(time.Millisecond))
}

func (s *Soak) judgeArrivalsAtEvacuated(host string, arrivals []judgedArrival, from, until time.Time) {
	for _, a := range arrivals {
		if a.At.Before(from) || a.At.After(until) || s.disturbances.during(from, a.At, a.node.name) || s.disturbances.during(a.at, a.At, host) {
			continue
		}
		s.ledger.RecordViolation("%s at %v: request %s reached the host through %s, %v after the evacuation of its failure domain had to be in force",
			host, a.At.Sub(s.started).Round(time.Millisecond), a.RequestID, a.node.name, a.At.Sub(from).Round(time.Millisecond))
	}
}

// judgeCold records a violation if more requests than the bound reached a cold host within a
// second, later than grace after it became cold. Held connections deliver many at once, so a
// host whose connections were held is not judged.
func (s *Soak) judgeCold(host *standin.Host, grace time.Duration) {
	now := time.Now()
	most := host.MostWhileCold(grace)
	excused := s.disturbances.during(now.Add(-coldTime), now, host.ID)
	s.progress("cold host %s got at most %d requests in a second (excused: %t)", host.ID, most, excused)
	if bound := int(coldPerSecond*coldOver + coldSlack); most > bound && !excused {
		s.ledger.RecordViolation("cold host %s got %d requests within a second, at most %d are allowed", host.ID, most, bound)
	}
}
