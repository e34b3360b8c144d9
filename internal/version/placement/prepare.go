package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/version/object"
)

// prepare claims free hosts that load while the group waits for the lost
// members. If too few hosts are free, it looks for hosts of other groups.
func (p *planner) prepare(g *Group, lost []memberFault, staged map[int]*Host, all []Group) {
	keep, releases := p.splitStaged(g, lost, staged)
	vacant := vacantPositions(positionsOf(lost), keep)
	domain := g.Placement.FabricDomain
	prepareAt := p.prepareAt(g, lost)
	p.loadStaged(g, keep)
	switch {
	case p.in.Now.Before(prepareAt):
		p.closeAndWait(g, lost, releases, prepareAt, "a load of the weight store would more likely be wasted than used")
	case !p.mayLoad(g.Name):
		p.closeAndWait(g, lost, releases, p.in.Now.Add(p.in.Policy.LoadTime), fmt.Sprintf("the weight store already serves %d loads, its limit", len(p.loading)))
	case len(p.spares[domain]) >= len(vacant):
		hosts := p.takeSpares(domain, len(vacant))
		p.stage(g, lost, vacant, hosts, releases, Step{Kind: KindPrepare})
	case p.fittingDomain(len(g.Placement.Members), domain) != "":
		other := p.fittingDomain(len(g.Placement.Members), domain)
		hosts := p.takeSpares(other, len(g.Placement.Members))
		p.stage(g, lost, positionsUpTo(len(hosts)), hosts, stagedNames(staged), Step{Kind: KindPrepare})
	default:
		p.prepareFromOthers(g, lost, vacant, releases, all)
	}
}

// prepareFromOthers takes hosts of another broken group or of a group of lower
// worth, once waiting for the lost members is no longer worth it.
func (p *planner) prepareFromOthers(g *Group, lost []memberFault, vacant []int, releases []string, all []Group) {
	domain := g.Placement.FabricDomain
	giveUpAt := p.giveUpAt(lost)
	if p.in.Now.Before(giveUpAt) {
		p.closeAndWait(g, lost, releases, giveUpAt, fmt.Sprintf("fabric domain %s has %d of %d free hosts", domain, len(p.spares[domain]), len(vacant)))
		return
	}
	if donor := p.brokenDonor(g, domain, len(vacant), len(lost), all); donor != nil {
		step := Step{Kind: KindJoin}
		hosts := p.takeDonorHosts(g, donor, len(vacant), &step)
		p.stage(g, lost, vacant, hosts, releases, step)
		return
	}
	if donor := p.lowerWorthDonor(g, domain, len(vacant), p.expectedAbsence(lost), all); donor != nil {
		if serving(g) {
			p.markBroken(g, lost)
		}
		p.giveUp(g, donor)
		return
	}
	p.closeAndWait(g, lost, releases, time.Time{}, fmt.Sprintf("fabric domain %s has %d of %d free hosts and no other group may be given up", domain, len(p.spares[domain]), len(vacant)))
}

// splitStaged splits replacements into those that are still useful and those to
// be released.
func (p *planner) splitStaged(g *Group, lost []memberFault, staged map[int]*Host) (keep map[int]*Host, releases []string) {
	keep = map[int]*Host{}
	loadFailed := p.replacementLoadFailed(g, staged)
	needed := positionsOf(lost)
	for position, h := range staged {
		useful := slices.Contains(needed, position) && h.FabricDomain == g.Placement.FabricDomain
		failed := !h.usable() || loadFailed && !h.ready(p.stagedTarget(g, staged))
		if useful && !failed {
			keep[position] = h
		} else {
			releases = append(releases, h.Name)
		}
	}
	slices.Sort(releases)
	return keep, releases
}

// stage completes and adds the step that claims hosts as replacements for the
// given positions.
func (p *planner) stage(g *Group, lost []memberFault, positions []int, hosts []*Host, releases []string, step Step) {
	probability, load := p.estimateReturn(g, lost)
	message := fmt.Sprintf("%s; chance of a return %.0f%%, loading a replacement takes about %s: %s load beside the wait",
		p.describe(lost), 100*probability, load, hostNames(hosts))
	base := p.phaseStep(g, step.Kind, p.phaseWhilePreparing(g, lost), lost[0].fault.reason, message)
	step.Group = g.Name
	step.Reason = base.Reason
	step.Message = message
	step.Placements = append(base.Placements, step.Placements...)
	step.Releases = append(step.Releases, releases...)
	for i, position := range positions {
		claim := Claim{g.Name, g.Placement.Generation + 1, position}
		step.Claims = append(step.Claims, HostClaim{hosts[i].Name, claim})
		step.Releases = slices.DeleteFunc(step.Releases, func(name string) bool { return name == hosts[i].Name })
	}
	p.loading[g.Name] = true
	p.add(step)
}

// phaseWhilePreparing returns the current phase if no member prevents the group
// from serving, otherwise PhaseBroken.
func (p *planner) phaseWhilePreparing(g *Group, lost []memberFault) object.Phase {
	for _, v := range lost {
		if v.fault.preventsServing() {
			return object.PhaseBroken
		}
	}
	return g.Placement.Phase
}

