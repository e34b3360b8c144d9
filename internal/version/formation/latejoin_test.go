package formation

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Times of a lateHost.
const (
	lateHostReportLag   = 20 * time.Millisecond
	lateHostRejoinTime  = 200 * time.Millisecond
	lateHostLoadTime    = 2 * time.Second
	lateHostOpenTime    = 300 * time.Millisecond
	lateHostLapseTime   = 3600 * time.Millisecond
	lateHostRestartTime = 2500 * time.Millisecond
)

// errNoAnswer is the error of an order that the host carries out late.
var errNoAnswer = errors.New("no answer")

// lateFleet is a fleet whose hosts may leave orders unanswered and carry them out late. It records hosts that join another
// group or leave while the head of their group serves, and groups that open without all members.
type lateFleet struct {
	engine *fleet.Engine
	holder *fleet.ViewHolder
	// lateness returns after what time the host carries out the order without having answered, or 0.
	lateness func(o Order) time.Duration

	mu         sync.Mutex
	started    time.Time
	hosts      map[string]*lateHost
	version    int64
	term       int64
	leader     int // the index of the controller that leads, -1 for none
	log        []string
	violations []string
	opened     int
}

// lateHost is the state of one host, and registered what the host list shows of it.
type lateHost struct {
	fleet.Host
	alive        bool
	registered   *fleet.Host
	members      []string // of its group
	highestEpoch int64
}

// newLateFleet returns a fleet of hosts in fabric domains of the given sizes. The models of the engine are staged in turn.
func newLateFleet(engine *fleet.Engine, domainSizes ...int) *lateFleet {
	engine.FormTime = lateHostOpenTime
	f := &lateFleet{engine: engine, holder: &fleet.ViewHolder{}, lateness: func(Order) time.Duration { return 0 }, started: time.Now(), hosts: map[string]*lateHost{}, term: 1, leader: 0}
	for domain, size := range domainSizes {
		for i := range size {
			h := spare(fmt.Sprintf("h%d%d", domain, i), fmt.Sprintf("d%d", domain), engine.Models[i%len(engine.Models)].Name)
			h.Address, h.Started = h.ID, time.Now()
			f.hosts[h.ID] = &lateHost{Host: *h, alive: true, registered: h}
		}
	}
	f.publish()
	return f
}

func (f *lateFleet) record(format string, values ...any) {
	f.log = append(f.log, fmt.Sprintf("%7.3f ", time.Since(f.started).Seconds())+fmt.Sprintf(format, values...))
}

func (f *lateFleet) violate(format string, values ...any) {
	f.record(format, values...)
	f.violations = append(f.violations, f.log[len(f.log)-1])
}

// publish stores a view of the registered hosts. The caller holds mu.
func (f *lateFleet) publish() {
	f.version++
	var hosts []*fleet.Host
	for _, h := range f.hosts {
		if h.registered != nil {
			hosts = append(hosts, h.registered)
		}
	}
	configuration := &fleet.Configuration{Services: map[string]*fleet.Service{"models": {Name: "models", Engine: f.engine}}}
	f.holder.Store(fleet.NewView(configuration, hosts, f.version, time.Now(), true))
}

// report registers the host's state after lateHostReportLag. The caller holds mu.
func (f *lateFleet) report(h *lateHost) {
	reported := h.Host
	time.AfterFunc(lateHostReportLag, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if h.Started.Equal(reported.Started) {
			h.registered = &reported
			f.publish()
		}
	})
}

// after changes the host's state after a delay, unless it has ended meanwhile. The caller holds mu.
func (f *lateFleet) after(h *lateHost, delay time.Duration, change func()) {
	started := h.Started
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if h.alive && h.Started.Equal(started) {
			change()
			f.report(h)
		}
	})
}

// Order implements Orderer.
func (f *lateFleet) Order(ctx context.Context, address string, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[address]
	if !h.alive {
		return ErrUnreachable
	}
	if delay := f.lateness(o); delay > 0 {
		f.record("%s gets %s %s and does not answer", h.ID, o.Operation, o.Group)
		f.after(h, delay, func() { f.carryOut(h, o) })
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return fmt.Errorf("%w: %w", errNoAnswer, ctx.Err())
	}
	if !f.carryOut(h, o) {
		return ErrOrderRefused
	}
	f.report(h)
	return nil
}

// Probe implements Orderer.
func (f *lateFleet) Probe(_ context.Context, address, _ string) (float64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hosts[address].alive {
		return 0, ErrUnreachable
	}
	return 1, nil
}

