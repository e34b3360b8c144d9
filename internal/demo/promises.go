package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
)

// promise is one property that must hold, with how often it was checked.
type promise struct {
	name string
	// checks counts observations that could have shown a breach. A promise
	// with none was not exercised and does not count as kept.
	checks   int
	breaches []string
}

func (p *promise) check(ok bool, format string, args ...any) {
	p.checks++
	if !ok {
		p.breaches = append(p.breaches, fmt.Sprintf(format, args...))
	}
}

func (p *promise) kept() bool { return p.checks > 0 && len(p.breaches) == 0 }

// promises holds all nine.
type promises struct {
	groupWhole    promise
	hostExclusive promise
	answerWhole   promise
	didNotRun     promise
	atMostOnce    promise
	leavingDrains promise
	gracefulStop  promise
	configInForce promise
	capHeld       promise
}

func newPromises() *promises {
	return &promises{
		groupWhole:    promise{name: "no replica group serves with a member missing"},
		hostExclusive: promise{name: "no host belongs to two groups"},
		answerWhole:   promise{name: "every served answer is whole and its caller's own"},
		didNotRun:     promise{name: "a request refused as not run did not run"},
		atMostOnce:    promise{name: "a non-idempotent call runs at most once"},
		leavingDrains: promise{name: "a leaving endpoint gets no new work after 3 s"},
		gracefulStop:  promise{name: "a planned stop cuts no request"},
		configInForce: promise{name: "accepted configuration is in force within 11 s and never reverts"},
		capHeld:       promise{name: "no account gets more than its cap"},
	}
}

func (p *promises) all() []*promise {
	return []*promise{
		&p.groupWhole, &p.hostExclusive, &p.answerWhole, &p.didNotRun, &p.atMostOnce,
		&p.leavingDrains, &p.gracefulStop, &p.configInForce, &p.capHeld,
	}
}

// Periods and bounds of the checks.
const (
	samplePeriod = 20 * time.Millisecond
	// closeBound is how long after a member's death the gate may stay open.
	closeBound = 700 * time.Millisecond
	// leavingBound is how long a leaving endpoint may still get new work, the
	// lag of the host list included.
	leavingBound = 3*time.Second + hostLag
	// inForceBound bounds the time from acceptance until every node applies.
	inForceBound = 11 * time.Second
)

// sampler watches the fleet from the side while the load runs.
type sampler struct {
	fleet    *fleet
	promises *promises

	applied  map[string]int64
	downtime map[string]time.Duration
	last     time.Time
}

func newSampler(f *fleet, p *promises) *sampler {
	return &sampler{fleet: f, promises: p, applied: make(map[string]int64), downtime: make(map[string]time.Duration)}
}

// run samples until ctx ends.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	s.last = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sample(ctx)
		}
	}
}

func (s *sampler) sample(ctx context.Context) {
	now := time.Now()
	open := make(map[string]bool)
	for _, n := range s.fleet.live() {
		s.sampleRevision(n)
		for _, group := range n.node.OpenGroups() {
			open[group.Group] = true
			s.checkMembers(n, group.Group, group.Members, now)
		}
	}
	for i := range groupCount {
		name := fmt.Sprintf("advice-%d", i+1)
		if !open[name] {
			s.downtime[name] += now.Sub(s.last)
		}
	}
	s.last = now
	s.checkHosts(ctx)
}

func (s *sampler) sampleRevision(n *fleetNode) {
	revision := n.node.AppliedRevision()
	s.promises.configInForce.check(revision >= s.applied[n.name], "%s went back from revision %d to %d", n.name, s.applied[n.name], revision)
	s.applied[n.name] = revision
}

// checkMembers counts as an observation of the promise only while an engine
// is down.
func (s *sampler) checkMembers(n *fleetNode, group string, members []string, now time.Time) {
	for _, host := range s.fleet.engines {
		if !host.isDown(now, closeBound) {
			continue
		}
		missing := false
		for _, member := range members {
			missing = missing || member == host.name
		}
		s.promises.groupWhole.check(!missing, "%s serves %s without %s", n.name, group, host.name)
	}
}

// checkHosts compares the members of all placements.
func (s *sampler) checkHosts(ctx context.Context) {
	rows, err := s.fleet.platform.Table.List(ctx, table.Range{Prefix: table.PrefixPlacement})
	if err != nil {
		return
	}
	owner := make(map[string]string)
	for _, row := range rows {
		var placement object.Placement
		if json.Unmarshal(row.Value, &placement) != nil {
			continue
		}
		for _, member := range placement.Members {
			other, taken := owner[member]
			s.promises.hostExclusive.check(!taken, "%s belongs to %s and %s", member, other, placement.Group)
			owner[member] = placement.Group
		}
	}
}

// checkResults examines what callers saw after the load has ended.
func (p *promises) checkResults(f *fleet, results []result, elapsed time.Duration) {
	arrived := make(map[string]bool)
	for _, host := range f.engines {
		for _, a := range host.arrivals {
			arrived[a.requestID] = true
		}
	}
	tokens := make(map[string]int)
	for _, r := range results {
		tokens[r.account] += r.charged()
		switch r.outcome {
		case served, wrong:
			p.answerWhole.check(r.outcome == served, "request %s of %s got an answer that is not its own or not whole", r.id, r.account)
		case refused:
			if r.id != "" {
				p.didNotRun.check(!arrived[r.id], "request %s was refused as not run (%s) but reached an engine", r.id, r.kind)
			}
		}
	}
	for _, a := range accounts() {
		limit := int(a.tokensPerSecond*elapsed.Seconds()) + int(a.burst)
		p.capHeld.check(tokens[a.name] <= limit, "%s got %d tokens, cap %d", a.name, tokens[a.name], limit)
	}
}

func (p *promises) checkLedger(f *fleet) {
	for key, runs := range f.service.Ledger().Runs {
		p.atMostOnce.check(runs <= 1, "%s ran %d times", key, runs)
	}
}

// checkLeaving examines the arrivals at a host that was marked as leaving.
func (p *promises) checkLeaving(host *engineHost, marked, end time.Time) {
	if end.Sub(marked) < leavingBound+time.Second {
		return
	}
	p.leavingDrains.check(true, "")
	for _, a := range host.arrivals {
		late := a.at.Sub(marked)
		p.leavingDrains.check(late <= leavingBound, "%s got request %s %v after it was marked as leaving", host.name, a.requestID, late)
	}
}

// checkStop examines the requests that a node had in flight when it was asked
// to stop, or got afterwards.
func (p *promises) checkStop(n *fleetNode, asked time.Time, results []result) {
	for _, r := range results {
		if r.node != n || r.ended.Before(asked) {
			continue
		}
		p.gracefulStop.check(r.outcome == served || r.outcome == refused, "request %s in flight at %s ended as %s", r.id, n.name, r.outcome)
	}
}
