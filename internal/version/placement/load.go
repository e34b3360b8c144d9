package placement

import (
	"fmt"
	"slices"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

// updateAdapters orders members to load the declared adapters. The group keeps
// serving.
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

// loadUnready loads the placement on members that answer but are not ready. A
// group that serves is closed first.
func (p *planner) loadUnready(g *Group, unready []memberFault) {
	switch {
	case serving(g):
		p.add(p.phaseStep(g, KindMarkBroken, object.PhaseBroken, unready[0].fault.reason, unready[0].fault.message))
	case p.needsStore(g, unready) && !p.mayLoad(g.Name):
		p.waitForStore(g)
	case g.Placement.Phase != object.PhaseLoading:
		p.add(p.phaseStep(g, KindReload, object.PhaseLoading, "Reloading", fmt.Sprintf("%d members are back and load generation %d", len(unready), g.Placement.Generation)))
	default:
		p.loadMembers(g, nil)
		p.wait(g, p.loadDeadline(g), "Loading", fmt.Sprintf("waiting for %d members to load; the first is %s", len(unready), g.Placement.Members[unready[0].position]))
	}
}

// needsStore reports whether a member has to read weights from the weight store.
func (p *planner) needsStore(g *Group, unready []memberFault) bool {
	t := p.targetOf(g.Placement)
	for _, v := range unready {
		h := p.hosts[g.Placement.Members[v.position]]
		if !h.matches(t) && !h.hasWeights(t) {
			return true
		}
	}
	return false
}

// loadMembers sends load orders to members that are reachable and do not have
// the placement loaded, except those with a replacement.
func (p *planner) loadMembers(g *Group, staged map[int]*Host) {
	var orders []HostOrder
	t := p.targetOf(g.Placement)
	for position, name := range g.Placement.Members {
		h := p.hosts[name]
		if h == nil || !h.reachable() || h.matches(t) || staged[position] != nil {
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

// loadStaged sends load orders to replacements that have not started to load.
func (p *planner) loadStaged(g *Group, staged map[int]*Host) {
	t := p.stagedTarget(g, staged)
	var orders []HostOrder
	for position := range g.Placement.Members {
		if h := staged[position]; h != nil && h.reachable() && !h.matches(t) {
			orders = append(orders, HostOrder{h.Name, p.loadOrder(g, t)})
		}
	}
	if len(orders) > 0 {
		p.add(Step{Kind: KindLoad, Group: g.Name, Orders: orders, Reason: "Preparing",
			Message: fmt.Sprintf("%d replacements load generation %d", len(orders), t.generation)})
	}
}
