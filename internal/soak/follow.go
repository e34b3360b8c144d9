package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// followTimeout is how long after its registration a new host of a new route may be unused:
// the platform's bound for configurations and a moment for the host's probe.
const followTimeout = configurationApplyTime + 2*time.Second

// verifyFollowing adds a service with one host and a route to it, and records a violation for
// each node that does not use them in time.
func (s *Soak) verifyFollowing(ctx context.Context) {
	v := defaultVariation
	v.addedService = fmt.Sprintf("fresh%d", s.options.Seed)
	host, err := s.addHost("f"+v.addedService, v.addedService, "z0", "")
	if err != nil {
		s.recordHarnessError(err)
		return
	}
	s.mu.Lock()
	s.hosts = append(s.hosts, host)
	s.mu.Unlock()
	s.changeConfiguration(v)
	deadline := time.Now().Add(followTimeout)
	for _, n := range s.nodes {
		caller := &standin.Caller{HTTP: &http.Client{Transport: &standin.Channel{}}, Ledger: s.ledger, Host: "a.example", Key: "key"}
		for i := 0; ; i++ {
			id := fmt.Sprintf("s%d-%s-follow%d", s.options.Seed, n.name, i)
			outcome := caller.Call(ctx, http.MethodGet, n.callerAddress, "/"+v.addedService+"/1", id, requestTimeout)
			if outcome.Complete {
				break
			}
			if time.Now().After(deadline) {
				s.ledger.RecordViolation("%s does not use a new route and host %v after they were written: status %d, %v", n.name, followTimeout, outcome.Status, outcome.Err)
				break
			}
			time.Sleep(callerBackoff)
		}
	}
}
