package formation

import (
	"maps"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// Times of the plan.
const (
	// orderPatience is how long an order may go without an effect in the
	// host's reports before it is given again; reports come within tens of
	// milliseconds.
	orderPatience = time.Second
	// joinPatience is how long the members of a group may take to be seen
	// under it; orders may be carried out this late.
	joinPatience = 4 * time.Second
	// closePatience is how long a head may finish its work after close.
	closePatience = 10 * time.Second
	// stagePatience bounds a load onto a host, in multiples of its time.
	stagePatience = 4
	// lostHeadPatience is how long the registration of a head that does not
	// answer is waited for: until it lapses, the head may still serve.
	lostHeadPatience = 6 * time.Second
)

// Condition is what probes say of a host beyond its registration.
type Condition struct {
	// Lost hosts answer no probe. Since is when that was noticed.
	Lost  bool
	Since time.Time
	// Slow hosts work several times slower than usual.
	Slow bool
}

// Intent is an order whose effect is not yet reported.
type Intent struct {
	Order Order
	Sent  time.Time
	// Life is the host's life that it was sent to.
	Life string
	// Refused orders have no effect; the host rests until patience is over.
	Refused bool
	// Answered is true once the host said that the order has begun.
	Answered bool
}

// Input is all that a plan depends on.
type Input struct {
	Now    time.Time
	Engine *fleet.Engine
	// Hosts of the service, sorted by ID.
	Hosts []*fleet.Host
	// Unregistered are members of open groups whose registration lapsed but
	// which answered their last probe: behind a partition from the store they
	// go on working.
	Unregistered []*fleet.Host
	Conditions   map[string]Condition
	// Intents are the last orders by host.
	Intents map[string]Intent
	// Stages are the last stage orders by host; they run beside all else.
	Stages map[string]Intent
	// LoadsFree is true before the first request, when loads are quick.
	LoadsFree bool
	// LoadBudget is the number of loads from the weight store that may begin.
	LoadBudget int
	// Demand is the hosts' worth of load by model; nil where it is unknown
	// and the declared shares hold.
	Demand map[string]float64
	// FirstEpoch is the epoch of the next group; it rises with each.
	FirstEpoch int64
}

// group is a replica group as its members report it.
type group struct {
	name    string
	epoch   int64
	model   *fleet.Model
	members []*fleet.Host // by rank, nil where missing
	// ordered is true while a join of a member is under way.
	ordered bool
	firstAt time.Time
}

func (g *group) head() *fleet.Host {
	if len(g.members) == 0 {
		return nil
	}
	return g.members[0]
}

// Plan is the result: orders to give now, and the groups that are wanted.
type Plan struct {
	Orders []Order
	// NextEpoch follows the epochs used.
	NextEpoch int64
	// Serving and Forming count groups by model.
	Serving map[string]int
	Forming map[string]int
	// Spares count free hosts by the model that they hold.
	Spares map[string]int
}

// planner is the state of one call of MakePlan.
type planner struct {
	Input
	plan   Plan
	groups map[string]*group
	// serving are the open groups by domain.
	serving map[string][]*group
	// free are hosts that may be given to a group.
	free map[string]*fleet.Host
	// held are hosts that stay where they are.
	held map[string]bool
	// reserved are free hosts that a rebalancing prepares for a model.
	reserved map[string]bool
	// domainGroups counts wanted groups by domain and model.
	domainGroups map[string]map[string]int
}

// MakePlan returns the orders that bring the fleet nearer to its target.
func MakePlan(in Input) Plan {
	p := &planner{
		Input: in, groups: map[string]*group{}, serving: map[string][]*group{}, free: map[string]*fleet.Host{}, held: map[string]bool{}, reserved: map[string]bool{},
		domainGroups: map[string]map[string]int{},
		plan:         Plan{NextEpoch: in.FirstEpoch, Serving: map[string]int{}, Forming: map[string]int{}, Spares: map[string]int{}},
	}
	p.collectGroups()
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		p.step(p.groups[name])
	}
	p.collectFree()
	p.form()
	p.rebalance()
	p.stage()
	return p.plan
}

// intent returns the order to a host that is under way in its present life.
func (p *planner) intent(h *fleet.Host) (Intent, bool) {
	i, ok := p.Intents[h.ID]
	if !ok || i.Life != h.Life() {
		return Intent{}, false
	}
	patience := orderPatience
	if i.Order.Operation == OpJoin && !i.Refused {
		patience = joinPatience
	}
	return i, p.Now.Sub(i.Sent) < patience
}

func (p *planner) order(o Order) { p.plan.Orders = append(p.plan.Orders, o) }

// collectGroups rebuilds the groups from reports and from joins under way.
func (p *planner) collectGroups() {
	for _, h := range slices.Concat(p.Hosts, p.Unregistered) {
		name, epoch, rank, ordered := h.Group.Name, h.Group.Epoch, h.Group.Rank, false
		sent := time.Time{}
		if i, ok := p.intent(h); ok && i.Order.Operation == OpJoin && !i.Refused && i.Order.Epoch > epoch {
			name, epoch, ordered, sent = i.Order.Group, i.Order.Epoch, true, i.Sent
			rank = slices.Index(i.Order.Members, h.ID)
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
			g = &group{name: name, epoch: epoch, model: model, members: make([]*fleet.Host, model.Size)}
			p.groups[name] = g
		}
		g.members[rank] = h
		if ordered {
			g.ordered = true
			g.firstAt = sent
		}
	}
}

// lost reports whether a member no longer takes part in its group.
func (p *planner) lost(h *fleet.Host) bool { return h == nil || p.Conditions[h.ID].Lost }

