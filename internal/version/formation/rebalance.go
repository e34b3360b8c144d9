package formation

import (
	"maps"
	"slices"

	"currantladder.example/currantladder/internal/version/fleet"
)

// rebalanceThreshold is the quotient of two models' target ratios below which
// groups of the better served model are closed in favor of the other. From the
// threshold up to 1 the loads cost more than the better balance gains.
const rebalanceThreshold = 0.6

// maxMovesPerPlan limits the domains that are converted at a time.
const maxMovesPerPlan = 3

// rebalance converts groups of a well served model into groups of an
// underserved one. The weights are loaded while the groups keep serving; the
// groups close only when all weights are on the hosts.
func (p *planner) rebalance() {
	if len(p.Engine.Models) < 2 || p.UnlimitedLoads {
		return
	}
	serving, forming := maps.Clone(p.plan.Serving), maps.Clone(p.plan.Forming)
	movedDomains := map[string]bool{}
	for range maxMovesPerPlan {
		if !p.planMove(movedDomains) {
			break
		}
	}
	p.plan.Serving, p.plan.Forming = serving, forming
}

// planMove plans one move and counts it as done, so that the next move takes it
// into account. movedDomains are the domains that already have a move in this
// plan. It returns false if no move is worthwhile.
func (p *planner) planMove(movedDomains map[string]bool) bool {
	models := p.modelsByNeed()
	underserved, wellServed := models[0], models[len(models)-1]
	if p.targetRatio(underserved) >= rebalanceThreshold*p.targetRatio(wellServed) {
		return false
	}
	move := p.cheapestMove(underserved, wellServed, movedDomains)
	if move == nil || !p.improvesBalance(underserved, wellServed, len(move.groups)) {
		return false
	}
	movedDomains[move.domain] = true
	for _, h := range move.hosts {
		p.reserved[h.ID] = true
	}
	p.plan.Forming[underserved.Name]++
	p.plan.Serving[wellServed.Name] -= len(move.groups)
	if move.loadsNeeded == 0 {
		for _, g := range move.groups {
			p.addOrder(Order{
				Operation: OpClose, HostID: g.head().ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name,
				Reason: "its hosts are needed for " + underserved.Name,
			})
		}
		return true
	}
	for _, h := range move.hosts {
		if p.modelBeingStaged(h) == "" && !slices.Contains(h.StagedModels, underserved.Name) {
			p.addLoad(h, underserved, "prepares a group of an underserved model")
		}
	}
	return true
}

// move closes groups in one domain to form a group of another model there.
type move struct {
	domain string
	groups []*group
	// hosts are the free hosts and former members that would form the new group.
	hosts []*fleet.Host
	// loadsNeeded counts the hosts that do not have the weights yet.
	loadsNeeded int
}

// cheapestMove returns the move that needs the fewest loads, or nil if no
// domain has enough hosts.
func (p *planner) cheapestMove(underserved, wellServed *fleet.Model, movedDomains map[string]bool) *move {
	free := p.freeHostsByDomain()
	var best *move
	for _, domain := range slices.Sorted(maps.Keys(p.serving)) {
		if movedDomains[domain] {
			continue
		}
		m := &move{domain: domain, hosts: slices.Clone(free[domain])}
		for _, g := range p.serving[domain] {
			if len(m.hosts) >= underserved.Size {
				break
			}
			if g.model == wellServed {
				m.groups = append(m.groups, g)
				m.hosts = append(m.hosts, g.members...)
			}
		}
		if len(m.hosts) < underserved.Size || len(m.groups) == 0 {
			continue
		}
		slices.SortStableFunc(m.hosts, func(a, b *fleet.Host) int { return startCost(a, underserved) - startCost(b, underserved) })
		m.hosts = m.hosts[:underserved.Size]
		for _, h := range m.hosts {
			if !slices.Contains(h.StagedModels, underserved.Name) {
				m.loadsNeeded++
			}
		}
		if best == nil || m.loadsNeeded < best.loadsNeeded {
			best = m
		}
	}
	return best
}

// improvesBalance reports whether the well served model, after closing the given
// number of groups, would still have a higher target ratio than the underserved
// model has now.
func (p *planner) improvesBalance(underserved, wellServed *fleet.Model, groups int) bool {
	ratioAfter := func(m *fleet.Model, change int) float64 {
		wanted := p.plan.Serving[m.Name] + p.plan.Forming[m.Name]
		if wanted == 0 {
			return 0
		}
		return p.targetRatio(m) * float64(wanted+change) / float64(wanted)
	}
	return ratioAfter(wellServed, -groups) > p.targetRatio(underserved)
}
