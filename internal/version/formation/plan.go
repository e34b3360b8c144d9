package formation

import (
	"maps"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// Time limits of orders.
const (
	// orderEffectTimeout is how long an order may show no effect in the host's
	// reports before it is repeated. Reports arrive within tens of milliseconds.
	orderEffectTimeout = time.Second
	// reportTimeout is how long a change of a host may take to show in the host list.
	reportTimeout = 200 * time.Millisecond
	// joinTimeout is how long the members of a new group may take to report it.
	// An unanswered join may be carried out later than that.
	joinTimeout = 4 * time.Second
	// closeTimeout is how long a head may take to finish its work after close.
	closeTimeout = 10 * time.Second
	// takeTimeout is the same for a group whose hosts are needed for another model.
	// The hosts that wait for them serve nobody. Nearly all streams end within it; the
	// others continue at another group.
	takeTimeout = 3 * time.Second
	// stageTimeoutFactor times the model's LoadTime is the timeout of a load.
	stageTimeoutFactor = 4
)

// Condition is the state of a host according to probes.
type Condition struct {
	// Lost is true if the host cannot be connected to, or has answered no probe for
	// SilenceGracePeriod.
	Lost bool
	// Silent is true if the host accepts connections but answers no probe. It may go on
	// after a second or two.
	Silent bool
	// Since is when the host became silent or was found lost, or was last found slow.
	Since time.Time
	// Slow is true if the host works several times slower than usual.
	Slow bool
}

// SentOrder is the last order sent to a host; its effect may not be reported yet.
type SentOrder struct {
	Order Order
	Sent  time.Time
	// Instance identifies the start of the host that the order was sent to.
	Instance string
	// Refused is true if the host refused the order, which then has no effect.
	// The host is left alone until the order times out.
	Refused bool
	// Answered is true once the host has confirmed that the order has begun.
	Answered bool
}

// Input is everything that a plan depends on.
type Input struct {
	Now    time.Time
	Engine *fleet.Engine
	// Hosts are the registered hosts of the service, sorted by ID.
	Hosts []*fleet.Host
	// Unregistered are members of open groups whose registration lapsed but that
	// answered their last probe. They may be partitioned from the store and still
	// work.
	Unregistered []*fleet.Host
	// Conditions are by host ID. A host without an entry is healthy.
	Conditions map[string]Condition
	// Busy contains the host IDs of heads with requests in flight.
	Busy map[string]bool
	// LastOrders are the last orders other than stage, by host ID.
	LastOrders map[string]SentOrder
	// LastStageOrders are the last stage orders, by host ID. They run alongside
	// other orders.
	LastStageOrders map[string]SentOrder
	// LatestJoins are the epochs of the last joins that this leader sent to the
	// registered hosts in its term, by host ID, whether they were answered or not. A
	// host that it has ordered to leave since has none.
	LatestJoins map[string]int64
	// LedSince is when this node last began to lead.
	LedSince time.Time
	// UnlimitedLoads is true before the first request. Loads are quick then, and
	// LoadBudget does not apply.
	UnlimitedLoads bool
	// LoadBudget is the number of loads from the weight store that may begin.
	LoadBudget int
	// Demand is the load by model, in hosts. A model without an entry gets its
	// declared work share.
	Demand map[string]float64
	// FirstEpoch is the epoch of the next new group. Each group gets a higher one.
	FirstEpoch int64
	// Unopened contains the names of the groups that this node formed and never
	// ordered to open, while it has led without a break. Any other group may serve
	// even if its head is listed as ready.
	Unopened map[string]bool
}

// group is a replica group as its members report it.
type group struct {
	name    string
	epoch   int64
	model   *fleet.Model
	members []*fleet.Host // by rank, nil where missing
	// joinInFlight is true while a join of a member is in flight.
	joinInFlight bool
	// joinSent is when such a join was sent.
	joinSent time.Time
}

func (g *group) head() *fleet.Host {
	if len(g.members) == 0 {
		return nil
	}
	return g.members[0]
}

// memberIDs returns the host IDs of the members by rank, "" where missing.
func (g *group) memberIDs() []string {
	ids := make([]string, len(g.members))
	for rank, h := range g.members {
		if h != nil {
			ids[rank] = h.ID
		}
	}
	return ids
}

// Plan is the result of MakePlan: the orders to send now, and counts of groups
// and spares.
type Plan struct {
	Orders []Order
	// NextEpoch is the first epoch that the plan did not use.
	NextEpoch int64
	// Serving and Forming count the wanted groups by model.
	Serving map[string]int
	Forming map[string]int
	// Evacuated counts the open groups of evacuated failure domains, which get no
	// requests, by model. They are not among the others.
	Evacuated map[string]int
	// Spares counts the free hosts by the model whose weights they have.
	Spares map[string]int
	// Contested are the IDs of the hosts that are registered for a place in a group for
	// which another one is registered too. They have to be probed.
	Contested []string
}

// planner is the state of one call of MakePlan.
type planner struct {
	Input
	plan   Plan
	groups map[string]*group
	// serving are the open groups by domain.
	serving map[string][]*group
	// free are the hosts that may join a new group, by ID.
	free map[string]*fleet.Host
	// inUse are the hosts that this plan must not assign to another group.
	inUse map[string]bool
	// ended contains the names of the groups whose head has confirmed that it left.
	ended map[string]bool
	// reserved are the hosts set aside for a group that is being prepared.
	reserved map[string]bool
	// domainGroups counts wanted groups by domain and model.
	domainGroups map[string]map[string]int
	// usableHosts counts the hosts among which the models' shares are divided.
	usableHosts int
	// large and small are the models whose small groups serve as spares of the large
	// ones, or nil.
	large, small *fleet.Model
	// kept contains the names of the wanted groups.
	kept map[string]bool
	// formedGroups counts the groups that regroup has formed, by model.
	formedGroups map[string]int
}

// MakePlan returns the orders that bring the fleet closer to its target.
func MakePlan(in Input) Plan {
	p := &planner{
		Input: in, groups: map[string]*group{}, serving: map[string][]*group{}, free: map[string]*fleet.Host{}, inUse: map[string]bool{}, reserved: map[string]bool{}, ended: map[string]bool{},
		domainGroups: map[string]map[string]int{}, usableHosts: len(in.Hosts) - countEvacuated(in.Hosts), kept: map[string]bool{}, formedGroups: map[string]int{},
		plan: Plan{NextEpoch: in.FirstEpoch, Serving: map[string]int{}, Forming: map[string]int{}, Evacuated: map[string]int{}, Spares: map[string]int{}},
	}
	p.findSpareModels()
	p.collectEnded()
	p.collectGroups()
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		p.planGroup(p.groups[name])
	}
	p.collectFreeHosts()
	if p.hasServingSpares() && !p.UnlimitedLoads {
		p.regroup()
	} else {
		p.formGroups()
		p.rebalance()
	}
	p.stageWeights()
	if p.hasServingSpares() {
		p.stageBeside()
	}
	return p.plan
}

