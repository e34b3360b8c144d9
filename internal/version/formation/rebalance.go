package formation

import (
	"maps"
	"slices"

	"currantladder.example/currantladder/internal/version/fleet"
)

// unevenShare is the ratio of two models' shares of their targets below which
// groups of the better one are given up for the other. Between it and 1 the
// loads would cost more than the better balance brings.
const unevenShare = 0.6

// maxMoves bounds the domains that are prepared at a time.
const maxMoves = 3

// rebalance turns groups of a model that is well served into ones of a model
// that is not. The weights are loaded beside the work of the groups; only when
// all of them are there, the groups close.
func (p *planner) rebalance() {
	if len(p.Engine.Models) < 2 || p.LoadsFree {
		return
	}
	serving, forming := maps.Clone(p.plan.Serving), maps.Clone(p.plan.Forming)
	moved := map[string]bool{}
	for range maxMoves {
		if !p.rebalanceOnce(moved) {
			break
		}
	}
	p.plan.Serving, p.plan.Forming = serving, forming
}

// rebalanceOnce plans one move and counts it as done, so that the next one
// sees its effect. moved are the domains that have one already.
func (p *planner) rebalanceOnce(moved map[string]bool) bool {
	models := p.models()
	needy, rich := models[0], models[len(models)-1]
	if p.ratio(needy) >= unevenShare*p.ratio(rich) {
		return false
	}
	move := p.cheapestMove(needy, rich, moved)
	if move == nil || !p.improves(needy, rich, len(move.groups)) {
		return false
	}
	moved[move.domain] = true
	for _, h := range move.hosts {
		p.reserved[h.ID] = true
	}
	p.plan.Forming[needy.Name]++
	p.plan.Serving[rich.Name] -= len(move.groups)
	if move.lacking == 0 {
		for _, g := range move.groups {
			p.order(Order{
				Operation: OpClose, HostID: g.head().ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name,
				Reason: "its hosts are needed for " + needy.Name,
			})
		}
		return true
	}
	for _, h := range move.hosts {
		if p.staging(h) == "" && !slices.Contains(h.StagedModels, needy.Name) {
			p.load(h, needy, "prepares a group of a model that is served less")
		}
	}
	return true
}

// move is a set of groups to give up in one domain.
type move struct {
	domain string
	groups []*group
	// hosts are the free hosts and members that would form the new group.
	hosts []*fleet.Host
	// lacking counts those of them that do not have the weights yet.
	lacking int
}

// cheapestMove finds the domain in which the fewest loads are lacking.
func (p *planner) cheapestMove(needy, rich *fleet.Model, moved map[string]bool) *move {
	free := p.domains()
	var best *move
	for _, domain := range slices.Sorted(maps.Keys(p.serving)) {
		if moved[domain] {
			continue
		}
		m := &move{domain: domain, hosts: slices.Clone(free[domain])}
		for _, g := range p.serving[domain] {
			if len(m.hosts) >= needy.Size {
				break
			}
			if g.model == rich {
				m.groups = append(m.groups, g)
				m.hosts = append(m.hosts, g.members...)
			}
		}
		if len(m.hosts) < needy.Size || len(m.groups) == 0 {
			continue
		}
		slices.SortStableFunc(m.hosts, func(a, b *fleet.Host) int { return startCost(a, needy) - startCost(b, needy) })
		m.hosts = m.hosts[:needy.Size]
		for _, h := range m.hosts {
			if !slices.Contains(h.StagedModels, needy.Name) {
				m.lacking++
			}
		}
		if best == nil || m.lacking < best.lacking {
			best = m
		}
	}
	return best
}

// improves reports whether the rich model is still better off after giving up
// groups for one group of the needy one.
func (p *planner) improves(needy, rich *fleet.Model, groups int) bool {
	share := func(m *fleet.Model, change int) float64 {
		wanted := p.plan.Serving[m.Name] + p.plan.Forming[m.Name]
		if wanted == 0 {
			return 0
		}
		return p.ratio(m) * float64(wanted+change) / float64(wanted)
	}
	return share(rich, -groups) > p.ratio(needy)
}