// carryOut carries out an order, and returns false if the host refuses it. The caller holds mu.
func (f *lateFleet) carryOut(h *lateHost, o Order) bool {
	isMember := h.Group.Name == o.Group && h.Group.Epoch == o.Epoch
	accepted := true
	switch o.Operation {
	case OpStage:
		f.after(h, lateHostLoadTime, func() { h.StagedModels = []string{o.Model} })
	case OpJoin:
		accepted = f.join(h, o, isMember)
	case OpOpen:
		if accepted = isMember && h.Group.Rank == 0 && h.Group.State == fleet.MemberReady; accepted {
			f.after(h, lateHostOpenTime, func() { f.open(h, o.Group) })
		}
	case OpClose:
		if accepted = isMember; accepted && h.Group.State == fleet.MemberOpen {
			h.Group.State = fleet.MemberReady
		}
	case OpLeave:
		if accepted = isMember; accepted {
			if head := f.hosts[h.members[0]]; head != h && head.alive && head.Group.Name == o.Group && head.Group.State == fleet.MemberOpen {
				f.violate("%s leaves %s while its head %s is open", h.ID, o.Group, head.ID)
			}
			h.Group = fleet.Membership{}
		}
	}
	f.record("%s carries out %s %s: %t", h.ID, o.Operation, o.Group, accepted)
	return accepted
}

func (f *lateFleet) join(h *lateHost, o Order, isMember bool) bool {
	if isMember && slices.Equal(h.members, o.Members) {
		return true
	}
	if isMember || o.Epoch < h.highestEpoch {
		return false
	}
	if h.Group.Name != "" {
		head := f.hosts[h.members[0]]
		if head.alive && head.Group.Name == h.Group.Name && head.Group.State == fleet.MemberOpen {
			f.violate("%s takes the join of %s while the head %s of its group %s is open", h.ID, o.Group, head.ID, h.Group.Name)
		}
	}
	joined := fleet.Membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, h.ID), State: fleet.MemberJoining}
	h.Group, h.members, h.highestEpoch = joined, o.Members, o.Epoch
	f.after(h, lateHostRejoinTime, func() {
		if h.Group == joined {
			h.Group.State, h.LoadedModel = fleet.MemberReady, o.Model
		}
	})
	return true
}

// open makes a head serve if it is still a ready member of the group. The caller holds mu.
func (f *lateFleet) open(h *lateHost, group string) {
	if h.Group.Name != group || h.Group.State != fleet.MemberReady {
		return
	}
	h.Group.State = fleet.MemberOpen
	f.opened++
	if size := groupModel(f.engine, group).Size; len(h.members) != size {
		f.violate("%s opens with %d members, want %d", group, len(h.members), size)
	}
}

// restart ends a host, which starts again later under its ID. The caller holds mu.
func (f *lateFleet) restart(h *lateHost) {
	f.record("%s ends", h.ID)
	h.alive = false
	ended := h.registered
	time.AfterFunc(lateHostLapseTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if h.registered == ended {
			h.registered = nil
			f.publish()
		}
	})
	time.AfterFunc(lateHostRestartTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		h.Host = *spare(h.ID, h.FabricDomain, h.StagedModels[0])
		h.Address, h.Started, h.highestEpoch, h.members, h.alive = h.ID, time.Now(), 0, nil, true
		f.report(h)
	})
}

