// Package experiment plays a load sheet against policies of queueing, refusing,
// placing and repair, in virtual time. Engines, hosts, nodes and callers are
// models; the decisions are the product's own (packages place, formation and
// retry) or a rival's.
package experiment

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"currantladder.example/currantladder/internal/request/forward"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/retry"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Times of a play.
const (
	// lead passes before the first request; the groups form in it.
	lead = 10 * time.Second
	// tail follows the last request, for those that are still served.
	tail = 10 * time.Second
)

// play is one run of a sheet under a policy.
type play struct {
	*clock
	sheet   *Sheet
	policy  Policy
	service *fleet.Service
	source  rand.Source
	random  *rand.Rand
	hosts   *hosts
	nodes   []*node
	leader  *leader
	budget  forward.Budget
	result  *Result
}

// ErrStopped reports a play that was ended early.
var ErrStopped = errors.New("the experiment was stopped")

// Run plays a sheet under a policy. progress is called with the played part, 0
// to 1; it may be nil. The same sheet and policy give the same result.
func Run(ctx context.Context, sheet *Sheet, policy Policy, progress func(float64)) (*Result, error) {
	p := newPlay(sheet, policy)
	end := lead + sheet.Run.Length + tail
	for p.now < end {
		if ctx.Err() != nil {
			return nil, ErrStopped
		}
		p.runUntil(min(p.now+time.Second, end))
		p.result.groups(p.now-lead, p.hosts.openGroups())
		if progress != nil {
			progress(float64(p.now) / float64(end))
		}
	}
	p.result.finish(p)
	return p.result, nil
}

func newPlay(sheet *Sheet, policy Policy) *play {
	// The second word of the seed only has to be fixed.
	const sequence = 0x9e3779b97f4a7c15
	source := rand.NewPCG(sheet.Run.Seed, sequence)
	p := &play{
		clock: &clock{}, sheet: sheet, policy: policy, service: sheet.service(), source: source, random: rand.New(source),
		budget: forward.Budget{Ratio: sheet.Run.RetryRatio, Slack: sheet.Run.RetrySlack},
	}
	p.result = newResult(sheet, policy)
	p.hosts = newHosts(p.clock, sheet, p.random, lead)
	p.hosts.published = p.publish
	shared := p.newBoard()
	for i := range sheet.Run.Nodes {
		n := &node{play: p, name: nodeName(i), board: shared, retries: retry.NewBudget(), view: fleet.NewView(nil, nil, 0, epoch, false), alive: true, calls: map[*call]bool{}}
		if !policy.home {
			n.board = p.newBoard()
		}
		p.nodes = append(p.nodes, n)
	}
	p.leader = &leader{clock: p.clock, sheet: sheet, service: p.service, hosts: p.hosts, view: func() *fleet.View { return p.nodes[0].view }, suspects: p.suspects}
	p.leader.stopped = func() bool { return !policy.repairs && p.now >= lead }
	p.leader.start()
	p.hosts.changed()
	p.every(sheet.Run.DigestPeriod, p.exchange)
	for i := range sheet.Kinds {
		p.after(lead, func() { p.arrivals(&sheet.Kinds[i]) })
	}
	for _, f := range sheet.Failures {
		p.after(lead+f.At, func() { p.fail(f) })
	}
	return p
}

func (p *play) newBoard() *place.Board { return place.NewBoardFrom(p.random.Float64) }

func (p *play) publish(version int64, list []*fleet.Host) {
	view := fleet.NewView(nil, list, version, p.time(), true)
	for _, n := range p.nodes {
		n.view = view
	}
}

func (p *play) suspects() []string {
	var out []string
	seen := map[*place.Board]bool{}
	for _, n := range p.nodes {
		if n.alive && !seen[n.board] {
			seen[n.board] = true
			out = append(out, n.board.Suspects(p.time())...)
		}
	}
	return out
}

func (p *play) fail(f FailureSheet) {
	switch f.Kind {
	case FailureLost:
		for _, m := range p.hosts.pick(f.Count) {
			p.hosts.lose(m, f.For)
		}
	case FailureDomain:
		for _, first := range p.hosts.pick(1) {
			for _, id := range p.hosts.ids {
				if m := p.hosts.byID[id]; m.host.FabricDomain == first.host.FabricDomain {
					p.hosts.lose(m, f.For)
				}
			}
		}
	case FailureSlow:
		for _, m := range p.hosts.pick(f.Count) {
			m.slowness = f.Factor
			p.after(f.For, func() { m.slowness = 1 })
		}
	case FailureOrders:
		p.hosts.ordersLate = f.Share
		p.after(f.For, func() { p.hosts.ordersLate = 0 })
	case FailureNodes:
		for i := range min(f.Count, len(p.nodes)) {
			p.nodes[i].kill(f.For)
		}
	}
}
