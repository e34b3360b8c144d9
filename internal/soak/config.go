package soak

import (
	"fmt"
	"math/rand"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

const (
	// spareService is the second service of plain hosts, to which configurations move routes.
	spareService = "spare"
	// defaultRouteTimeout is the timeout of the routes where a storm changes none.
	defaultRouteTimeout = 5 * time.Second
	minRouteTimeout     = 2500 * time.Millisecond
	// A storm writes a revision every stormInterval on average.
	stormInterval = 150 * time.Millisecond
)

// variation is what differs between two revisions of the configuration.
type variation struct {
	safeService  string
	timeout      time.Duration
	bigShare     float64
	addedRoutes  int
	addedService string
}

var defaultVariation = variation{safeService: "plain", timeout: defaultRouteTimeout, bigShare: 0.5}

func randomVariation(r *rand.Rand) variation {
	return variation{
		safeService: []string{"plain", spareService}[r.Intn(2)], timeout: minRouteTimeout + time.Duration(r.Int63n(int64(defaultRouteTimeout-minRouteTimeout))),
		bigShare: 0.3 + 0.4*r.Float64(), addedRoutes: r.Intn(20),
	}
}

// configuration returns a revision of the configuration.
func (v variation) configuration(revision int64) map[string]any {
	c := standin.Configuration(revision, groupSizes)
	routes, services := c["routes"].([]any), c["services"].([]any)
	for _, route := range routes {
		fields := route.(map[string]any)
		fields["timeout_ms"] = v.timeout.Milliseconds()
		if fields["name"] == "safe" {
			fields["service"] = v.safeService
		}
	}
	added := func(name, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "prefix": "/" + name + "/", "kind": "safe", "timeout_ms": v.timeout.Milliseconds(), "goal_ms": 500,
			"gap_aim_ms": 300, "priority": 1, "service": service, "attempts": 2,
		}
	}
	for i := range v.addedRoutes {
		routes = append(routes, added(fmt.Sprintf("added%d", i), "plain"))
	}
	services = append(services, map[string]any{"name": spareService, "max_conns": 96})
	if v.addedService != "" {
		routes = append(routes, added(v.addedService, v.addedService))
		services = append(services, map[string]any{"name": v.addedService, "max_conns": 96})
	}
	for _, model := range services[0].(map[string]any)["engine"].(map[string]any)["models"].([]any) {
		fields := model.(map[string]any)
		fields["share"] = 1 - v.bigShare
		if fields["name"] == "big" {
			fields["share"] = v.bigShare
		}
	}
	c["routes"], c["services"] = routes, services
	return c
}

// writtenTimeout is the route timeout of a revision and when it was written.
type writtenTimeout struct {
	at      time.Time
	timeout time.Duration
}

// timeLimit returns the least time that a request sent at the given time had until now: its
// own limit or the timeout of a revision that was in force.
func (s *Soak) timeLimit(sentAt time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := requestTimeout
	for i, w := range s.timeouts {
		replaced := i+1 < len(s.timeouts) && s.timeouts[i+1].at.Add(configurationApplyTime).Before(sentAt)
		if !replaced {
			limit = min(limit, w.timeout)
		}
	}
	return limit
}

// changeConfiguration writes a newer revision. The API key of the callers stays valid.
func (s *Soak) changeConfiguration(v variation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.variation = v
	s.writeConfiguration()
}

// writeConfiguration writes the newest revision. The caller holds mu.
func (s *Soak) writeConfiguration() {
	s.timeouts = append(s.timeouts, writtenTimeout{time.Now(), s.variation.timeout})
	configuration := s.variation.configuration(s.revision)
	if s.cold {
		for _, service := range configuration["services"].([]any) {
			service.(map[string]any)["cold_s"], service.(map[string]any)["cold_per_s"] = coldTime.Seconds(), coldPerSecond
		}
	}
	s.store.Put("op", "config", configuration)
}
