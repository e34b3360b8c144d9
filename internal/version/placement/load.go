package placement

import (
	"fmt"
	"slices"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

// updateAdapters orders members to hold the declared adapters. The group
// serves on.
func (p *planner) updateAdapters(g *Group) {
	t := p.targetOf(g.Placement)
	var orders []HostOrder
	for _, name := range g.Placement.Members {
		if h := p.hosts[name]; !sameSet(h.State.Adapters, g.Spec.Adapters) {
			orders = append(orders, HostOrder{name, p.loadOrder(g, t)})
		}
	}
	if len(orders) > 0 {
		p.add(Step{Kind: KindLoad, Group: g.Name, Orders: orders, Reason: "Adapters",
			Message: fmt.Sprintf("%d members load the declared adapters", len(orders))})
	}
}

func sameSet(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// load brings members that answer, but do not hold the placement, to load.
func (p *planner) load(g *Group, unready []vacancy) {
	switch {
	case serving(g):
		p.add(p.change(g, KindMarkBroken, object.PhaseBroken, unready[0].fault.reason, unready[0].fault.message))
	case p.needsStore(g, unready) && !p.mayLoad(g.Name):
		p.waitForStore(g)
	case g.Placement.Phase != object.PhaseLoading:
		p.add(p.change(g, KindReload, object.PhaseLoading, "Reloading", fmt.Sprintf("%d members are back and load generation %d", len(unready), g.Placement.Generation)))
	default:
		p.loadMembers(g, nil)
		p.wait(g, p.stuckAt(g), "Loading", fmt.Sprintf("waiting for %d members to load; the first is %s", len(unready), g.Placement.Members[unready[0].position]))
	}
}

// needsStore reports whether one of the members has to read weights.
func (p *planner) needsStore(g *Group, unready []vacancy) bool {
	t := p.targetOf(g.Placement)
	for _, v := range unready {
		h := p.hosts[g.Placement.Members[v.position]]
		if !h.holds(t) && !h.hasWeights(t) {
			return true
		}
	}
	return false
}

// loadMembers orders members to load that answer and do not hold the
// placement, leaving out those with a replacement.
func (p *planner) loadMembers(g *Group, staged map[int]*Host) {
	var orders []HostOrder
	t := p.targetOf(g.Placement)
	for position, name := range g.Placement.Members {
		h := p.hosts[name]
		if h == nil || !h.reachable() || h.holds(t) || staged[position] != nil {
			continue
		}
		if !h.hasWeights(t) && !p.mayLoad(g.Name) {
			continue
		}
		if !h.hasWeights(t) {
			p.loading[g.Name] = true
		}
		orders = append(orders, HostOrder{name, p.loadOrder(g, t)})
	}
	if len(orders) > 0 {
		p.add(Step{Kind: KindLoad, Group: g.Name, Orders: orders, Reason: "Loading",
			Message: fmt.Sprintf("%d members load generation %d", len(orders), t.generation)})
	}
}

func (p *planner) loadOrder(g *Group, t *target) endpoint.Order {
	order := endpoint.Order{
		Epoch:        p.in.Epoch,
		Action:       endpoint.ActionLoad,
		Group:        t.group,
		Generation:   t.generation,
		Model:        t.model,
		ModelVersion: t.modelVersion,
		Members:      t.addresses,
	}
	if g.Spec != nil {
		order.Adapters = g.Spec.Adapters
	}
	return order
}

// loadStaged orders replacements to load that do not do so yet.
func (p *planner) loadStaged(g *Group, staged map[int]*Host) {
	t := p.stagedTarget(g, staged)
	var orders []HostOrder
	for position := range g.Placement.Members {
		if h := staged[position]; h != nil && h.reachable() && !h.holds(t) {
			orders = append(orders, HostOrder{h.Name, p.loadOrder(g, t)})
		}
	}
	if len(orders) > 0 {
		p.add(Step{Kind: KindLoad, Group: g.Name, Orders: orders, Reason: "Preparing",
			Message: fmt.Sprintf("%d replacements load generation %d", len(orders), t.generation)})
	}
}
