package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"currantladder.example/currantladder/internal/version/object"
)

// form claims hosts for a group without members.
func (p *planner) form(g *Group, all []Group) {
	domain := p.fittingDomain(g.Spec.Members, "")
	switch {
	case domain == "":
		p.formFromOthers(g, all)
	case !p.mayLoad(g.Name):
		p.waitForStore(g)
	default:
		hosts := p.takeSpares(domain, g.Spec.Members)
		message := fmt.Sprintf("%d free hosts of fabric domain %s form the group; loading takes about %s", len(hosts), domain, p.in.Policy.LoadTime)
		p.formOn(g, hosts, Step{Kind: KindForm, Reason: "Formed", Message: message})
	}
}

// formFromOthers looks for hosts that other groups claim.
func (p *planner) formFromOthers(g *Group, all []Group) {
	short := fmt.Sprintf("no fabric domain of %s has %d free hosts", p.in.FailureDomain, g.Spec.Members)
	if !p.mayLoad(g.Name) {
		p.waitForStore(g)
		return
	}
	if donor := p.brokenDonor(g, "", g.Spec.Members, 0, all); donor != nil {
		p.formFromBroken(g, donor)
		return
	}
	if donor := p.lowerWorthDonor(g, "", g.Spec.Members, p.in.Policy.RepairTime, all); donor != nil {
		p.giveUp(g, donor)
		return
	}
	p.wait(g, p.in.Now.Add(p.in.Policy.LoadTime), "NoHosts", short+" and no other group may be given up for it; add hosts or lower the number of members")
}

// waitForStore adds a wait for a free load of the weight store.
func (p *planner) waitForStore(g *Group) {
	message := fmt.Sprintf("the weight store already serves %d loads, its limit", len(p.loading))
	p.wait(g, p.in.Now.Add(p.in.Policy.LoadTime), "WeightStoreBusy", message)
}

// formOn completes the step with a new placement on the given hosts.
func (p *planner) formOn(g *Group, hosts []*Host, step Step) {
	step.Group = g.Name
	placement := &object.Placement{
		Group:         g.Name,
		Generation:    p.nextGeneration(g),
		FailureDomain: p.in.FailureDomain,
		FabricDomain:  hosts[0].FabricDomain,
		Model:         g.Spec.Model,
		ModelVersion:  g.Spec.ModelVersion,
		Phase:         object.PhaseLoading,
		Epoch:         p.in.Epoch,
		Reason:        step.Reason,
		Message:       step.Message,
		Changed:       p.in.Now,
	}
	for i, h := range hosts {
		placement.Members = append(placement.Members, h.Name)
		step.Claims = append(step.Claims, HostClaim{h.Name, Claim{g.Name, placement.Generation, i}})
	}
	step.Placements = append([]*object.Placement{placement}, step.Placements...)
	p.loading[g.Name] = true
	p.add(step)
}

// nextGeneration returns a generation above every one that a host may still
// report or be claimed under, also of a deleted group of this name.
func (p *planner) nextGeneration(g *Group) int64 {
	generation := int64(0)
	if g.Placement != nil {
		generation = g.Placement.Generation
	}
	for i := range p.in.Hosts {
		h := &p.in.Hosts[i]
		if h.State.Group == g.Name {
			generation = max(generation, h.State.Generation)
		}
		if h.Claim.Group == g.Name {
			generation = max(generation, h.Claim.Generation)
		}
	}
	return generation + 1
}

// fittingDomain returns the fabric domain with the fewest free hosts among those
// that have at least n and are not in outage, ignoring the domain except; "" if
// there is none.
func (p *planner) fittingDomain(n int, except string) string {
	best := ""
	for domain, spares := range p.spares {
		if domain == except || len(spares) < n || p.domainOutage[domain] {
			continue
		}
		better := best == "" || len(spares) < len(p.spares[best])
		tie := best != "" && len(spares) == len(p.spares[best]) && domain < best
		if better || tie {
			best = domain
		}
	}
	return best
}

// takeSpares removes the n most suitable spares of the domain and returns them.
func (p *planner) takeSpares(domain string, n int) []*Host {
	hosts := slices.Clone(p.spares[domain][:n])
	p.spares[domain] = p.spares[domain][n:]
	return hosts
}

// brokenDonor returns a broken group from which g may take hosts, or nil. The
// donor is in the fabric domain (any domain if it is ""), it cannot be repaired,
// waiting for its members is no longer worth it, and its usable members together
// with the free hosts are at least need. lostMembers is the number of lost members
// of g.
func (p *planner) brokenDonor(g *Group, domain string, need, lostMembers int, all []Group) *Group {
	for i := range slices.Backward(all) {
		donor := &all[i]
		if donor.Name == g.Name || p.decided[donor.Name] || !placed(donor) || donor.Spec == nil {
			continue
		}
		if domain != "" && donor.Placement.FabricDomain != domain || donor.Placement.FailureDomain != p.in.FailureDomain {
			continue
		}
		donorLost := p.lost(donor)
		if len(donorLost) == 0 || p.in.Now.Before(p.giveUpAt(donorLost)) || p.canRepair(donor, donorLost) {
			continue
		}
		if !takesPrecedence(g, donor, lostMembers, len(donorLost)) {
			continue
		}
		if len(p.usableMembers(donor))+len(p.spares[donor.Placement.FabricDomain]) >= need {
			return donor
		}
	}
	return nil
}

