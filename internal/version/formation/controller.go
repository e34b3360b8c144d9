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

// Times and limits of a controller.
const (
	// PlanInterval is the time between two plans if the fleet does not change. A
	// change starts a plan immediately, but not within minPlanInterval after the
	// last one.
	PlanInterval    = 200 * time.Millisecond
	minPlanInterval = 30 * time.Millisecond
	// orderCallTimeout is the timeout of the call that sends an order. Hosts
	// answer within milliseconds; without an answer, the host's reports show
	// whether the order was carried out.
	orderCallTimeout = 400 * time.Millisecond
	probeTimeout     = 120 * time.Millisecond
	// probeAttempts is the number of consecutive probes without an answer after
	// which a host counts as silent.
	probeAttempts = 2
	// SilenceGracePeriod is how long after the first unanswered probe a silent host
	// counts as lost. A sound host may be silent for nearly that long, and then
	// callers leave their streams anyway.
	SilenceGracePeriod = 2 * time.Second
	// maxProbeDelay is how long after its timeout a probe may end. A probe that ends
	// later says nothing about the host, because this process was not scheduled in
	// time. maxProbeTries limits the probes, such ones included.
	maxProbeDelay = 50 * time.Millisecond
	maxProbeTries = 8
	// manyLosses is the number of hosts, in more than one fabric domain, that fail
	// their probes within lossWindow from which a further one counts as silent only
	// after confirmAttempts more probes with a timeout of confirmTimeout: so many
	// failures are more likely to be caused by this node than by the hosts.
	manyLosses      = 10
	lossWindow      = time.Second
	confirmAttempts = 2
	confirmTimeout  = 400 * time.Millisecond
	// maxProbesInFlight limits the hosts that are probed at a time. When many groups
	// are suspected at once, a node with a fifth of a core could not handle all
	// answers before the probes time out.
	maxProbesInFlight = 32
	// reprobeInterval is the minimum time between two regular probes of a host
	// that is lost, slow or unregistered, and suspectReprobeInterval of a member of a
	// suspected group that answered, as suspicions last longer than it takes to probe
	// the members.
	reprobeInterval        = 600 * time.Millisecond
	suspectReprobeInterval = time.Second
	// silentReprobeInterval is the same for a host that is silent but not lost.
	silentReprobeInterval = 300 * time.Millisecond
	// SlowTimeFactor is the time factor, a multiple of the usual time, from which
	// a host counts as slow and joins no new group. A group with such a host
	// exceeds the pauses that callers accept.
	SlowTimeFactor = 2.5
	// epochsPerTerm is the number of epochs reserved for each term, so that epochs
	// of a later term are higher.
	epochsPerTerm = 1_000_000
	// hostListSettleTime is how long the number of hosts must be unchanged before
	// the first groups are formed, so that all hosts take part.
	hostListSettleTime = 800 * time.Millisecond
	// hostListSettleTimeout is the time after the start from which groups are
	// formed even if the number of hosts still changes.
	hostListSettleTimeout = 5 * time.Second
	// unlimitedLoadsTimeout is the time after the first start of the fleet from
	// which loads are limited even without traffic. Callers arrive some seconds
	// after the hosts.
	unlimitedLoadsTimeout = 9 * time.Second
	// maxOrdersInFlight limits the orders that are sent at a time. The first plan
	// may contain an order for each host, more than a node may have file descriptors
	// or can handle before the calls time out.
	maxOrdersInFlight = 64
	// unopenedTTL is how long a group that was never ordered to open is recorded. A
	// group without a record ends like one that may serve.
	unopenedTTL = time.Minute
	// LoadWindow is the time over which started loads from the weight store are
	// counted.
	LoadWindow = 5 * time.Second
)

// MaxEpoch is the highest epoch that a host can report. It leaves room for more terms
// than there are elections, and for all epochs of each.
const MaxEpoch = 4_000_000_000 * epochsPerTerm

// Leadership returns whether this node may send orders, and its term.
type Leadership func() (term int64, leads bool)

// Options are the dependencies of a Controller.
type Options struct {
	View    *fleet.ViewHolder
	Orderer Orderer
	Leads   Leadership
	// StalledHeads returns the host IDs of the heads of stalled groups.
	StalledHeads func() []string
	// IsBusy reports whether any node has requests in flight at a host.
	IsBusy func(hostID string) bool
	// Traffic reports whether any request has arrived.
	Traffic func() bool
	// FirstStart is true if the fleet starts for the first time, so that no former
	// leader can have sent orders.
	FirstStart bool
	Log        *eventlog.Logger
	Metrics    tally.Scope
}

