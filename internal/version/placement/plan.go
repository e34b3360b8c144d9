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

// Reasons of a placement that later plans depend on.
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
	// domainOutage is the set of fabric domains that are in outage.
	domainOutage map[string]bool
	// claimed lists the hosts that each group claims, sorted by name.
	claimed map[string][]*Host
	// spares lists the free hosts of each fabric domain that no step of this
	// plan has taken, the preferred ones first.
	spares map[string][]*Host
	// loading is the set of groups that load from the weight store.
	loading map[string]bool
	// waitingForLoad counts the groups that need a load and do not have one.
	waitingForLoad int
	// lostByGroup caches the result of lost by group.
	lostByGroup map[string][]memberFault
	// decided is the set of groups for which an earlier step of this plan
	// already decided.
	decided map[string]bool
	// rollingOut is the set of models with a group that starts to change its
	// model version in this plan.
	rollingOut map[string]bool
	// givenUpFor maps a group that is given up to the group that gets its hosts.
	givenUpFor map[string]string
	steps      []Step
}

// Plan returns the next steps for the input, at most a few for each group, groups
// of higher worth first. It is deterministic and has no side effects. The caller
// commits each step against the rows from which the input was read, then plans
// again.
func Plan(in *Input) []Step {
	p := newPlanner(in)
	groups := p.orderedGroups()
	for i := range groups {
		p.countLoad(&groups[i])
	}
	for i := range groups {
		if !p.decided[groups[i].Name] {
			p.planGroup(&groups[i], groups)
		}
	}
	p.unloadFree()
	return p.steps
}

// orderedGroups returns the groups by descending worth; of equal worth, those with
// fewer lost members come first because they need fewer hosts.
func (p *planner) orderedGroups() []Group {
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
		in:           in,
		hosts:        make(map[string]*Host, len(in.Hosts)),
		domainOutage: domainsInOutage(in.Hosts, in.Policy.DomainOutageShare),
		claimed:      map[string][]*Host{},
		spares:       map[string][]*Host{},
		loading:      map[string]bool{},
		decided:      map[string]bool{},
		rollingOut:   map[string]bool{},
		givenUpFor:   map[string]string{},
		lostByGroup:  map[string][]memberFault{},
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

// preferSpare compares spares by preference: idle hosts first, then hosts that
// still have a model loaded, slow hosts last; ties by name.
func preferSpare(a, b *Host) int {
	return cmp.Or(
		cmp.Compare(sparePreference(a), sparePreference(b)),
		strings.Compare(a.Name, b.Name),
	)
}

// sparePreference returns the sort key of a spare; lower is preferred.
func sparePreference(h *Host) int {
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

// countLoad records whether the group is loading from the weight store or needs a
// load.
func (p *planner) countLoad(g *Group) {
	if placed(g) && p.isLoading(g) {
		p.loading[g.Name] = true
		return
	}
	if g.Spec != nil && !serving(g) {
		p.waitingForLoad++
	}
}

// isLoading reports whether a host of the group is loading weights or was claimed
// to load them. Unreachable hosts do not count.
func (p *planner) isLoading(g *Group) bool {
	current := p.targetOf(g.Placement)
	next := current
	if staged := p.staged(g); len(staged) > 0 && g.Spec != nil {
		next = p.stagedTarget(g, staged)
	}
	for _, h := range p.claimed[g.Name] {
		t, loadGranted := current, g.Placement.Phase == object.PhaseLoading
		if h.Claim.Generation > current.generation {
			t, loadGranted = next, true
		}
		if h.reachable() && !h.ready(t) && !h.hasWeights(t) && (loadGranted || h.matches(t)) {
			return true
		}
	}
	return false
}

func serving(g *Group) bool { return placed(g) && g.Placement.Phase == object.PhaseServing }

// mayLoad reports whether the group may load now under the weight store's limit
// of concurrent loads.
func (p *planner) mayLoad(group string) bool {
	return p.loading[group] || len(p.loading) < p.in.Policy.ConcurrentLoads
}

// planGroup adds the next steps of one group.
func (p *planner) planGroup(g *Group, all []Group) {
	p.releaseStale(g)
	moved := placed(g) && g.Placement.FailureDomain != p.in.FailureDomain
	switch {
	case moved:
		// The controller of the former failure domain first releases its hosts.
	case g.Spec == nil:
		p.retire(g, reasonDeleted, "the group was deleted")
	case g.Spec.FailureDomain != p.in.FailureDomain:
		p.retire(g, reasonSpecChange, "the group was declared for failure domain "+g.Spec.FailureDomain)
	case !placed(g):
		p.form(g, all)
	case len(g.Placement.Members) != g.Spec.Members:
		p.retire(g, reasonSpecChange, fmt.Sprintf("the group was declared with %d members instead of %d", g.Spec.Members, len(g.Placement.Members)))
	case g.Placement.Reason == reasonGivenUp && p.givenUpFor[g.Name] != "":
		p.retire(g, reasonGivenUp, g.Placement.Message)
	case g.Placement.Model != g.Spec.Model || g.Placement.ModelVersion != g.Spec.ModelVersion:
		p.rollout(g, all)
	default:
		p.maintain(g, all)
	}
}

// releaseStale releases hosts that are neither members nor replacements. Former
// members are kept for the drain timeout so that their streams can end.
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
		if g.Placement != nil && p.in.Now.Sub(g.Placement.Changed) < p.in.Policy.DrainTimeout {
			continue
		}
		releases = append(releases, h.Name)
	}
	if len(releases) > 0 {
		p.add(Step{Kind: KindRelease, Group: g.Name, Releases: releases, Reason: "Replaced",
			Message: fmt.Sprintf("group %s no longer needs %s", g.Name, strings.Join(releases, ", "))})
	}
}

