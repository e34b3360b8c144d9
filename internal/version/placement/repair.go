package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/version/object"
)

// vacancy is a position whose member is missing.
type vacancy struct {
	position int
	fault    fault
}

// maintain plans a group that has members of the declared model.
func (p *planner) maintain(g *Group, all []Group) {
	if name := p.unseen(g); name != "" {
		p.wait(g, p.in.Now.Add(p.in.Policy.Grace), "MemberUnseen", "member "+name+" was not probed yet")
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
		p.load(g, unready)
		return
	}
	if slow := p.slow(g); len(slow) > 0 && serving(g) {
		p.replaceSlow(g, slow, staged)
		return
	}
	p.open(g, staged)
}

// unseen returns a listed member of which nothing is known yet, or "". A
// controller that has just started must not judge before it has looked.
func (p *planner) unseen(g *Group) string {
	for _, name := range g.Placement.Members {
		if h := p.hosts[name]; h != nil && h.Listed && !h.Observed && h.Failed.IsZero() {
			return name
		}
	}
	return ""
}

// open lets the group serve and frees replacements that it no longer needs.
func (p *planner) open(g *Group, staged map[int]*Host) {
	releases := stagedNames(staged)
	if serving(g) {
		p.updateAdapters(g)
		if len(releases) > 0 {
			p.add(Step{Kind: KindRelease, Group: g.Name, Releases: releases, Reason: "NotNeeded",
				Message: "every member is ready; the replacement is not needed"})
		}
		return
	}
	step := p.change(g, KindOpen, object.PhaseServing, "AllReady", fmt.Sprintf("all %d members are ready at generation %d", len(g.Placement.Members), g.Placement.Generation))
	step.Releases = releases
	p.add(step)
}

// slowLoadFactor is by how much longer than a member that does nothing one may
// take that reports the right load.
const slowLoadFactor = 4

// lost returns positions that need a replacement or the member's return.
func (p *planner) lost(g *Group) []vacancy {
	found, ok := p.lostByGroup[g.Name]
	if !ok {
		found = p.findLost(g)
		p.lostByGroup[g.Name] = found
	}
	return found
}

func (p *planner) findLost(g *Group) []vacancy {
	staged := p.staged(g)
	return p.vacancies(g, func(position int, f fault) bool {
		if f.symptom != symptomUnready {
			return f.missing()
		}
		return p.replacedSooner(g, position, staged[position]) || p.stuck(g, position)
	})
}

// replacedSooner reports whether a replacement of the position is ahead of the
// member, which answers again but has to load from the start.
func (p *planner) replacedSooner(g *Group, position int, replacement *Host) bool {
	if replacement == nil || !replacement.usable() {
		return false
	}
	t := p.targetOf(g.Placement)
	member := p.hosts[g.Placement.Members[position]]
	return !member.holds(t) && !member.hasWeights(t)
}

// unready returns positions whose member answers but is not ready.
func (p *planner) unready(g *Group) []vacancy {
	return p.vacancies(g, func(_ int, f fault) bool { return f.symptom == symptomUnready })
}

func (p *planner) slow(g *Group) []vacancy {
	return p.vacancies(g, func(_ int, f fault) bool { return f.symptom == symptomSlow })
}

func (p *planner) vacancies(g *Group, match func(int, fault) bool) []vacancy {
	var found []vacancy
	t := p.targetOf(g.Placement)
	for i, name := range g.Placement.Members {
		if f := p.fault(p.hosts[name], name, t, g.Placement); match(i, f) {
			found = append(found, vacancy{i, f})
		}
	}
	return found
}

// stuckAt is when loads that began with the placement's last change count as
// failed.
func (p *planner) stuckAt(g *Group) time.Time {
	return g.Placement.Changed.Add(time.Duration(p.in.Policy.StuckLoads) * p.in.Policy.LoadTime)
}

// overdue reports whether the group loads for longer than it should take.
func (p *planner) overdue(g *Group) bool {
	return g.Placement.Phase == object.PhaseLoading && !p.in.Now.Before(p.stuckAt(g))
}

// stuck reports whether the member at the position had its time to load. One
// that reports the right load gets several times as long: loads that are
// slower than expected are no faster on another host.
func (p *planner) stuck(g *Group, position int) bool {
	if !p.overdue(g) {
		return false
	}
	member := p.hosts[g.Placement.Members[position]]
	return !member.holds(p.targetOf(g.Placement)) || p.outOfPatience(g)
}