// Controller forms and repairs groups while its node leads. Only Run plans;
// orders and probes run in goroutines of their own.
type Controller struct {
	Options
	wake chan struct{}
	// orderSlots is a semaphore that limits the orders in flight.
	orderSlots chan struct{}
	// probeSlots is a semaphore that limits the hosts that are probed at a time.
	probeSlots chan struct{}

	// mu protects the fields below, except lastSummary, which only Run uses.
	mu              sync.Mutex
	term            int64
	epoch           int64
	ledSince        time.Time
	started         time.Time
	sentOrders      map[string]SentOrder
	sentStageOrders map[string]SentOrder
	// latestJoins are the epochs of the last joins in this term, by ID of the registered
	// hosts that were not ordered to leave since.
	latestJoins map[string]int64
	conditions  map[string]Condition
	lastProbed  map[string]time.Time
	// failures are the hosts that answered no probe within lossWindow.
	failures []probeFailure
	// probing contains the hosts that are being probed or wait for it.
	probing map[string]bool
	// contested contains Plan.Contested by service.
	contested map[string][]string
	// members are the members of open groups, except the heads, as last
	// registered, by host ID.
	members    map[string]*fleet.Host
	loadStarts []time.Time
	// unopened contains when the first join was sent, by name of the groups formed
	// in this term that were not ordered to open.
	unopened map[string]time.Time
	// hostCount is the number of hosts last seen, hostCountSince when it changed.
	hostCount       int
	hostCountSince  time.Time
	hostListSettled bool
	lastSummary     string
}

// NewController returns a controller that does nothing until Run.
func NewController(o Options) *Controller {
	return &Controller{
		Options: o, wake: make(chan struct{}, 1), orderSlots: make(chan struct{}, maxOrdersInFlight), probeSlots: make(chan struct{}, maxProbesInFlight), sentOrders: map[string]SentOrder{}, sentStageOrders: map[string]SentOrder{}, latestJoins: map[string]int64{},
		conditions: map[string]Condition{}, lastProbed: map[string]time.Time{}, members: map[string]*fleet.Host{}, started: time.Now(),
		unopened: map[string]time.Time{}, probing: map[string]bool{}, contested: map[string][]string{},
	}
}

// Wake makes Run plan soon. It never blocks.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default: // a plan is already due
	}
}

// Run plans periodically and on Wake until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(PlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
		}
		c.planOnce(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(minPlanInterval):
		}
	}
}

