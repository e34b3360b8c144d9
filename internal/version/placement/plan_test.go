package placement

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/version/object"
)

// TestPlanRepairsEveryRepairableGroup runs random losses and returns of hosts. At
// every step each member is claimed by its group. At the end no group is closed
// that the free hosts of its failure domain could complete. The bound on the
// number of steps guards against groups that repeatedly take hosts from one another.
func TestPlanRepairsEveryRepairableGroup(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimWorld(Plan, 4, 10)
		w.step = time.Second
		var events []simEvent
		for i := range rapid.IntRange(1, 12).Draw(t, "events") {
			at := time.Duration(i) * time.Duration(rapid.IntRange(1, 15).Draw(t, "gap")) * time.Second
			events = append(events, drawEvent(t, w, at))
		}
		w.run(events)
		for _, v := range w.violations {
			t.Error(v)
		}
		const maxSteps = 400
		total := 0
		for _, n := range w.kinds {
			total += n
		}
		if total > maxSteps {
			t.Errorf("got %d steps, want at most %d: %v", total, maxSteps, w.kinds)
		}
		for i := range w.groups {
			g := &w.groups[i]
			if !serving(g) && couldServe(w, g) {
				t.Errorf("group %s is closed although free hosts could complete it: %+v", g.Name, g.Placement)
			}
		}
	})
}

// fixSeed makes rapid generate the same cases in every run, unless the command
// line sets a seed.
func fixSeed(t *testing.T) {
	const seed = "20"
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", seed); err != nil {
			t.Fatal(err)
		}
	}
}

// TestPlanRecoversOnceHostsAreBack runs random losses and then brings every host
// back; at the end every group serves.
func TestPlanRecoversOnceHostsAreBack(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimWorld(Plan, 4, 10)
		w.step = 2 * time.Second
		var events []simEvent
		at := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 8).Draw(t, "gap")) * time.Second
			events = append(events, drawEvent(t, w, at))
		}
		recoverAt := max(at, simHorizon/2)
		events = append(events, simEvent{recoverAt, recoverHosts})
		w.horizon = recoverAt + simHorizon
		w.run(events)
		for i := range w.groups {
			if g := &w.groups[i]; !serving(g) {
				t.Errorf("group %s is closed although every host is back: %+v", g.Name, g.Placement)
			}
		}
	})
}

// TestPlanFollowsDeclarations changes the declared groups at random during random
// losses. Once every host is back, exactly the declared groups serve as declared,
// and no other host is claimed.
func TestPlanFollowsDeclarations(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimWorld(Plan, 4, 10)
		w.step = 2 * time.Second
		var events []simEvent
		at := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Second
			if rapid.Bool().Draw(t, "declares") {
				events = append(events, drawDeclaration(t, at))
			} else {
				events = append(events, drawEvent(t, w, at))
			}
		}
		events = append(events, simEvent{at, recoverHosts})
		w.horizon = at + 2*simHorizon
		w.run(events)
		for _, v := range w.violations {
			t.Error(v)
		}
		for _, g := range w.groups {
			switch {
			case g.Spec == nil && g.Placement != nil:
				t.Errorf("deleted group %s still has placement %+v, want none", g.Name, g.Placement)
			case g.Spec != nil && !asDeclared(&g):
				t.Errorf("group %s: got placement %+v, want it to serve as declared: %+v", g.Name, g.Placement, g.Spec)
			}
		}
		for _, h := range w.hosts {
			if g := w.group(h.claim.Group); g != nil && (g.Placement == nil || !slices.Contains(g.Placement.Members, h.name)) {
				t.Errorf("host %s is claimed by group %s, but is not a member of it", h.name, g.Name)
			}
		}
	})
}

func asDeclared(g *Group) bool {
	return serving(g) && len(g.Placement.Members) == g.Spec.Members && g.Placement.ModelVersion == g.Spec.ModelVersion
}

// drawDeclaration generates an event that declares or deletes a group.
func drawDeclaration(t *rapid.T, at time.Duration) simEvent {
	const groups, versions, maxMembers = 4, 3, 4
	name := fmt.Sprintf("g%d", rapid.IntRange(0, groups-1).Draw(t, "group"))
	spec := &object.ReplicaGroupSpec{
		Model:         "m",
		ModelVersion:  fmt.Sprint(rapid.IntRange(1, versions).Draw(t, "version")),
		FailureDomain: "fd",
		Members:       rapid.IntRange(2, maxMembers).Draw(t, "members"),
		Worth:         rapid.IntRange(0, 3).Draw(t, "worth"),
	}
	if rapid.IntRange(0, 4).Draw(t, "deletes") == 0 {
		spec = nil
	}
	return simEvent{at, func(w *simWorld) { w.group(name).Spec = spec }}
}

