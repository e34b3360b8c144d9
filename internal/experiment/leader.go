package experiment

import (
	"errors"
	"maps"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
	"currantladder.example/currantladder/internal/version/formation"
)

// probeTime is the time of two probes of a member that get no answer.
const probeTime = 240 * time.Millisecond

// leader plans groups as the elected node does. It takes the state of hosts from
// their reports and suspected groups from the boards of the nodes.
type leader struct {
	*clock
	sheet   *Sheet
	service *fleet.Service
	hosts   *hostPool
	view    func() *fleet.View
	// suspectedHeads returns the heads of groups that any node suspects.
	suspectedHeads func() []string
	// isBusy reports whether nodes have requests in flight at a host, as far as the
	// leader's node knows.
	isBusy          func(hostID string) bool
	lastOrders      map[string]formation.SentOrder
	lastStageOrders map[string]formation.SentOrder
	latestJoins     map[string]int64
	conditions      map[string]formation.Condition
	probing         map[string]bool
	// recentLoads are the times of the stage orders within formation.LoadWindow,
	// without those before the first request.
	recentLoads []time.Duration
	nextEpoch   int64
	// stopped reports whether planning has ended. The first groups form under
	// every policy.
	stopped func() bool
}

func (l *leader) start() {
	l.lastOrders, l.lastStageOrders = map[string]formation.SentOrder{}, map[string]formation.SentOrder{}
	l.latestJoins = map[string]int64{}
	l.conditions, l.probing = map[string]formation.Condition{}, map[string]bool{}
	l.nextEpoch = 1
	l.every(formation.PlanInterval, l.plan)
}

func (l *leader) plan() {
	if l.stopped() {
		return
	}
	l.probeSuspects()
	view := l.view()
	plan := formation.MakePlan(l.planInput(view))
	l.nextEpoch = plan.NextEpoch
	for _, o := range plan.Orders {
		if host := view.Host(o.HostID); host != nil {
			l.sendOrder(o, host)
		}
	}
}

func (l *leader) planInput(view *fleet.View) formation.Input {
	l.recentLoads = slices.DeleteFunc(l.recentLoads, func(at time.Duration) bool { return l.now-at > formation.LoadWindow })
	activeLoads := 0
	for id, stage := range l.lastStageOrders {
		h := view.Host(id)
		if h == nil || h.Instance() != stage.Instance || slices.Contains(h.StagedModels, stage.Order.Model) {
			delete(l.lastStageOrders, id)
		} else if !stage.Refused {
			activeLoads++
		}
	}
	engine, hosts, busy := l.service.Engine, view.ServiceHosts(serviceName), map[string]bool{}
	for _, h := range hosts {
		busy[h.ID] = h.IsOpenHead() && l.isBusy(h.ID)
	}
	return formation.Input{
		Now: l.time(), Engine: engine, Hosts: hosts, Conditions: maps.Clone(l.conditions), Busy: busy,
		LastOrders: maps.Clone(l.lastOrders), LastStageOrders: maps.Clone(l.lastStageOrders), UnlimitedLoads: l.now < l.hosts.loadStart,
		LoadBudget: formation.LoadBudget(engine, activeLoads, len(l.recentLoads)), FirstEpoch: l.nextEpoch,
		LatestJoins: maps.Clone(l.latestJoins),
	}
}

func (l *leader) sendOrder(o formation.Order, host *fleet.Host) {
	sent := formation.SentOrder{Order: o, Sent: l.time(), Instance: host.Instance()}
	if o.Operation == formation.OpJoin {
		l.latestJoins[o.HostID] = o.Epoch
	}
	ordersByHost := l.lastOrders
	if o.Operation == formation.OpStage {
		ordersByHost = l.lastStageOrders
		if l.now >= l.hosts.loadStart {
			l.recentLoads = append(l.recentLoads, l.now)
		}
	}
	ordersByHost[o.HostID] = sent
	l.hosts.sendOrder(o, func(err error) {
		if current := ordersByHost[o.HostID]; current.Sent.Equal(sent.Sent) {
			sent.Answered, sent.Refused = err == nil, errors.Is(err, formation.ErrOrderRefused)
			ordersByHost[o.HostID] = sent
		}
	})
}

// probeSuspects probes the members of stalled groups, and again the hosts that are
// silent or lost.
func (l *leader) probeSuspects() {
	view := l.view()
	targets := slices.Sorted(maps.Keys(l.conditions))
	for _, head := range l.suspectedHeads() {
		if h := view.Host(head); h != nil && h.Group.Name != "" {
			for _, other := range view.ServiceHosts(serviceName) {
				if other.Group.Name == h.Group.Name {
					targets = append(targets, other.ID)
				}
			}
		}
	}
	for _, id := range targets {
		if l.probing[id] {
			continue
		}
		l.probing[id] = true
		started := l.time()
		l.after(probeTime, func() {
			delete(l.probing, id)
			l.recordProbe(id, started)
		})
	}
}

// recordProbe updates the condition of a host after a probe that began at started.
func (l *leader) recordProbe(id string, started time.Time) {
	known := l.conditions[id]
	switch h := l.hosts.byID[id]; {
	case h.alive && h.silentUntil <= l.now && h.slowdown >= formation.SlowTimeFactor:
		l.conditions[id] = formation.Condition{Slow: true, Since: l.time()}
	case h.alive && h.silentUntil <= l.now:
		delete(l.conditions, id)
	case known.Lost:
	case !h.alive || known.Silent && l.time().Sub(known.Since) >= formation.SilenceGracePeriod:
		l.conditions[id] = formation.Condition{Lost: true, Since: l.time()}
	case !known.Silent:
		l.conditions[id] = formation.Condition{Silent: true, Since: started}
	}
}
