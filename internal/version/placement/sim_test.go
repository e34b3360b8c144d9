package placement

import (
	"fmt"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/version/object"
)

const (
	simStep            = 250 * time.Millisecond
	simHorizon         = 10 * time.Minute
	simLoadTime        = time.Minute
	simConcurrentLoads = 2
	// simStragglerSlowdown is how many times slower a group with a straggler
	// serves.
	simStragglerSlowdown = 8
)

// simHost is the actual state of one host.
type simHost struct {
	name         string
	domain       string
	crashed      bool
	silent       bool
	slow         bool
	weights      string        // "model/version" of the loaded weights
	loaded       time.Duration // progress of the current load
	state        endpoint.State
	failingSince time.Time
	claim        Claim
}

// simWorld simulates a failure domain in virtual time.
type simWorld struct {
	now             time.Time
	start           time.Time
	step            time.Duration
	horizon         time.Duration
	hosts           []*simHost
	byName          map[string]*simHost
	groups          []Group
	policy          Policy
	plan            func(*Input) []Step
	detector        *StragglerDetector
	slowLeader      string  // group whose leader answers slowly, whichever host it is
	lostSeconds     float64 // lost service of all groups, weighted by worth
	strandedSeconds float64 // accelerator time claimed by closed groups or replacements
	kinds           map[Kind]int
	violations      []string
}

// simEvent changes the simulation at a time after its start.
type simEvent struct {
	at    time.Duration
	apply func(w *simWorld)
}

// newSimWorld returns fabric domains of perDomain hosts each, with groups of four
// members that already serve. At least two hosts of each domain are spare.
func newSimWorld(plan func(*Input) []Step, groups, perDomain int) *simWorld {
	start := time.Unix(1_000_000, 0)
	w := &simWorld{now: start, start: start, step: simStep, horizon: simHorizon, byName: map[string]*simHost{}, policy: DefaultPolicy(simLoadTime, simConcurrentLoads), plan: plan, detector: NewStragglerDetector(), kinds: map[Kind]int{}}
	perFabric := (perDomain - 2) / 4
	domains := (groups + perFabric - 1) / perFabric
	for d := range domains {
		for i := range perDomain {
			h := &simHost{name: fmt.Sprintf("h%d-%02d", d, i), domain: fmt.Sprintf("f%d", d)}
			h.state = endpoint.State{Host: h.name, State: endpoint.EngineIdle}
			w.hosts = append(w.hosts, h)
			w.byName[h.name] = h
		}
	}
	for i := range groups {
		w.place(i, perDomain)
	}
	return w
}

// place adds group i, which serves, on the next four hosts.
func (w *simWorld) place(i, perDomain int) {
	perFabric := (perDomain - 2) / 4
	first := i/perFabric*perDomain + i%perFabric*4
	g := Group{Name: fmt.Sprintf("g%d", i), Spec: &object.ReplicaGroupSpec{Model: "m", ModelVersion: "1", FailureDomain: "fd", Members: 4, Worth: 1}}
	p := &object.Placement{Group: g.Name, Generation: 1, FailureDomain: "fd", FabricDomain: w.hosts[first].domain, Model: "m", ModelVersion: "1", Phase: object.PhaseServing, Changed: w.start.Add(-time.Hour)}
	for j := range 4 {
		h := w.hosts[first+j]
		p.Members = append(p.Members, h.name)
		h.claim = Claim{g.Name, 1, j}
		h.weights = "m/1"
		h.state = endpoint.State{Host: h.name, State: endpoint.EngineReady, Group: g.Name, Generation: 1, Model: "m", ModelVersion: "1"}
	}
	g.Placement = p
	w.groups = append(w.groups, g)
}

// run applies the events and the plan until the horizon.
func (w *simWorld) run(events []simEvent) {
	for w.now.Sub(w.start) < w.horizon {
		for len(events) > 0 && w.now.Sub(w.start) >= events[0].at {
			events[0].apply(w)
			events = events[1:]
		}
		w.observe()
		for range 3 {
			if !w.apply(w.plan(w.input())) {
				break
			}
		}
		w.accumulate()
		w.load()
		w.now = w.now.Add(w.step)
	}
}

// observe probes every host and feeds the straggler detector.
func (w *simWorld) observe() {
	for _, h := range w.hosts {
		switch {
		case !h.crashed && !h.silent:
			h.failingSince = time.Time{}
		case h.failingSince.IsZero():
			h.failingSince = w.now
		}
	}
	for _, g := range w.groups {
		if g.Placement == nil {
			continue
		}
		var samples []LatencySample
		for i, m := range g.Placement.Members {
			latency := time.Millisecond
			if w.byName[m].slow || i == 0 && g.Name == w.slowLeader {
				latency = time.Second
			}
			samples = append(samples, LatencySample{m, latency})
		}
		w.detector.Observe(samples, w.now)
	}
}

func (w *simWorld) input() *Input {
	in := &Input{FailureDomain: "fd", Groups: w.groups, Policy: w.policy, Epoch: 1, Now: w.now}
	for _, h := range w.hosts {
		in.Hosts = append(in.Hosts, Host{Name: h.name, FabricDomain: h.domain, Listed: true, Observed: true,
			State: h.state, FailingSince: h.failingSince, EngineDown: h.crashed && !h.silent, SlowSince: w.detector.SlowSince(h.name), Claim: h.claim})
	}
	return in
}

