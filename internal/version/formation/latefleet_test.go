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
	leader     int             // the index of the controller that leads, -1 for none
	ready      map[string]bool // by host and group
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
	f := &lateFleet{engine: engine, holder: &fleet.ViewHolder{}, lateness: func(Order) time.Duration { return 0 }, started: time.Now(), hosts: map[string]*lateHost{}, ready: map[string]bool{}, term: 1}
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
			f.ready[h.ID+" "+o.Group] = true
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
	for _, id := range h.members {
		if !f.ready[id+" "+group] {
			f.violate("%s opens although %s has never been ready in it", group, id)
		}
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