// outOfPatience reports whether even loads that are under way count as failed.
func (p *planner) outOfPatience(g *Group) bool {
	patience := p.stuckAt(g).Sub(g.Placement.Changed) * slowLoadFactor
	return !p.in.Now.Before(g.Placement.Changed.Add(patience))
}

// staged returns usable hosts that load as replacements, by position.
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

// stagedTarget is what replacements must hold.
func (p *planner) stagedTarget(g *Group, staged map[int]*Host) *target {
	return &target{g.Name, g.Placement.Generation + 1, g.Spec.Model, g.Spec.ModelVersion, p.addresses(nextMembers(g, staged))}
}

// nextMembers returns the members once the replacements took their positions.
func nextMembers(g *Group, staged map[int]*Host) []string {
	members := slices.Clone(g.Placement.Members)
	for position, h := range staged {
		members[position] = h.Name
	}
	return members
}

// repair plans a group with lost members.
func (p *planner) repair(g *Group, lost []vacancy, staged map[int]*Host, all []Group) {
	if serving(g) && p.inGrace(lost) {
		p.wait(g, lost[0].fault.since.Add(p.in.Policy.Grace), lost[0].fault.reason, lost[0].fault.message)
		return
	}
	positions, moving := p.neededPositions(g, lost, staged)
	open := positionsWithout(positions, staged)
	switch {
	case len(open) > 0 || p.stuckStaged(g, staged):
		p.prepare(g, lost, staged, all)
	case !p.allReady(g, staged):
		if serving(g) {
			p.markBroken(g, lost)
		}
		p.loadStaged(g, staged)
		p.loadMembers(g, staged)
		p.wait(g, p.stuckAt(g), lost[0].fault.reason, p.describe(lost)+"; "+strings.Join(stagedNames(staged), ", ")+" load as replacement")
	case p.draining(g, lost):
		p.wait(g, g.Placement.Changed.Add(p.in.Policy.Drain), lost[0].fault.reason, "the replacement is ready; waiting for streams of the leaving member to end")
	default:
		p.replace(g, staged, moving, p.describe(lost)+" and its replacement is ready first")
	}
}

func (p *planner) inGrace(lost []vacancy) bool {
	for _, v := range lost {
		if !v.fault.returns() || p.in.Now.Sub(v.fault.since) >= p.in.Policy.Grace {
			return false
		}
	}
	return true
}

func (p *planner) markBroken(g *Group, lost []vacancy) {
	p.add(p.change(g, KindMarkBroken, object.PhaseBroken, lost[0].fault.reason, p.describe(lost)))
}

// draining reports whether streams of a planned replacement may still end.
func (p *planner) draining(g *Group, lost []vacancy) bool {
	for _, v := range lost {
		if v.fault.symptom != symptomLeaving {
			return false
		}
	}
	return p.in.Now.Before(g.Placement.Changed.Add(p.in.Policy.Drain))
}

// neededPositions returns the positions that need a replacement: the lost
// ones, or all where the replacements lie in another fabric domain.
func (p *planner) neededPositions(g *Group, lost []vacancy, staged map[int]*Host) (positions []int, moving bool) {
	if p.moving(g, staged) {
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

func (p *planner) moving(g *Group, staged map[int]*Host) bool {
	for _, h := range staged {
		if h.FabricDomain != g.Placement.FabricDomain {
			return true
		}
	}
	return false
}

func positionsWithout(positions []int, staged map[int]*Host) []int {
	var open []int
	for _, position := range positions {
		if h := staged[position]; h == nil || !h.usable() {
			open = append(open, position)
		}
	}
	return open
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

// stuckStaged reports whether replacements failed to load in time.
func (p *planner) stuckStaged(g *Group, staged map[int]*Host) bool {
	if serving(g) || len(staged) == 0 || p.allReady(g, staged) || p.in.Now.Before(p.stuckAt(g)) {
		return false
	}
	t := p.stagedTarget(g, staged)
	for _, h := range staged {
		if !h.holds(t) {
			return true
		}
	}
	return p.outOfPatience(g)
}

// replace puts the loaded replacements in place.
func (p *planner) replace(g *Group, staged map[int]*Host, moving bool, message string) {
	members := nextMembers(g, staged)
	step := p.change(g, KindReplace, object.PhaseLoading, "Replaced", message)
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
		// Hosts of a group that moves as a whole finish their streams.
		if !slices.Contains(members, h.Name) && !moving {
			step.Releases = append(step.Releases, h.Name)
		}
	}
	p.add(step)
}
