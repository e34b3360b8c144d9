package formation

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Times and bounds of a controller.
const (
	// PlanPeriod is the time between two plans without a change of the fleet;
	// a change starts one at once, at most every planPause.
	PlanPeriod = 200 * time.Millisecond
	planPause  = 30 * time.Millisecond
	// orderTimeout bounds an order. Hosts answer within milliseconds; one that
	// does not is judged by its reports.
	orderTimeout = 400 * time.Millisecond
	// probeTimeout bounds a probe, probesToLose is the number of probes in a
	// row without an answer after which a host counts as lost.
	probeTimeout = 120 * time.Millisecond
	probesToLose = 2
	// reprobePeriod is how often a host that counts as lost or slow is asked
	// again.
	reprobePeriod = 600 * time.Millisecond
	// slowPace is the pace from which a member is replaced where a spare is
	// at hand: the group then misses the pauses that callers accept.
	slowPace = 2.5
	// epochsPerTerm is the number of epochs that a leader may use.
	epochsPerTerm = 1_000_000
	// settleTime is how long the host list must be unchanged before the first
	// groups are formed, so that all hosts take part; settleLimit bounds it.
	settleTime  = 800 * time.Millisecond
	settleLimit = 5 * time.Second
	// loadsFreeLimit bounds the time after the start in which loads count as
	// free; callers come some seconds after the hosts.
	loadsFreeLimit = 9 * time.Second
	// maxOrdersOnWay bounds the orders that are sent at a time: each has a
	// connection of its own, and a first plan may hold more of them than a node
	// may have descriptors. It is far above what a repair needs.
	maxOrdersOnWay = 256
	// LoadWindow is the time over which loads from the weight store are
	// counted.
	LoadWindow = 5 * time.Second
)

// Leadership says whether this node may give orders, and under which term.
type Leadership func() (term int64, leads bool)

// Options are the parts that a Controller works with.
type Options struct {
	View    *fleet.Holder
	Orderer Orderer
	Leads   Leadership
	// Suspects returns the heads of groups that stand still.
	Suspects func() []string
	// Traffic reports whether requests have come.
	Traffic func() bool
	// FirstStart is true where the fleet starts for the first time: no former
	// leader can have given orders.
	FirstStart bool
	Log        *eventlog.Logger
	Metrics    tally.Scope
}

// Controller forms and repairs groups while its node leads. Run is its only
// goroutine that plans; orders and probes run beside it.
type Controller struct {
	Options
	wake chan struct{}
	// onWay holds a token for each order that is being sent.
	onWay chan struct{}

	mu         sync.Mutex
	term       int64
	epoch      int64
	ledSince   time.Time
	started    time.Time
	intents    map[string]Intent
	stages     map[string]Intent
	conditions map[string]Condition
	probing    map[string]time.Time
	// members are the members of open groups as last registered, by host ID.
	members map[string]*fleet.Host
	loads   []time.Time
	// hostCount and countSince tell when the host list settled.
	hostCount  int
	countSince time.Time
	settled    bool
	lastPlan   string
}

// NewController returns a controller that does nothing until Run.
func NewController(o Options) *Controller {
	return &Controller{
		Options: o, wake: make(chan struct{}, 1), onWay: make(chan struct{}, maxOrdersOnWay), intents: map[string]Intent{}, stages: map[string]Intent{},
		conditions: map[string]Condition{}, probing: map[string]time.Time{}, members: map[string]*fleet.Host{}, started: time.Now(),
	}
}

// Wake starts a plan soon. It never blocks.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default: // a plan is due anyway
	}
}

// Run plans until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(PlanPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		c.round(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(planPause):
		}
	}
}

// round plans once where this node leads.
func (c *Controller) round(ctx context.Context, now time.Time) {
	term, leads := c.Leads()
	view := c.View.Load()
	if !leads || view.Configuration == nil || !view.HostsKnown {
		c.mu.Lock()
		c.ledSince = time.Time{}
		c.mu.Unlock()
		return
	}
	if !c.ready(term, view, now) {
		return
	}
	c.rememberMembers(view)
	c.probeSuspects(ctx, view, now)
	for _, service := range sortedServices(view.Configuration) {
		if service.Engine != nil && len(service.Engine.Models) > 0 {
			c.planService(ctx, service, view, now)
		}
	}
}

func sortedServices(configuration *fleet.Configuration) []*fleet.Service {
	var services []*fleet.Service
	for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
		services = append(services, configuration.Services[name])
	}
	return services
}

