package experiment

import (
	"errors"
	"maps"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
	"currantladder.example/currantladder/internal/version/formation"
)

// probeTime is what two probes of a member without an answer take.
const probeTime = 240 * time.Millisecond

// leader plans groups as the elected node does. It sees hosts by their reports
// and suspects from the nodes' boards.
type leader struct {
	*clock
	sheet   *Sheet
	service *fleet.Service
	hosts   *hosts
	view    func() *fleet.View
	// suspects returns the heads under suspicion at any node.
	suspects   func() []string
	intents    map[string]formation.Intent
	stages     map[string]formation.Intent
	conditions map[string]formation.Condition
	probing    map[string]bool
	loads      []time.Duration
	epoch      int64
	// stopped leaders plan no more; the first groups are formed all the same.
	stopped func() bool
}

func (l *leader) start() {
	l.intents, l.stages = map[string]formation.Intent{}, map[string]formation.Intent{}
	l.conditions, l.probing = map[string]formation.Condition{}, map[string]bool{}
	l.epoch = 1
	l.every(formation.PlanPeriod, l.plan)
}

func (l *leader) plan() {
	if l.stopped() {
		return
	}
	l.probeSuspects()
	view := l.view()
	plan := formation.MakePlan(l.input(view))
	l.epoch = plan.NextEpoch
	for _, o := range plan.Orders {
		if host := view.Host(o.HostID); host != nil {
			l.give(o, host)
		}
	}
}

func (l *leader) input(view *fleet.View) formation.Input {
	l.loads = slices.DeleteFunc(l.loads, func(at time.Duration) bool { return l.now-at > formation.LoadWindow })
	active := 0
	for id, i := range l.stages {
		h := view.Host(id)
		if h == nil || h.Life() != i.Life || slices.Contains(h.StagedModels, i.Order.Model) {
			delete(l.stages, id)
		} else if !i.Refused {
			active++
		}
	}
	engine := l.service.Engine
	return formation.Input{
		Now: l.time(), Engine: engine, Hosts: view.ServiceHosts(serviceName), Conditions: maps.Clone(l.conditions),
		Intents: maps.Clone(l.intents), Stages: maps.Clone(l.stages), LoadsFree: l.now < l.hosts.traffic,
		LoadBudget: formation.LoadBudget(engine, active, len(l.loads)), FirstEpoch: l.epoch,
	}
}

func (l *leader) give(o formation.Order, host *fleet.Host) {
	intent := formation.Intent{Order: o, Sent: l.time(), Life: host.Life()}
	target := l.intents
	if o.Operation == formation.OpStage {
		target = l.stages
		if l.now >= l.hosts.traffic {
			l.loads = append(l.loads, l.now)
		}
	}
	target[o.HostID] = intent
	l.hosts.order(o, func(err error) {
		if current := target[o.HostID]; current.Sent.Equal(intent.Sent) {
			intent.Answered, intent.Refused = err == nil, errors.Is(err, formation.ErrOrderRefused)
			target[o.HostID] = intent
		}
	})
}

// probeSuspects asks the members of groups that stand still, and again those
// that count as lost.
func (l *leader) probeSuspects() {
	view := l.view()
	targets := slices.Sorted(maps.Keys(l.conditions))
	for _, head := range l.suspects() {
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
		l.after(probeTime, func() {
			delete(l.probing, id)
			if l.hosts.byID[id].alive {
				delete(l.conditions, id)
			} else if !l.conditions[id].Lost {
				l.conditions[id] = formation.Condition{Lost: true, Since: l.time()}
			}
		})
	}
}