// closeAndWait closes the group, releases the given replacements and waits. Past
// the load deadline it also sends load orders to members again.
func (p *planner) closeAndWait(g *Group, lost []memberFault, releases []string, until time.Time, why string) {
	if serving(g) {
		p.markBroken(g, lost)
	}
	if len(releases) > 0 {
		p.add(Step{Kind: KindRelease, Group: g.Name, Releases: releases, Reason: "ReplacementFailed",
			Message: fmt.Sprintf("%s did not become ready in time or are no longer needed", strings.Join(releases, ", "))})
	}
	if p.loadOverdue(g) {
		p.loadMembers(g, nil)
	}
	probability, load := p.estimateReturn(g, lost)
	p.wait(g, until, lost[0].fault.reason, fmt.Sprintf("%s; chance of a return %.0f%%, loading a replacement takes about %s; %s", p.describe(lost), 100*probability, load, why))
}

// estimateReturn returns the probability that all lost members return, and the
// time until replacements have loaded.
func (p *planner) estimateReturn(g *Group, lost []memberFault) (probability float64, load time.Duration) {
	probability = 1
	for _, v := range lost {
		probability = min(probability, v.fault.returnModel(&p.in.Policy).ProbabilityAfter(p.silentFor(v)))
	}
	return probability, p.loadTime(g)
}

// silentFor returns how long the fault of the member has lasted.
func (p *planner) silentFor(v memberFault) time.Duration { return p.in.Now.Sub(v.fault.since) }

// loadTime returns the expected time until a load that is requested now
// completes. A load that must wait for another one is expected to take one and a
// half load times.
func (p *planner) loadTime(g *Group) time.Duration {
	if p.mayLoad(g.Name) {
		return p.in.Policy.LoadTime
	}
	return p.in.Policy.LoadTime * 3 / 2
}

// prepareAt returns when loading replacements becomes worth its cost. Members that
// were lost together return together, so the one least likely to return decides.
func (p *planner) prepareAt(g *Group, lost []memberFault) time.Time {
	waste := p.wastedLoadCost(g)
	at := lost[0].fault.since.Add(Never / 2)
	for _, v := range lost {
		after := v.fault.returnModel(&p.in.Policy).PrepareAfter(waste)
		if t := v.fault.since.Add(min(after, Never/2)); t.Before(at) {
			at = t
		}
	}
	return at
}

// wastedLoadCost returns the cost of a load that turns out to be needless. If
// another group waits for the last free load of the weight store, its delay is
// part of the cost.
func (p *planner) wastedLoadCost(g *Group) time.Duration {
	load := p.in.Policy.LoadTime
	cost := time.Duration(p.in.Policy.WastedLoadCostShare * float64(load))
	free := p.in.Policy.ConcurrentLoads - len(p.loading)
	if p.waitingForLoad-1 >= free && !p.loading[g.Name] {
		cost += load / time.Duration(p.in.Policy.ConcurrentLoads)
	}
	return cost
}

// giveUpAt returns when the group should stop waiting for its lost members.
func (p *planner) giveUpAt(lost []memberFault) time.Time {
	at := lost[0].fault.since.Add(Never / 2)
	for _, v := range lost {
		after := v.fault.returnModel(&p.in.Policy).GiveUpAfter(p.in.Policy.LoadTime)
		if t := v.fault.since.Add(min(after, Never/2)); t.Before(at) {
			at = t
		}
	}
	return at
}

// expectedAbsence returns the expected time until all lost members are back
// without being replaced.
func (p *planner) expectedAbsence(lost []memberFault) time.Duration {
	longest := time.Duration(0)
	for _, v := range lost {
		model := v.fault.returnModel(&p.in.Policy)
		probability := model.ProbabilityAfter(p.silentFor(v))
		expected := probability*model.Mean.Seconds() + (1-probability)*p.in.Policy.RepairTime.Seconds()
		longest = max(longest, time.Duration(expected*float64(time.Second)))
	}
	return longest
}

// replaceSlow loads replacements for slow members while the group serves.
func (p *planner) replaceSlow(g *Group, slow []memberFault, staged map[int]*Host) {
	vacant := vacantPositions(positionsOf(slow), staged)
	cooledDown := p.in.Now.Sub(g.Placement.Changed) >= p.in.Policy.StragglerCooldown
	switch {
	case len(vacant) == 0 && p.allReady(g, staged):
		p.replace(g, staged, false, p.describe(slow)+" and its replacement is ready")
	case len(vacant) == 0:
		p.loadStaged(g, staged)
	case cooledDown && p.fastSpares(g.Placement.FabricDomain) >= len(vacant) && p.mayLoad(g.Name):
		hosts := p.takeSpares(g.Placement.FabricDomain, len(vacant))
		p.stage(g, slow, vacant, hosts, nil, Step{Kind: KindPrepare})
	}
}

// fastSpares counts the free hosts that are not slow. They come first in the list
// of spares, so takeSpares returns them before slow ones.
func (p *planner) fastSpares(domain string) int {
	n := 0
	for _, h := range p.spares[domain] {
		if h.SlowSince.IsZero() {
			n++
		}
	}
	return n
}

// describe returns the message of the first fault and the number of others.
func (p *planner) describe(lost []memberFault) string {
	if len(lost) == 1 {
		return lost[0].fault.message
	}
	return fmt.Sprintf("%s and %d more", lost[0].fault.message, len(lost)-1)
}

func positionsOf(lost []memberFault) []int {
	positions := make([]int, len(lost))
	for i, v := range lost {
		positions[i] = v.position
	}
	return positions
}

// positionsUpTo returns the positions 0 to n-1.
func positionsUpTo(n int) []int {
	positions := make([]int, n)
	for i := range positions {
		positions[i] = i
	}
	return positions
}
