package formation

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// minSpareSizeRatio is the quotient of the two models' group sizes from which
	// groups of the small model serve as spares of the large one. A small group that
	// gives up its hosts costs at most a quarter of the group that it completes.
	minSpareSizeRatio = 4
	// exchangeFactor is how many times larger the gain of the model that gets hosts
	// must be than the loss of the model that gives them up. The hosts serve nobody
	// for the seconds of the exchange, and the way back must not be worthwhile.
	exchangeFactor = 3
	// dualLoadReserve is the divisor of the weight store's concurrent loads that gives
	// the part left for hosts that cannot serve without a load.
	dualLoadReserve = 3
	// sparesPerLargeGroup is the number of members of small groups that can start the
	// large model, for each large group of their domain.
	sparesPerLargeGroup = 2
)

// findSpareModels sets large and small if hosts of small groups are the spares of
// large ones. This needs two models of sufficiently different sizes, and hosts that
// keep the weights of one model staged beside the model in memory.
func (p *planner) findSpareModels() {
	if p.Engine.KeepsStaged < 1 || len(p.Engine.Models) != 2 {
		return
	}
	large, small := &p.Engine.Models[0], &p.Engine.Models[1]
	if large.Size < small.Size {
		large, small = small, large
	}
	if large.Size >= minSpareSizeRatio*small.Size {
		p.large, p.small = large, small
	}
}

// hasServingSpares reports whether hosts of small groups are the spares of large
// ones.
func (p *planner) hasServingSpares() bool { return p.large != nil }

// replacesSlowMember reports whether the group has to close because a member works
// several times slower than usual. The group runs at that pace, and its other hosts
// can serve with others. If many hosts are slow, slow groups are better than none.
func (p *planner) replacesSlowMember(g *group) bool {
	if !p.hasServingSpares() || !slices.ContainsFunc(g.members, func(h *fleet.Host) bool { return p.Conditions[h.ID].Slow }) {
		return false
	}
	slow := 0
	for _, c := range p.Conditions {
		if c.Slow {
			slow++
		}
	}
	return slow*domainHostsPerSpare <= len(p.Hosts)
}

// domainPool holds the hosts of a fabric domain from which groups can be formed.
type domainPool struct {
	name string
	// hosts are free or will be once their groups have ended.
	hosts []*fleet.Host
	// groups are the open groups of the small model.
	groups []*group
	// large and small are the hosts for the next group of each model, nil if there
	// are too few.
	large, small []*fleet.Host
	// taken are the small groups that end for the next large one.
	taken []*group
}

// regrouper forms groups from free hosts, and ends small groups whose hosts complete
// a large one. It decides by proportional fairness: a step is worth the change of
// the logarithm of a model's target ratio, weighted with the model's target.
type regrouper struct {
	*planner
	pools []*domainPool
	// endingHosts are the hosts that are not free yet.
	endingHosts map[string]bool
	// exchanges is the number of domains whose groups end for another model.
	exchanges int
}

// regroup plans all groups of a deployment with serving spares. The first groups are
// planned by formGroups.
func (p *planner) regroup() {
	r := &regrouper{planner: p, endingHosts: map[string]bool{}}
	serving, forming := maps.Clone(p.plan.Serving), maps.Clone(p.plan.Forming)
	r.collectPools()
	for r.formBestGroup() {
	}
	// Groups whose hosts are not free yet are counted only within this plan.
	for _, m := range []*fleet.Model{p.large, p.small} {
		p.plan.Serving[m.Name] = serving[m.Name]
		p.plan.Forming[m.Name] = forming[m.Name] + p.formedGroups[m.Name]
	}
}

