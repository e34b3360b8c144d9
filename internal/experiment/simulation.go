// Package experiment simulates the load of a load sheet under policies for
// queueing, refusal, placement and repair, in virtual time. Engines, hosts, nodes
// and callers are simulated; the decisions come from the product's own packages
// place, formation and retry, or from a baseline policy. The experiment command of
// currantladder calls it; Run blocks until the simulation ends or its context does.
package experiment

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/coordinate"
	"currantladder.example/currantladder/internal/request/forward"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/request/retry"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Times before and after the load.
const (
	// warmUpTime precedes the first request; the first groups form in it.
	warmUpTime = 10 * time.Second
	// drainTime follows the last arrival, so that running requests can end.
	drainTime = 10 * time.Second
)

// simulation is one run of a sheet under a policy.
type simulation struct {
	*clock
	sheet   *Sheet
	policy  Policy
	service *fleet.Service
	random  *rand.Rand
	// arrivals are the sources of times and sizes of requests by kind, so that every
	// policy gets the same requests.
	arrivals map[string]rand.Source
	hosts    *hostPool
	nodes    []*node
	leader   *leader
	budget   forward.Budget
	result   *Result
	poison   poisonState
	limits   []*hostLimit
	// coordinated is true if nodes ask each other for groups. orders are the nodes that
	// may coordinate each key.
	coordinated bool
	orders      map[coordinate.Key][]string
	// accountRandom draws the accounts of requests.
	accountRandom *rand.Rand
}

// ErrStopped is returned by Run when its context ends before the simulation does.
var ErrStopped = errors.New("the experiment was stopped")

// Run simulates a sheet under a policy. It calls progress, which may be nil, with
// the completed part, 0 to 1. The same sheet and policy give the same result. Run
// returns ErrStopped when the context ends.
func Run(ctx context.Context, sheet *Sheet, policy Policy, progress func(float64)) (*Result, error) {
	sim := newSimulation(sheet, policy)
	end := warmUpTime + sheet.Run.Length + drainTime
	for sim.now < end {
		if ctx.Err() != nil {
			return nil, ErrStopped
		}
		sim.runUntil(min(sim.now+time.Second, end))
		sim.result.recordGroups(sim.now-warmUpTime, sim.hosts.countOpenGroups())
		if progress != nil {
			progress(float64(sim.now) / float64(end))
		}
	}
	sim.result.recordHostCounters(sim)
	sim.result.Limits = sim.limitResult()
	return sim.result, nil
}

func newSimulation(sheet *Sheet, policy Policy) *simulation {
	// The second word of the seed may have any fixed value.
	const sequence = 0x9e3779b97f4a7c15
	source := rand.NewPCG(sheet.Run.Seed, sequence)
	sim := &simulation{
		clock: &clock{}, sheet: sheet, policy: policy, service: sheet.service(), random: rand.New(source), arrivals: map[string]rand.Source{},
		budget: forward.Budget{Ratio: sheet.Run.RetryRatio, Slack: sheet.Run.RetrySlack},
	}
	sim.result = newResult(sheet, policy)
	sim.hosts = newHostPool(sim.clock, sheet, sim.random, warmUpTime)
	sim.hosts.onPublished = sim.publishHosts
	sim.accountRandom = rand.New(rand.NewPCG(sheet.Run.Seed, sequence+2))
	sim.poison.random = rand.New(rand.NewPCG(sheet.Run.Seed, sequence+1))
	sim.hosts.onCrash = func() {
		sim.poison.crashes = append(sim.poison.crashes, sim.now)
		sim.result.Poison.CrashedHosts++
	}
	sim.coordinated, sim.orders = sim.coordinates(), map[coordinate.Key][]string{}
	sharedBoard := sim.newBoard()
	for i := range sheet.Run.Nodes {
		n := &node{simulation: sim, name: nodeName(i), board: sharedBoard, retries: retry.NewBudget(), poisonTracker: poison.New(), view: fleet.NewView(nil, nil, 0, startTime, false), alive: true, calls: map[*call]bool{}}
		if !policy.sharedBoard {
			n.board = sim.newBoard()
		}
		n.coordination = newCoordination(n)
		sim.nodes = append(sim.nodes, n)
	}
	sim.leader = &leader{clock: sim.clock, sheet: sheet, service: sim.service, hosts: sim.hosts, view: func() *fleet.View { return sim.nodes[0].view }, suspectedHeads: sim.suspectedHeads, isBusy: sim.isBusy}
	sim.leader.stopped = func() bool { return !policy.reformsGroups && sim.now >= warmUpTime }
	sim.leader.start()
	sim.hosts.publish()
	sim.every(sheet.Run.DigestInterval, sim.exchangeLoads)
	sim.every(sheet.Run.DigestInterval, sim.checkPoison)
	if sim.coordinated {
		sim.every(coordinate.ReportInterval(sheet.Run.Nodes), sim.reportUsages)
	}
	for i, kind := range sheet.Kinds {
		sim.arrivals[kind.Name] = rand.NewPCG(sheet.Run.Seed, sequence+2+uint64(i))
		sim.after(warmUpTime, func() { sim.scheduleArrivals(&sheet.Kinds[i]) })
	}
	for _, f := range sheet.Failures {
		sim.after(warmUpTime+f.Start, func() { sim.injectRepeatedly(f) })
	}
	return sim
}

