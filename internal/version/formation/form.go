package formation

import (
	"cmp"
	"maps"
	"slices"

	"currantladder.example/currantladder/internal/version/fleet"
)

// domainHostsPerSpare is the number of hosts of a fabric domain for which one
// is left out of the first groups as a spare.
const domainHostsPerSpare = 8

// collectFree finds the hosts that may be given to a new group.
func (p *planner) collectFree() {
	for _, h := range p.Hosts {
		if p.held[h.ID] || h.State != fleet.HostReady || p.Conditions[h.ID].Lost || p.Conditions[h.ID].Slow {
			continue
		}
		if i, ok := p.intent(h); ok && (i.Refused || i.Order.Operation == OpLeave && !i.Answered) {
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

// ratio is the part of a model's target that its wanted groups meet.
func (p *planner) ratio(m *fleet.Model) float64 {
	target := m.WorkShare * float64(len(p.Hosts))
	if d, ok := p.Demand[m.Name]; ok && d > 0 {
		target = d
	}
	if target <= 0 {
		return 1
	}
	return float64((p.plan.Serving[m.Name]+p.plan.Forming[m.Name])*m.Size) / target
}

// models returns the models, the one that is furthest from its target first.
func (p *planner) models() []*fleet.Model {
	var models []*fleet.Model
	for i := range p.Engine.Models {
		models = append(models, &p.Engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *fleet.Model) int { return cmp.Compare(p.ratio(a), p.ratio(b)) })
	return models
}

// satisfied reports whether a model has what it should while another lacks much:
// hosts then stay free until that one can be completed, which takes more of
// them at a time.
func (p *planner) satisfied(m *fleet.Model) bool {
	if p.ratio(m) < 1 {
		return false
	}
	return slices.ContainsFunc(p.Engine.Models, func(other fleet.Model) bool { return p.ratio(&other) < neededShare })
}

// domains returns the free hosts by fabric domain.
func (p *planner) domains() map[string][]*fleet.Host {
	domains := map[string][]*fleet.Host{}
	for _, id := range slices.Sorted(maps.Keys(p.free)) {
		h := p.free[id]
		domains[h.FabricDomain] = append(domains[h.FabricDomain], h)
	}
	return domains
}

// form forms groups while a model has a domain with enough hosts that can
// start it at once.
func (p *planner) form() {
	for p.formOne() {
	}
}

func (p *planner) formOne() bool {
	domains := p.domains()
	for _, m := range p.models() {
		if p.satisfied(m) {
			continue
		}
		best := ""
		var bestHosts []*fleet.Host
		for _, domain := range slices.Sorted(maps.Keys(domains)) {
			hosts := p.usable(domains[domain], m)
			spare := 0
			if p.LoadsFree {
				spare = p.domainSize(domain) / domainHostsPerSpare
			}
			if len(hosts) < m.Size+spare {
				continue
			}
			if bestHosts == nil || p.domainGroups[domain][m.Name] < p.domainGroups[best][m.Name] ||
				p.domainGroups[domain][m.Name] == p.domainGroups[best][m.Name] && len(hosts) > len(bestHosts) {
				best, bestHosts = domain, hosts
			}
		}
		if bestHosts != nil {
			p.join(m, bestHosts[:m.Size])
			return true
		}
	}
	return false
}

// domainSize counts the hosts of a fabric domain.
func (p *planner) domainSize(domain string) int {
	n := 0
	for _, h := range p.Hosts {
		if h.FabricDomain == domain {
			n++
		}
	}
	return n
}

// usable returns the hosts that can start the model without the weight store,
// or all of them before traffic; those that had it last come first.
func (p *planner) usable(hosts []*fleet.Host, m *fleet.Model) []*fleet.Host {
	var out []*fleet.Host
	for _, h := range hosts {
		if holds(h, m.Name) || p.LoadsFree {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b *fleet.Host) int {
		return cmp.Compare(startCost(a, m), startCost(b, m))
	})
	return out
}

// startCost orders hosts by the time that they need to start the model.
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

// join orders the hosts into a new group.
func (p *planner) join(m *fleet.Model, hosts []*fleet.Host) {
	epoch := p.plan.NextEpoch
	p.plan.NextEpoch++
	g := &group{name: groupName(m.Name, epoch), epoch: epoch, model: m, members: hosts}
	var members []string
	for _, h := range hosts {
		members = append(members, h.ID)
	}
	for _, h := range hosts {
		delete(p.free, h.ID)
		p.order(Order{Operation: OpJoin, HostID: h.ID, Group: g.name, Epoch: epoch, Model: m.Name, Members: members, Reason: "hosts are free"})
	}
	p.keep(g, false)
}
