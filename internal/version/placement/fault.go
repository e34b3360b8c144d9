package placement

import (
	"fmt"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

// symptom tells in which way a member is missing.
type symptom int

const (
	symptomNone symptom = iota
	symptomSlow
	symptomUnready
	symptomLeaving
	symptomSilent
	symptomDark
	symptomCrashed
)

// fault is the reason why a member does not count.
type fault struct {
	symptom symptom
	since   time.Time
	reason  string
	message string
}

// missing reports whether the group must not serve with the fault.
func (f fault) missing() bool { return f.symptom > symptomSlow }

// returns reports whether the member may come back with its weights.
func (f fault) returns() bool { return f.symptom == symptomSilent || f.symptom == symptomDark }

// model returns how hosts with the fault come back.
func (f fault) model(policy *Policy) ReturnModel {
	switch f.symptom {
	case symptomSilent:
		return policy.Silent
	case symptomDark:
		return policy.Dark
	default:
		return ReturnModel{}
	}
}

// reachable reports whether the host takes orders.
func (h *Host) reachable() bool {
	return h.Listed && h.Observed && h.Failed.IsZero()
}

// usable reports whether the host may take part in a group.
func (h *Host) usable() bool {
	return h.reachable() && !h.Leaving && !h.Drain
}

// spare reports whether the host is usable and free.
func (h *Host) spare() bool { return h.usable() && h.Claim.Group == "" }

// target is what a claimed host must hold.
type target struct {
	group        string
	generation   int64
	model        string
	modelVersion string
	// addresses are those of all members, the leader first.
	addresses []string
}

// ready reports whether the host holds the target.
func (h *Host) ready(t *target) bool {
	return h.reachable() && h.State.State == endpoint.EngineReady && h.holds(t)
}

// holds reports whether the host holds or loads the target.
func (h *Host) holds(t *target) bool {
	s := &h.State
	return s.State != endpoint.EngineIdle &&
		s.Group == t.group &&
		s.Generation == t.generation &&
		s.Model == t.model &&
		s.ModelVersion == t.modelVersion &&
		(len(s.Members) == 0 || slices.Equal(s.Members, t.addresses))
}

// hasWeights reports whether the host has the target's weights, for whatever
// generation, so that it needs no load from the weight store.
func (h *Host) hasWeights(t *target) bool {
	s := &h.State
	return s.State == endpoint.EngineReady && s.Group == t.group && s.Model == t.model && s.ModelVersion == t.modelVersion
}

// fault returns why the member keeps its placement from serving. h is nil for
// a host that the controller knows nothing of.
func (p *planner) fault(h *Host, name string, t *target, placement *object.Placement) fault {
	now := p.in.Now
	switch {
	case h == nil || !h.Listed:
		return fault{symptomCrashed, time.Time{}, "MemberLost", fmt.Sprintf("member %s is gone from the host list", name)}
	case !h.Failed.IsZero() && h.Refused:
		return fault{symptomCrashed, h.Failed, "MemberCrashed", fmt.Sprintf("the engine of member %s is not running", name)}
	case !h.Failed.IsZero() && p.dark[h.FabricDomain]:
		return fault{symptomDark, h.Failed, "FabricDomainDark", fmt.Sprintf("member %s and most of fabric domain %s have not answered for %s", name, h.FabricDomain, seconds(now.Sub(h.Failed)))}
	case !h.Failed.IsZero():
		return fault{symptomSilent, h.Failed, "MemberSilent", fmt.Sprintf("member %s has not answered for %s", name, seconds(now.Sub(h.Failed)))}
	case h.Leaving:
		return fault{symptomLeaving, now, "MemberLeaving", fmt.Sprintf("member %s is leaving", name)}
	case h.Drain:
		return fault{symptomLeaving, now, "MemberDrained", fmt.Sprintf("an operator drains member %s", name)}
	case !h.ready(t):
		return fault{symptomUnready, placement.Changed, "MemberNotReady", fmt.Sprintf("member %s is %s and does not hold generation %d", name, h.State.State, placement.Generation)}
	case !h.SlowSince.IsZero() && now.Sub(h.SlowSince) >= p.in.Policy.StragglerAfter:
		return fault{symptomSlow, h.SlowSince, "MemberSlow", fmt.Sprintf("member %s has been much slower than its peers for %s", name, seconds(now.Sub(h.SlowSince)))}
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

func seconds(d time.Duration) time.Duration { return d.Round(time.Second) }

// darkDomains returns the fabric domains of which at least the share of hosts
// is silent, and more than one.
func darkDomains(hosts []Host, share float64) map[string]bool {
	all, silent := map[string]int{}, map[string]int{}
	for i := range hosts {
		h := &hosts[i]
		if !h.Listed {
			continue
		}
		all[h.FabricDomain]++
		if !h.Failed.IsZero() && !h.Refused {
			silent[h.FabricDomain]++
		}
	}
	dark := map[string]bool{}
	for domain, n := range silent {
		dark[domain] = n > 1 && float64(n) >= share*float64(all[domain])
	}
	return dark
}
