package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/version/object"
)

// memberFault is the fault of the member at a position of its group.
type memberFault struct {
	position int
	fault    fault
}

// maintain plans a group that has members of the declared model.
func (p *planner) maintain(g *Group, all []Group) {
	if name := p.unprobed(g); name != "" {
		p.wait(g, p.in.Now.Add(p.in.Policy.SilenceGracePeriod), "MemberUnseen", "member "+name+" was not probed yet")
		return
	}
	lost := p.lost(g)
	staged := p.staged(g)
	if len(lost) > 0 {
		p.repair(g, lost, staged, all)
		return
	}
	unready := p.unready(g)
	if len(unready) > 0 {
		p.loadUnready(g, unready)
		return
	}
	if slow := p.slow(g); len(slow) > 0 && serving(g) {
		p.replaceSlow(g, slow, staged)
		return
	}
	p.openGroup(g, staged)
}

// unprobed returns a listed member without a probe result, or "". A controller
// that has just started must not declare a member lost before probing it.
func (p *planner) unprobed(g *Group) string {
	for _, name := range g.Placement.Members {
		if h := p.hosts[name]; h != nil && h.Listed && !h.Observed && h.FailingSince.IsZero() {
			return name
		}
	}
	return ""
}

// openGroup lets the group serve and releases replacements that it no longer
// needs.
func (p *planner) openGroup(g *Group, staged map[int]*Host) {
	releases := stagedNames(staged)
	if serving(g) {
		p.updateAdapters(g)
		if len(releases) > 0 {
			p.add(Step{Kind: KindRelease, Group: g.Name, Releases: releases, Reason: "NotNeeded",
				Message: "every member is ready; the replacement is not needed"})
		}
		return
	}
	step := p.phaseStep(g, KindOpen, object.PhaseServing, "AllReady", fmt.Sprintf("all %d members are ready at generation %d", len(g.Placement.Members), g.Placement.Generation))
	step.Releases = releases
	p.add(step)
}

// extendedLoadFactor multiplies the load timeout of a member that reports that
// it is loading the right target.
const extendedLoadFactor = 4

// lost returns the members that have to return or be replaced before the group
// can serve.
func (p *planner) lost(g *Group) []memberFault {
	found, ok := p.lostByGroup[g.Name]
	if !ok {
		found = p.findLost(g)
		p.lostByGroup[g.Name] = found
	}
	return found
}

func (p *planner) findLost(g *Group) []memberFault {
	staged := p.staged(g)
	return p.memberFaults(g, func(position int, f fault) bool {
		if f.symptom != symptomUnready {
			return f.preventsServing()
		}
		return p.replacementAhead(g, position, staged[position]) || p.memberLoadFailed(g, position)
	})
}

// replacementAhead reports whether a replacement of the position is expected to
// be ready before the member, which answers again but has to load from the start.
func (p *planner) replacementAhead(g *Group, position int, replacement *Host) bool {
	if replacement == nil || !replacement.usable() {
		return false
	}
	t := p.targetOf(g.Placement)
	member := p.hosts[g.Placement.Members[position]]
	return !member.matches(t) && !member.hasWeights(t)
}

// unready returns the members that answer but are not ready.
func (p *planner) unready(g *Group) []memberFault {
	return p.memberFaults(g, func(_ int, f fault) bool { return f.symptom == symptomUnready })
}

// slow returns the members that are much slower than their peers.
func (p *planner) slow(g *Group) []memberFault {
	return p.memberFaults(g, func(_ int, f fault) bool { return f.symptom == symptomSlow })
}

// memberFaults returns the members whose fault, which may be the zero fault,
// satisfies match.
func (p *planner) memberFaults(g *Group, match func(int, fault) bool) []memberFault {
	var found []memberFault
	t := p.targetOf(g.Placement)
	for i, name := range g.Placement.Members {
		if f := p.detectFault(p.hosts[name], name, t, g.Placement); match(i, f) {
			found = append(found, memberFault{i, f})
		}
	}
	return found
}

// loadDeadline returns when loads that began with the placement's last change
// count as failed.
func (p *planner) loadDeadline(g *Group) time.Time {
	return g.Placement.Changed.Add(time.Duration(p.in.Policy.LoadTimeoutFactor) * p.in.Policy.LoadTime)
}

// loadOverdue reports whether the group is still loading past its load deadline.
func (p *planner) loadOverdue(g *Group) bool {
	return g.Placement.Phase == object.PhaseLoading && !p.in.Now.Before(p.loadDeadline(g))
}

// memberLoadFailed reports whether the member at the position has failed to load in
// time. A member that reports that it is loading the right target gets a longer
// deadline: a load that is slower than expected is no faster on another host.
func (p *planner) memberLoadFailed(g *Group, position int) bool {
	if !p.loadOverdue(g) {
		return false
	}
	member := p.hosts[g.Placement.Members[position]]
	return !member.matches(p.targetOf(g.Placement)) || p.extendedLoadDeadlinePassed(g)
}

// extendedLoadDeadlinePassed reports whether even loads in progress count as
// failed.
func (p *planner) extendedLoadDeadlinePassed(g *Group) bool {
	timeout := p.loadDeadline(g).Sub(g.Placement.Changed) * extendedLoadFactor
	return !p.in.Now.Before(g.Placement.Changed.Add(timeout))
}

// staged returns the hosts claimed as replacements, by position.
func (p *planner) staged(g *Group) map[int]*Host {
	staged := map[int]*Host{}
	for _, h := range p.claimed[g.Name] {
		if h.Claim.Generation == g.Placement.Generation+1 {
			staged[h.Claim.Position] = h
		}
	}
	return staged
}

