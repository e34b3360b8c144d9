package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

// Reasons that the plan reads back from a placement.
const (
	reasonGivenUp       = "GivenUp"
	reasonDeleted       = "Deleted"
	reasonSpecChange    = "SpecChange"
	reasonVersionChange = "VersionChange"
)

// planner holds the working state of one Plan call.
type planner struct {
	in    *Input
	hosts map[string]*Host
	dark  map[string]bool
	// claimed lists the hosts that each group holds, by name.
	claimed map[string][]*Host
	// spares lists free hosts by fabric domain; a step takes them out.
	spares map[string][]*Host
	// loading holds the groups that load from the weight store.
	loading map[string]bool
	// starved counts groups that need a load and do not have one.
	starved int
	// lostByGroup keeps the result of lost for each group.
	lostByGroup map[string][]vacancy
	// settled holds groups that an earlier step of this plan has decided.
	settled map[string]bool
	// rolling holds the models of which a group changes its version.
	rolling map[string]bool
	// wanted names, for a group to be given up, the group in whose favour.
	wanted map[string]string
	steps  []Step
}

// Plan returns the steps that follow from the input, at most a few for each
// group, groups of higher worth first. It is deterministic and has no side
// effects. The caller commits each step against the rows that the input was
// read from and plans again.
func Plan(in *Input) []Step {
	p := newPlanner(in)
	groups := p.ordered()
	for i := range groups {
		p.countLoad(&groups[i])
	}
	for i := range groups {
		if !p.settled[groups[i].Name] {
			p.group(&groups[i], groups)
		}
	}
	p.unloadFree()
	return p.steps
}

// ordered returns the groups by falling worth; of equal worth, those with
// fewer lost members come first, because they need fewer hosts.
func (p *planner) ordered() []Group {
	groups := slices.Clone(p.in.Groups)
	lost := make(map[string]int, len(groups))
	for i := range groups {
		if placed(&groups[i]) {
			lost[groups[i].Name] = len(p.lost(&groups[i]))
		}
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(
			cmp.Compare(worth(&b), worth(&a)),
			cmp.Compare(lost[a.Name], lost[b.Name]),
			strings.Compare(a.Name, b.Name),
		)
	})
	return groups
}

func newPlanner(in *Input) *planner {
	p := &planner{
		in:      in,
		hosts:   make(map[string]*Host, len(in.Hosts)),
		dark:    darkDomains(in.Hosts, in.Policy.DarkShare),
		claimed: map[string][]*Host{},
		spares:  map[string][]*Host{},
		loading: map[string]bool{},
		settled: map[string]bool{},
		rolling: map[string]bool{},
		wanted:  map[string]string{},

		lostByGroup: map[string][]vacancy{},
	}
	for i := range in.Hosts {
		h := &in.Hosts[i]
		p.hosts[h.Name] = h
		if h.Claim.Group != "" {
			p.claimed[h.Claim.Group] = append(p.claimed[h.Claim.Group], h)
		}
		if h.spare() {
			p.spares[h.FabricDomain] = append(p.spares[h.FabricDomain], h)
		}
	}
	for _, hosts := range p.spares {
		slices.SortFunc(hosts, preferSpare)
	}
	for _, hosts := range p.claimed {
		slices.SortFunc(hosts, func(a, b *Host) int { return strings.Compare(a.Name, b.Name) })
	}
	return p
}

// preferSpare orders spares: those that were slow come last, idle ones before
// those that still hold a model, then by name.
func preferSpare(a, b *Host) int {
	return cmp.Or(
		cmp.Compare(spareRank(a), spareRank(b)),
		strings.Compare(a.Name, b.Name),
	)
}

func spareRank(h *Host) int {
	switch {
	case !h.SlowSince.IsZero():
		return 2
	case h.State.State != endpoint.EngineIdle:
		return 1
	default:
		return 0
	}
}

func worth(g *Group) int {
	if g.Spec == nil {
		return 0
	}
	return g.Spec.Worth
}

func placed(g *Group) bool { return g.Placement != nil && len(g.Placement.Members) > 0 }

// countLoad notes whether the group loads from the weight store now or needs
// to.
func (p *planner) countLoad(g *Group) {
	if placed(g) && p.loadsNow(g) {
		p.loading[g.Name] = true
		return
	}
	if g.Spec != nil && !serving(g) {
		p.starved++
	}
}

// loadsNow reports whether a host of the group loads weights or was claimed
// to do so. Unreachable hosts do not count.
func (p *planner) loadsNow(g *Group) bool {
	current := p.targetOf(g.Placement)
	next := current
	if staged := p.staged(g); len(staged) > 0 && g.Spec != nil {
		next = p.stagedTarget(g, staged)
	}
	for _, h := range p.claimed[g.Name] {
		t, granted := current, g.Placement.Phase == object.PhaseLoading
		if h.Claim.Generation > current.generation {
			t, granted = next, true
		}
		if h.reachable() && !h.ready(t) && !h.hasWeights(t) && (granted || h.holds(t)) {
			return true
		}
	}
	return false
}

func serving(g *Group) bool { return placed(g) && g.Placement.Phase == object.PhaseServing }

// mayLoad reports whether the group may load now under the weight store's
// rate.
func (p *planner) mayLoad(group string) bool {
	return p.loading[group] || len(p.loading) < p.in.Policy.ConcurrentLoads
}

