package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
)

// promise is a property that the system guarantees, with the results of its
// checks.
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

// promises is the set of the nine promises that the demonstration checks.
type promises struct {
	groupComplete  promise
	hostExclusive  promise
	answerComplete promise
	didNotRun      promise
	atMostOnce     promise
	leavingDrains  promise
	gracefulStop   promise
	configInForce  promise
	capRespected   promise
}

func newPromises() *promises {
	return &promises{
		groupComplete:  promise{name: "no replica group serves with a member missing"},
		hostExclusive:  promise{name: "no host belongs to two groups"},
		answerComplete: promise{name: "every served answer is whole and its caller's own"},
		didNotRun:      promise{name: "a request refused as not run did not run"},
		atMostOnce:     promise{name: "a non-idempotent call runs at most once"},
		leavingDrains:  promise{name: "a leaving endpoint gets no new work after 3 s"},
		gracefulStop:   promise{name: "a planned stop cuts no request"},
		configInForce:  promise{name: "accepted configuration is in force within 11 s and never reverts"},
		capRespected:   promise{name: "no account gets more than its cap"},
	}
}

func (p *promises) all() []*promise {
	return []*promise{
		&p.groupComplete, &p.hostExclusive, &p.answerComplete, &p.didNotRun, &p.atMostOnce,
		&p.leavingDrains, &p.gracefulStop, &p.configInForce, &p.capRespected,
	}
}

// Intervals and time limits of the checks.
const (
	sampleInterval = 20 * time.Millisecond
	// groupCloseGracePeriod is how long a group may stay open after a member has
	// crashed.
	groupCloseGracePeriod = 700 * time.Millisecond
	// leavingGracePeriod is how long a leaving endpoint may still get new work.
	// It includes the lag of the host list.
	leavingGracePeriod = 3*time.Second + hostListLag
	// inForceTimeout is how long to wait, after a change was accepted, until every
	// node has applied it.
	inForceTimeout = 11 * time.Second
)

// sampler checks the state of the fleet periodically while the load runs.
type sampler struct {
	fleet    *fleet
	promises *promises

	// appliedRevisions is keyed by node, downtime by group.
	appliedRevisions map[string]int64
	downtime         map[string]time.Duration
	lastSample       time.Time
}

func newSampler(f *fleet, p *promises) *sampler {
	return &sampler{fleet: f, promises: p, appliedRevisions: make(map[string]int64), downtime: make(map[string]time.Duration)}
}

// run takes a sample every sampleInterval until ctx ends.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	s.lastSample = time.Now()
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
	for _, n := range s.fleet.runningNodes() {
		s.sampleRevision(n)
		for _, group := range n.node.OpenGroups() {
			open[group.Group] = true
			s.checkMembers(n, group.Group, group.Members, now)
		}
	}
	for i := range groupCount {
		name := fmt.Sprintf("advice-%d", i+1)
		if !open[name] {
			s.downtime[name] += now.Sub(s.lastSample)
		}
	}
	s.lastSample = now
	s.checkHosts(ctx)
}

func (s *sampler) sampleRevision(n *fleetNode) {
	revision := n.node.AppliedRevision()
	s.promises.configInForce.check(revision >= s.appliedRevisions[n.name], "%s went back from revision %d to %d", n.name, s.appliedRevisions[n.name], revision)
	s.appliedRevisions[n.name] = revision
}

// checkMembers checks that no member of an open group has crashed. A check is
// counted only for engines that crashed more than groupCloseGracePeriod ago.
func (s *sampler) checkMembers(n *fleetNode, group string, members []string, now time.Time) {
	for _, host := range s.fleet.engines {
		if !host.isDown(now, groupCloseGracePeriod) {
			continue
		}
		missing := false
		for _, member := range members {
			missing = missing || member == host.name
		}
		s.promises.groupComplete.check(!missing, "%s serves %s without %s", n.name, group, host.name)
	}
}

// checkHosts checks that no host is a member of two placements.
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

// checkResults checks the results of all callers after the load has ended.
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
		case outcomeServed, outcomeWrong:
			p.answerComplete.check(r.outcome == outcomeServed, "request %s of %s got an answer that is not its own or not whole", r.id, r.account)
		case outcomeRefused:
			if r.id != "" {
				p.didNotRun.check(!arrived[r.id], "request %s was refused as not run (%s) but reached an engine", r.id, r.refusalKind)
			}
		}
	}
	for _, a := range accounts() {
		limit := int(a.tokensPerSecond*elapsed.Seconds()) + int(a.burstTokens)
		p.capRespected.check(tokens[a.name] <= limit, "%s got %d tokens, cap %d", a.name, tokens[a.name], limit)
	}
}

// checkBookings checks in the ledger of the service that no call ran twice.
func (p *promises) checkBookings(f *fleet) {
	for key, runs := range f.service.Ledger().Runs {
		p.atMostOnce.check(runs <= 1, "%s ran %d times", key, runs)
	}
}

// checkLeaving checks the arrivals at a host that was marked as leaving. It counts
// no check if end comes less than a second after leavingGracePeriod.
func (p *promises) checkLeaving(host *engineHost, markedAt, end time.Time) {
	if end.Sub(markedAt) < leavingGracePeriod+time.Second {
		return
	}
	p.leavingDrains.check(true, "")
	for _, a := range host.arrivals {
		delay := a.at.Sub(markedAt)
		p.leavingDrains.check(delay <= leavingGracePeriod, "%s got request %s %v after it was marked as leaving", host.name, a.requestID, delay)
	}
}

// checkStop checks the requests that a node had in flight when it was asked to
// stop, or received afterwards.
func (p *promises) checkStop(n *fleetNode, stopRequestedAt time.Time, results []result) {
	for _, r := range results {
		if r.node != n || r.ended.Before(stopRequestedAt) {
			continue
		}
		p.gracefulStop.check(r.outcome == outcomeServed || r.outcome == outcomeRefused, "request %s in flight at %s ended as %s", r.id, n.name, r.outcome)
	}
}
