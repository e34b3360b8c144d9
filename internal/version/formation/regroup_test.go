package formation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// spareEngine returns an engine whose small groups are the spares of large ones.
func spareEngine() *fleet.Engine {
	return &fleet.Engine{Slots: 20, LoadsPerSecond: 13, ConcurrentLoads: 20, KeepsStaged: 1, Models: []fleet.Model{
		{Name: "big", Size: 8, WorkShare: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, StagedLoadTime: 1600 * time.Millisecond},
		{Name: "small", Size: 2, WorkShare: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, StagedLoadTime: 1100 * time.Millisecond},
	}}
}

// mixedDomain returns the hosts of a domain with one large group and the given number
// of small ones, whose hosts have the large model staged.
func mixedDomain(domain string, epoch int64, smallGroups int) []*fleet.Host {
	return mixedDomainOf(8, domain, epoch, smallGroups)
}

// mixedDomainOf is mixedDomain for large groups of another size.
func mixedDomainOf(size int, domain string, epoch int64, smallGroups int) []*fleet.Host {
	hosts := openGroup(domain, "big", epoch, size)
	for i := range int64(smallGroups) {
		hosts = append(hosts, openGroup(domain, "small", epoch+i+1, 2)...)
	}
	for _, h := range hosts {
		h.StagedModels = []string{map[string]string{"big": "small", "small": "big"}[h.LoadedModel]}
	}
	return hosts
}

// spareInput returns the input of a plan for the hosts with spareEngine.
func spareInput(hosts ...*fleet.Host) Input {
	in := input(hosts...)
	in.Engine = spareEngine()
	return in
}

// TestSmallGroupCompletesLargeGroup guards against seven survivors of a group of
// eight that stay free because their domain has no eighth host with the weights: one
// small group closes for them, and they join with one of its hosts once it has ended.
func TestSmallGroupCompletesLargeGroup(t *testing.T) {
	hosts := mixedDomain("d", 1, 5)
	in := spareInput(append(hosts, mixedDomain("e", 20, 5)...)...)
	in.Conditions[hosts[2].ID] = Condition{Lost: true, Since: now}
	plan := MakePlan(in)
	if got := orders(plan, OpLeave); !slices.Equal(got, []string{hosts[0].ID}) {
		t.Errorf("got leave orders to %v, want one to the head of the large group", got)
	}
	closed := orders(plan, OpClose)
	if len(closed) != 1 || len(orders(plan, OpJoin)) != 0 {
		t.Fatalf("got orders %v, want one small group to close and no join yet", plan.Orders)
	}
	for _, o := range plan.Orders {
		in.LastOrders[o.HostID] = SentOrder{Order: o, Sent: now, Instance: o.HostID + "@" + hosts[0].Started.UTC().Format(time.RFC3339Nano), Answered: true}
	}
	if again := MakePlan(in); len(orders(again, OpClose)) != 0 || len(orders(again, OpJoin)) != 0 {
		t.Errorf("got orders %v while the small group closes, want none", again.Orders)
	}
	for i, h := range hosts {
		if h.ID == closed[0] {
			leave := Order{Operation: OpLeave, HostID: h.ID, Group: h.Group.Name, Epoch: h.Group.Epoch, Model: "small", Members: []string{h.ID, hosts[i+1].ID}}
			in.LastOrders[h.ID] = SentOrder{Order: leave, Sent: now, Instance: h.Instance(), Answered: true}
			h.Group = fleet.Membership{}
		}
	}
	joined := orders(MakePlan(in), OpJoin)
	if len(joined) != 8 || slices.Contains(joined, hosts[2].ID) {
		t.Errorf("got joins to %v, want the seven survivors and one host of the closed group", joined)
	}
}

// TestSurvivorsServeTheModelThatLacksGroups verifies that survivors start small groups
// at once where the small model is much further below its target.
func TestSurvivorsServeTheModelThatLacksGroups(t *testing.T) {
	hosts := slices.Concat(mixedDomain("d", 1, 1), mixedDomain("e", 20, 1), mixedDomain("f", 30, 0))
	hosts[0].Group.State = fleet.MemberBroken
	plan := MakePlan(spareInput(hosts...))
	if got := orders(plan, OpClose); len(got) != 0 {
		t.Errorf("got close orders to %v, want no small group to end", got)
	}
	for _, o := range plan.Orders {
		if o.Operation == OpJoin && o.Model != "small" {
			t.Errorf("got a join to model %s, want joins to the small model only", o.Model)
		}
	}
	if got := orders(plan, OpJoin); len(got) != 8 {
		t.Errorf("got joins to %v, want all eight survivors", got)
	}
}

