package placement

import (
	"fmt"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

// symptom classifies what is wrong with a member. Every symptom above
// symptomSlow prevents the group from serving.
type symptom int

const (
	symptomNone symptom = iota
	symptomSlow
	symptomUnready
	symptomLeaving
	symptomSilent
	symptomDomainOutage
	symptomCrashed
)

// fault describes what is wrong with a member; the zero fault means nothing.
type fault struct {
	symptom symptom
	since   time.Time
	reason  string
	message string
}

// preventsServing reports whether the group must not serve while the fault lasts.
func (f fault) preventsServing() bool { return f.symptom > symptomSlow }

// mayReturn reports whether the member may return with its weights still loaded.
func (f fault) mayReturn() bool {
	return f.symptom == symptomSilent || f.symptom == symptomDomainOutage
}

// returnModel returns the model of how hosts with the fault return.
func (f fault) returnModel(policy *Policy) ReturnModel {
	switch f.symptom {
	case symptomSilent:
		return policy.SilentReturn
	case symptomDomainOutage:
		return policy.DomainOutageReturn
	default:
		return ReturnModel{}
	}
}

// reachable reports whether the host takes orders.
func (h *Host) reachable() bool {
	return h.Listed && h.Observed && h.FailingSince.IsZero()
}

// usable reports whether the host may take part in a group.
func (h *Host) usable() bool {
	return h.reachable() && !h.Leaving && !h.Drain
}

// spare reports whether the host is usable and free.
func (h *Host) spare() bool { return h.usable() && h.Claim.Group == "" }

// target is what a claimed host must load.
type target struct {
	group        string
	generation   int64
	model        string
	modelVersion string
	// addresses are the host:port addresses of all members, the leader first.
	addresses []string
}

// ready reports whether the host is reachable and has loaded the target.
func (h *Host) ready(t *target) bool {
	return h.reachable() && h.State.State == endpoint.EngineReady && h.matches(t)
}

// matches reports whether the host has loaded, or is loading, the target.
func (h *Host) matches(t *target) bool {
	s := &h.State
	return s.State != endpoint.EngineIdle &&
		s.Group == t.group &&
		s.Generation == t.generation &&
		s.Model == t.model &&
		s.ModelVersion == t.modelVersion &&
		(len(s.Members) == 0 || slices.Equal(s.Members, t.addresses))
}

// hasWeights reports whether the host has loaded the target's weights for any
// generation of the group, so that it need not read them from the weight store.
func (h *Host) hasWeights(t *target) bool {
	s := &h.State
	return s.State == endpoint.EngineReady && s.Group == t.group && s.Model == t.model && s.ModelVersion == t.modelVersion
}

// detectFault returns the fault of a member, or the zero fault. h is nil if the
// controller has no record of the host.
func (p *planner) detectFault(h *Host, name string, t *target, placement *object.Placement) fault {
	now := p.in.Now
	switch {
	case h == nil || !h.Listed:
		return fault{symptomCrashed, time.Time{}, "MemberLost", fmt.Sprintf("member %s is gone from the host list", name)}
	case !h.FailingSince.IsZero() && h.EngineDown:
		return fault{symptomCrashed, h.FailingSince, "MemberCrashed", fmt.Sprintf("the engine of member %s is not running", name)}
	case !h.FailingSince.IsZero() && p.domainOutage[h.FabricDomain]:
		return fault{symptomDomainOutage, h.FailingSince, "FabricDomainDark", fmt.Sprintf("member %s and most of fabric domain %s have not answered for %s", name, h.FabricDomain, roundToSeconds(now.Sub(h.FailingSince)))}
	case !h.FailingSince.IsZero():
		return fault{symptomSilent, h.FailingSince, "MemberSilent", fmt.Sprintf("member %s has not answered for %s", name, roundToSeconds(now.Sub(h.FailingSince)))}
	case h.Leaving:
		return fault{symptomLeaving, now, "MemberLeaving", fmt.Sprintf("member %s is leaving", name)}
	case h.Drain:
		return fault{symptomLeaving, now, "MemberDrained", fmt.Sprintf("an operator drains member %s", name)}
	case !h.ready(t):
		return fault{symptomUnready, placement.Changed, "MemberNotReady", fmt.Sprintf("member %s is %s and does not hold generation %d", name, h.State.State, placement.Generation)}
	case !h.SlowSince.IsZero() && now.Sub(h.SlowSince) >= p.in.Policy.StragglerMinDuration:
		return fault{symptomSlow, h.SlowSince, "MemberSlow", fmt.Sprintf("member %s has been much slower than its peers for %s", name, roundToSeconds(now.Sub(h.SlowSince)))}
	default:
		return fault{}
	}
}

func (p *planner) targetOf(placement *object.Placement) *target {
	return &target{placement.Group, placement.Generation, placement.Model, placement.ModelVersion, p.addresses(placement.Members)}
}

func (p *planner) addresses(members []string) []string {
	addresses := make([]string, len(members))
	for i, name := range members {
		if h := p.hosts[name]; h != nil {
			addresses[i] = h.Address
		}
	}
	return addresses
}

func roundToSeconds(d time.Duration) time.Duration { return d.Round(time.Second) }

// domainsInOutage returns the fabric domains in which at least minShare of the
// listed hosts, and more than one host, are silent.
func domainsInOutage(hosts []Host, minShare float64) map[string]bool {
	listed, silent := map[string]int{}, map[string]int{}
	for i := range hosts {
		h := &hosts[i]
		if !h.Listed {
			continue
		}
		listed[h.FabricDomain]++
		if !h.FailingSince.IsZero() && !h.EngineDown {
			silent[h.FabricDomain]++
		}
	}
	outage := map[string]bool{}
	for domain, n := range silent {
		outage[domain] = n > 1 && float64(n) >= minShare*float64(listed[domain])
	}
	return outage
}