// retire stops a group in two steps: the group closes first, and its hosts are
// released after the drain timeout.
func (p *planner) retire(g *Group, reason, message string) {
	if !placed(g) {
		if g.Spec == nil && g.Placement != nil {
			p.add(Step{Kind: KindRelease, Group: g.Name, DeletePlacement: true, Reason: reason, Message: message})
		}
		return
	}
	if g.Placement.Phase != object.PhaseBroken || g.Placement.Reason != reason {
		p.add(p.phaseStep(g, KindMarkBroken, object.PhaseBroken, reason, message+"; its streams have "+p.in.Policy.DrainTimeout.String()+" to end"))
		return
	}
	if until := g.Placement.Changed.Add(p.in.Policy.DrainTimeout); p.in.Now.Before(until) {
		p.add(Step{Kind: KindWait, Group: g.Name, Until: until, Reason: reason, Message: message + "; waiting for its streams to end"})
		return
	}
	p.release(g, reason, message)
}

// release releases every host of the group.
func (p *planner) release(g *Group, reason, message string) {
	step := Step{Kind: KindRelease, Group: g.Name, Reason: reason, Message: message}
	for _, h := range p.claimed[g.Name] {
		step.Releases = append(step.Releases, h.Name)
	}
	if g.Spec == nil {
		step.DeletePlacement = true
	} else {
		step.Placements = []*object.Placement{p.emptyPlacement(g, reason, message)}
	}
	p.add(step)
}

// emptyPlacement returns the group's placement without members.
func (p *planner) emptyPlacement(g *Group, reason, message string) *object.Placement {
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

// phaseStep returns a step of the given kind that sets the phase of the group's
// placement.
func (p *planner) phaseStep(g *Group, kind Kind, phase object.Phase, reason, message string) Step {
	next := *g.Placement
	next.Phase = phase
	next.Epoch = p.in.Epoch
	next.Reason = reason
	next.Message = message
	next.Changed = p.in.Now
	return Step{Kind: kind, Group: g.Name, Placements: []*object.Placement{&next}, Reason: reason, Message: message}
}

// wait adds a step that waits until the given time; zero means without limit.
func (p *planner) wait(g *Group, until time.Time, reason, message string) {
	p.add(Step{Kind: KindWait, Group: g.Name, Until: until, Reason: reason, Message: message})
}

func (p *planner) add(s Step) { p.steps = append(p.steps, s) }

// unloadFree orders free hosts to unload what they still have of an earlier group.
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