// orderInFlight returns the last order to the host and whether it may still
// take effect: it was sent to the present start of the host and has not timed
// out.
func (p *planner) orderInFlight(h *fleet.Host) (SentOrder, bool) {
	last, ok := p.LastOrders[h.ID]
	if !ok || last.Instance != h.Instance() {
		return SentOrder{}, false
	}
	timeout := orderEffectTimeout
	if last.Order.Operation == OpJoin && !last.Refused {
		timeout = joinTimeout
	}
	return last, p.Now.Sub(last.Sent) < timeout
}

func (p *planner) addOrder(o Order) { p.plan.Orders = append(p.plan.Orders, o) }

// collectEnded finds the groups whose head has confirmed that it left.
func (p *planner) collectEnded() {
	for _, h := range p.Hosts {
		last, ok := p.LastOrders[h.ID]
		if ok && last.Instance == h.Instance() && last.Answered && last.Order.Operation == OpLeave && len(last.Order.Members) > 0 && last.Order.Members[0] == h.ID {
			p.ended[last.Order.Group] = true
		}
	}
}

// collectGroups rebuilds the groups from reports and from joins in flight.
func (p *planner) collectGroups() {
	for _, h := range slices.Concat(p.Hosts, p.Unregistered) {
		name, epoch, rank, hasJoin := h.Group.Name, h.Group.Epoch, h.Group.Rank, false
		sent := time.Time{}
		if last, ok := p.orderInFlight(h); ok && last.Order.Operation == OpJoin && !last.Refused && last.Order.Epoch > epoch {
			name, epoch, hasJoin, sent = last.Order.Group, last.Order.Epoch, true, last.Sent
			rank = slices.Index(last.Order.Members, h.ID)
		}
		if name == "" || rank < 0 {
			continue
		}
		model := groupModel(p.Engine, name)
		if model == nil || rank >= model.Size {
			continue // not a group of this configuration; the host is free
		}
		g := p.groups[name]
		if g == nil {
			if named, ok := groupEpoch(name); ok {
				epoch = named // another writer may have stored a registration with another one
			}
			g = &group{name: name, epoch: epoch, model: model, members: make([]*fleet.Host, model.Size)}
			p.groups[name] = g
		}
		if other := g.members[rank]; other != nil && p.hasBetterClaim(other, h) {
			continue
		}
		g.members[rank] = h
		if hasJoin {
			g.joinInFlight = true
			g.joinSent = sent
		}
	}
}