// stalledHeads returns the heads of open groups that lack a member.
func (f *lateFleet) stalledHeads() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, h := range f.hosts {
		if h.alive && h.Group.State == fleet.MemberOpen && slices.ContainsFunc(h.members, func(id string) bool { return !f.hosts[id].alive || f.hosts[id].Group.Name != h.Group.Name }) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// run runs controllers for a time.
func (f *lateFleet) run(controllers int, length time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range controllers {
		c := NewController(Options{
			View: f.holder, Orderer: f, StalledHeads: f.stalledHeads, IsBusy: func(string) bool { return false },
			Traffic: func() bool { return true }, Log: eventlog.Discard(), Metrics: tally.NoopScope,
			Leads: func() (int64, bool) {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.term, f.leader == i
			},
		})
		running.Go(func() { c.Run(ctx) })
	}
	time.Sleep(length)
	cancel()
	running.Wait()
	time.Sleep(20 * time.Second) // lets late orders be carried out
}

// elect makes a controller lead in a new term.
func (f *lateFleet) elect(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term++
	f.leader = i
	f.record("controller %d leads in term %d", i, f.term)
}

// pairEngine returns an engine with one model of two hosts.
func pairEngine() *fleet.Engine {
	e := engine()
	e.Models = []fleet.Model{{Name: "big", Size: 2, WorkShare: 1, TimeFactor: 1, LoadTime: 16 * time.Second, StagedLoadTime: 1600 * time.Millisecond}}
	return e
}

// sparesEngine returns an engine whose groups of one model are the spares of the other one.
func sparesEngine() *fleet.Engine {
	e := engine()
	e.KeepsStaged = 1
	e.Models[0].Size, e.Models[1].Size = 4, 1
	return e
}

// lateJoins returns a lateness that leaves joins unanswered, by host the time of its first, second and further joins.
func lateJoins(times map[string][]time.Duration) func(Order) time.Duration {
	return func(o Order) time.Duration {
		if o.Operation != OpJoin || len(times[o.HostID]) == 0 {
			return 0
		}
		delay := times[o.HostID][0]
		times[o.HostID] = times[o.HostID][1:]
		return delay
	}
}

// playLateFleet runs a fleet of the engine in virtual time for a while after prepare, and fails the test on violations, with the
// log of the fleet. It returns the number of groups that were opened.
func playLateFleet(t *testing.T, name string, engine *fleet.Engine, domainSizes []int, controllers int, length time.Duration, prepare func(f *lateFleet)) (opened int) {
	t.Helper()
	var f *lateFleet
	synctest.Test(t, func(*testing.T) {
		f = newLateFleet(engine, domainSizes...)
		prepare(f)
		f.run(controllers, length)
	})
	if len(f.violations) > 0 {
		t.Errorf("%s: %d violations, want none: %v", name, len(f.violations), f.violations)
		if testing.Verbose() {
			t.Log("\n" + strings.Join(f.log, "\n"))
		}
	}
	return f.opened
}

// TestGroupOpensOnlyAsTheLatestJoinOfItsMembers guards against a past failure: the leader gave up a join without an answer
// after joinTimeout, found an earlier group complete and opened it. Then a member carried out the later join, and the
// streams of the group were cut.
func TestGroupOpensOnlyAsTheLatestJoinOfItsMembers(t *testing.T) {
	opened := playLateFleet(t, "two joins without an answer", pairEngine(), []int{2}, 1, 30*time.Second, func(f *lateFleet) {
		f.lateness = lateJoins(map[string][]time.Duration{"h00": {0, 10 * time.Second}, "h01": {5 * time.Second, 12 * time.Second}})
	})
	if opened == 0 {
		t.Error("no group was opened, want one")
	}
}

// TestGroupOfFormerLeaderIsFormedAgainBeforeItOpens guards against a past failure: a new leader opened a group that its
// members reported as complete, while one of them still had a join of the former leader to carry out.
func TestGroupOfFormerLeaderIsFormedAgainBeforeItOpens(t *testing.T) {
	for _, electAfter := range []time.Duration{4100 * time.Millisecond, 4500 * time.Millisecond, 4900 * time.Millisecond, 5500 * time.Millisecond} {
		name := fmt.Sprintf("new leader after %s", electAfter)
		opened := playLateFleet(t, name, pairEngine(), []int{2}, 2, 30*time.Second, func(f *lateFleet) {
			f.lateness = lateJoins(map[string][]time.Duration{"h00": {0, 3500 * time.Millisecond}, "h01": {5 * time.Second, 7 * time.Second}})
			time.AfterFunc(electAfter, func() { f.elect(1) })
		})
		if opened == 0 {
			t.Errorf("%s: no group was opened, want one", name)
		}
	}
}

// TestGroupThatAMemberMayLeaveIsNotOpened guards against a past failure: the leader ordered the members of a group to leave,
// as its head did not join. The head joined late, before the members carried out the order, and the leader opened the group.
// Then they left, and its streams were cut.
func TestGroupThatAMemberMayLeaveIsNotOpened(t *testing.T) {
	opened := playLateFleet(t, "leave without an answer", pairEngine(), []int{2}, 1, 30*time.Second, func(f *lateFleet) {
		joins := lateJoins(map[string][]time.Duration{"h00": {4500 * time.Millisecond}})
		first := true
		f.lateness = func(o Order) time.Duration {
			if o.Operation == OpLeave && first {
				first = false
				return 10 * time.Second
			}
			return joins(o)
		}
	})
	if opened == 0 {
		t.Error("no group was opened, want one")
	}
}

// TestLeaderDoesNotRelyOnJoinsOfItsFormerTerm guards against a leader that opens a group of its former term, while a member
// still has a join of the leader between both terms to carry out.
func TestLeaderDoesNotRelyOnJoinsOfItsFormerTerm(t *testing.T) {
	playLateFleet(t, "two terms of one node", pairEngine(), []int{3}, 2, 30*time.Second, func(f *lateFleet) {
		joins := lateJoins(map[string][]time.Duration{"h01": {3500 * time.Millisecond, 12 * time.Second}})
		f.lateness = func(o Order) time.Duration {
			if o.Operation == OpLeave && o.HostID == "h00" {
				return 20 * time.Second
			}
			return joins(o)
		}
		time.AfterFunc(time.Second, func() { f.elect(1) })
		time.AfterFunc(2*time.Second, func() { f.elect(0) })
	})
}

// TestLeaderDoesNotRelyOnProbesOfItsFormerTerm guards against a past failure: a host that a leader had found lost started
// again while another node led. When the first one led again, it ended the group that the host served in by then.
func TestLeaderDoesNotRelyOnProbesOfItsFormerTerm(t *testing.T) {
	for _, lost := range []string{"h00", "h01"} {
		var f *lateFleet
		playLateFleet(t, "lost host "+lost, pairEngine(), []int{2}, 2, 20*time.Second, func(fleet *lateFleet) {
			f = fleet
			time.AfterFunc(3*time.Second, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.restart(f.hosts[lost])
			})
			time.AfterFunc(5*time.Second, func() { f.elect(1) })
			time.AfterFunc(15*time.Second, func() { f.elect(0) })
		})
		log := strings.Join(f.log, "\n")
		if _, after, _ := strings.Cut(log, "leads in term 3"); f.opened != 2 || strings.Contains(after, " leave ") {
			t.Errorf("lost host %s: %d groups were opened, want 2, the second of which stays open:\n%s", lost, f.opened, log)
		}
	}
}

