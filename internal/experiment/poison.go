package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/forward"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
)

const (
	// topicCount is the number of prompt parts that the requests of a kind share
	// besides the part of the kind.
	topicCount = 40
	// crashedHostDowntime is how long a host is down that a request has crashed.
	crashedHostDowntime = 5 * time.Second
	// hubForwardDelay is how long a hub takes to pass on evidence.
	hubForwardDelay = 20 * time.Millisecond
	// boundAfterFifthCrash is how long after the fifth crash requests with a crashing
	// part may still reach hosts.
	boundAfterFifthCrash = 3 * time.Second
)

// PoisonResult describes a run with prompt parts that crash hosts.
type PoisonResult struct {
	// Sent counts the requests with such a part, CrashedHosts the hosts that they
	// crashed, and ReachedAfterBound the attempts at hosts later than
	// boundAfterFifthCrash after the fifth crash.
	Sent, CrashedHosts, ReachedAfterBound int
	// SoundRefused counts the other requests that a verdict refused.
	SoundRefused int
	// KnownAfter is the time from the first crash until every node refused all
	// crashing parts, 0 if that never was.
	KnownAfter time.Duration
}

// poisonState is the part of a simulation that concerns crashing prompt parts.
type poisonState struct {
	// random chooses the parts of prompts. It is apart from the simulation's random
	// numbers, so that runs without crashing parts do not depend on it.
	random *rand.Rand
	// share is the share of requests with a crashing part, and parts the number of
	// different ones, 0 before the failure starts.
	share   float64
	parts   int
	crashes []time.Duration
}

// startCrashingParts lets a share of the requests hold one of some parts that crash
// hosts, for a time.
func (sim *simulation) startCrashingParts(f FailureSheet) {
	sim.poison.share, sim.poison.parts = f.Share, f.Count
	sim.after(f.Duration, func() { sim.poison.share = 0 })
}

// drawParts gives a new request the parts of its prompt.
func (sim *simulation) drawParts(r *request) {
	r.parts = []string{r.kind.Name, fmt.Sprint(r.kind.Name, " topic ", sim.poison.random.IntN(topicCount))}
	if sim.poison.share > 0 && sim.poison.random.Float64() < sim.poison.share {
		r.crashes = true
		r.parts[1] = crashingPart(sim.poison.random.IntN(sim.poison.parts))
		sim.result.Poison.Sent++
	}
}

func crashingPart(i int) string { return fmt.Sprint("crash ", i) }

// identity is what the nodes know of a request with the given parts.
func (sim *simulation) identity(kind *KindSheet, parts []string) poison.Request {
	r := poison.Request{Class: serviceName + "/" + kind.Model, Whole: poison.Trait(sim.poison.random.Uint64())}
	for _, part := range parts {
		r.Parts = append(r.Parts, poison.PartTrait(serviceName, part))
	}
	return r
}

// refusesPoison refuses a call that is known to crash hosts and reports whether it
// did.
func (n *node) refusesPoison(c *call) bool {
	if !n.policy.findsPoison {
		return false
	}
	decision := n.poisonTracker.Check(c.identity, n == n.nodes[0], n.time())
	c.isTrial = decision.Trial
	if !decision.Refuse {
		return false
	}
	if !c.crashes {
		n.result.Poison.SoundRefused++
	}
	n.finish(c, func() { c.onRefused(0, false) })
	return true
}

// recordBegan records an attempt that went on well after its first event.
func (n *node) recordBegan(c *call, a *attempt) {
	if n.policy.findsPoison && !a.beganWell && a.events > 0 && n.now-a.beganAt >= forward.BeganWellDelay {
		a.beganWell = true
		n.poisonTracker.Began(c.identity, startTime.Add(a.beganAt), n.time())
	}
}

// recordCrash records that an attempt was aborted because its host crashed.
func (n *node) recordCrash(c *call, a *attempt) {
	h := n.hosts.byID[a.host.ID]
	if !n.policy.findsPoison || a.beganWell || h.alive {
		return
	}
	life := fmt.Sprint(a.host.ID, "/", a.host.Started.UnixMilli())
	if findings := n.poisonTracker.Lost(c.identity, life, n.time()); len(findings) > 0 {
		n.endPoisoned()
	}
	n.shareEvidence()
}

// endPoisoned ends the calls that have not begun and are now known to crash hosts.
func (n *node) endPoisoned() {
	var poisoned []*call
	for c := range n.calls {
		if c.attempt != nil && c.attempt.events == 0 && !c.isTrial && n.poisonTracker.Refused(c.identity) {
			poisoned = append(poisoned, c)
		}
	}
	slices.SortFunc(poisoned, func(a, b *call) int { return int(a.deadline - b.deadline) })
	for _, c := range poisoned {
		n.endAttempt(c, place.OutcomeAbandoned)
		n.finish(c, c.onAborted)
	}
}

// shareEvidence sends what the node knows to the others. In fleets beyond the size in
// which digests go directly, two hubs pass it on.
func (n *node) shareEvidence() {
	d := n.poisonTracker.Digest(n.time())
	if d == nil {
		return
	}
	delay := n.sheet.Run.LinkDelay
	if len(n.nodes) > place.MaxDirectNodes {
		delay += 2 * (n.sheet.Run.LinkDelay + hubForwardDelay)
	}
	for _, to := range n.nodes {
		if to != n && to.alive {
			n.after(delay, func() {
				if findings, _ := to.poisonTracker.Merge(d, to.time()); len(findings) > 0 {
					to.endPoisoned()
				}
			})
		}
	}
}

// checkPoison shares the evidence of all nodes and records when every node refuses
// all crashing parts.
func (sim *simulation) checkPoison() {
	if !sim.policy.findsPoison || len(sim.poison.crashes) == 0 {
		return
	}
	known := true
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		n.poisonTracker.Reconsider(sim.time())
		n.shareEvidence()
		for i := range sim.poison.parts {
			known = known && n.poisonTracker.Refused(poison.Request{Parts: []poison.Trait{poison.PartTrait(serviceName, crashingPart(i))}})
		}
	}
	if known && sim.result.Poison.KnownAfter == 0 {
		sim.result.Poison.KnownAfter = sim.now - sim.poison.crashes[0]
	}
}

// recordArrival counts an attempt that reaches a host and would crash it.
func (sim *simulation) recordArrival(c *call) {
	if crashes := sim.poison.crashes; c.crashes && len(crashes) >= 5 && sim.now > crashes[4]+boundAfterFifthCrash {
		sim.result.Poison.ReachedAfterBound++
	}
}

// crash ends the process of a host, which breaks the connections of its tasks.
func (pool *hostPool) crash(h *simulatedHost) {
	g := h.servingGroup
	h.servingGroup = nil
	pool.fail(h, crashedHostDowntime)
	h.refusesConnections = true
	if g != nil {
		g.terminate()
	}
	pool.onCrash()
}