// claimOrder orders the states of members that are registered for the same place in a
// group, the one that most work may depend on first.
var claimOrder = []fleet.MemberState{fleet.MemberOpen, fleet.MemberClosing, fleet.MemberReady, fleet.MemberJoining, fleet.MemberBroken}

// hasBetterClaim reports whether host a rather than b counts as the member at a place
// for which both are registered, one of them by another writer. Neither is free until
// one is lost: the controller probes them.
func (p *planner) hasBetterClaim(a, b *fleet.Host) bool {
	p.plan.Contested = append(p.plan.Contested, a.ID, b.ID)
	if outA, outB := p.isUnreachable(a), p.isUnreachable(b); outA != outB {
		return outB
	}
	p.inUse[a.ID], p.inUse[b.ID] = true, true
	return slices.Index(claimOrder, a.Group.State) <= slices.Index(claimOrder, b.Group.State)
}

// isUnreachable reports whether a member is missing, lost or silent.
func (p *planner) isUnreachable(h *fleet.Host) bool {
	return h == nil || p.Conditions[h.ID].Lost || p.Conditions[h.ID].Silent
}

// isLost reports whether the group has to end because a member is missing, lost or
// silent. The requests of a busy group go on if a silent member does, and a silent head
// that was ordered to open may open then.
func (p *planner) isLost(g *group, h *fleet.Host) bool {
	head := g.head()
	if h == nil || head == nil || p.Conditions[h.ID].Lost {
		return true
	}
	last, ordered := p.lastOrderAbout(g, head)
	opens := h == head && h.Group.State != fleet.MemberOpen && ordered && last.Order.Operation == OpOpen && !last.Refused
	return p.Conditions[h.ID].Silent && !p.Busy[head.ID] && !opens
}

// planGroup decides what one group needs.
func (p *planner) planGroup(g *group) {
	switch {
	case p.ended[g.name]:
		// its members are free
	case g.joinInFlight && p.canStillComplete(g):
		p.keepGroup(g, false)
	case p.hasOnlySilentMembers(g):
		p.closeGroup(g, "a member is silent and the group is idle", SilenceGracePeriod)
	case p.isIncomplete(g):
		p.dissolveGroup(g)
	case p.hasLeavingMember(g):
		p.closeGroup(g, "a member is leaving", closeTimeout)
	case p.isTaken(g):
		p.closeGroup(g, "its hosts are needed for another model", takeTimeout)
	case p.replacesSlowMember(g):
		p.closeGroup(g, "a member is slow", takeTimeout)
	default:
		p.openWhenReady(g)
	}
}

// canStillComplete reports whether joins in flight may still complete the
// group.
func (p *planner) canStillComplete(g *group) bool {
	for _, h := range g.members {
		if h != nil && p.isUnreachable(h) {
			return false
		}
	}
	return true
}

// isIncomplete reports whether a member is missing, lost, broken or in another
// group.
func (p *planner) isIncomplete(g *group) bool {
	for _, h := range g.members {
		if p.isLost(g, h) || h.Group.State == fleet.MemberBroken || h.Group.Name != g.name {
			return true
		}
	}
	return false
}