// takesPrecedence reports whether g may take the hosts of a broken donor that
// cannot be repaired. A group without members always may; of two broken groups,
// the one with the higher worth, then with fewer lost members, is kept.
func takesPrecedence(g, donor *Group, lostMembers, donorLostMembers int) bool {
	switch {
	case !placed(g):
		return true
	case worth(g) != worth(donor):
		return worth(g) > worth(donor)
	case lostMembers != donorLostMembers:
		return lostMembers < donorLostMembers
	default:
		return g.Name < donor.Name
	}
}

// canRepair reports whether replacements that are already claimed and free hosts
// are enough to repair the group.
func (p *planner) canRepair(g *Group, lost []memberFault) bool {
	staged := p.staged(g)
	vacant := vacantPositions(positionsOf(lost), staged)
	return p.movesDomain(g, staged) || len(p.spares[g.Placement.FabricDomain]) >= len(vacant) || p.fittingDomain(len(g.Placement.Members), g.Placement.FabricDomain) != ""
}

// lowerWorthDonor returns the group of the lowest worth, without lost members,
// whose usable hosts together with the free hosts are at least need and whose
// loss costs less than g gains; nil if there is none. absence is how long g would
// be down otherwise.
func (p *planner) lowerWorthDonor(g *Group, domain string, need int, absence time.Duration, all []Group) *Group {
	for i := range slices.Backward(all) {
		donor := &all[i]
		if !placed(donor) || p.decided[donor.Name] || len(p.lost(donor)) > 0 || !p.gainExceedsCost(g, donor, absence) {
			continue
		}
		if domain != "" && donor.Placement.FabricDomain != domain || donor.Placement.FailureDomain != p.in.FailureDomain {
			continue
		}
		if len(p.usableMembers(donor))+len(p.spares[donor.Placement.FabricDomain]) >= need {
			return donor
		}
	}
	return nil
}

// gainExceedsCost reports whether giving up the donor for g is worth its cost. The
// cost is the donor's worth for the time until g serves; the gain is the
// difference in worth for the remaining part of g's absence. For a donor that is
// already being given up it returns true, so that a started stop is completed.
func (p *planner) gainExceedsCost(g, donor *Group, absence time.Duration) bool {
	if worth(g) <= worth(donor) {
		return false
	}
	if donor.Placement.Reason == reasonGivenUp {
		return true
	}
	switchTime := p.in.Policy.DrainTimeout + p.in.Policy.LoadTime
	cost := float64(worth(donor)) * switchTime.Seconds()
	gain := float64(worth(g)-worth(donor)) * (absence - switchTime).Seconds()
	return gain > cost
}

// usableMembers returns the usable hosts that the group claims.
func (p *planner) usableMembers(g *Group) []*Host {
	var hosts []*Host
	for _, h := range p.claimed[g.Name] {
		if h.usable() {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// giveUp closes a group of lower worth in favour of g.
func (p *planner) giveUp(g *Group, donor *Group) {
	p.givenUpFor[donor.Name] = g.Name
	message := fmt.Sprintf("group %s (worth %d) is given up for group %s (worth %d), which has no other way to become whole", donor.Name, worth(donor), g.Name, worth(g))
	p.wait(g, p.in.Now.Add(p.in.Policy.DrainTimeout), "GivingUpOther", message)
	if donor.Placement.Reason != reasonGivenUp {
		p.decided[donor.Name] = true
		p.add(p.phaseStep(donor, KindGiveUp, object.PhaseBroken, reasonGivenUp, message))
	}
}

// takeDonorHosts takes all hosts from the donor as part of the step. It returns
// need hosts: usable ones of the donor, followed by free hosts of its fabric
// domain. The donor's other hosts are released.
func (p *planner) takeDonorHosts(g, donor *Group, need int, step *Step) []*Host {
	domain := donor.Placement.FabricDomain
	usable := p.usableMembers(donor)
	taken := usable[:min(need, len(usable))]
	for _, h := range p.claimed[donor.Name] {
		if !slices.Contains(taken, h) {
			step.Releases = append(step.Releases, h.Name)
		}
	}
	if more := need - len(taken); more > 0 {
		taken = append(slices.Clone(taken), p.takeSpares(domain, more)...)
	}
	step.Placements = append(step.Placements, p.emptyPlacement(donor, "Joined", fmt.Sprintf("its hosts went to group %s, because neither was whole", g.Name)))
	p.decided[donor.Name] = true
	return taken
}

// formFromBroken forms g on the hosts of a broken group.
func (p *planner) formFromBroken(g, donor *Group) {
	step := Step{Kind: KindJoin, Reason: "Joined"}
	hosts := p.takeDonorHosts(g, donor, g.Spec.Members, &step)
	step.Message = fmt.Sprintf("group %s cannot be repaired and its remaining hosts in fabric domain %s (%s) make group %s whole; loading takes about %s",
		donor.Name, donor.Placement.FabricDomain, hostNames(hosts), g.Name, p.in.Policy.LoadTime)
	p.formOn(g, hosts, step)
}

func hostNames(hosts []*Host) string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	return strings.Join(names, ", ")
}
