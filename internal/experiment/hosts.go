package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
	"currantladder.example/currantladder/internal/version/formation"
)

// Times of hosts.
const (
	// sameModelTime is a join's time where the host had the model last.
	sameModelTime = 200 * time.Millisecond
	// freeLoadFactor shortens loads before the first request.
	freeLoadFactor = 0.1
	// minOrderDelay and maxOrderDelay bound when an order that got no answer
	// is carried out.
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 12 * time.Second
)

// errOrderUnanswered reports an order whose answer is lost.
var errOrderUnanswered = errors.New("order unanswered")

// machine is one simulated host.
type machine struct {
	host  *fleet.Host
	alive bool
	// listed is false once the registration has lapsed.
	listed   bool
	slowness float64
	// members is the list of its group, seen the highest epoch of a join.
	members []string
	seen    int64
	// lastModel is the model of its last group in this life.
	lastModel string
	// serving is the group that it heads while open or closing.
	serving *group
	// change numbers joins, so that an earlier one does not complete.
	change int
}

// hosts are the simulated hosts and the delays with which they are seen.
type hosts struct {
	*clock
	sheet  *Sheet
	random *rand.Rand
	byID   map[string]*machine
	ids    []string
	// published is called with each new host list, after the report delay.
	published func(version int64, list []*fleet.Host)
	version   int64
	// traffic is when the first request comes.
	traffic time.Duration
	loading int
	// ordersLate is the share of orders that get no answer.
	ordersLate float64
	// partial counts groups that opened without all members ready, orders and
	// loads what the hosts were told.
	partial, orders, loads int
}

func newHosts(c *clock, sheet *Sheet, random *rand.Rand, traffic time.Duration) *hosts {
	h := &hosts{clock: c, sheet: sheet, random: random, byID: map[string]*machine{}, traffic: traffic}
	for i := range sheet.Run.Hosts {
		id := fmt.Sprintf("host%03d", i)
		h.ids = append(h.ids, id)
		h.byID[id] = &machine{alive: true, listed: true, slowness: 1, host: &fleet.Host{
			ID: id, Service: serviceName, Slots: sheet.Engine.Slots, Started: epoch,
			FabricDomain: fmt.Sprintf("fabric%d", i*sheet.Run.FabricDomains/sheet.Run.Hosts),
		}}
	}
	return h
}

// changed publishes the host list as it is now, after the report delay.
func (h *hosts) changed() {
	h.version++
	version := h.version
	var list []*fleet.Host
	for _, id := range h.ids {
		if m := h.byID[id]; m.listed {
			copied := *m.host
			copied.StagedModels = slices.Clone(m.host.StagedModels)
			list = append(list, &copied)
		}
	}
	h.after(h.sheet.Run.ReportDelay, func() { h.published(version, list) })
}

// order gives an order. answered is called with its result, never for orders
// whose host is silent.
func (h *hosts) order(o formation.Order, answered func(error)) {
	h.orders++
	m := h.byID[o.HostID]
	if h.random.Float64() < h.ordersLate {
		delay := minOrderDelay + time.Duration(h.random.Float64()*float64(maxOrderDelay-minOrderDelay))
		h.after(delay, func() { _ = h.carryOut(m, o) }) // a late order may no longer fit; nobody is told
		h.after(h.sheet.Run.LinkDelay, func() { answered(errOrderUnanswered) })
		return
	}
	h.after(h.sheet.Run.LinkDelay, func() {
		if !m.alive {
			return
		}
		err := h.carryOut(m, o)
		h.after(h.sheet.Run.LinkDelay, func() { answered(err) })
	})
}

func (h *hosts) carryOut(m *machine, o formation.Order) error {
	if !m.alive {
		return nil
	}
	if o.Operation != formation.OpJoin && o.Operation != formation.OpStage && (m.host.Group.Name != o.Group || m.host.Group.Epoch != o.Epoch) {
		return formation.ErrOrderRefused
	}
	defer h.changed()
	switch o.Operation {
	case formation.OpJoin:
		return h.join(m, o)
	case formation.OpOpen:
		return h.open(m, o)
	case formation.OpClose:
		return h.close(m)
	case formation.OpLeave:
		h.leave(m)
	case formation.OpStage:
		life := m.host.Started
		h.load(o.Model, func() {
			if m.alive && m.host.Started.Equal(life) {
				m.host.StagedModels = []string{o.Model}
				h.changed()
			}
		})
	}
	return nil
}

// load runs a load from the weight store.
func (h *hosts) load(model string, done func()) {
	took := h.sheet.model(model).LoadTime
	if h.now < h.traffic {
		took = time.Duration(freeLoadFactor * float64(took))
	} else {
		h.loads++
	}
	h.loading++
	if over := float64(h.loading) / float64(max(h.sheet.Engine.ConcurrentLoads, 1)); over > 1 && h.now >= h.traffic {
		took = time.Duration(over * float64(took))
	}
	h.after(took, func() { h.loading--; done() })
}