// planOnce plans for every service with managed models if this node leads and
// has a configuration and the host list.
func (c *Controller) planOnce(ctx context.Context, now time.Time) {
	term, leads := c.Leads()
	view := c.View.Load()
	if !leads || view.Configuration == nil || !view.HostsKnown {
		c.mu.Lock()
		c.ledSince = time.Time{}
		c.mu.Unlock()
		return
	}
	if !c.readyToPlan(term, view, now) {
		return
	}
	c.updateMembers(view)
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

// TermOf returns the term of the leader that gave out an epoch.
func TermOf(epoch int64) int64 { return epoch / epochsPerTerm }

// readyToPlan starts a new term where needed and reports whether planning may
// begin. At the first start of the fleet, that is once the host list has settled.
func (c *Controller) readyToPlan(term int64, view *fleet.View, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term || c.ledSince.IsZero() {
		if c.term != term {
			c.epoch = term * epochsPerTerm
			clear(c.unopened)
			clear(c.latestJoins)
		}
		c.term = term
		c.ledSince = now
		clear(c.conditions) // hosts are not probed while this node does not lead
		c.hostCountSince = now
	}
	if n := len(view.Hosts); n != c.hostCount {
		c.hostCount = n
		c.hostCountSince = now
	}
	if c.hostListSettled || !c.FirstStart || now.Sub(c.started) > hostListSettleTimeout {
		c.hostListSettled = true
		return true
	}
	c.hostListSettled = c.hostCount > 0 && now.Sub(c.hostCountSince) >= hostListSettleTime
	return c.hostListSettled
}

// planService makes a plan for one service and sends its orders.
func (c *Controller) planService(ctx context.Context, service *fleet.Service, view *fleet.View, now time.Time) {
	in := c.buildInput(service, view, now)
	plan := MakePlan(in)
	c.reportPlan(service, plan, view)
	c.mu.Lock()
	c.epoch = max(c.epoch, plan.NextEpoch)
	c.contested[service.Name] = plan.Contested
	c.mu.Unlock()
	for _, o := range plan.Orders {
		c.issueOrder(ctx, o, view.Host(o.HostID), in.UnlimitedLoads, now)
	}
}

// buildInput returns the input of a plan. It drops outdated load starts and
// stage orders that are done or were sent to an earlier start of a host.
func (c *Controller) buildInput(service *fleet.Service, view *fleet.View, now time.Time) Input {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadStarts = slices.DeleteFunc(c.loadStarts, func(at time.Time) bool { return now.Sub(at) > LoadWindow })
	active := 0
	for id, sentOrder := range c.sentStageOrders {
		h := view.Host(id)
		if h == nil || h.Instance() != sentOrder.Instance || slices.Contains(h.StagedModels, sentOrder.Order.Model) {
			delete(c.sentStageOrders, id)
			continue
		}
		if !sentOrder.Refused {
			active++
		}
	}
	budget := LoadBudget(service.Engine, active, len(c.loadStarts))
	hosts := view.ServiceHosts(service.Name)
	return Input{
		Now: now, Engine: service.Engine, Hosts: hosts, Unregistered: c.unregisteredMembers(service.Name, view),
		Conditions: maps.Clone(c.conditions), Busy: c.busyHeads(hosts), LastOrders: maps.Clone(c.sentOrders), LastStageOrders: maps.Clone(c.sentStageOrders),
		UnlimitedLoads: c.FirstStart && !c.Traffic() && now.Sub(c.started) < unlimitedLoadsTimeout,
		LoadBudget:     budget, FirstEpoch: c.epoch + 1, Unopened: c.unopenedGroups(now), LatestJoins: maps.Clone(c.latestJoins), LedSince: c.ledSince,
	}
}

// busyHeads returns the host IDs of the heads with requests in flight, if any host is
// silent. The caller holds mu.
func (c *Controller) busyHeads(hosts []*fleet.Host) map[string]bool {
	busy := map[string]bool{}
	for _, condition := range c.conditions {
		if !condition.Silent {
			continue
		}
		for _, h := range hosts {
			if h.Group.Name != "" && h.Group.Rank == 0 && c.IsBusy(h.ID) {
				busy[h.ID] = true
			}
		}
		break
	}
	return busy
}

// unopenedGroups returns the names of the groups in unopened, without those that
// were formed too long ago to be recorded any further. The caller holds mu.
func (c *Controller) unopenedGroups(now time.Time) map[string]bool {
	names := make(map[string]bool, len(c.unopened))
	for name, formed := range c.unopened {
		if now.Sub(formed) > unopenedTTL {
			delete(c.unopened, name)
			continue
		}
		names[name] = true
	}
	return names
}

// LoadBudget returns the number of loads from the weight store that may begin
// now, given the loads in flight and those started within LoadWindow. Half of
// the store's rate is left for the loads of joins and of a former leader, which
// are not counted here. The result may be negative.
func LoadBudget(engine *fleet.Engine, inFlight, recentStarts int) int {
	perWindow := int(engine.LoadsPerSecond * LoadWindow.Seconds() / 2)
	return min(engine.ConcurrentLoads-inFlight, perWindow-recentStarts)
}

// reportPlan updates the metrics and logs the plan if its counts have changed.
func (c *Controller) reportPlan(service *fleet.Service, plan Plan, view *fleet.View) {
	summary := ""
	for i := range service.Engine.Models {
		m := service.Engine.Models[i].Name
		summary += m + " serving " + strconv.Itoa(plan.Serving[m]) + " forming " + strconv.Itoa(plan.Forming[m]) + " spares " + strconv.Itoa(plan.Spares[m]) + "; "
		c.Metrics.Tagged(map[string]string{"model": m}).Gauge("groups_serving").Update(float64(plan.Serving[m]))
		c.Metrics.Tagged(map[string]string{"model": m}).Gauge("spare_hosts").Update(float64(plan.Spares[m]))
		if evacuated := plan.Evacuated[m]; evacuated > 0 {
			summary += m + " evacuated " + strconv.Itoa(evacuated) + "; "
		}
		c.Metrics.Tagged(map[string]string{"model": m}).Gauge("groups_evacuated").Update(float64(plan.Evacuated[m]))
	}
	if summary == c.lastSummary {
		return
	}
	c.lastSummary = summary
	c.Log.Log(eventlog.GroupsPlanned, eventlog.Fields{"service": service.Name, "groups": summary, "hosts_version": view.HostsVersion, "hosts": len(view.ServiceHosts(service.Name)), "term": c.term})
}

// issueOrder records an order and sends it in a goroutine of its own.
func (c *Controller) issueOrder(ctx context.Context, o Order, host *fleet.Host, unlimitedLoads bool, now time.Time) {
	if host == nil {
		return
	}
	sentOrder := SentOrder{Order: o, Sent: now, Instance: host.Instance()}
	c.mu.Lock()
	c.lastOrders(o)[o.HostID] = sentOrder
	if o.Operation == OpStage && !unlimitedLoads {
		c.loadStarts = append(c.loadStarts, now)
	}
	switch o.Operation {
	case OpJoin:
		c.latestJoins[o.HostID] = o.Epoch
		if _, known := c.unopened[o.Group]; !known {
			c.unopened[o.Group] = now
		}
	case OpOpen:
		delete(c.unopened, o.Group)
	case OpLeave:
		delete(c.latestJoins, o.HostID)
	}
	c.mu.Unlock()
	c.Log.Log(eventlog.OrderSent, eventlog.Fields{
		"order": o.Operation.String(), "host": o.HostID, "group": o.Group, "epoch": o.Epoch, "model": o.Model, "members": o.Members,
		"reason": o.Reason, "term": c.term, "hosts_version": c.View.Load().HostsVersion,
	})
	c.Metrics.Tagged(map[string]string{"order": o.Operation.String()}).Counter("orders").Inc(1)
	go c.sendOrder(ctx, o, host, sentOrder)
}

// sendOrder sends an order unless a newer one replaced it or this node no longer
// leads. It records the answer, and probes the host if there is none.
func (c *Controller) sendOrder(ctx context.Context, o Order, host *fleet.Host, sentOrder SentOrder) {
	select {
	case <-ctx.Done():
		return
	case c.orderSlots <- struct{}{}:
		defer func() { <-c.orderSlots }()
	}
	if !c.isLatest(sentOrder) {
		return // a later plan has issued another order for the host
	}
	callCtx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	if _, leads := c.Leads(); !leads {
		return
	}
	err := c.Orderer.Order(callCtx, host.Address, o)
	if err != nil {
		c.Log.Log(eventlog.OrderUnanswered, eventlog.Fields{"order": o.Operation.String(), "host": o.HostID, "group": o.Group, "epoch": o.Epoch, "error": err.Error()})
	}
	sentOrder.Answered = err == nil
	sentOrder.Refused = errors.Is(err, ErrOrderRefused)
	c.mu.Lock()
	if last := c.lastOrders(o); last[o.HostID].Sent.Equal(sentOrder.Sent) {
		last[o.HostID] = sentOrder
	}
	c.mu.Unlock()
	c.Wake()
	if err != nil && !sentOrder.Refused {
		c.probe(ctx, host)
	}
}

// lastOrders returns the map, by host ID, that the order belongs to. Stage
// orders have their own because they run alongside the others. The caller holds
// mu.
func (c *Controller) lastOrders(o Order) map[string]SentOrder {
	if o.Operation == OpStage {
		return c.sentStageOrders
	}
	return c.sentOrders
}

// isLatest reports whether the order is still the last one of its host.
func (c *Controller) isLatest(sentOrder SentOrder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOrders(sentOrder.Order)[sentOrder.Order.HostID].Sent.Equal(sentOrder.Sent)
}

// updateMembers records the members of open groups, except the heads, so that a
// member can still be probed after its registration lapses. It drops the latest joins of
// hosts that are not registered.
func (c *Controller) updateMembers(view *fleet.View) {
	open := map[string]bool{}
	for _, h := range view.Hosts {
		if h.Group.Rank == 0 && h.Group.State == fleet.MemberOpen {
			open[h.Group.Name] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.latestJoins, func(id string, _ int64) bool { return view.Host(id) == nil })
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

// unregisteredMembers returns the recorded members of a service that are not in
// the host list, sorted by ID. The caller holds mu.
func (c *Controller) unregisteredMembers(service string, view *fleet.View) []*fleet.Host {
	var hosts []*fleet.Host
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if h := c.members[id]; h.Service == service && view.Host(id) == nil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