func stagedNames(staged map[int]*Host) []string {
	var names []string
	for _, h := range staged {
		names = append(names, h.Name)
	}
	slices.Sort(names)
	return names
}

// stagedTarget returns what replacements must load.
func (p *planner) stagedTarget(g *Group, staged map[int]*Host) *target {
	return &target{g.Name, g.Placement.Generation + 1, g.Spec.Model, g.Spec.ModelVersion, p.addresses(nextMembers(g, staged))}
}

// nextMembers returns the members after the replacements have taken their
// positions.
func nextMembers(g *Group, staged map[int]*Host) []string {
	members := slices.Clone(g.Placement.Members)
	for position, h := range staged {
		members[position] = h.Name
	}
	return members
}

// repair plans a group with lost members.
func (p *planner) repair(g *Group, lost []memberFault, staged map[int]*Host, all []Group) {
	if serving(g) && p.inGracePeriod(lost) {
		p.wait(g, lost[0].fault.since.Add(p.in.Policy.SilenceGracePeriod), lost[0].fault.reason, lost[0].fault.message)
		return
	}
	positions, allMembers := p.neededPositions(g, lost, staged)
	vacant := vacantPositions(positions, staged)
	switch {
	case len(vacant) > 0 || p.replacementLoadFailed(g, staged):
		p.prepare(g, lost, staged, all)
	case !p.allReady(g, staged):
		if serving(g) {
			p.markBroken(g, lost)
		}
		p.loadStaged(g, staged)
		p.loadMembers(g, staged)
		p.wait(g, p.loadDeadline(g), lost[0].fault.reason, p.describe(lost)+"; "+strings.Join(stagedNames(staged), ", ")+" load as replacement")
	case p.draining(g, lost):
		p.wait(g, g.Placement.Changed.Add(p.in.Policy.DrainTimeout), lost[0].fault.reason, "the replacement is ready; waiting for streams of the leaving member to end")
	default:
		p.replace(g, staged, allMembers, p.describe(lost)+" and its replacement is ready first")
	}
}

// inGracePeriod reports whether every lost member may return and has been silent
// for less than the grace period.
func (p *planner) inGracePeriod(lost []memberFault) bool {
	for _, v := range lost {
		if !v.fault.mayReturn() || p.in.Now.Sub(v.fault.since) >= p.in.Policy.SilenceGracePeriod {
			return false
		}
	}
	return true
}

func (p *planner) markBroken(g *Group, lost []memberFault) {
	p.add(p.phaseStep(g, KindMarkBroken, object.PhaseBroken, lost[0].fault.reason, p.describe(lost)))
}

// draining reports whether every lost member is leaving and the drain timeout,
// in which the group's streams may end, has not passed yet.
func (p *planner) draining(g *Group, lost []memberFault) bool {
	for _, v := range lost {
		if v.fault.symptom != symptomLeaving {
			return false
		}
	}
	return p.in.Now.Before(g.Placement.Changed.Add(p.in.Policy.DrainTimeout))
}

// neededPositions returns the positions that need a replacement: the lost ones,
// or all positions if the replacements are in another fabric domain.
func (p *planner) neededPositions(g *Group, lost []memberFault, staged map[int]*Host) (positions []int, allMembers bool) {
	if p.movesDomain(g, staged) {
		for i := range g.Placement.Members {
			positions = append(positions, i)
		}
		return positions, true
	}
	for _, v := range lost {
		positions = append(positions, v.position)
	}
	return positions, false
}

// movesDomain reports whether replacements are in another fabric domain than the
// group.
func (p *planner) movesDomain(g *Group, staged map[int]*Host) bool {
	for _, h := range staged {
		if h.FabricDomain != g.Placement.FabricDomain {
			return true
		}
	}
	return false
}

// vacantPositions returns the positions without a usable replacement.
func vacantPositions(positions []int, staged map[int]*Host) []int {
	var vacant []int
	for _, position := range positions {
		if h := staged[position]; h == nil || !h.usable() {
			vacant = append(vacant, position)
		}
	}
	return vacant
}

func (p *planner) allReady(g *Group, staged map[int]*Host) bool {
	t := p.stagedTarget(g, staged)
	for _, h := range staged {
		if !h.ready(t) {
			return false
		}
	}
	return true
}

// replacementLoadFailed reports whether replacements failed to load in time.
func (p *planner) replacementLoadFailed(g *Group, staged map[int]*Host) bool {
	if serving(g) || len(staged) == 0 || p.allReady(g, staged) || p.in.Now.Before(p.loadDeadline(g)) {
		return false
	}
	t := p.stagedTarget(g, staged)
	for _, h := range staged {
		if !h.matches(t) {
			return true
		}
	}
	return p.extendedLoadDeadlinePassed(g)
}

// replace makes the loaded replacements members. allMembers is true if they
// replace every member.
func (p *planner) replace(g *Group, staged map[int]*Host, allMembers bool, message string) {
	members := nextMembers(g, staged)
	step := p.phaseStep(g, KindReplace, object.PhaseLoading, "Replaced", message)
	next := step.Placements[0]
	next.Generation++
	next.Members = members
	next.Model = g.Spec.Model
	next.ModelVersion = g.Spec.ModelVersion
	next.FabricDomain = p.hosts[members[0]].FabricDomain
	for i, name := range members {
		step.Claims = append(step.Claims, HostClaim{name, Claim{g.Name, next.Generation, i}})
	}
	for _, h := range p.claimed[g.Name] {
		// When all members are replaced, the former hosts stay claimed until
		// their streams have had the drain timeout to end.
		if !slices.Contains(members, h.Name) && !allMembers {
			step.Releases = append(step.Releases, h.Name)
		}
	}
	p.add(step)
}
