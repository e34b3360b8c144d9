package placement

import (
	"fmt"

	"currantladder.example/currantladder/internal/version/object"
)

// rollout changes the model or version of a group. If a complete set of hosts is
// free, they load it while the group keeps serving; otherwise the group is
// closed, drained and loaded in place. Groups of one model change one at a time.
func (p *planner) rollout(g *Group, all []Group) {
	change := fmt.Sprintf("model %s version %s is declared instead of %s version %s", g.Spec.Model, g.Spec.ModelVersion, g.Placement.Model, g.Placement.ModelVersion)
	staged := p.staged(g)
	if !serving(g) {
		p.rolloutClosed(g, staged, change)
		return
	}
	switch {
	case len(staged) == len(g.Placement.Members) && len(vacantPositions(positionsUpTo(len(staged)), staged)) == 0:
		p.rolloutPrepared(g, staged, change)
	case p.otherGroupChanges(g, all):
		p.wait(g, p.in.Now.Add(p.in.Policy.LoadTime), reasonVersionChange, change+"; another group of the model is closed or changes, so this one serves on until then")
	case !p.mayLoad(g.Name):
		p.waitForStore(g)
	default:
		p.rolloutStart(g, staged, change)
	}
}

// rolloutPrepared replaces the members once a complete set of replacements has
// loaded.
func (p *planner) rolloutPrepared(g *Group, staged map[int]*Host, change string) {
	if p.allReady(g, staged) {
		p.replace(g, staged, true, change+" and is loaded on other hosts")
		return
	}
	p.loadStaged(g, staged)
}

// rolloutStart claims a complete set of free hosts, or closes the group where
// there is none.
func (p *planner) rolloutStart(g *Group, staged map[int]*Host, change string) {
	p.rollingOut[g.Spec.Model] = true
	domain := p.fittingDomain(len(g.Placement.Members), "")
	if domain == "" {
		step := p.phaseStep(g, KindMarkBroken, object.PhaseBroken, reasonVersionChange, change+"; its streams end before it loads")
		step.Releases = stagedNames(staged)
		p.add(step)
		return
	}
	hosts := p.takeSpares(domain, len(g.Placement.Members))
	step := p.phaseStep(g, KindPrepare, g.Placement.Phase, reasonVersionChange, change+"; "+hostNames(hosts)+" load it while the group serves on")
	step.Releases = stagedNames(staged)
	for i, h := range hosts {
		step.Claims = append(step.Claims, HostClaim{h.Name, Claim{g.Name, g.Placement.Generation + 1, i}})
	}
	p.loading[g.Name] = true
	p.add(step)
}

// rolloutClosed starts a new generation on the same members once their streams
// have had the drain timeout to end.
func (p *planner) rolloutClosed(g *Group, staged map[int]*Host, change string) {
	until := g.Placement.Changed.Add(p.in.Policy.DrainTimeout)
	if g.Placement.Reason == reasonVersionChange && p.in.Now.Before(until) {
		p.wait(g, until, reasonVersionChange, change+"; waiting for streams to end")
		return
	}
	if !p.mayLoad(g.Name) {
		p.waitForStore(g)
		return
	}
	step := p.phaseStep(g, KindReplace, object.PhaseLoading, reasonVersionChange, change)
	next := step.Placements[0]
	next.Generation = p.nextGeneration(g)
	next.Model = g.Spec.Model
	next.ModelVersion = g.Spec.ModelVersion
	for i, name := range next.Members {
		step.Claims = append(step.Claims, HostClaim{name, Claim{g.Name, next.Generation, i}})
	}
	step.Releases = stagedNames(staged)
	p.loading[g.Name] = true
	p.add(step)
}

// otherGroupChanges reports whether another group of the model is closed or in the
// middle of a change. A group that stays closed delays the others only until its
// load deadline.
func (p *planner) otherGroupChanges(g *Group, all []Group) bool {
	if p.rollingOut[g.Spec.Model] {
		return true
	}
	for i := range all {
		other := &all[i]
		if other.Name == g.Name || other.Spec == nil || other.Spec.Model != g.Spec.Model || !placed(other) {
			continue
		}
		members := len(other.Placement.Members)
		closed := !serving(other) && p.in.Now.Before(p.loadDeadline(other))
		preparing := len(p.staged(other)) == members
		if closed || preparing || p.hasFormerHosts(other) {
			return true
		}
	}
	return false
}

// hasFormerHosts reports whether the group still claims hosts of an earlier
// generation so that their streams can end.
func (p *planner) hasFormerHosts(g *Group) bool {
	for _, h := range p.claimed[g.Name] {
		if h.Claim.Generation < g.Placement.Generation {
			return true
		}
	}
	return false
}