// collectPools finds the hosts and small groups of each domain.
func (r *regrouper) collectPools() {
	pools := map[string]*domainPool{}
	pool := func(domain string) *domainPool {
		if pools[domain] == nil {
			pools[domain] = &domainPool{name: domain}
		}
		return pools[domain]
	}
	for _, id := range slices.Sorted(maps.Keys(r.free)) {
		h := r.free[id]
		pool(h.FabricDomain).hosts = append(pool(h.FabricDomain).hosts, h)
	}
	closing := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(r.groups)) {
		g := r.groups[name]
		if r.kept[name] {
			continue
		}
		for _, h := range g.members {
			if r.willBeFree(g, h) {
				r.endingHosts[h.ID] = true
				pool(h.FabricDomain).hosts = append(pool(h.FabricDomain).hosts, h)
				if g.head() != nil && g.head().Group.State == fleet.MemberClosing {
					closing[h.FabricDomain] = true
				}
			}
		}
	}
	r.exchanges = len(closing)
	for domain, groups := range r.serving {
		for _, g := range groups {
			if g.model == r.small {
				pool(domain).groups = append(pool(domain).groups, g)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		r.pools = append(r.pools, pools[name])
		r.updatePool(pools[name])
	}
}

// willBeFree reports whether a member of a group that ends may join another one
// once it has ended.
func (r *regrouper) willBeFree(g *group, h *fleet.Host) bool {
	return h != nil && r.free[h.ID] == nil && h.Group.Name == g.name && r.isUsable(h) && r.isRegistered(h) && !slices.Contains(r.plan.Contested, h.ID)
}

// isUsable reports whether a host may join a group by its state.
func (p *planner) isUsable(h *fleet.Host) bool {
	return h.TakesRequests() && !p.isUnreachable(h) && !p.Conditions[h.ID].Slow
}

// updatePool chooses the hosts for the next group of each model in the domain.
func (r *regrouper) updatePool(d *domainPool) {
	d.large, d.taken = r.choose(d.hosts, r.large, r.small), nil
	if len(d.large) < r.large.Size {
		r.chooseTaken(d)
	}
	if d.small = r.choose(d.hosts, r.small, r.large); len(d.small) < r.small.Size {
		d.small = nil
	}
}

// choose returns up to m.Size hosts that can start the model. Hosts that cannot start
// the other one come first, then those that start quickest.
func (r *regrouper) choose(hosts []*fleet.Host, m, other *fleet.Model) []*fleet.Host {
	var out []*fleet.Host
	for _, h := range hosts {
		if r.canStart(h, m) {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b *fleet.Host) int {
		if x, y := r.canStart(a, other), r.canStart(b, other); x != y {
			return map[bool]int{false: -1, true: 1}[x]
		}
		return cmp.Compare(startCost(a, m), startCost(b, m))
	})
	return out[:min(len(out), m.Size)]
}

// canStart reports whether the host can start the model without the weight store. A
// host that has left a group keeps its model in memory, but need not report it.
func (p *planner) canStart(h *fleet.Host, m *fleet.Model) bool {
	if hasWeights(h, m.Name) {
		return true
	}
	last, ok := p.LastOrders[h.ID]
	return ok && last.Instance == h.Instance() && last.Answered && last.Order.Operation == OpLeave && h.Group.Name == "" && last.Order.Model == m.Name
}

// chooseTaken completes the hosts for a large group with those of small groups, the
// groups with the most suitable hosts first.
func (r *regrouper) chooseTaken(d *domainPool) {
	suitable := map[*group][]*fleet.Host{}
	var groups []*group
	for _, g := range d.groups {
		for _, h := range g.members {
			if h != nil && r.isUsable(h) && hasWeights(h, r.large.Name) {
				suitable[g] = append(suitable[g], h)
			}
		}
		if len(suitable[g]) > 0 {
			groups = append(groups, g)
		}
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(len(suitable[b]), len(suitable[a])) })
	for _, g := range groups {
		if len(d.large) == r.large.Size {
			break
		}
		d.large = append(d.large, suitable[g][:min(len(suitable[g]), r.large.Size-len(d.large))]...)
		d.taken = append(d.taken, g)
	}
	if len(d.large) < r.large.Size {
		d.large, d.taken = nil, nil
	}
}

// worth returns the change of the worth of a model when the number of its groups
// changes.
func (r *regrouper) worth(m *fleet.Model, change int) float64 {
	groups := float64(r.plan.Serving[m.Name] + r.plan.Forming[m.Name])
	// Half a group in place of none keeps the logarithm finite.
	before, after := max(groups, 0.5), max(groups+float64(change), 0.5)
	return r.target(m) * (math.Log(after) - math.Log(before))
}

// formBestGroup forms the group that is worth most for each host. It returns false
// if no group can be formed with a gain.
func (r *regrouper) formBestGroup() bool {
	var bestLarge, bestSmall *domainPool
	for _, d := range r.pools {
		if d.large != nil && r.isWorthExchange(d) && (bestLarge == nil || len(d.taken) < len(bestLarge.taken)) {
			bestLarge = d
		}
		if d.small != nil && (bestSmall == nil || r.domainGroups[d.name][r.small.Name] < r.domainGroups[bestSmall.name][r.small.Name]) {
			bestSmall = d
		}
	}
	switch {
	case bestLarge == nil && bestSmall == nil:
		return false
	case bestLarge == nil:
		r.form(bestSmall, r.small, bestSmall.small, nil)
	case bestSmall == nil || r.worthPerPoolHost(bestLarge) >= r.worth(r.small, 1)/float64(r.small.Size):
		r.form(bestLarge, r.large, bestLarge.large, bestLarge.taken)
	default:
		r.form(bestSmall, r.small, bestSmall.small, nil)
	}
	return true
}

