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

// engines returns the listed engine hosts of the failure domain.
func (c *Controller) engines() []hostlist.Host {
	var engines []hostlist.Host
	for _, h := range c.options.Hosts.Hosts() {
		if h.Role == hostlist.RoleEngine && h.FailureDomain == c.failureDomain {
			engines = append(engines, h)
		}
	}
	slices.SortFunc(engines, func(a, b hostlist.Host) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

// input gathers what a plan depends on.
func (c *Controller) input(epoch int64, now time.Time) *placement.Input {
	view := c.options.View.Current()
	groups := c.groups(view)
	hosts := c.hosts(view, groups)
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

// groups returns the groups declared for or placed in the failure domain.
func (c *Controller) groups(view *snapshot.Snapshot) []placement.Group {
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
	return c.orphans(groups, declared)
}

// orphans adds an empty group for claims that no group accounts for, so that
// the plan releases them.
func (c *Controller) orphans(groups []placement.Group, declared map[string]bool) []placement.Group {
	added := map[string]bool{}
	for host, row := range c.rows.claims {
		group := row.claim.Group
		listed, ok := c.options.Hosts.Hosts()[host]
		here := ok && listed.FailureDomain == c.failureDomain
		if here && !added[group] && !declared[group] && c.rows.placements[group] == nil {
			added[group] = true
			groups = append(groups, placement.Group{Name: group})
		}
	}
	return groups
}

// hosts returns the engines of the failure domain, and claimed hosts of its
// groups that the list has dropped.
func (c *Controller) hosts(view *snapshot.Snapshot, groups []placement.Group) []placement.Host {
	var hosts []placement.Host
	listed := map[string]bool{}
	for _, h := range c.engines() {
		listed[h.Name] = true
		hosts = append(hosts, c.host(view, h))
	}
	own := map[string]bool{}
	for _, g := range groups {
		own[g.Name] = true
	}
	for name, row := range c.rows.claims {
		if !listed[name] && own[row.claim.Group] {
			hosts = append(hosts, placement.Host{Name: name, Claim: row.claim})
		}
	}
	slices.SortFunc(hosts, func(a, b placement.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

func (c *Controller) host(view *snapshot.Snapshot, h hostlist.Host) placement.Host {
	seen := c.prober.Observation(h.Name)
	return placement.Host{
		Name:         h.Name,
		Address:      h.Address,
		FabricDomain: h.FabricDomain,
		Listed:       true,
		Leaving:      h.State == hostlist.StateLeaving,
		Drain:        view.Host(h.Name).Drain,
		Observed:     !seen.Seen.IsZero(),
		State:        seen.State,
		Failed:       seen.Failed,
		Refused:      refused(seen),
		SlowSince:    c.detector.SlowSince(h.Name),
		Claim:        c.rows.claims[h.Name].claim,
	}
}

// refused reports whether the host itself cut or refused the last probe. A
// probe without any answer says nothing about the engine process.
func refused(seen health.Observation) bool {
	return errors.Is(seen.Err, syscall.ECONNREFUSED) ||
		errors.Is(seen.Err, syscall.ECONNRESET) ||
		errors.Is(seen.Err, io.EOF) ||
		errors.Is(seen.Err, io.ErrUnexpectedEOF)
}

// observeLatency feeds the straggler detector with the groups that serve and
// with the free hosts.
func (c *Controller) observeLatency(groups []placement.Group, hosts []placement.Host, now time.Time) {
	for _, g := range groups {
		if g.Placement == nil || g.Placement.Phase != object.PhaseServing {
			continue
		}
		var samples []placement.Sample
		for _, member := range g.Placement.Members {
			seen := c.prober.Observation(member)
			samples = append(samples, placement.Sample{Host: member, Latency: seen.Latency})
		}
		c.detector.Observe(samples, now)
	}
	var free []placement.Sample
	for _, h := range hosts {
		if h.Claim.Group == "" {
			free = append(free, placement.Sample{Host: h.Name, Latency: c.prober.Observation(h.Name).Latency})
		}
	}
	c.detector.Observe(free, now)
	for i := range hosts {
		hosts[i].SlowSince = c.detector.SlowSince(hosts[i].Name)
	}
}