// TestServingSparesNeedTheConfiguration verifies that small groups stay open where
// hosts keep no staged weights beside the model in memory, or where groups differ too
// little in size.
func TestServingSparesNeedTheConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		size, keeps, models int
	}{
		"nothing is kept": {8, 0, 2}, "groups of 4 and 2": {4, 1, 2}, "one model": {8, 1, 1},
	} {
		var hosts []*fleet.Host
		for d := range int64(5) { // enough groups of either model that rebalance does not act
			hosts = append(hosts, mixedDomainOf(test.size, fmt.Sprint("d", d), 10*d+1, test.size/2+test.size/8)...)
		}
		in := spareInput(hosts...)
		in.Engine.Models[0].Size, in.Engine.KeepsStaged, in.Engine.Models = test.size, test.keeps, in.Engine.Models[:test.models]
		in.Conditions[hosts[2].ID] = Condition{Lost: true, Since: now}
		if got := orders(MakePlan(in), OpClose); len(got) != 0 {
			t.Errorf("%s: got close orders to %v, want none", name, got)
		}
	}
}

// newMixedSimulation returns a simulation of nine domains with a large group and five
// small ones each, in which every host can start either model.
func newMixedSimulation(t *testing.T, seed int64) *simulation {
	s := newSimulation(t, seed, spareEngine())
	s.stepTime, s.loadTime, s.loadBudget, s.epoch = 200*time.Millisecond, 16*time.Second, 4, 1000
	for d := range int64(9) {
		s.hosts = append(s.hosts, mixedDomain(fmt.Sprintf("d%02d", d), 10*d+1, 5)...)
	}
	for _, h := range s.hosts {
		s.memberLists[h.Group.Name] = append(s.memberLists[h.Group.Name], h.ID)
	}
	return s
}

// addEmptyHosts adds hosts without weights to a random domain.
func (s *simulation) addEmptyHosts(count int) {
	domain := fmt.Sprintf("d%02d", s.rand.Intn(9))
	for range count {
		h := host(fmt.Sprintf("new%03d", s.hostsAdded), domain)
		h.Started = s.now
		s.hostsAdded++
		s.hosts = append(s.hosts, h)
	}
}

// TestSparesOfLargeGroupsServe loses two or three members of groups every 2.7 s for 30
// s and adds as many hosts without weights. Lost hosts do not come back. It guards
// against 21 of 162 hosts that served nobody as survivors of groups of eight, while a
// third of these groups was gone. One host in eight may serve nobody, as many as were
// spares before, and the large model must have two thirds of its target.
func TestSparesOfLargeGroupsServe(t *testing.T) {
	const maxIdleShare, minLargeRatio = 1.0 / 8, 2.0 / 3
	for seed := range int64(10) {
		s := newMixedSimulation(t, seed)
		for i := range 11 {
			s.loseMembers(i%5, 2+i%2)
			for range 6 {
				s.step()
			}
			s.addEmptyHosts(2 + (i+1)%2)
			for range 7 {
				s.step()
			}
		}
		for range 100 {
			s.step()
		}
		if idle := s.idleShare(); idle > maxIdleShare {
			t.Errorf("seed %d: %.2f of the hosts serve in no group, want at most %.2f", seed, idle, maxIdleShare)
		}
		if ratio := float64(8*s.serving("big")) / (0.5 * float64(len(s.hosts))); ratio < minLargeRatio {
			t.Errorf("seed %d: the large model has %.2f of its target, want at least %.2f", seed, ratio, minLargeRatio)
		}
		for range 300 {
			s.step()
		}
		if count := s.step(); count != 0 {
			t.Errorf("seed %d: got %d orders a minute after the last change, want none", seed, count)
		}
	}
}

// TestGroupWithSlowMemberIsFormedAgain guards against a group that runs at the pace of
// a slow member although others could serve in its place: the group closes, and the
// others start a group without the slow host. If one host in eight or more is slow,
// the groups stay.
func TestGroupWithSlowMemberIsFormedAgain(t *testing.T) {
	hosts := append(mixedDomain("d", 1, 5), mixedDomain("e", 20, 5)...)
	in := spareInput(hosts...)
	in.Conditions[hosts[9].ID] = Condition{Slow: true, Since: now}
	if got := orders(MakePlan(in), OpClose); !slices.Equal(got, []string{hosts[8].ID}) {
		t.Errorf("got close orders to %v, want one to the head of the group with the slow member", got)
	}
	hosts[8].Group, hosts[9].Group = fleet.Membership{}, fleet.Membership{}
	in.Hosts = append(in.Hosts, spare("s", "d", "small"))
	if got := orders(MakePlan(in), OpJoin); !slices.Equal(got, []string{hosts[8].ID, "s"}) {
		t.Errorf("got joins to %v, want the other member and the free host", got)
	}
	for i := range 6 {
		in.Conditions[hosts[10+i].ID] = Condition{Slow: true, Since: now}
	}
	if got := orders(MakePlan(in), OpClose); len(got) != 0 {
		t.Errorf("got close orders to %v while many hosts are slow, want none", got)
	}
}