// recoverHosts brings every host back; crashed ones restart without weights.
func recoverHosts(w *simWorld) {
	for _, h := range w.hosts {
		h.silent, h.slow = false, false
		if h.crashed {
			restart(0, h.name).apply(w)
		}
	}
}

// drawEvent generates a loss or return of one host.
func drawEvent(t *rapid.T, w *simWorld, at time.Duration) simEvent {
	host := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")].name
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1:
		return crash(at, host)
	case 2:
		return restart(at, host)
	case 3:
		return slow(at, rapid.Bool().Draw(t, "slow"), host)
	default:
		return silent(at, rapid.Bool().Draw(t, "silent"), host)
	}
}

// couldServe reports whether the free hosts of the group's fabric domain could
// replace its missing members, or the free hosts of any domain all its members.
func couldServe(w *simWorld, g *Group) bool {
	free := map[string]int{}
	for _, h := range w.hosts {
		if h.claim.Group == "" && !h.crashed && !h.silent {
			free[h.domain]++
		}
	}
	for _, n := range free {
		if n >= g.Spec.Members {
			return true
		}
	}
	if !placed(g) {
		return false
	}
	missing := 0
	for _, m := range g.Placement.Members {
		if h := w.byName[m]; h.crashed || h.silent {
			missing++
		}
	}
	return missing <= free[g.Placement.FabricDomain]
}

// TestPlanKeepsStragglerWithoutFastSpare verifies that two slow hosts do not
// replace each other in turn.
func TestPlanKeepsStragglerWithoutFastSpare(t *testing.T) {
	w := newSimWorld(Plan, 4, 10)
	w.run([]simEvent{
		crash(0, "h0-09"),
		slow(time.Second, true, "h0-01"),
		slow(2*time.Second, true, "h0-08"),
	})
	if n := w.kinds[KindReplace]; n > 1 {
		t.Errorf("got %d replacements, want at most 1", n)
	}
}

// TestPlanLimitsReplacementsOfSlowLeader verifies that a leader that is slow
// because of its role is replaced at most once in five minutes.
func TestPlanLimitsReplacementsOfSlowLeader(t *testing.T) {
	w := newSimWorld(Plan, 1, 10)
	w.slowLeader = "g0"
	w.run(nil)
	const maxReplacements = 2 // simHorizon is ten minutes
	if n := w.kinds[KindReplace]; n > maxReplacements {
		t.Errorf("got %d replacements, want at most %d", n, maxReplacements)
	}
}

// TestPlanReloadsMembersThatReturnLate verifies that without a spare, members that
// return long after the group was closed load again and the group serves.
func TestPlanReloadsMembersThatReturnLate(t *testing.T) {
	w := newSimWorld(Plan, 4, 10)
	w.run([]simEvent{
		crash(0, "h0-08"),
		crash(0, "h0-09"),
		crash(time.Second, "h0-00"),
		crash(time.Second, "h0-01"),
		restart(5*time.Minute, "h0-00"),
		restart(6*time.Minute, "h0-01"),
	})
	if g := &w.groups[0]; !serving(g) {
		t.Errorf("group is closed although its members are back: %+v", g.Placement)
	}
}

// TestPlanRespectsConcurrentLoads verifies the limit of concurrent loads while
// every group of a failure domain forms.
func TestPlanRespectsConcurrentLoads(t *testing.T) {
	w := newSimWorld(Plan, 6, 10)
	for i := range w.groups {
		w.groups[i].Placement = nil
	}
	for _, h := range w.hosts {
		*h = simHost{name: h.name, domain: h.domain}
		h.state.State = "idle"
		h.state.Host = h.name
	}
	maxLoading := 0
	plan := w.plan
	w.plan = func(in *Input) []Step {
		loading := map[string]bool{}
		for _, h := range in.Hosts {
			if h.State.State == "loading" {
				loading[h.State.Group] = true
			}
		}
		maxLoading = max(maxLoading, len(loading))
		return plan(in)
	}
	w.run(nil)
	if maxLoading != simConcurrentLoads {
		t.Errorf("got %d groups that load at once, want %d", maxLoading, simConcurrentLoads)
	}
	for i := range w.groups {
		if !serving(&w.groups[i]) {
			t.Errorf("group %s does not serve: %+v", w.groups[i].Name, w.groups[i].Placement)
		}
	}
}

