package node

import (
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/process/roster"
	"currantladder.example/currantladder/internal/version/configlog"
)

// serviceEndpoints chooses endpoints of plain services in turn. It implements
// callerapi.ServiceEndpoints.
type serviceEndpoints struct {
	view   configlog.View
	roster *roster.Roster

	mu   sync.Mutex
	turn int
	// failed holds when a call of a host last failed.
	failed map[string]time.Time
}

// failurePenalty is how long a failed endpoint is passed over while another
// one is there.
const failurePenalty = 3 * time.Second

func newServiceEndpoints(view configlog.View, hosts *roster.Roster) *serviceEndpoints {
	return &serviceEndpoints{view: view, roster: hosts, failed: make(map[string]time.Time)}
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

func (s *serviceEndpoints) next(usable []hostlist.Host) hostlist.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn++
	for i := range usable {
		candidate := usable[(s.turn+i)%len(usable)]
		if time.Since(s.failed[candidate.Name]) > failurePenalty {
			return candidate
		}
	}
	return usable[s.turn%len(usable)]
}

// Failed implements callerapi.ServiceEndpoints.
func (s *serviceEndpoints) Failed(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[host] = time.Now()
}