// ready starts a term and waits until the host list has settled on a first
// start.
func (c *Controller) ready(term int64, view *fleet.View, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term || c.ledSince.IsZero() {
		if c.term != term {
			c.epoch = term * epochsPerTerm
		}
		c.term = term
		c.ledSince = now
		c.countSince = now
	}
	if n := len(view.Hosts); n != c.hostCount {
		c.hostCount = n
		c.countSince = now
	}
	if c.settled || !c.FirstStart || now.Sub(c.started) > settleLimit {
		c.settled = true
		return true
	}
	c.settled = c.hostCount > 0 && now.Sub(c.countSince) >= settleTime
	return c.settled
}

func (c *Controller) planService(ctx context.Context, service *fleet.Service, view *fleet.View, now time.Time) {
	in := c.input(service, view, now)
	plan := MakePlan(in)
	c.note(service, plan, view)
	c.mu.Lock()
	c.epoch = max(c.epoch, plan.NextEpoch)
	c.mu.Unlock()
	for _, o := range plan.Orders {
		c.give(ctx, o, view.Host(o.HostID), in.LoadsFree, now)
	}
}

func (c *Controller) input(service *fleet.Service, view *fleet.View, now time.Time) Input {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads = slices.DeleteFunc(c.loads, func(at time.Time) bool { return now.Sub(at) > LoadWindow })
	active := 0
	for id, i := range c.stages {
		h := view.Host(id)
		if h == nil || h.Life() != i.Life || slices.Contains(h.StagedModels, i.Order.Model) {
			delete(c.stages, id)
			continue
		}
		if !i.Refused {
			active++
		}
	}
	budget := LoadBudget(service.Engine, active, len(c.loads))
	return Input{
		Now: now, Engine: service.Engine, Hosts: view.ServiceHosts(service.Name), Unregistered: c.unregistered(service.Name, view),
		Conditions: maps.Clone(c.conditions), Intents: maps.Clone(c.intents), Stages: maps.Clone(c.stages),
		LoadsFree:  c.FirstStart && !c.Traffic() && now.Sub(c.started) < loadsFreeLimit,
		LoadBudget: budget, FirstEpoch: c.epoch + 1,
	}
}

// LoadBudget is the number of loads from the weight store that may begin, with
// so many under way and so many begun within LoadWindow. Half of the store's
// rate is left to the loads of joins and of a former leader, which are not
// counted here.
func LoadBudget(engine *fleet.Engine, underWay, begun int) int {
	perWindow := int(engine.LoadsPerSecond * LoadWindow.Seconds() / 2)
	return min(engine.ConcurrentLoads-underWay, perWindow-begun)
}

// note logs the plan where it differs from the last one.
func (c *Controller) note(service *fleet.Service, plan Plan, view *fleet.View) {
	text := ""
	for i := range service.Engine.Models {
		m := service.Engine.Models[i].Name
		text += m + " serving " + strconv.Itoa(plan.Serving[m]) + " forming " + strconv.Itoa(plan.Forming[m]) + " spares " + strconv.Itoa(plan.Spares[m]) + "; "
		c.Metrics.Tagged(map[string]string{"model": m}).Gauge("groups_serving").Update(float64(plan.Serving[m]))
		c.Metrics.Tagged(map[string]string{"model": m}).Gauge("spare_hosts").Update(float64(plan.Spares[m]))
	}
	if text == c.lastPlan {
		return
	}
	c.lastPlan = text
	c.Log.Log(eventlog.GroupsPlanned, eventlog.Fields{"service": service.Name, "groups": text, "hosts_version": view.HostsVersion, "hosts": len(view.ServiceHosts(service.Name)), "term": c.term})
}

// give records an order and sends it beside the planning.
func (c *Controller) give(ctx context.Context, o Order, host *fleet.Host, loadsFree bool, now time.Time) {
	if host == nil {
		return
	}
	intent := Intent{Order: o, Sent: now, Life: host.Life()}
	c.mu.Lock()
	c.ordersLike(o)[o.HostID] = intent
	if o.Operation == OpStage && !loadsFree {
		c.loads = append(c.loads, now)
	}
	c.mu.Unlock()
	c.Log.Log(eventlog.OrderSent, eventlog.Fields{
		"order": o.Operation.String(), "host": o.HostID, "group": o.Group, "epoch": o.Epoch, "model": o.Model, "members": o.Members,
		"reason": o.Reason, "term": c.term, "hosts_version": c.View.Load().HostsVersion,
	})
	c.Metrics.Tagged(map[string]string{"order": o.Operation.String()}).Counter("orders").Inc(1)
	go c.send(ctx, o, host, intent)
}