// step decides what one group needs.
func (p *planner) step(g *group) {
	switch {
	case g.ordered && p.now(g):
		p.keep(g, false)
	case p.incomplete(g):
		p.dissolve(g)
	case p.leaving(g):
		p.closeGroup(g)
	default:
		p.serve(g)
	}
}

// now reports whether joins that are under way may still complete the group.
func (p *planner) now(g *group) bool {
	for _, h := range g.members {
		if h != nil && p.Conditions[h.ID].Lost {
			return false
		}
	}
	return true
}

func (p *planner) incomplete(g *group) bool {
	for _, h := range g.members {
		if p.lost(h) || h.Group.State == fleet.MemberBroken || h.Group.Name != g.name {
			return true
		}
	}
	return false
}

func (p *planner) leaving(g *group) bool {
	return slices.ContainsFunc(g.members, func(h *fleet.Host) bool { return h.State == fleet.HostLeaving })
}

// keep marks a group as wanted and its members as held.
func (p *planner) keep(g *group, serving bool) {
	domain := ""
	for _, h := range g.members {
		if h != nil {
			p.held[h.ID] = true
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

// serve keeps a complete group and opens it once all members are ready.
func (p *planner) serve(g *group) {
	head := g.head()
	if head.Group.State == fleet.MemberReady && p.givenUp(g) {
		return
	}
	p.keep(g, head.Group.State == fleet.MemberOpen)
	if head.Group.State != fleet.MemberReady {
		return
	}
	for _, h := range g.members {
		if h.Group.State != fleet.MemberReady {
			return
		}
	}
	if i, ok := p.intent(head); ok && i.Order.Operation == OpOpen && i.Order.Group == g.name {
		return
	}
	p.order(Order{Operation: OpOpen, HostID: head.ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Reason: "all members are ready"})
}

// givenUp reports whether the last order to the group's head was to close it,
// so that its members may be used for another group.
func (p *planner) givenUp(g *group) bool {
	i, ok := p.Intents[g.head().ID]
	return ok && i.Life == g.head().Life() && i.Order.Operation == OpClose && i.Order.Group == g.name && !i.Refused
}

// dissolve ends a group that has lost a member. Its survivors are free once
// the head is known not to serve.
func (p *planner) dissolve(g *group) {
	head := g.head()
	if head == nil || head.Group.Name != g.name {
		p.releaseMembers(g)
		return
	}
	if p.Conditions[head.ID].Lost {
		if p.Now.Sub(p.Conditions[head.ID].Since) < lostHeadPatience {
			p.holdMembers(g)
		}
		return
	}
	if i, ok := p.intent(head); ok && i.Order.Operation == OpLeave && i.Order.Group == g.name {
		if !i.Answered {
			p.holdMembers(g)
		}
		return
	}
	if head.Group.State == fleet.MemberReady || head.Group.State == fleet.MemberJoining || head.Group.State == fleet.MemberBroken {
		return // a head that does not serve needs no order; a join replaces it
	}
	p.holdMembers(g)
	p.order(Order{Operation: OpLeave, HostID: head.ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Reason: "a member is lost"})
}

// registered reports whether the host is in the host list.
func (p *planner) registered(h *fleet.Host) bool { return !slices.Contains(p.Unregistered, h) }

// releaseMembers makes the survivors of a group leave it whose head is no
// longer registered: the head may live on behind a partition and still count
// as open, and a member must not join another group before it has left.
func (p *planner) releaseMembers(g *group) {
	for _, h := range g.members {
		if p.lost(h) || h.Group.Name != g.name || !p.registered(h) {
			continue
		}
		p.held[h.ID] = true
		if i, ok := p.intent(h); ok && i.Order.Operation == OpLeave && i.Order.Group == g.name {
			continue // the report of the leave is under way
		}
		p.order(Order{Operation: OpLeave, HostID: h.ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Reason: "the head is gone"})
	}
}

// closeGroup lets a group with a leaving member finish its work.
func (p *planner) closeGroup(g *group) {
	head := g.head()
	switch head.Group.State {
	case fleet.MemberReady, fleet.MemberJoining, fleet.MemberBroken:
		return
	case fleet.MemberOpen:
		p.holdMembers(g)
		if i, ok := p.intent(head); ok && i.Order.Operation == OpClose && i.Order.Group == g.name {
			return
		}
		p.order(Order{Operation: OpClose, HostID: head.ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Reason: "a member is leaving"})
	default: // closing
		p.holdMembers(g)
		if i, ok := p.Intents[head.ID]; ok && i.Order.Operation == OpClose && i.Order.Group == g.name && p.Now.Sub(i.Sent) > closePatience {
			p.order(Order{Operation: OpLeave, HostID: head.ID, Group: g.name, Epoch: g.epoch, Model: g.model.Name, Reason: "the head does not finish its work"})
		}
	}
}

func (p *planner) holdMembers(g *group) {
	for _, h := range g.members {
		if h != nil {
			p.held[h.ID] = true
		}
	}
}

// staging returns the model that is being loaded onto the host, or "".
func (p *planner) staging(h *fleet.Host) string {
	i, ok := p.Stages[h.ID]
	if !ok || i.Life != h.Life() || slices.Contains(h.StagedModels, i.Order.Model) {
		return ""
	}
	m := p.Engine.Model(i.Order.Model)
	if m == nil || i.Refused && p.Now.Sub(i.Sent) > orderPatience || p.Now.Sub(i.Sent) > stagePatience*m.LoadTime {
		return ""
	}
	return m.Name
}

// stage loads weights onto free hosts: first what completes a group, then
// spares for the groups of the domain.
func (p *planner) stage() {
	domains := p.domains()
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		hosts := slices.DeleteFunc(domains[domain], func(h *fleet.Host) bool { return p.reserved[h.ID] })
		s := &stager{planner: p, domain: domain, hosts: hosts}
		s.run()
	}
}