// hasOnlySilentMembers reports whether the group has to end only because members other
// than its head are silent while no requests are known to be in flight. Requests may be
// on the way, so that the head refuses new ones before it leaves.
func (p *planner) hasOnlySilentMembers(g *group) bool {
	head := g.head()
	if head == nil || p.isUnreachable(head) || !p.isRegistered(head) || head.Group.State != fleet.MemberOpen && head.Group.State != fleet.MemberClosing {
		return false
	}
	silent := false
	for _, h := range g.members {
		if h == nil || p.Conditions[h.ID].Lost || h.Group.State == fleet.MemberBroken || h.Group.Name != g.name {
			return false
		}
		silent = silent || p.isLost(g, h)
	}
	return silent
}

func (p *planner) hasLeavingMember(g *group) bool {
	return slices.ContainsFunc(g.members, func(h *fleet.Host) bool { return h.State == fleet.HostLeaving })
}

// keepGroup counts the group as wanted and marks its members as in use.
func (p *planner) keepGroup(g *group, serving bool) {
	if isEvacuated(g) {
		p.keepEvacuated(g, serving)
		return
	}
	p.kept[g.name] = true
	domain := ""
	for _, h := range g.members {
		if h != nil {
			p.inUse[h.ID] = true
			domain = h.FabricDomain
		}
	}
	if p.domainGroups[domain] == nil {
		p.domainGroups[domain] = map[string]int{}
	}
	p.domainGroups[domain][g.model.Name]++
	if serving {
		p.plan.Serving[g.model.Name]++
		p.serving[domain] = append(p.serving[domain], g)
		return
	}
	p.plan.Forming[g.model.Name]++
}

// openWhenReady keeps a complete group and opens it once all members are ready.
func (p *planner) openWhenReady(g *group) {
	head := g.head()
	if head.Group.State == fleet.MemberReady && p.closeOrdered(g) {
		p.endMembershipOfHead(g, "the group is closed")
		return
	}
	isReady := !slices.ContainsFunc(g.members, func(h *fleet.Host) bool { return h.Group.State != fleet.MemberReady })
	if isReady && !p.mayOpen(g) && !p.mayBeOpening(g) {
		p.endMembershipOfHead(g, "a member may still carry out a later join or leave")
		return
	}
	p.keepGroup(g, head.Group.State == fleet.MemberOpen)
	if !isReady || !p.mayOpen(g) {
		return
	}
	if last, ok := p.orderInFlight(head); ok && last.Order.Operation == OpOpen && last.Order.Group == g.name {
		return
	}
	p.addOrder(Order{Operation: OpOpen, HostID: head.ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Reason: "all members are ready"})
}

// mayOpen reports whether this leader, in its term, sent all members the join of the
// group and none of them a later join or leave. Otherwise a member may have an unanswered
// order of this or a former leader that ends its membership, and may carry it out at any
// time while the group serves. It refuses it once it has joined a group with a yet higher
// epoch.
func (p *planner) mayOpen(g *group) bool {
	return !slices.ContainsFunc(g.members, func(h *fleet.Host) bool { return p.LatestJoins[h.ID] != g.epoch })
}

// mayBeOpening reports whether a former leader may have ordered the group to open so
// recently that its reports do not show it.
func (p *planner) mayBeOpening(g *group) bool {
	return !p.Unopened[g.name] && p.Now.Sub(p.LedSince) < p.Engine.FormTime+reportTimeout
}

// lastOrderAbout returns the last order to the host if it was sent to its present
// start and names the group.
func (p *planner) lastOrderAbout(g *group, h *fleet.Host) (SentOrder, bool) {
	last, ok := p.LastOrders[h.ID]
	return last, ok && last.Instance == h.Instance() && last.Order.Group == g.name
}

// closeOrdered reports whether the last order to the group's head was to close
// it, or to leave after that, so that its members may be used for another group.
func (p *planner) closeOrdered(g *group) bool {
	last, ok := p.lastOrderAbout(g, g.head())
	return ok && (last.Order.Operation == OpClose && !last.Refused || last.Order.Operation == OpLeave)
}

// dissolveGroup ends a group that has lost a member. Its survivors become free
// once the head no longer serves.
func (p *planner) dissolveGroup(g *group) {
	head := g.head()
	if head == nil || head.Group.Name != g.name {
		p.orderMembersToLeave(g, "the head is no longer registered")
		return
	}
	if p.isUnreachable(head) {
		p.orderMembersToLeave(g, "the head cannot be reached")
		return
	}
	p.endMembershipOfHead(g, "a member is lost")
}

