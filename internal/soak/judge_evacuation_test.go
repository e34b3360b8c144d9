package soak

import (
	"testing"
	"time"
)

// TestJudgeOfEvacuations verifies which requests at a host of an evacuated failure domain are
// violations.
func TestJudgeOfEvacuations(t *testing.T) {
	const apply, hold = time.Second, 2 * time.Second
	for name, test := range map[string]struct {
		violations int
		during     func(j *judged, a *node)
	}{
		"before it is in force": {0, func(j *judged, a *node) { j.ask(a, 0) }},
		"in force":              {1, func(j *judged, a *node) { time.Sleep(apply); j.ask(a, 0) }},
		"sent before":           {1, func(j *judged, a *node) { time.Sleep(apply); j.ask(a, apply) }},
		"after it":              {0, func(j *judged, a *node) { time.Sleep(apply + hold + time.Millisecond); j.ask(a, 0) }},
		"node was frozen":       {0, func(j *judged, a *node) { defer j.disturbances.begin("a")(); time.Sleep(apply); j.ask(a, 0) }},
		"another was frozen":    {1, func(j *judged, a *node) { defer j.disturbances.begin("b")(); time.Sleep(apply); j.ask(a, 0) }},
		"held on its way":       {0, func(j *judged, a *node) { defer j.disturbances.begin("p")(); time.Sleep(apply); j.ask(a, 0) }},
	} {
		t.Run(name, func(t *testing.T) {
			judging(t, func(j *judged, a, _ *node) {
				from := time.Now().Add(apply)
				test.during(j, a)
				j.judgeArrivalsAtEvacuated("p", j.arrivals, from, from.Add(hold))
				if got := len(j.ledger.Violations()); got != test.violations {
					t.Errorf("got violations %q, want %d", j.ledger.Violations(), test.violations)
				}
			})
		})
	}
}
