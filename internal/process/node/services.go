package node

import (
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/process/roster"
	"currantladder.example/currantladder/internal/version/configlog"
)

// serviceEndpoints chooses the endpoints of plain services round-robin. It
// implements callerapi.ServiceEndpoints.
type serviceEndpoints struct {
	view   configlog.View
	roster *roster.Roster

	mu       sync.Mutex
	rotation int
	// lastFailure is the time of the last failed call, by host.
	lastFailure map[string]time.Time
}

// serviceQuarantine is how long an endpoint is skipped after a failed call. It
// is still used if every endpoint is in quarantine.
const serviceQuarantine = 3 * time.Second

func newServiceEndpoints(view configlog.View, hosts *roster.Roster) *serviceEndpoints {
	return &serviceEndpoints{view: view, roster: hosts, lastFailure: make(map[string]time.Time)}
}

// Pick implements callerapi.ServiceEndpoints.
func (s *serviceEndpoints) Pick(service string, avoid map[string]bool) (host, address string, ok bool) {
	snap := s.view.Current()
	spec := snap.Service(service)
	if spec == nil {
		return "", "", false
	}
	var usable []hostlist.Host
	for _, name := range spec.Hosts {
		entry, listed := s.roster.Host(name)
		if listed && entry.State == hostlist.StateLive && !snap.Host(name).Drain && !avoid[name] {
			usable = append(usable, entry)
		}
	}
	if len(usable) == 0 {
		return "", "", false
	}
	chosen := s.next(usable)
	return chosen.Name, chosen.Address, true
}

// next returns the next usable host that is not in quarantine, or the next one
// if all are.
func (s *serviceEndpoints) next(usable []hostlist.Host) hostlist.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotation++
	for i := range usable {
		candidate := usable[(s.rotation+i)%len(usable)]
		if time.Since(s.lastFailure[candidate.Name]) > serviceQuarantine {
			return candidate
		}
	}
	return usable[s.rotation%len(usable)]
}

// Failed implements callerapi.ServiceEndpoints.
func (s *serviceEndpoints) Failed(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailure[host] = time.Now()
}
