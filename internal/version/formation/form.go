package formation

import (
	"cmp"
	"maps"
	"slices"

	"currantladder.example/currantladder/internal/version/fleet"
)

// domainHostsPerSpare is the number of hosts of a fabric domain per host that
// the first groups leave free as a spare.
const domainHostsPerSpare = 8

// collectFreeHosts finds the hosts that may join a new group, and counts the
// spares.
func (p *planner) collectFreeHosts() {
	for _, h := range p.Hosts {
		if p.inUse[h.ID] || !h.TakesRequests() || p.isUnreachable(h) || p.Conditions[h.ID].Slow {
			continue
		}
		if last, ok := p.orderInFlight(h); ok && (last.Refused || last.Order.Operation == OpLeave && !last.Answered) {
			continue
		}
		p.free[h.ID] = h
	}
	for _, h := range p.free {
		if h.LoadedModel != "" {
			p.plan.Spares[h.LoadedModel]++
		} else if len(h.StagedModels) > 0 {
			p.plan.Spares[h.StagedModels[0]]++
		}
	}
}

// target returns the number of hosts that the model's groups should have.
func (p *planner) target(m *fleet.Model) float64 {
	if d, ok := p.Demand[m.Name]; ok && d > 0 {
		return d
	}
	return m.WorkShare * float64(p.usableHosts)
}

// targetRatio returns the hosts of the model's wanted groups relative to its
// target, or 1 if it has no target.
func (p *planner) targetRatio(m *fleet.Model) float64 {
	target := p.target(m)
	if target <= 0 {
		return 1
	}
	return float64((p.plan.Serving[m.Name]+p.plan.Forming[m.Name])*m.Size) / target
}

// modelsByNeed returns the models, the one furthest below its target first.
func (p *planner) modelsByNeed() []*fleet.Model {
	var models []*fleet.Model
	for i := range p.Engine.Models {
		models = append(models, &p.Engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *fleet.Model) int { return cmp.Compare(p.targetRatio(a), p.targetRatio(b)) })
	return models
}

// shouldYield reports whether the model has reached its target while another
// model is underserved. Hosts then stay free until a group of the other model
// can be formed, which may need more hosts at a time.
func (p *planner) shouldYield(m *fleet.Model) bool {
	if p.targetRatio(m) < 1 {
		return false
	}
	return slices.ContainsFunc(p.Engine.Models, func(other fleet.Model) bool { return p.targetRatio(&other) < underservedThreshold })
}

// freeHostsByDomain returns the free hosts by fabric domain, sorted by ID.
func (p *planner) freeHostsByDomain() map[string][]*fleet.Host {
	domains := map[string][]*fleet.Host{}
	for _, id := range slices.Sorted(maps.Keys(p.free)) {
		h := p.free[id]
		domains[h.FabricDomain] = append(domains[h.FabricDomain], h)
	}
	return domains
}

// groupBuilder forms groups from the free hosts of each domain. It caches the
// startable hosts of a domain until a group takes hosts from it, because the
// first plan of a large fleet forms hundreds of groups.
type groupBuilder struct {
	*planner
	// freeHosts holds the free hosts by domain.
	freeHosts map[string][]*fleet.Host
	// domainSizes counts all hosts by domain, free or not.
	domainSizes map[string]int
	// domainNames are the domains with free hosts, sorted.
	domainNames []string
	// startable holds the free hosts that can start a model, by domain and model.
	startable map[string]map[string][]*fleet.Host
}

// formGroups forms groups as long as some domain has enough free hosts that can
// start a model that needs groups.
func (p *planner) formGroups() {
	b := &groupBuilder{planner: p, freeHosts: p.freeHostsByDomain(), domainSizes: map[string]int{}, startable: map[string]map[string][]*fleet.Host{}}
	b.domainNames = slices.Sorted(maps.Keys(b.freeHosts))
	for _, h := range p.Hosts {
		b.domainSizes[h.FabricDomain]++
	}
	for _, name := range b.domainNames {
		b.updateStartable(name)
	}
	for b.formNextGroup() {
	}
}

// updateStartable recomputes which free hosts of a domain can start each model.
func (b *groupBuilder) updateStartable(domain string) {
	b.startable[domain] = map[string][]*fleet.Host{}
	for i := range b.Engine.Models {
		m := &b.Engine.Models[i]
		b.startable[domain][m.Name] = b.planner.startableHosts(b.freeHosts[domain], m)
	}
}

// formNextGroup forms one group of the neediest model that has enough hosts in
// some domain. It prefers the domain with the fewest groups of the model, then
// the one with the most startable hosts. It returns false if no group can be
// formed.
func (b *groupBuilder) formNextGroup() bool {
	for _, m := range b.modelsByNeed() {
		if b.shouldYield(m) {
			continue
		}
		bestDomain := ""
		var bestHosts []*fleet.Host
		for _, domain := range b.domainNames {
			hosts := b.startable[domain][m.Name]
			spares := 0
			if b.UnlimitedLoads && !b.hasServingSpares() {
				spares = b.domainSizes[domain] / domainHostsPerSpare
			}
			if len(hosts) < m.Size+spares {
				continue
			}
			if bestHosts == nil || b.domainGroups[domain][m.Name] < b.domainGroups[bestDomain][m.Name] ||
				b.domainGroups[domain][m.Name] == b.domainGroups[bestDomain][m.Name] && len(hosts) > len(bestHosts) {
				bestDomain, bestHosts = domain, hosts
			}
		}
		if bestHosts != nil {
			chosen := bestHosts[:m.Size]
			b.formGroup(m, chosen)
			b.freeHosts[bestDomain] = slices.DeleteFunc(b.freeHosts[bestDomain], func(h *fleet.Host) bool { return slices.Contains(chosen, h) })
			b.updateStartable(bestDomain)
			return true
		}
	}
	return false
}

// startableHosts returns the hosts that can start the model without the weight
// store, or all hosts while loads are unlimited. The quickest to start come first.
func (p *planner) startableHosts(hosts []*fleet.Host, m *fleet.Model) []*fleet.Host {
	var out []*fleet.Host
	for _, h := range hosts {
		if hasWeights(h, m.Name) || p.UnlimitedLoads {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b *fleet.Host) int {
		return cmp.Compare(startCost(a, m), startCost(b, m))
	})
	return out
}

// startCost ranks hosts by the time that they need to start the model, the
// quickest lowest.
func startCost(h *fleet.Host, m *fleet.Model) int {
	switch {
	case h.LoadedModel == m.Name:
		return 0
	case slices.Contains(h.StagedModels, m.Name):
		return 1
	default:
		return 2
	}
}

// formGroup orders the hosts to join a new group, the first one as its head.
func (p *planner) formGroup(m *fleet.Model, hosts []*fleet.Host) {
	epoch := p.plan.NextEpoch
	p.plan.NextEpoch++
	g := &group{name: groupName(m.Name, epoch), epoch: epoch, model: m, members: hosts}
	var members []string
	for _, h := range hosts {
		members = append(members, h.ID)
	}
	for _, h := range hosts {
		delete(p.free, h.ID)
		p.addOrder(Order{Operation: OpJoin, HostID: h.ID, Group: g.name, Epoch: epoch, Model: m.Name, Members: members, Reason: "hosts are free"})
	}
	p.keepGroup(g, false)
}