// group plans one group.
func (p *planner) group(g *Group, all []Group) {
	p.releaseStale(g)
	moved := placed(g) && g.Placement.FailureDomain != p.in.FailureDomain
	switch {
	case moved:
		// The controller of the former failure domain releases it first.
	case g.Spec == nil:
		p.retire(g, reasonDeleted, "the group was deleted")
	case g.Spec.FailureDomain != p.in.FailureDomain:
		p.retire(g, reasonSpecChange, "the group was declared for failure domain "+g.Spec.FailureDomain)
	case !placed(g):
		p.form(g, all)
	case len(g.Placement.Members) != g.Spec.Members:
		p.retire(g, reasonSpecChange, fmt.Sprintf("the group was declared with %d members instead of %d", g.Spec.Members, len(g.Placement.Members)))
	case g.Placement.Reason == reasonGivenUp && p.wanted[g.Name] != "":
		p.retire(g, reasonGivenUp, g.Placement.Message)
	case g.Placement.Model != g.Spec.Model || g.Placement.ModelVersion != g.Spec.ModelVersion:
		p.rollout(g, all)
	default:
		p.maintain(g, all)
	}
}

// releaseStale frees hosts that belong neither to the placement nor to its
// replacement. Hosts that the group left lately finish their work first.
func (p *planner) releaseStale(g *Group) {
	generation := int64(0)
	if g.Placement != nil {
		generation = g.Placement.Generation
	}
	var releases []string
	for _, h := range p.claimed[g.Name] {
		if placed(g) && h.Claim.Generation == generation+1 {
			continue
		}
		if g.Placement != nil && slices.Contains(g.Placement.Members, h.Name) {
			continue
		}
		if g.Placement != nil && p.in.Now.Sub(g.Placement.Changed) < p.in.Policy.Drain {
			continue
		}
		releases = append(releases, h.Name)
	}
	if len(releases) > 0 {
		p.add(Step{Kind: KindRelease, Group: g.Name, Releases: releases, Reason: "Replaced",
			Message: fmt.Sprintf("group %s no longer needs %s", g.Name, strings.Join(releases, ", "))})
	}
}

// retire stops a group in two steps: it closes, and after the drain time its
// hosts are released.
func (p *planner) retire(g *Group, reason, message string) {
	if !placed(g) {
		if g.Spec == nil && g.Placement != nil {
			p.add(Step{Kind: KindRelease, Group: g.Name, DeletePlacement: true, Reason: reason, Message: message})
		}
		return
	}
	if g.Placement.Phase != object.PhaseBroken || g.Placement.Reason != reason {
		p.add(p.change(g, KindMarkBroken, object.PhaseBroken, reason, message+"; its streams have "+p.in.Policy.Drain.String()+" to end"))
		return
	}
	if until := g.Placement.Changed.Add(p.in.Policy.Drain); p.in.Now.Before(until) {
		p.add(Step{Kind: KindWait, Group: g.Name, Until: until, Reason: reason, Message: message + "; waiting for its streams to end"})
		return
	}
	p.release(g, reason, message)
}

// release frees every host of the group.
func (p *planner) release(g *Group, reason, message string) {
	step := Step{Kind: KindRelease, Group: g.Name, Reason: reason, Message: message}
	for _, h := range p.claimed[g.Name] {
		step.Releases = append(step.Releases, h.Name)
	}
	if g.Spec == nil {
		step.DeletePlacement = true
	} else {
		step.Placements = []*object.Placement{p.empty(g, reason, message)}
	}
	p.add(step)
}

// empty returns the group's placement without members.
func (p *planner) empty(g *Group, reason, message string) *object.Placement {
	next := *g.Placement
	next.Generation = p.nextGeneration(g)
	next.Members = nil
	next.FabricDomain = ""
	next.Phase = object.PhaseForming
	next.Epoch = p.in.Epoch
	next.Reason = reason
	next.Message = message
	next.Changed = p.in.Now
	return &next
}

// change returns a step that sets the phase of the group's placement.
func (p *planner) change(g *Group, kind Kind, phase object.Phase, reason, message string) Step {
	next := *g.Placement
	next.Phase = phase
	next.Epoch = p.in.Epoch
	next.Reason = reason
	next.Message = message
	next.Changed = p.in.Now
	return Step{Kind: kind, Group: g.Name, Placements: []*object.Placement{&next}, Reason: reason, Message: message}
}

func (p *planner) wait(g *Group, until time.Time, reason, message string) {
	p.add(Step{Kind: KindWait, Group: g.Name, Until: until, Reason: reason, Message: message})
}

func (p *planner) add(s Step) { p.steps = append(p.steps, s) }

// unloadFree orders free hosts to drop what an earlier group left on them.
func (p *planner) unloadFree() {
	var domains []string
	for domain := range p.spares {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	for _, domain := range domains {
		for _, h := range p.spares[domain] {
			if h.State.Group == "" {
				continue
			}
			order := endpoint.Order{Epoch: p.in.Epoch, Action: endpoint.ActionUnload, Group: h.State.Group, Generation: h.State.Generation}
			p.add(Step{Kind: KindUnload, Group: h.State.Group, Orders: []HostOrder{{h.Name, order}}, Reason: "HostFree",
				Message: fmt.Sprintf("host %s is free and still holds group %s", h.Name, h.State.Group)})
		}
	}
}