// isWorthExchange reports whether the next large group of the domain gains more than
// the small groups lose that end for it.
func (r *regrouper) isWorthExchange(d *domainPool) bool {
	if len(d.taken) == 0 {
		return true
	}
	return r.exchanges < maxMovesPerPlan && r.worth(r.large, 1) >= -exchangeFactor*r.worth(r.small, -len(d.taken))
}

// worthPerPoolHost returns the worth of the next large group of the domain, without
// that of the small groups that end for it, for each host that serves nobody now.
func (r *regrouper) worthPerPoolHost(d *domainPool) float64 {
	fromGroups := 0
	for _, g := range d.taken {
		for _, h := range g.members {
			if slices.Contains(d.large, h) {
				fromGroups++
			}
		}
	}
	return (r.worth(r.large, 1) + r.worth(r.small, -len(d.taken))) / float64(max(r.large.Size-fromGroups, 1))
}

// form forms a group of the hosts if all are free. Otherwise it sets them aside and
// closes the groups that are taken.
func (r *regrouper) form(d *domainPool, m *fleet.Model, hosts []*fleet.Host, taken []*group) {
	if len(taken) > 0 {
		r.exchanges++
	}
	for _, g := range taken {
		r.addOrder(Order{
			Operation: OpClose, HostID: g.head().ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Reason: "its hosts complete a group of " + m.Name,
		})
		r.plan.Serving[g.model.Name]--
		d.groups = slices.DeleteFunc(d.groups, func(other *group) bool { return other == g })
		for _, h := range g.members {
			r.endingHosts[h.ID] = true
			if r.isUsable(h) {
				d.hosts = append(d.hosts, h)
			}
		}
	}
	if len(taken) == 0 && !slices.ContainsFunc(hosts, func(h *fleet.Host) bool { return r.endingHosts[h.ID] }) {
		r.formGroup(m, hosts)
		r.formedGroups[m.Name]++
	} else {
		r.plan.Forming[m.Name]++
		for _, h := range hosts {
			r.reserved[h.ID] = true
		}
	}
	d.hosts = slices.DeleteFunc(d.hosts, func(h *fleet.Host) bool { return slices.Contains(hosts, h) })
	r.updatePool(d)
}

// stageEmptyHosts loads the small model onto the hosts without any weights. In a
// small group they serve until a large one needs them.
func (s *domainStager) stageEmptyHosts() {
	for _, h := range s.hosts {
		if s.modelBeingStaged(h) == "" && !s.reserved[h.ID] && h.LoadedModel == "" && len(h.StagedModels) == 0 {
			s.addLoad(h, s.small, "serves until a group needs it")
		}
	}
}

// stageBeside loads onto members of open groups, beside the model in memory, the
// other one, so that its host can start either. Before the first request, when loads
// cost nothing, all members get it. Later only members of small groups do, until each
// domain has sparesPerLargeGroup hosts for each of its large groups.
func (p *planner) stageBeside() {
	stranded := map[string]int{}
	for _, h := range p.free {
		if p.canStart(h, p.large) && !p.reserved[h.ID] {
			stranded[h.FabricDomain]++
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(p.serving)) {
		spares := 0
		for _, h := range p.membersOf(domain, p.small) {
			if hasWeights(h, p.large.Name) || p.modelBeingStaged(h) == p.large.Name {
				spares++
			}
		}
		wanted := sparesPerLargeGroup * p.domainGroups[domain][p.large.Name]
		if 2*stranded[domain] >= p.large.Size {
			wanted = max(wanted, p.large.Size-stranded[domain]+sparesPerLargeGroup)
		}
		for _, h := range p.membersOf(domain, p.small) {
			if p.UnlimitedLoads || spares < wanted {
				spares += p.addLoadBeside(h, p.large)
			}
		}
		if p.UnlimitedLoads {
			for _, h := range p.membersOf(domain, p.large) {
				p.addLoadBeside(h, p.small)
			}
		}
	}
}

// membersOf returns the members of the open groups of a model in a domain.
func (p *planner) membersOf(domain string, m *fleet.Model) []*fleet.Host {
	var hosts []*fleet.Host
	for _, g := range p.serving[domain] {
		if g.model == m {
			hosts = append(hosts, g.members...)
		}
	}
	return hosts
}

// addLoadBeside loads the model onto a member of a group of the other one, and
// returns the number of loads.
func (p *planner) addLoadBeside(h *fleet.Host, m *fleet.Model) int {
	if !p.UnlimitedLoads && p.LoadBudget <= p.Engine.ConcurrentLoads/dualLoadReserve {
		return 0
	}
	if !p.isUsable(h) || !p.isRegistered(h) || h.LoadedModel == "" || hasWeights(h, m.Name) || p.modelBeingStaged(h) != "" {
		return 0
	}
	p.addLoad(h, m, "its host can start either model")
	return 1
}
