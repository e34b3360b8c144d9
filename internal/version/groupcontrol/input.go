package groupcontrol

import (
	"errors"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/placement"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// engineHosts returns the listed engine hosts of the failure domain,
// sorted by name.
func (c *Controller) engineHosts() []hostlist.Host {
	var engines []hostlist.Host
	for _, h := range c.options.Hosts.Hosts() {
		if h.Role == hostlist.RoleEngine && h.FailureDomain == c.failureDomain {
			engines = append(engines, h)
		}
	}
	slices.SortFunc(engines, func(a, b hostlist.Host) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

// planInput returns the state from which steps are planned.
func (c *Controller) planInput(epoch int64, now time.Time) *placement.Input {
	view := c.options.View.Current()
	groups := c.plannedGroups(view)
	hosts := c.plannedHosts(view, groups)
	c.observeLatency(groups, hosts, now)
	return &placement.Input{
		FailureDomain: c.failureDomain,
		Groups:        groups,
		Hosts:         hosts,
		Policy:        c.options.Policy,
		Epoch:         epoch,
		Now:           now,
	}
}

// plannedGroups returns the groups declared for or placed in the failure domain.
func (c *Controller) plannedGroups(view *snapshot.Snapshot) []placement.Group {
	var groups []placement.Group
	declared := map[string]bool{}
	for _, g := range view.Groups() {
		declared[g.Name] = true
		p := c.rows.placements[g.Name]
		placedHere := p != nil && len(p.Members) > 0 && p.FailureDomain == c.failureDomain
		if g.Spec.FailureDomain == c.failureDomain || placedHere {
			groups = append(groups, placement.Group{Name: g.Name, Spec: g.Spec, Placement: p})
		}
	}
	for name, p := range c.rows.placements {
		if !declared[name] && p.FailureDomain == c.failureDomain {
			groups = append(groups, placement.Group{Name: name, Placement: p})
		}
	}
	return c.addOrphanedClaims(groups, declared)
}

// addOrphanedClaims adds a group without spec or placement for each claim in
// the failure domain whose group has neither, so that the plan releases it.
func (c *Controller) addOrphanedClaims(groups []placement.Group, declared map[string]bool) []placement.Group {
	added := map[string]bool{}
	for host, row := range c.rows.claims {
		group := row.claim.Group
		listed, ok := c.options.Hosts.Hosts()[host]
		inDomain := ok && listed.FailureDomain == c.failureDomain
		if inDomain && !added[group] && !declared[group] && c.rows.placements[group] == nil {
			added[group] = true
			groups = append(groups, placement.Group{Name: group})
		}
	}
	return groups
}

// plannedHosts returns the engines of the failure domain and the claimed hosts
// of its groups that are no longer in the host list, sorted by name.
func (c *Controller) plannedHosts(view *snapshot.Snapshot, groups []placement.Group) []placement.Host {
	var hosts []placement.Host
	listed := map[string]bool{}
	for _, h := range c.engineHosts() {
		listed[h.Name] = true
		hosts = append(hosts, c.plannedHost(view, h))
	}
	inGroups := map[string]bool{}
	for _, g := range groups {
		inGroups[g.Name] = true
	}
	for name, row := range c.rows.claims {
		if !listed[name] && inGroups[row.claim.Group] {
			hosts = append(hosts, placement.Host{Name: name, Claim: row.claim})
		}
	}
	slices.SortFunc(hosts, func(a, b placement.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

func (c *Controller) plannedHost(view *snapshot.Snapshot, h hostlist.Host) placement.Host {
	seen := c.prober.Observation(h.Name)
	return placement.Host{
		Name:         h.Name,
		Address:      h.Address,
		FabricDomain: h.FabricDomain,
		Listed:       true,
		Leaving:      h.State == hostlist.StateLeaving || seen.State.Leaving,
		Drain:        view.Host(h.Name).Drain,
		Observed:     !seen.SeenAt.IsZero(),
		State:        seen.State,
		FailingSince: seen.FailingSince,
		EngineDown:   refused(seen),
		SlowSince:    c.detector.SlowSince(h.Name),
		Claim:        c.rows.claims[h.Name].claim,
	}
}

// refused reports whether the host itself refused or cut the connection of the
// last probe. A probe without any answer proves nothing about the engine process.
func refused(seen health.Observation) bool {
	return errors.Is(seen.Err, syscall.ECONNREFUSED) ||
		errors.Is(seen.Err, syscall.ECONNRESET) ||
		errors.Is(seen.Err, io.EOF) ||
		errors.Is(seen.Err, io.ErrUnexpectedEOF)
}

// observeLatency passes the probe latencies of serving groups and of free
// hosts to the straggler detector.
func (c *Controller) observeLatency(groups []placement.Group, hosts []placement.Host, now time.Time) {
	for _, g := range groups {
		if g.Placement == nil || g.Placement.Phase != object.PhaseServing {
			continue
		}
		var samples []placement.LatencySample
		for _, member := range g.Placement.Members {
			seen := c.prober.Observation(member)
			samples = append(samples, placement.LatencySample{Host: member, Latency: seen.Latency})
		}
		c.detector.Observe(samples, now)
	}
	var free []placement.LatencySample
	for _, h := range hosts {
		if h.Claim.Group == "" {
			free = append(free, placement.LatencySample{Host: h.Name, Latency: c.prober.Observation(h.Name).Latency})
		}
	}
	c.detector.Observe(free, now)
	for i := range hosts {
		hosts[i].SlowSince = c.detector.SlowSince(hosts[i].Name)
	}
}
