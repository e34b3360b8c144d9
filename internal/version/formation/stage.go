package formation

import (
	"cmp"
	"slices"

	"currantladder.example/currantladder/internal/version/fleet"
)

// domainStager plans the loads of the free hosts of one fabric domain.
type domainStager struct {
	*planner
	domain string
	hosts  []*fleet.Host
}

// stageDomain first loads the weights for one further group, then one spare of
// each model, then idle hosts as further spares.
func (s *domainStager) stageDomain() {
	models := s.modelsByNeed()
	for _, m := range models {
		if s.shouldYield(m) || s.completeGroup(m) {
			break
		}
	}
	if s.hasServingSpares() {
		s.stageEmptyHosts()
		return
	}
	slices.SortStableFunc(models, func(a, b *fleet.Model) int { return cmp.Compare(b.Size, a.Size) })
	for _, m := range models {
		s.addSpare(m)
	}
	for _, m := range models {
		s.stageIdleHosts(m)
	}
}

// stageIdleHosts loads the model onto the hosts without any weights if the
// domain has groups of it. The caller starts with the model of the largest
// groups, which lose members most often.
func (s *domainStager) stageIdleHosts(m *fleet.Model) {
	if s.domainGroups[s.domain][m.Name] == 0 {
		return
	}
	for _, h := range s.hosts {
		if s.modelBeingStaged(h) == "" && !s.reserved[h.ID] && h.LoadedModel == "" && len(h.StagedModels) == 0 {
			s.addLoad(h, m, "further spare for the domain")
		}
	}
}

// hostsWith returns the hosts that have the weights of the model or are loading
// them.
func (s *domainStager) hostsWith(m *fleet.Model) []*fleet.Host {
	var out []*fleet.Host
	for _, h := range s.hosts {
		if s.modelBeingStaged(h) == m.Name || s.modelBeingStaged(h) == "" && hasWeights(h, m.Name) {
			out = append(out, h)
		}
	}
	return out
}

// completeGroup loads the model onto as many hosts as a further group needs. It
// returns false if the domain has too few hosts for one.
func (s *domainStager) completeGroup(m *fleet.Model) bool {
	withWeights := s.hostsWith(m)
	missing := m.Size - len(withWeights)
	if missing <= 0 {
		return true
	}
	var candidates []*fleet.Host
	for _, h := range s.hosts {
		if s.modelBeingStaged(h) == "" && !hasWeights(h, m.Name) && !s.isProtectedSpare(h, m) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) < missing {
		return false
	}
	slices.SortStableFunc(candidates, func(a, b *fleet.Host) int { return cmp.Compare(len(a.StagedModels), len(b.StagedModels)) })
	for _, h := range candidates[:missing] {
		s.addLoad(h, m, "completes a group")
	}
	for _, h := range append(withWeights, candidates[:missing]...) {
		s.reserved[h.ID] = true
	}
	return true
}

// isProtectedSpare reports whether the host is a spare for groups larger than
// those of m, which are harder to complete. The host is not protected if m is
// much further below its target than the other model.
func (s *domainStager) isProtectedSpare(h *fleet.Host, m *fleet.Model) bool {
	if s.hasServingSpares() {
		return false
	}
	for i := range s.Engine.Models {
		other := &s.Engine.Models[i]
		if other.Size > m.Size && hasWeights(h, other.Name) && s.domainGroups[s.domain][other.Name] > 0 &&
			s.targetRatio(m) >= underservedThreshold*s.targetRatio(other) {
			return true
		}
	}
	return false
}

// underservedThreshold is the target ratio below which a model is underserved.
// It is also the quotient of two models' target ratios below which a spare of
// the better served model may be used for the other.
const underservedThreshold = 0.75

// addSpare loads the model onto one free host if the domain has groups of the
// model but no spare for them.
func (s *domainStager) addSpare(m *fleet.Model) {
	if s.domainGroups[s.domain][m.Name] == 0 || len(s.hostsWith(m)) > 0 {
		return
	}
	for _, h := range s.hosts {
		if s.modelBeingStaged(h) == "" && !s.reserved[h.ID] && !s.isOnlySpare(h) {
			s.addLoad(h, m, "spare for the domain")
			return
		}
	}
}

// isOnlySpare reports whether the host is the only spare of some model that has
// groups in the domain.
func (s *domainStager) isOnlySpare(h *fleet.Host) bool {
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		if withWeights := s.hostsWith(m); s.domainGroups[s.domain][m.Name] > 0 && len(withWeights) == 1 && withWeights[0] == h {
			return true
		}
	}
	return false
}

// addLoad adds an order to load the weights onto the host if the budget allows
// it.
func (p *planner) addLoad(h *fleet.Host, m *fleet.Model, reason string) {
	if !p.UnlimitedLoads && p.LoadBudget <= 0 {
		return
	}
	p.LoadBudget--
	p.addOrder(Order{Operation: OpStage, HostID: h.ID, Model: m.Name, Reason: reason})
	// Later steps of this plan treat the load as in progress.
	if p.LastStageOrders == nil {
		p.LastStageOrders = map[string]SentOrder{}
	}
	p.LastStageOrders[h.ID] = SentOrder{Order: Order{Operation: OpStage, HostID: h.ID, Model: m.Name}, Sent: p.Now, Instance: h.Instance()}
}