// apply commits the steps and delivers their orders. It reports whether any
// step was more than a wait.
func (w *simWorld) apply(steps []Step) bool {
	acted := false
	for _, s := range steps {
		if s.Kind != KindWait {
			w.kinds[s.Kind]++
			acted = true
		}
		for _, name := range s.Releases {
			w.byName[name].claim = Claim{}
		}
		for _, c := range s.Claims {
			w.byName[c.Host].claim = c.Claim
		}
		for _, p := range s.Placements {
			w.setPlacement(p.Group, p)
		}
		if s.DeletePlacement {
			w.setPlacement(s.Group, nil)
		}
		for _, o := range s.Orders {
			w.order(w.byName[o.Host], o.Order)
		}
	}
	w.check()
	return acted
}

func (w *simWorld) setPlacement(group string, p *object.Placement) {
	for i := range w.groups {
		if w.groups[i].Name == group {
			w.groups[i].Placement = p
		}
	}
}

func (w *simWorld) group(name string) *Group {
	for i := range w.groups {
		if w.groups[i].Name == name {
			return &w.groups[i]
		}
	}
	return nil
}

func (w *simWorld) order(h *simHost, o endpoint.Order) {
	if h.crashed || h.silent {
		return
	}
	h.state = endpoint.State{Host: h.name, State: endpoint.EngineIdle}
	h.loaded = 0
	if o.Action == endpoint.ActionUnload {
		return
	}
	h.state = endpoint.State{Host: h.name, State: endpoint.EngineLoading, Group: o.Group, Generation: o.Generation, Model: o.Model, ModelVersion: o.ModelVersion}
	if h.weights == o.Model+"/"+o.ModelVersion && o.Group == h.claim.Group {
		h.state.State = endpoint.EngineReady
	}
}

// load advances loads. Groups above the limit of concurrent loads share its rate.
func (w *simWorld) load() {
	loading := map[string]bool{}
	for _, h := range w.hosts {
		if h.state.State == endpoint.EngineLoading {
			loading[h.state.Group] = true
		}
	}
	share := min(1, float64(simConcurrentLoads)/max(1, float64(len(loading))))
	for _, h := range w.hosts {
		if h.state.State != endpoint.EngineLoading || h.crashed || h.silent {
			continue
		}
		h.loaded += time.Duration(share * float64(w.step))
		if h.loaded >= simLoadTime {
			h.state.State = endpoint.EngineReady
			h.weights = h.state.Model + "/" + h.state.ModelVersion
		}
	}
}

// service returns the rate, 0 to 1, at which a group serves.
func (w *simWorld) service(g *Group) float64 {
	if !serving(g) {
		return 0
	}
	rate := 1.0
	for _, m := range g.Placement.Members {
		h := w.byName[m]
		if h.crashed || h.silent || h.state.State != endpoint.EngineReady || h.state.Group != g.Name || h.state.Generation != g.Placement.Generation {
			return 0
		}
		if h.slow {
			rate = 1.0 / simStragglerSlowdown
		}
	}
	return rate
}

// accumulate adds the lost service and the stranded accelerator time of one step.
func (w *simWorld) accumulate() {
	for i := range w.groups {
		g := &w.groups[i]
		rate := w.service(g)
		w.lostSeconds += (1 - rate) * w.step.Seconds() * float64(worth(g))
		if g.Placement == nil {
			continue
		}
		for _, h := range w.hosts {
			idle := rate == 0 || h.claim.Generation > g.Placement.Generation
			if h.claim.Group == g.Name && idle && !h.crashed && !h.silent {
				w.strandedSeconds += w.step.Seconds()
			}
		}
	}
}

// check records a violation for each member that its group does not claim.
func (w *simWorld) check() {
	for _, g := range w.groups {
		if g.Placement == nil {
			continue
		}
		for _, m := range g.Placement.Members {
			if w.byName[m].claim.Group != g.Name {
				w.violations = append(w.violations, fmt.Sprintf("%s: %s is a member of %s but claimed by %q", w.now.Sub(w.start), m, g.Name, w.byName[m].claim.Group))
			}
		}
	}
}

// waitAlways is a planner that never replaces a member.
func waitAlways(in *Input) []Step {
	var kept []Step
	for _, s := range Plan(in) {
		switch s.Kind {
		case KindPrepare, KindReplace, KindJoin, KindGiveUp:
		default:
			kept = append(kept, s)
		}
	}
	return kept
}

// replaceAtOnce is a planner that makes spares members as soon as a member is
// missing; they load after that.
func replaceAtOnce(in *Input) []Step {
	p := newPlanner(in)
	kept := waitAlways(in)
	for i := range in.Groups {
		g := &in.Groups[i]
		if !placed(g) {
			continue
		}
		lost := p.lost(g)
		if len(lost) == 0 || p.inGracePeriod(lost) {
			continue
		}
		staged := p.substitutes(g, lost)
		if staged == nil {
			continue
		}
		p.replace(g, staged, false, "replaced at once")
	}
	return append(kept, p.steps...)
}

// substitutes takes spares of the group's fabric domain for the lost members, or a
// complete set of another domain.
func (p *planner) substitutes(g *Group, lost []memberFault) map[int]*Host {
	positions, domain := positionsOf(lost), g.Placement.FabricDomain
	if len(p.spares[domain]) < len(lost) {
		positions = positionsUpTo(len(g.Placement.Members))
		domain = p.fittingDomain(len(positions), domain)
	}
	if domain == "" {
		return nil
	}
	staged := map[int]*Host{}
	for i, h := range p.takeSpares(domain, len(positions)) {
		staged[positions[i]] = h
	}
	return staged
}