func (sim *simulation) newBoard() *place.Board { return place.NewBoardFrom(sim.random.Float64) }

func (sim *simulation) publishHosts(version int64, hosts []*fleet.Host) {
	view := fleet.NewView(nil, hosts, version, sim.time(), true)
	for _, n := range sim.nodes {
		n.view = view
	}
}

func (sim *simulation) suspectedHeads() []string {
	var heads []string
	seen := map[*place.Board]bool{}
	for _, n := range sim.nodes {
		if n.alive && !seen[n.board] {
			seen[n.board] = true
			heads = append(heads, n.board.Suspects(sim.time())...)
		}
	}
	return heads
}

// isBusy reports whether nodes have requests in flight at the host, as the first live
// node knows it.
func (sim *simulation) isBusy(hostID string) bool {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.alive })
	return i >= 0 && sim.nodes[i].board.Load(hostID, sim.time()) > 0
}

// injectRepeatedly injects a failure, and again after each of its intervals while
// requests arrive.
func (sim *simulation) injectRepeatedly(f FailureSheet) {
	sim.injectFailure(f)
	if f.Interval > 0 && sim.now+f.Interval < warmUpTime+sim.sheet.Run.Length {
		sim.after(f.Interval, func() { sim.injectRepeatedly(f) })
	}
}

func (sim *simulation) injectFailure(f FailureSheet) {
	switch f.Kind {
	case FailureHostsAdded:
		sim.hosts.add(f.Count)
	case FailureHostsLost:
		for _, h := range sim.hosts.pickAlive(f.Count) {
			sim.hosts.fail(h, f.Duration)
		}
	case FailureDomainLost:
		for _, first := range sim.hosts.pickAlive(1) {
			for _, id := range sim.hosts.ids {
				if h := sim.hosts.byID[id]; h.host.FabricDomain == first.host.FabricDomain {
					sim.hosts.fail(h, f.Duration)
				}
			}
		}
	case FailureHostsSilent:
		for _, h := range sim.hosts.pickAlive(f.Count) {
			h.silentUntil = sim.now + f.Duration
		}
	case FailureHostsSlow:
		for _, h := range sim.hosts.pickAlive(f.Count) {
			h.slowdown = f.Slowdown
			sim.after(f.Duration, func() { h.slowdown = 1 })
		}
	case FailureOrdersLate:
		sim.hosts.lateOrderShare = f.Share
		sim.after(f.Duration, func() { sim.hosts.lateOrderShare = 0 })
	case FailureHostsLimited:
		sim.limitHosts(f)
	case FailureCrashingPart:
		sim.startCrashingParts(f)
	case FailureNodesKilled:
		for i := range min(f.Count, len(sim.nodes)) {
			sim.nodes[i].kill(f.Duration)
		}
	}
}