func (h *hosts) join(m *machine, o formation.Order) error {
	if o.Epoch < m.seen {
		return formation.ErrOrderRefused
	}
	if m.host.Group.Name == o.Group {
		return nil
	}
	h.leave(m)
	m.seen = o.Epoch
	m.members = o.Members
	m.host.Group = fleet.Membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.HostID), State: fleet.MemberJoining}
	m.change++
	change, life := m.change, m.host.Started
	ready := func() {
		if m.alive && m.change == change && m.host.Started.Equal(life) {
			m.host.Group.State, m.host.LoadedModel, m.lastModel = fleet.MemberReady, o.Model, o.Model
			m.host.StagedModels = []string{o.Model}
			h.changed()
		}
	}
	switch {
	case m.lastModel == o.Model:
		h.after(sameModelTime, ready)
	case slices.Contains(m.host.StagedModels, o.Model):
		h.after(h.sheet.model(o.Model).StagedLoadTime, ready)
	default:
		h.load(o.Model, ready)
	}
	return nil
}

func (h *hosts) open(m *machine, o formation.Order) error {
	if m.host.Group.Rank != 0 || m.host.Group.State != fleet.MemberReady {
		return formation.ErrOrderRefused
	}
	change := m.change
	h.after(h.sheet.Engine.FormTime, func() {
		if !m.alive || m.change != change || m.host.Group.State != fleet.MemberReady {
			return
		}
		m.host.Group.State = fleet.MemberOpen
		g := &group{clock: h.clock, engine: &h.sheet.Engine, model: h.sheet.model(o.Model), members: m.members, name: o.Group}
		g.slowness = func() float64 {
			slowest := 1.0
			for _, id := range g.members {
				slowest = max(slowest, h.byID[id].slowness)
			}
			return slowest
		}
		m.serving = g
		for _, id := range m.members {
			member := h.byID[id]
			if member.alive && member.host.Group.Name == o.Group {
				continue
			}
			if member.alive {
				h.partial++ // a lost member was ready when the order came
			}
			g.stall()
			break
		}
		h.changed()
	})
	return nil
}

func (h *hosts) close(m *machine) error {
	if m.serving == nil || m.host.Group.State != fleet.MemberOpen {
		return formation.ErrOrderRefused
	}
	m.host.Group.State = fleet.MemberClosing
	g := m.serving
	g.close(func() {
		if m.serving == g {
			m.serving, m.host.Group.State = nil, fleet.MemberReady
			h.changed()
		}
	})
	return nil
}

// leave ends a membership. Work at a head is dropped; a group that loses a
// member stalls.
func (h *hosts) leave(m *machine) {
	if m.host.Group.Name == "" {
		return
	}
	if m.serving != nil {
		m.serving.drop()
		m.serving = nil
	} else {
		h.stallGroupOf(m)
	}
	m.change++
	m.host.Group, m.members = fleet.Membership{}, nil
}

// stallGroupOf stops the group in which the host is a member.
func (h *hosts) stallGroupOf(m *machine) {
	if len(m.members) == 0 {
		return
	}
	if head := h.byID[m.members[0]]; head.serving != nil && head.host.Group.Name == m.host.Group.Name {
		g := head.serving
		g.stall()
		h.after(h.sheet.Engine.StallTime, func() {
			if head.serving == g {
				head.host.Group.State = fleet.MemberBroken
				h.changed()
			}
		})
	}
}

// lose stops a host without a sign. Its registration lapses later; after the
// given time, if any, it starts anew with the weights that lie on it.
func (h *hosts) lose(m *machine, back time.Duration) {
	if !m.alive {
		return
	}
	m.alive = false
	h.stallGroupOf(m)
	if m.serving != nil {
		g := m.serving
		m.serving = nil
		g.stall()
	}
	started := m.host.Started
	h.after(h.sheet.Run.LapseDelay, func() {
		if !m.alive && m.host.Started.Equal(started) {
			m.listed = false
			h.changed()
		}
	})
	if back <= 0 {
		return
	}
	h.after(back, func() {
		m.host.Started = h.time()
		m.host.Group, m.host.LoadedModel, m.lastModel, m.members, m.seen = fleet.Membership{}, "", "", nil, 0
		m.alive, m.listed = true, true
		m.change++
		h.changed()
	})
}

// pick draws n living hosts, members of groups first.
func (h *hosts) pick(n int) []*machine {
	order := h.random.Perm(len(h.ids))
	var members, others []*machine
	for _, i := range order {
		m := h.byID[h.ids[i]]
		switch {
		case !m.alive:
		case m.host.Group.Name != "":
			members = append(members, m)
		default:
			others = append(others, m)
		}
	}
	all := append(members, others...)
	return all[:min(n, len(all))]
}

// openGroups counts groups that make progress, by model.
func (h *hosts) openGroups() map[string]int {
	counts := map[string]int{}
	for _, id := range h.ids {
		if m := h.byID[id]; m.alive && m.serving != nil && !m.serving.stalled && !m.serving.broken && !m.serving.closing {
			counts[m.serving.model.Name]++
		}
	}
	return counts
}

func (s *Sheet) model(name string) *ModelSheet {
	for i := range s.Models {
		if s.Models[i].Name == name {
			return &s.Models[i]
		}
	}
	return nil
}
