package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/version/object"
)

// prepare claims hosts that load beside the wait for the lost members, or
// looks for hosts of other groups where there are none.
func (p *planner) prepare(g *Group, lost []vacancy, staged map[int]*Host, all []Group) {
	keep, releases := p.keepStaged(g, lost, staged)
	open := positionsWithout(positionsOf(lost), keep)
	domain := g.Placement.FabricDomain
	worthAt := p.prepareAt(g, lost)
	p.loadStaged(g, keep)
	switch {
	case p.in.Now.Before(worthAt):
		p.hold(g, lost, releases, worthAt, "a load of the weight store would more likely be wasted than used")
	case !p.mayLoad(g.Name):
		p.hold(g, lost, releases, p.in.Now.Add(p.in.Policy.LoadTime), fmt.Sprintf("the weight store already serves %d loads, its limit", len(p.loading)))
	case len(p.spares[domain]) >= len(open):
		hosts := p.takeSpares(domain, len(open))
		p.stage(g, lost, open, hosts, releases, Step{Kind: KindPrepare})
	case p.fittingDomain(len(g.Placement.Members), domain) != "":
		other := p.fittingDomain(len(g.Placement.Members), domain)
		hosts := p.takeSpares(other, len(g.Placement.Members))
		p.stage(g, lost, positionsUpTo(len(hosts)), hosts, stagedNames(staged), Step{Kind: KindPrepare})
	default:
		p.prepareFromOthers(g, lost, open, releases, all)
	}
}

// prepareFromOthers takes hosts of another broken group or of one of lower
// worth, once waiting for the lost members no longer pays.
func (p *planner) prepareFromOthers(g *Group, lost []vacancy, open []int, releases []string, all []Group) {
	domain := g.Placement.FabricDomain
	giveUpAt := p.giveUpAt(lost)
	if p.in.Now.Before(giveUpAt) {
		p.hold(g, lost, releases, giveUpAt, fmt.Sprintf("fabric domain %s has %d of %d free hosts", domain, len(p.spares[domain]), len(open)))
		return
	}
	if donor := p.brokenDonor(g, domain, len(open), len(lost), all); donor != nil {
		step := Step{Kind: KindJoin}
		hosts := p.dissolve(g, donor, len(open), &step)
		p.stage(g, lost, open, hosts, releases, step)
		return
	}
	if donor := p.lowerWorthDonor(g, domain, len(open), p.absence(lost), all); donor != nil {
		if serving(g) {
			p.markBroken(g, lost)
		}
		p.giveUp(g, donor)
		return
	}
	p.hold(g, lost, releases, time.Time{}, fmt.Sprintf("fabric domain %s has %d of %d free hosts and no other group may be given up", domain, len(p.spares[domain]), len(open)))
}

// keepStaged splits replacements into those that still help and those to be
// released.
func (p *planner) keepStaged(g *Group, lost []vacancy, staged map[int]*Host) (keep map[int]*Host, releases []string) {
	keep = map[int]*Host{}
	stuck := p.stuckStaged(g, staged)
	needed := positionsOf(lost)
	for position, h := range staged {
		useful := slices.Contains(needed, position) && h.FabricDomain == g.Placement.FabricDomain
		failed := !h.usable() || stuck && !h.ready(p.stagedTarget(g, staged))
		if useful && !failed {
			keep[position] = h
		} else {
			releases = append(releases, h.Name)
		}
	}
	slices.Sort(releases)
	return keep, releases
}