// TestPlanWaitsForSlowLoads verifies that members that report that they are loading
// the right target are not replaced when loads take five times as long as expected.
func TestPlanWaitsForSlowLoads(t *testing.T) {
	w := newSimWorld(Plan, 2, 10)
	w.policy.LoadTime = simLoadTime / 5
	for i := range w.groups {
		w.groups[i].Placement = nil
	}
	for _, h := range w.hosts {
		*h = simHost{name: h.name, domain: h.domain}
		h.state.State = "idle"
		h.state.Host = h.name
	}
	w.run(nil)
	for i := range w.groups {
		if g := &w.groups[i]; !serving(g) || g.Placement.Generation != 1 {
			t.Errorf("group %s does not serve or was formed again while it loaded: %+v", g.Name, g.Placement)
		}
	}
}

// TestPlanRollsOutOneGroupAfterAnother declares a new version for every group of a
// model. At no time are two of them closed. If a complete set of hosts is free,
// the groups keep serving while it loads.
func TestPlanRollsOutOneGroupAfterAnother(t *testing.T) {
	inPlace := (DefaultPolicy(simLoadTime, simConcurrentLoads).DrainTimeout + simLoadTime + 2*time.Second).Seconds()
	for _, test := range []struct {
		name           string
		groups         int
		maxLostSeconds float64
	}{
		{"complete set of hosts free", 3, 3 * simStep.Seconds()},
		{"in place", 4, 4 * inPlace},
	} {
		t.Run(test.name, func(t *testing.T) {
			maxClosed := 0
			var w *simWorld
			w = newSimWorld(func(in *Input) []Step {
				closed := 0
				for i := range w.groups {
					if w.service(&w.groups[i]) == 0 {
						closed++
					}
				}
				maxClosed = max(maxClosed, closed)
				return Plan(in)
			}, test.groups, 10)
			w.run([]simEvent{{time.Second, func(w *simWorld) {
				for _, g := range w.groups {
					g.Spec.ModelVersion = "2"
				}
			}}})
			for _, g := range w.groups {
				if !serving(&g) || g.Placement.ModelVersion != "2" {
					t.Errorf("group %s: got placement %+v, want it to serve version 2", g.Name, g.Placement)
				}
			}
			if maxClosed > 1 {
				t.Errorf("got %d groups of the model closed at once, want at most 1", maxClosed)
			}
			if w.lostSeconds > test.maxLostSeconds {
				t.Errorf("got %.1f s of lost service, want at most %.1f s", w.lostSeconds, test.maxLostSeconds)
			}
		})
	}
}

// TestPlanStopsInTwoSteps verifies that a deleted group closes first and keeps its
// hosts for the drain timeout.
func TestPlanStopsInTwoSteps(t *testing.T) {
	w := newSimWorld(Plan, 2, 10)
	g := &w.groups[0]
	g.Spec = nil
	w.apply(w.plan(w.input()))
	if g.Placement.Phase != object.PhaseBroken {
		t.Fatalf("got phase %s, want %s", g.Placement.Phase, object.PhaseBroken)
	}
	w.now = w.now.Add(w.policy.DrainTimeout - time.Millisecond)
	if steps := w.plan(w.input()); len(steps) != 1 || steps[0].Kind != KindWait {
		t.Fatalf("before the drain timeout: got %+v, want one wait", steps)
	}
	w.now = w.now.Add(time.Millisecond)
	steps := w.plan(w.input())
	if len(steps) != 1 || !steps[0].DeletePlacement || len(steps[0].Releases) != 4 {
		t.Fatalf("after the drain timeout: got %+v, want a release of four hosts", steps)
	}
}

// BenchmarkPlan measures one plan of a failure domain in which every group serves
// except one that has lost a member.
func BenchmarkPlan(b *testing.B) {
	for _, groups := range []int{7, 33, 100, 330} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			w := newSimWorld(Plan, groups, 34)
			w.byName["h0-01"].crashed = true
			w.observe()
			in := w.input()
			b.ReportAllocs()
			for b.Loop() {
				Plan(in)
			}
		})
	}
}