// TestNewLeaderKeepsAGroupThatIsOpening guards against a new leader that ends a group because its reports do not show yet
// that the former leader has opened it.
func TestNewLeaderKeepsAGroupThatIsOpening(t *testing.T) {
	var f *lateFleet
	playLateFleet(t, "new leader while a group opens", pairEngine(), []int{2}, 2, 10*time.Second, func(fleet *lateFleet) {
		f = fleet
		time.AfterFunc(700*time.Millisecond, func() { f.elect(1) })
	})
	if log := strings.Join(f.log, "\n"); f.opened != 1 || strings.Contains(log, " leave ") {
		t.Errorf("%d groups were opened, want one that stays open:\n%s", f.opened, log)
	}
}

// TestLateOrdersEndNoServingGroup verifies that no host joins another group while the head of its group serves, with orders
// of all kinds that are carried out late, changes of leader, and hosts that start again.
func TestLateOrdersEndNoServingGroup(t *testing.T) {
	const seeds = 300
	opened := 0
	for seed := range int64(seeds) {
		fleetEngine := []*fleet.Engine{engine(), pairEngine(), sparesEngine()}[seed%3]
		opened += playLateFleet(t, fmt.Sprintf("seed %d", seed), fleetEngine, []int{6, 4}, 2, 45*time.Second, func(f *lateFleet) {
			random := rand.New(rand.NewSource(seed))
			f.lateness = func(Order) time.Duration {
				switch random.Intn(5) {
				case 0, 1:
					return 0
				case 2:
					return time.Millisecond // only the answer is lost
				}
				return 2*time.Second + time.Duration(random.Int63n(int64(10*time.Second)))
			}
			go f.disturb(random, 30*time.Second)
		})
	}
	if opened < seeds {
		t.Errorf("%d groups were opened, want at least %d", opened, seeds)
	}
}

// disturb ends hosts and changes the leader at random for a time. Then all orders are answered.
func (f *lateFleet) disturb(random *rand.Rand, length time.Duration) {
	ids := []string{}
	for id := range f.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for until := time.Now().Add(length); time.Now().Before(until); {
		f.mu.Lock()
		pause, choice, id := time.Duration(random.Int63n(int64(3*time.Second))), random.Intn(5), ids[random.Intn(len(ids))]
		f.mu.Unlock()
		time.Sleep(pause)
		switch choice {
		case 0, 1:
			f.elect(choice)
		case 2: // the same leader continues in its term after a break
			f.mu.Lock()
			leader := f.leader
			f.leader = -1
			f.mu.Unlock()
			time.Sleep(pause)
			f.mu.Lock()
			f.leader = leader
			f.mu.Unlock()
		default:
			f.mu.Lock()
			if h := f.hosts[id]; h.alive {
				f.restart(h)
			}
			f.mu.Unlock()
		}
	}
	f.mu.Lock()
	f.lateness = func(Order) time.Duration { return 0 }
	f.mu.Unlock()
}