// endMembershipOfHead makes the head leave the group. The members stay in use
// until the head has confirmed it, unless the head cannot serve. A head that is
// listed as ready may serve: its reports are old while it is partitioned from the
// store, and a lost open order may be carried out late.
func (p *planner) endMembershipOfHead(g *group, reason string) {
	head := g.head()
	switch head.Group.State {
	case fleet.MemberBroken:
		return // a broken head never serves again; a join replaces it
	case fleet.MemberReady, fleet.MemberJoining:
		if p.Unopened[g.name] {
			return
		}
	}
	p.markInUse(g)
	if last, ok := p.lastOrderAbout(g, head); ok && last.Order.Operation == OpLeave && p.Now.Sub(last.Sent) < orderEffectTimeout {
		return
	}
	p.addOrder(Order{Operation: OpLeave, HostID: head.ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Members: g.memberIDs(), Reason: reason})
}

// isRegistered reports whether the host is in the host list.
func (p *planner) isRegistered(h *fleet.Host) bool { return !slices.Contains(p.Unregistered, h) }

// orderMembersToLeave makes the survivors leave a group whose head is not
// registered or cannot be reached. The head may be partitioned from the store or
// from this node and still consider the group open, so a member must not join
// another group before it has left.
func (p *planner) orderMembersToLeave(g *group, reason string) {
	for _, h := range g.members {
		if p.isUnreachable(h) || h.Group.Name != g.name || !p.isRegistered(h) {
			continue
		}
		p.inUse[h.ID] = true
		if last, ok := p.orderInFlight(h); ok && last.Order.Operation == OpLeave && last.Order.Group == g.name {
			continue // already ordered; its effect is not reported yet
		}
		p.addOrder(Order{Operation: OpLeave, HostID: h.ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Reason: reason})
	}
}

// isTaken reports whether an open group was ordered to close because its hosts are
// needed for another model.
func (p *planner) isTaken(g *group) bool {
	state := g.head().Group.State
	return p.hasServingSpares() && (state == fleet.MemberClosing || state == fleet.MemberOpen && p.closeOrdered(g))
}

// closeGroup lets a group finish its work, and ends the group if that takes longer
// than the timeout.
func (p *planner) closeGroup(g *group, reason string, timeout time.Duration) {
	head := g.head()
	last, ok := p.lastOrderAbout(g, head)
	closeSent := ok && last.Order.Operation == OpClose
	switch {
	case head.Group.State != fleet.MemberOpen && head.Group.State != fleet.MemberClosing:
		p.endMembershipOfHead(g, reason)
	case ok && last.Order.Operation == OpLeave,
		head.Group.State == fleet.MemberClosing && closeSent && p.Now.Sub(last.Sent) > timeout:
		p.endMembershipOfHead(g, "the head did not finish its work in time")
	case head.Group.State == fleet.MemberClosing || closeSent && p.Now.Sub(last.Sent) < orderEffectTimeout:
		p.markInUse(g)
	default:
		p.markInUse(g)
		p.addOrder(Order{Operation: OpClose, HostID: head.ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Reason: reason})
	}
}

func (p *planner) markInUse(g *group) {
	for _, h := range g.members {
		if h != nil {
			p.inUse[h.ID] = true
		}
	}
}

// modelBeingStaged returns the model that is being loaded onto the host, or "".
func (p *planner) modelBeingStaged(h *fleet.Host) string {
	last, ok := p.LastStageOrders[h.ID]
	if !ok || last.Instance != h.Instance() || slices.Contains(h.StagedModels, last.Order.Model) {
		return ""
	}
	m := p.Engine.Model(last.Order.Model)
	if m == nil || last.Refused && p.Now.Sub(last.Sent) > orderEffectTimeout || p.Now.Sub(last.Sent) > stageTimeoutFactor*m.LoadTime {
		return ""
	}
	return m.Name
}

// stageWeights orders loads of weights onto the free hosts of each domain that
// are not reserved.
func (p *planner) stageWeights() {
	domains := p.freeHostsByDomain()
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		hosts := slices.DeleteFunc(domains[domain], func(h *fleet.Host) bool { return p.reserved[h.ID] })
		s := &domainStager{planner: p, domain: domain, hosts: hosts}
		s.stageDomain()
	}
}
