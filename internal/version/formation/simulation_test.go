package formation

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// simulation plans for simulated hosts and applies the orders to them in steps.
type simulation struct {
	t      *testing.T
	rand   *rand.Rand
	engine *fleet.Engine
	// stepTime separates two plans. A join takes one step, and a load loadTime, or
	// one step if that is 0.
	stepTime   time.Duration
	loadTime   time.Duration
	loadBudget int
	now        time.Time
	hosts      []*fleet.Host
	// memberLists are the host IDs of the members by group, from the join orders.
	memberLists map[string][]string
	// effects are the effects of orders that do not show yet, by host ID or "stage "
	// and host ID.
	effects         map[string]effect
	epoch           int64
	hostsAdded      int
	sentOrders      map[string]SentOrder
	sentStageOrders map[string]SentOrder
	latestJoins     map[string]int64
}

// effect is what an order does to its host at a later time.
type effect struct {
	due   time.Time
	apply func()
}

// newSimulation returns a simulation without hosts.
func newSimulation(t *testing.T, seed int64, e *fleet.Engine) *simulation {
	return &simulation{
		t: t, rand: rand.New(rand.NewSource(seed)), engine: e, stepTime: time.Second, loadBudget: 4, now: now, epoch: 1,
		memberLists: map[string][]string{}, effects: map[string]effect{}, sentOrders: map[string]SentOrder{}, sentStageOrders: map[string]SentOrder{},
		latestJoins: map[string]int64{},
	}
}

// newSmallSimulation returns a simulation of 24 hosts in three fabric domains.
func newSmallSimulation(t *testing.T, seed int64) *simulation {
	s := newSimulation(t, seed, engine())
	for range 24 {
		s.addHost()
	}
	return s
}

func (s *simulation) addHost() {
	h := host(fmt.Sprintf("h%02d", s.hostsAdded), fmt.Sprintf("d%d", s.hostsAdded%3))
	h.Started = s.now
	s.hostsAdded++
	s.hosts = append(s.hosts, h)
}

// changeHosts removes or adds a host at random, or leaves the hosts as they are.
func (s *simulation) changeHosts() {
	switch s.rand.Intn(6) {
	case 0:
		if len(s.hosts) > 18 {
			i := s.rand.Intn(len(s.hosts))
			s.hosts = slices.Delete(s.hosts, i, i+1)
		}
	case 1:
		if len(s.hosts) < 30 {
			s.addHost()
		}
	}
}

// step plans, applies the orders and returns their number.
func (s *simulation) step() int {
	s.now = s.now.Add(s.stepTime)
	for id, e := range s.effects {
		if !s.now.Before(e.due) {
			e.apply()
			delete(s.effects, id)
		}
	}
	plan := MakePlan(Input{
		Now: s.now, Engine: s.engine, Hosts: s.hosts, Conditions: map[string]Condition{}, LastOrders: s.sentOrders, LastStageOrders: s.sentStageOrders,
		LoadBudget: s.loadBudget, FirstEpoch: s.epoch, LatestJoins: s.latestJoins,
	})
	s.epoch = plan.NextEpoch
	seen := map[string]bool{}
	for _, o := range plan.Orders {
		if o.Operation == OpStage {
			s.sentStageOrders[o.HostID] = SentOrder{Order: o, Sent: s.now, Instance: s.host(o.HostID).Instance(), Answered: true}
			h, model := s.host(o.HostID), o.Model
			s.effects["stage "+o.HostID] = effect{s.now.Add(max(s.loadTime, s.stepTime)), func() { h.StagedModels = []string{model} }}
			continue
		}
		if seen[o.HostID] {
			s.t.Fatalf("got two orders for %s in one plan, want at most one: %v", o.HostID, plan.Orders)
		}
		seen[o.HostID] = true
		s.sentOrders[o.HostID] = SentOrder{Order: o, Sent: s.now, Instance: s.host(o.HostID).Instance(), Answered: true}
		s.apply(o)
	}
	return len(plan.Orders)
}

func (s *simulation) host(id string) *fleet.Host {
	for _, h := range s.hosts {
		if h.ID == id {
			return h
		}
	}
	return nil
}

// apply carries out an order other than stage.
func (s *simulation) apply(o Order) {
	h := s.host(o.HostID)
	switch o.Operation {
	case OpJoin:
		s.checkMayJoin(h, o)
		s.latestJoins[h.ID] = o.Epoch
		s.memberLists[o.Group] = o.Members
		h.Group = fleet.Membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, h.ID), State: fleet.MemberJoining}
		s.effects[h.ID] = effect{s.now.Add(s.stepTime), func() {
			if h.Group.Name == o.Group {
				h.Group.State, h.LoadedModel, h.StagedModels = fleet.MemberReady, o.Model, []string{o.Model}
			}
		}}
	case OpOpen:
		for _, id := range s.memberLists[o.Group] {
			if m := s.host(id); m == nil || m.Group.Name != o.Group || m.Group.State != fleet.MemberReady {
				s.t.Fatalf("group %s is opened without %s", o.Group, id)
			}
		}
		h.Group.State = fleet.MemberOpen
	case OpLeave:
		h.Group = fleet.Membership{}
	case OpClose:
		h.Group.State = fleet.MemberReady
	}
}

// checkMayJoin verifies that a member joins another group only after its old
// head has stopped serving or after the member has left the old group.
func (s *simulation) checkMayJoin(h *fleet.Host, o Order) {
	if h.Group.Name == "" {
		return
	}
	head := s.host(s.memberLists[h.Group.Name][0])
	if head != nil && head.Group.Name == h.Group.Name && head.Group.State == fleet.MemberOpen {
		s.t.Fatalf("%s joins %s while the head of %s is open", h.ID, o.Group, h.Group.Name)
	}
	if head == nil {
		s.t.Fatalf("%s joins %s without having left %s, whose head is not registered", h.ID, o.Group, h.Group.Name)
	}
}

// serving counts the open groups of a model.
func (s *simulation) serving(model string) int {
	count := 0
	for _, h := range s.hosts {
		if h.IsOpenHead() && h.LoadedModel == model {
			count++
		}
	}
	return count
}