func (c *Controller) send(ctx context.Context, o Order, host *fleet.Host, intent Intent) {
	select {
	case <-ctx.Done():
		return
	case c.onWay <- struct{}{}:
		defer func() { <-c.onWay }()
	}
	if !c.holds(intent) {
		return // a later plan has given the host another order meanwhile
	}
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, leads := c.Leads(); !leads {
		return
	}
	err := c.Orderer.Order(bounded, host.Address, o)
	if err != nil {
		c.Log.Log(eventlog.OrderUnanswered, eventlog.Fields{"order": o.Operation.String(), "host": o.HostID, "group": o.Group, "epoch": o.Epoch, "error": err.Error()})
	}
	intent.Answered = err == nil
	intent.Refused = errors.Is(err, ErrOrderRefused)
	c.mu.Lock()
	if target := c.ordersLike(o); target[o.HostID].Sent.Equal(intent.Sent) {
		target[o.HostID] = intent
	}
	c.mu.Unlock()
	c.Wake()
	if err != nil && !intent.Refused {
		c.probe(ctx, host)
	}
}

// ordersLike returns the last orders of the kind: stages run beside all others.
// The caller holds mu.
func (c *Controller) ordersLike(o Order) map[string]Intent {
	if o.Operation == OpStage {
		return c.stages
	}
	return c.intents
}

// holds reports whether an intent is still the last one of its host.
func (c *Controller) holds(intent Intent) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ordersLike(intent.Order)[intent.Order.HostID].Sent.Equal(intent.Sent)
}

// rememberMembers keeps the members of open groups, so that one whose
// registration lapses can be asked whether it lives.
func (c *Controller) rememberMembers(view *fleet.View) {
	open := map[string]bool{}
	for _, h := range view.Hosts {
		if h.Group.Rank == 0 && h.Group.State == fleet.MemberOpen {
			open[h.Group.Name] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, h := range c.members {
		if view.Host(id) != nil || !open[h.Group.Name] || c.conditions[id].Lost {
			delete(c.members, id)
		}
	}
	for _, h := range view.Hosts {
		if h.State == fleet.HostLeaving {
			delete(c.members, h.ID)
		} else if h.Group.Rank > 0 && open[h.Group.Name] {
			c.members[h.ID] = h
		}
	}
}

// unregistered returns the remembered members of a service that are not in
// the host list. The caller holds mu.
func (c *Controller) unregistered(service string, view *fleet.View) []*fleet.Host {
	var hosts []*fleet.Host
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if h := c.members[id]; h.Service == service && view.Host(id) == nil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// probeSuspects asks the members of groups that stand still, and again those
// that count as lost or slow.
func (c *Controller) probeSuspects(ctx context.Context, view *fleet.View, now time.Time) {
	targets := map[string]*fleet.Host{}
	for _, id := range c.Suspects() {
		head := view.Host(id)
		if head == nil || head.Group.Name == "" {
			continue
		}
		for _, h := range view.ServiceHosts(head.Service) {
			if h.Group.Name == head.Group.Name {
				targets[h.ID] = h
			}
		}
	}
	c.mu.Lock()
	for id := range c.conditions {
		h := view.Host(id)
		if h == nil {
			delete(c.conditions, id)
			continue
		}
		targets[id] = h
	}
	for id, h := range c.members {
		if view.Host(id) == nil {
			targets[id] = h
		}
	}
	for id, h := range targets {
		if now.Sub(c.probing[id]) < reprobePeriod {
			continue
		}
		c.probing[id] = now
		go c.probe(ctx, h)
	}
	c.mu.Unlock()
}

// probe asks a host until it answers or counts as lost.
func (c *Controller) probe(ctx context.Context, host *fleet.Host) {
	for range probesToLose {
		bounded, cancel := context.WithTimeout(ctx, probeTimeout)
		pace, err := c.Orderer.Probe(bounded, host.Address, host.ID)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			c.answered(host, pace)
			return
		}
	}
	c.mu.Lock()
	before := c.conditions[host.ID]
	if !before.Lost {
		c.conditions[host.ID] = Condition{Lost: true, Since: time.Now()}
	}
	c.mu.Unlock()
	if !before.Lost {
		c.Log.Log(eventlog.MemberDead, eventlog.Fields{"host": host.ID, "group": host.Group.Name, "epoch": host.Group.Epoch, "probes": probesToLose})
		c.Wake()
	}
}

func (c *Controller) answered(host *fleet.Host, pace float64) {
	slow := pace >= slowPace
	c.mu.Lock()
	before, known := c.conditions[host.ID]
	if slow {
		c.conditions[host.ID] = Condition{Slow: true, Since: time.Now()}
	} else {
		delete(c.conditions, host.ID)
	}
	c.mu.Unlock()
	if slow && !before.Slow {
		c.Log.Log(eventlog.MemberSlow, eventlog.Fields{"host": host.ID, "group": host.Group.Name, "pace": pace})
		c.Wake()
	}
	if known && !slow {
		c.Log.Log(eventlog.MemberAlive, eventlog.Fields{"host": host.ID, "group": host.Group.Name})
		c.Wake()
	}
}
