package formation

import "currantladder.example/currantladder/internal/version/fleet"

// isEvacuated reports whether the group gets no requests because its head is in an
// evacuated failure domain.
func isEvacuated(g *group) bool { return g.head() != nil && g.head().Evacuated }

// keepEvacuated marks the members of an evacuated group as in use. The group stays as it
// is, so that it can serve again at once, and is not counted, so that others are formed in
// its place.
func (p *planner) keepEvacuated(g *group, open bool) {
	p.markInUse(g)
	if open {
		p.plan.Evacuated[g.model.Name]++
	}
}

// countEvacuated counts the hosts of evacuated failure domains.
func countEvacuated(hosts []*fleet.Host) int {
	count := 0
	for _, h := range hosts {
		if h.Evacuated {
			count++
		}
	}
	return count
}
