package formation

import (
	"cmp"
	"slices"

	"currantladder.example/currantladder/internal/version/fleet"
)

// stager plans the loads of one fabric domain's free hosts.
type stager struct {
	*planner
	domain string
	hosts  []*fleet.Host
}

func (s *stager) run() {
	models := s.models()
	for _, m := range models {
		if s.satisfied(m) || s.completeGroup(m) {
			break
		}
	}
	slices.SortStableFunc(models, func(a, b *fleet.Model) int { return cmp.Compare(b.Size, a.Size) })
	for _, m := range models {
		s.addSpare(m)
	}
	for _, m := range models {
		s.useIdle(m)
	}
}

// useIdle loads the model onto the hosts that hold nothing, where the domain
// has groups of it. The largest model comes first: it loses members most often.
func (s *stager) useIdle(m *fleet.Model) {
	if s.domainGroups[s.domain][m.Name] == 0 {
		return
	}
	for _, h := range s.hosts {
		if s.staging(h) == "" && !s.reserved[h.ID] && h.LoadedModel == "" && len(h.StagedModels) == 0 {
			s.load(h, m, "further spare for the domain")
		}
	}
}

// having returns the hosts that hold the model or are loading it.
func (s *stager) having(m *fleet.Model) []*fleet.Host {
	var out []*fleet.Host
	for _, h := range s.hosts {
		if s.staging(h) == m.Name || s.staging(h) == "" && holds(h, m.Name) {
			out = append(out, h)
		}
	}
	return out
}

// completeGroup loads the model onto the hosts that a further group lacks. It
// reports whether such a group is under way.
func (s *stager) completeGroup(m *fleet.Model) bool {
	having := s.having(m)
	missing := m.Size - len(having)
	if missing <= 0 {
		return true
	}
	var others []*fleet.Host
	for _, h := range s.hosts {
		if s.staging(h) == "" && !holds(h, m.Name) && !s.protected(h, m) {
			others = append(others, h)
		}
	}
	if len(others) < missing {
		return false
	}
	slices.SortStableFunc(others, func(a, b *fleet.Host) int { return cmp.Compare(len(a.StagedModels), len(b.StagedModels)) })
	for _, h := range others[:missing] {
		s.load(h, m, "completes a group")
	}
	for _, h := range append(having, others[:missing]...) {
		s.reserved[h.ID] = true
	}
	return true
}

// protected reports whether the host is a spare of a larger model's groups,
// which are harder to complete than those of m, unless m is much further from
// its target.
func (s *stager) protected(h *fleet.Host, m *fleet.Model) bool {
	for i := range s.Engine.Models {
		other := &s.Engine.Models[i]
		if other.Size > m.Size && holds(h, other.Name) && s.domainGroups[s.domain][other.Name] > 0 &&
			s.ratio(m) >= neededShare*s.ratio(other) {
			return true
		}
	}
	return false
}

// neededShare is the share of its target below which a model lacks much. It is
// also the ratio of two models' shares below which a spare of the better one is
// given to the other.
const neededShare = 0.75

// addSpare loads the model onto one idle host where the domain has groups of
// it and no spare.
func (s *stager) addSpare(m *fleet.Model) {
	if s.domainGroups[s.domain][m.Name] == 0 || len(s.having(m)) > 0 {
		return
	}
	for _, h := range s.hosts {
		if s.staging(h) == "" && !s.reserved[h.ID] && !s.spareOfAny(h) {
			s.load(h, m, "spare for the domain")
			return
		}
	}
}

// spareOfAny reports whether the host is the only spare of some model that
// has groups in the domain.
func (s *stager) spareOfAny(h *fleet.Host) bool {
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		if having := s.having(m); s.domainGroups[s.domain][m.Name] > 0 && len(having) == 1 && having[0] == h {
			return true
		}
	}
	return false
}

// load orders the weights onto the host if the budget allows it.
func (p *planner) load(h *fleet.Host, m *fleet.Model, reason string) {
	if !p.LoadsFree && p.LoadBudget <= 0 {
		return
	}
	p.LoadBudget--
	p.order(Order{Operation: OpStage, HostID: h.ID, Model: m.Name, Reason: reason})
	// Later decisions of this plan count the load as under way.
	if p.Stages == nil {
		p.Stages = map[string]Intent{}
	}
	p.Stages[h.ID] = Intent{Order: Order{Operation: OpStage, HostID: h.ID, Model: m.Name}, Sent: p.Now, Life: h.Life()}
}