// stage commits hosts as replacements for the given positions.
func (p *planner) stage(g *Group, lost []vacancy, positions []int, hosts []*Host, releases []string, step Step) {
	chance, load := p.weigh(g, lost)
	message := fmt.Sprintf("%s; chance of a return %.0f%%, loading a replacement takes about %s: %s load beside the wait",
		p.describe(lost), 100*chance, load, hostNames(hosts))
	base := p.change(g, step.Kind, p.phaseWhilePreparing(g, lost), lost[0].fault.reason, message)
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

// phaseWhilePreparing keeps a group open whose members are all there.
func (p *planner) phaseWhilePreparing(g *Group, lost []vacancy) object.Phase {
	for _, v := range lost {
		if v.fault.missing() {
			return object.PhaseBroken
		}
	}
	return g.Placement.Phase
}

// hold closes the group, frees replacements that failed and waits.
func (p *planner) hold(g *Group, lost []vacancy, releases []string, until time.Time, why string) {
	if serving(g) {
		p.markBroken(g, lost)
	}
	if len(releases) > 0 {
		p.add(Step{Kind: KindRelease, Group: g.Name, Releases: releases, Reason: "ReplacementFailed",
			Message: fmt.Sprintf("%s did not become ready in time or are no longer needed", strings.Join(releases, ", "))})
	}
	if p.overdue(g) {
		p.loadMembers(g, nil)
	}
	chance, load := p.weigh(g, lost)
	p.wait(g, until, lost[0].fault.reason, fmt.Sprintf("%s; chance of a return %.0f%%, loading a replacement takes about %s; %s", p.describe(lost), 100*chance, load, why))
}

// weigh returns the chance that all lost members return, and the time to load
// replacements at the weight store's rate.
func (p *planner) weigh(g *Group, lost []vacancy) (chance float64, load time.Duration) {
	chance = 1
	for _, v := range lost {
		chance = min(chance, v.fault.model(&p.in.Policy).ChanceAfter(p.silence(v)))
	}
	return chance, p.loadTime(g)
}

func (p *planner) silence(v vacancy) time.Duration { return p.in.Now.Sub(v.fault.since) }

// loadTime is the time until a load that is asked for now is complete.
func (p *planner) loadTime(g *Group) time.Duration {
	if p.mayLoad(g.Name) {
		return p.in.Policy.LoadTime
	}
	return p.in.Policy.LoadTime * 3 / 2
}

// prepareAt is when loading replacements is worth its cost. Members that were
// lost together return together, so the one least likely to return decides.
func (p *planner) prepareAt(g *Group, lost []vacancy) time.Time {
	waste := p.waste(g)
	at := lost[0].fault.since.Add(Never / 2)
	for _, v := range lost {
		after := v.fault.model(&p.in.Policy).PrepareAfter(waste)
		if t := v.fault.since.Add(min(after, Never/2)); t.Before(at) {
			at = t
		}
	}
	return at
}

// waste is the cost of a load that turns out to be needless: where another
// group waits for the last free load, that group waits in vain.
func (p *planner) waste(g *Group) time.Duration {
	load := p.in.Policy.LoadTime
	waste := time.Duration(p.in.Policy.LoadWaste * float64(load))
	free := p.in.Policy.ConcurrentLoads - len(p.loading)
	if p.starved-1 >= free && !p.loading[g.Name] {
		waste += load / time.Duration(p.in.Policy.ConcurrentLoads)
	}
	return waste
}

// giveUpAt is when the group is better off without its lost members.
func (p *planner) giveUpAt(lost []vacancy) time.Time {
	at := lost[0].fault.since.Add(Never / 2)
	for _, v := range lost {
		after := v.fault.model(&p.in.Policy).GiveUpAfter(p.in.Policy.LoadTime)
		if t := v.fault.since.Add(min(after, Never/2)); t.Before(at) {
			at = t
		}
	}
	return at
}

// absence is the expected time until all lost members are back by themselves.
func (p *planner) absence(lost []vacancy) time.Duration {
	longest := time.Duration(0)
	for _, v := range lost {
		model := v.fault.model(&p.in.Policy)
		chance := model.ChanceAfter(p.silence(v))
		expected := chance*model.Mean.Seconds() + (1-chance)*p.in.Policy.RepairTime.Seconds()
		longest = max(longest, time.Duration(expected*float64(time.Second)))
	}
	return longest
}

// replaceSlow loads replacements for slow members while the group serves.
func (p *planner) replaceSlow(g *Group, slow []vacancy, staged map[int]*Host) {
	open := positionsWithout(positionsOf(slow), staged)
	rested := p.in.Now.Sub(g.Placement.Changed) >= p.in.Policy.StragglerPause
	switch {
	case len(open) == 0 && p.allReady(g, staged):
		p.replace(g, staged, false, p.describe(slow)+" and its replacement is ready")
	case len(open) == 0:
		p.loadStaged(g, staged)
	case rested && p.fastSpares(g.Placement.FabricDomain) >= len(open) && p.mayLoad(g.Name):
		hosts := p.takeSpares(g.Placement.FabricDomain, len(open))
		p.stage(g, slow, open, hosts, nil, Step{Kind: KindPrepare})
	}
}

// fastSpares counts free hosts that were not found slow; they come first in
// the list of spares.
func (p *planner) fastSpares(domain string) int {
	n := 0
	for _, h := range p.spares[domain] {
		if h.SlowSince.IsZero() {
			n++
		}
	}
	return n
}

func (p *planner) describe(lost []vacancy) string {
	if len(lost) == 1 {
		return lost[0].fault.message
	}
	return fmt.Sprintf("%s and %d more", lost[0].fault.message, len(lost)-1)
}

func positionsOf(lost []vacancy) []int {
	positions := make([]int, len(lost))
	for i, v := range lost {
		positions[i] = v.position
	}
	return positions
}

func positionsUpTo(n int) []int {
	positions := make([]int, n)
	for i := range positions {
		positions[i] = i
	}
	return positions
}
