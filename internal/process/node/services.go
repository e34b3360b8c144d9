package node

import (
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/roster"
	"currantladder.example/currantladder/internal/request/route"
	"currantladder.example/currantladder/internal/version/configlog"
)

// serviceEndpoints chooses the endpoints of plain services round-robin. It
// implements callerapi.ServiceEndpoints.
type serviceEndpoints struct {
	view   configlog.View
	roster *roster.Roster
	log    *eventlog.Logger

	mu       sync.Mutex
	rotation int
	// lastFailure is the time of the last failed call, by host.
	lastFailure map[string]time.Time
	waits       *route.HostWaits
	leaving     *route.LeavingHosts
}

// serviceQuarantine is how long an endpoint is skipped after a failed call. It
// is still used if every endpoint is in quarantine.
const serviceQuarantine = 3 * time.Second

func newServiceEndpoints(view configlog.View, hosts *roster.Roster, log *eventlog.Logger) *serviceEndpoints {
	return &serviceEndpoints{view: view, roster: hosts, log: log, lastFailure: make(map[string]time.Time), waits: route.NewHostWaits(), leaving: route.NewLeavingHosts()}
}

// Pick implements callerapi.ServiceEndpoints.
func (s *serviceEndpoints) Pick(service string, avoid map[string]bool) (host hostlist.Host, retryAfter time.Duration, ok bool) {
	snap := s.view.Current()
	spec := snap.Service(service)
	if spec == nil {
		return hostlist.Host{}, 0, false
	}
	now := time.Now()
	var usable []hostlist.Host
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range spec.Hosts {
		entry, listed := s.roster.Host(name)
		if !listed || entry.State != hostlist.StateLive || snap.Host(name).Drain || avoid[name] || s.leaving.Leaves(entry, now) {
			continue
		}
		if wait := s.waits.End(entry).Sub(now); wait > 0 {
			if retryAfter == 0 || wait < retryAfter {
				retryAfter = wait
			}
			continue
		}
		usable = append(usable, entry)
	}
	if len(usable) == 0 {
		return hostlist.Host{}, retryAfter, false
	}
	return s.next(usable, now), 0, true
}

// next returns the next usable host that is not in quarantine and takes its turn, or
// the next one if there is none. The caller holds mu.
func (s *serviceEndpoints) next(usable []hostlist.Host, now time.Time) hostlist.Host {
	s.rotation++
	for i := range usable {
		candidate := usable[(s.rotation+i)%len(usable)]
		if now.Sub(s.lastFailure[candidate.Name]) > serviceQuarantine && s.waits.TakesTurn(candidate, now) {
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

// Said implements callerapi.ServiceEndpoints. An answer of a former life of a host says
// nothing of the present one.
func (s *serviceEndpoints) Said(host hostlist.Host, facts endpoint.Facts, requestID string) {
	if facts == (endpoint.Facts{}) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed, ok := s.roster.Host(host.Name); ok && (listed.Address != host.Address || listed.BootID != host.BootID) {
		return
	}
	if facts.Leaving && s.leaving.Observe(host, now, s.lists) {
		s.log.LogLimited(eventlog.HostSaysLeaving, eventlog.Fields{"host": host.Name, "request": requestID})
	}
	if facts.Wait == 0 {
		return
	}
	if until, changed := s.waits.Observe(host, facts.Wait, now); changed {
		s.log.LogLimited(eventlog.HostWaits, eventlog.Fields{"host": host.Name, "request": requestID, "asked_ms": facts.Wait.Milliseconds(), "wait_ms": until.Sub(now).Milliseconds()})
	}
}

// lists reports whether a host is in the host list.
func (s *serviceEndpoints) lists(name string) bool {
	_, listed := s.roster.Host(name)
	return listed
}
