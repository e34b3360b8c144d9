package soak

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// judged is a host "p" that speaks, and the requests that reach it in virtual time.
type judged struct {
	*Soak
	// leaving and retryAfter are what its answers say; it refuses requests if refuses.
	leaving, refuses bool
	retryAfter       string
	arrivals         []judgedArrival
}

// judging runs test with two nodes that are not started.
func judging(t *testing.T, test func(j *judged, a, b *node)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		test(&judged{Soak: &Soak{ledger: standin.NewLedger(), started: time.Now()}}, &node{name: "a"}, &node{name: "b"})
	})
}

// ask lets a request that a caller sent some time ago reach the host through a node and the
// answer reach the caller.
func (j *judged) ask(n *node, sentAgo time.Duration) {
	now := time.Now()
	a := judgedArrival{
		standin.Arrival{RequestID: fmt.Sprintf("r%d", len(j.arrivals)), At: now, SaidLeaving: j.leaving},
		sending{node: n, at: now.Add(-sentAgo)},
	}
	if j.refuses {
		a.RefusedAt, a.RetryAfter = now, j.retryAfter
	} else {
		a.passedOn = now
		j.ledger.Ran(a.RequestID, "p")
	}
	j.arrivals = append(j.arrivals, a)
}

// TestJudgeOfLeavingHosts verifies which requests at a host that says that it leaves are
// violations.
func TestJudgeOfLeavingHosts(t *testing.T) {
	for name, test := range map[string]struct {
		violations int
		after      func(j *judged, a, b *node)
	}{
		"sent within the grace": {0, func(j *judged, a, _ *node) { time.Sleep(leavingGrace); j.ask(a, 0) }},
		"sent after the grace":  {1, func(j *judged, a, _ *node) { time.Sleep(leavingGrace + time.Millisecond); j.ask(a, 0) }},
		"sent within the grace, there later": {0, func(j *judged, a, _ *node) {
			time.Sleep(2 * leavingGrace)
			j.ask(a, leavingGrace)
		}},
		"through another node":    {0, func(j *judged, _, b *node) { time.Sleep(2 * leavingGrace); j.ask(b, 0) }},
		"host's connections held": {1, func(j *judged, a, _ *node) { time.Sleep(2 * leavingGrace); j.disturbances.begin("p")(); j.ask(a, 0) }},
		"node frozen": {0, func(j *judged, a, _ *node) {
			defer j.disturbances.begin("a")()
			time.Sleep(2 * leavingGrace)
			j.ask(a, 0)
		}},
		"node restarted": {0, func(j *judged, a, _ *node) {
			time.Sleep(time.Second)
			a.starts = append(a.starts, time.Now())
			time.Sleep(2 * leavingGrace)
			j.ask(a, 0)
		}},
		"node restarted and told again": {1, func(j *judged, a, _ *node) {
			a.starts = append(a.starts, time.Now().Add(time.Second))
			time.Sleep(2 * time.Second)
			j.ask(a, 0)
			time.Sleep(2 * leavingGrace)
			j.ask(a, 0)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			judging(t, func(j *judged, a, b *node) {
				j.ask(a, 0) // before the host speaks
				time.Sleep(2 * leavingGrace)
				j.leaving = true
				j.ask(a, 0)
				test.after(j, a, b)
				j.judgeArrivalsAtLeaving("p", j.arrivals)
				if v := j.ledger.Violations(); len(v) != test.violations {
					t.Errorf("got violations %q, want %d", v, test.violations)
				}
			})
		})
	}
}

// TestJudgeOfWaits verifies which requests at a host that wants none for a time are violations.
func TestJudgeOfWaits(t *testing.T) {
	const inside = waitGrace + time.Millisecond
	burst := func(j *judged, n *node, count int) {
		for range count {
			j.ask(n, 0)
		}
	}
	for name, test := range map[string]struct {
		retryAfter string
		violations int
		after      func(j *judged, a, b *node)
	}{
		"two inside":               {"2", 0, func(j *judged, a, _ *node) { time.Sleep(inside); burst(j, a, 2) }},
		"three inside":             {"2", 1, func(j *judged, a, _ *node) { time.Sleep(inside); burst(j, a, 3) }},
		"three at once":            {"2", 0, func(j *judged, a, _ *node) { time.Sleep(waitGrace); burst(j, a, 3) }},
		"three after its end":      {"2", 0, func(j *judged, a, _ *node) { time.Sleep(2 * time.Second); burst(j, a, 3) }},
		"three of two nodes":       {"2", 0, func(j *judged, a, b *node) { time.Sleep(inside); burst(j, a, 2); burst(j, b, 1) }},
		"three, no time":           {"", 0, func(j *judged, a, _ *node) { time.Sleep(inside); burst(j, a, 3) }},
		"three, negative":          {"-1", 0, func(j *judged, a, _ *node) { time.Sleep(inside); burst(j, a, 3) }},
		"three, no number":         {"soon", 0, func(j *judged, a, _ *node) { time.Sleep(inside); burst(j, a, 3) }},
		"three, huge":              {"1e300", 1, func(j *judged, a, _ *node) { time.Sleep(maxJudgedWait - time.Millisecond); burst(j, a, 3) }},
		"three, huge, a minute on": {"1e300", 0, func(j *judged, a, _ *node) { time.Sleep(maxJudgedWait); burst(j, a, 3) }},
		"three, node frozen": {"2", 0, func(j *judged, a, _ *node) {
			defer j.disturbances.begin("a")()
			time.Sleep(inside)
			burst(j, a, 3)
		}},
		"three, node restarted": {"2", 0, func(j *judged, a, _ *node) {
			time.Sleep(inside)
			a.starts = append(a.starts, time.Now().Add(-time.Millisecond))
			burst(j, a, 3)
		}},
		"three, connections held": {"2", 0, func(j *judged, a, _ *node) {
			defer j.disturbances.begin("p")()
			time.Sleep(inside)
			burst(j, a, 3)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			judging(t, func(j *judged, a, b *node) {
				j.refuses, j.retryAfter = true, test.retryAfter
				j.ask(a, 0)
				j.refuses = false
				test.after(j, a, b)
				j.judgeArrivalsAtWaiting("p", j.arrivals)
				if v := j.ledger.Violations(); len(v) != test.violations {
					t.Errorf("got violations %q, want %d", v, test.violations)
				}
			})
		})
	}
}
