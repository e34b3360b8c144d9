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

// domains returns the free hosts by fabric domain, sorted by ID.
func (p *planner) domains() map[string][]*fleet.Host {
	domains := map[string][]*fleet.Host{}
	for _, id := range slices.Sorted(maps.Keys(p.free)) {
		h := p.free[id]
		domains[h.FabricDomain] = append(domains[h.FabricDomain], h)
	}
	return domains
}

// groupBuilder forms groups from the free hosts of each domain. It keeps what
// it has found out of a domain until a group takes hosts from there: the first
// plan of a large fleet forms hundreds of groups.
type groupBuilder struct {
	*planner
	// freeHosts and sizes (of all hosts) are by domain, names are the domains in
	// order.
	freeHosts map[string][]*fleet.Host
	sizes     map[string]int
	names     []string
	// usable are the hosts of a domain that can start a model, by both names.
	usable map[string]map[string][]*fleet.Host
}

// form forms groups while a model has a domain with enough hosts that can
// start it at once.
func (p *planner) form() {
	b := &groupBuilder{planner: p, freeHosts: p.domains(), sizes: map[string]int{}, usable: map[string]map[string][]*fleet.Host{}}
	b.names = slices.Sorted(maps.Keys(b.freeHosts))
	for _, h := range p.Hosts {
		b.sizes[h.FabricDomain]++
	}
	for _, name := range b.names {
		b.findUsable(name)
	}
	for b.formOne() {
	}
}

// findUsable finds out what the free hosts of a domain can start.
func (b *groupBuilder) findUsable(domain string) {
	b.usable[domain] = map[string][]*fleet.Host{}
	for i := range b.Engine.Models {
		m := &b.Engine.Models[i]
		b.usable[domain][m.Name] = b.planner.usable(b.freeHosts[domain], m)
	}
}

func (b *groupBuilder) formOne() bool {
	for _, m := range b.models() {
		if b.satisfied(m) {
			continue
		}
		best := ""
		var bestHosts []*fleet.Host
		for _, domain := range b.names {
			hosts := b.usable[domain][m.Name]
			spare := 0
			if b.LoadsFree {
				spare = b.sizes[domain] / domainHostsPerSpare
			}
			if len(hosts) < m.Size+spare {
				continue
			}
			if bestHosts == nil || b.domainGroups[domain][m.Name] < b.domainGroups[best][m.Name] ||
				b.domainGroups[domain][m.Name] == b.domainGroups[best][m.Name] && len(hosts) > len(bestHosts) {
				best, bestHosts = domain, hosts
			}
		}
		if bestHosts != nil {
			taken := bestHosts[:m.Size]
			b.join(m, taken)
			b.freeHosts[best] = slices.DeleteFunc(b.freeHosts[best], func(h *fleet.Host) bool { return slices.Contains(taken, h) })
			b.findUsable(best)
			return true
		}
	}
	return false
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
