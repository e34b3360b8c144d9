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

// Times of joins, weight loads and late orders.
const (
	// sameModelJoinTime is the time to join a group whose model the host had in
	// its last group.
	sameModelJoinTime = 200 * time.Millisecond
	// warmUpLoadFactor shortens weight loads before the first request.
	warmUpLoadFactor = 0.1
	// minLateOrderDelay and maxLateOrderDelay limit the delay after which a host
	// executes an order that got no answer.
	minLateOrderDelay = 2 * time.Second
	maxLateOrderDelay = 12 * time.Second
)

// errOrderUnanswered is the result of an order whose answer is lost.
var errOrderUnanswered = errors.New("order unanswered")

// simulatedHost is a host and the state that its reports do not show.
type simulatedHost struct {
	host  *fleet.Host
	alive bool
	// registered is false once the registration has lapsed.
	registered bool
	slowdown   float64
	// silentUntil is until when the host answers nothing.
	silentUntil time.Duration
	// members are the IDs of the hosts of its group, the head first.
	// highestEpoch is the highest epoch of a join since the host started.
	members      []string
	highestEpoch int64
	// lastModel is the model of its last group since the host started.
	lastModel string
	// servingGroup is the group that it heads, while that is open or closing.
	servingGroup *group
	// limit is the last limit that the host named, or nil.
	limit *hostLimit
	// refusesConnections is true while the host's process is down and its machine
	// answers.
	refusesConnections bool
	// membershipVersion changes with the membership, so that a join or opening that
	// was overtaken does not complete.
	membershipVersion int
}

// hostPool holds the simulated hosts. It publishes their state and executes orders,
// both with the delays of the sheet.
type hostPool struct {
	*clock
	sheet  *Sheet
	random *rand.Rand
	byID   map[string]*simulatedHost
	ids    []string
	// onPublished is called with each new host list, after the report delay.
	onPublished func(version int64, hosts []*fleet.Host)
	version     int64
	// onCrash is called for each host that a task has crashed.
	onCrash func()
	// loadStart is the time from which requests arrive.
	loadStart       time.Duration
	loadsInProgress int
	// lateOrderShare is the share of orders that get no answer and are executed late.
	lateOrderShare float64
	// incompleteGroups counts groups that opened although a live host of their
	// member list did not belong to them, orderCount all orders, and loadCount the
	// weight loads from loadStart on.
	incompleteGroups, orderCount, loadCount int
}

func newHostPool(c *clock, sheet *Sheet, random *rand.Rand, loadStart time.Duration) *hostPool {
	pool := &hostPool{clock: c, sheet: sheet, random: random, byID: map[string]*simulatedHost{}, loadStart: loadStart}
	for i := range sheet.Run.Hosts {
		pool.addHost(i * sheet.Run.FabricDomains / sheet.Run.Hosts)
	}
	return pool
}

// addHost adds a host without weights to a fabric domain.
func (pool *hostPool) addHost(domain int) {
	id := fmt.Sprintf("host%03d", len(pool.ids))
	pool.ids = append(pool.ids, id)
	pool.byID[id] = &simulatedHost{alive: true, registered: true, slowdown: 1, host: &fleet.Host{
		ID: id, Service: serviceName, Slots: pool.sheet.Engine.Slots, Started: pool.time(),
		FabricDomain: fmt.Sprintf("fabric%d", domain),
	}}
}

// add adds hosts to a random fabric domain.
func (pool *hostPool) add(count int) {
	domain := pool.random.IntN(pool.sheet.Run.FabricDomains)
	for range count {
		pool.addHost(domain)
	}
	pool.publish()
}

// publish publishes the current host list after the report delay.
func (pool *hostPool) publish() {
	pool.version++
	version := pool.version
	var hosts []*fleet.Host
	for _, id := range pool.ids {
		if h := pool.byID[id]; h.registered {
			host := *h.host
			host.StagedModels = slices.Clone(h.host.StagedModels)
			hosts = append(hosts, &host)
		}
	}
	pool.after(pool.sheet.Run.ReportDelay, func() { pool.onPublished(version, hosts) })
}

// sendOrder sends an order to its host and calls answered with the result. For an
// order that is executed late, this is errOrderUnanswered; for any other order
// answered is not called when the host has failed.
func (pool *hostPool) sendOrder(o formation.Order, answered func(error)) {
	pool.orderCount++
	h := pool.byID[o.HostID]
	if pool.random.Float64() < pool.lateOrderShare {
		delay := minLateOrderDelay + time.Duration(pool.random.Float64()*float64(maxLateOrderDelay-minLateOrderDelay))
		pool.after(delay, func() { _ = pool.execute(h, o) }) // a late order may be refused as outdated; its result is not reported
		pool.after(pool.sheet.Run.LinkDelay, func() { answered(errOrderUnanswered) })
		return
	}
	pool.after(pool.sheet.Run.LinkDelay+max(h.silentUntil-pool.now, 0), func() {
		if !h.alive {
			return
		}
		err := pool.execute(h, o)
		pool.after(pool.sheet.Run.LinkDelay, func() { answered(err) })
	})
}

func (pool *hostPool) execute(h *simulatedHost, o formation.Order) error {
	if !h.alive {
		return nil
	}
	if o.Operation != formation.OpJoin && o.Operation != formation.OpStage && (h.host.Group.Name != o.Group || h.host.Group.Epoch != o.Epoch) {
		return formation.ErrOrderRefused
	}
	defer pool.publish()
	switch o.Operation {
	case formation.OpJoin:
		return pool.join(h, o)
	case formation.OpOpen:
		return pool.open(h, o)
	case formation.OpClose:
		return pool.close(h)
	case formation.OpLeave:
		pool.leave(h)
	case formation.OpStage:
		startedAt := h.host.Started
		pool.loadWeights(o.Model, func() {
			if h.alive && h.host.Started.Equal(startedAt) {
				h.host.StagedModels = []string{o.Model}
				pool.publish()
			}
		})
	}
	return nil
}

// loadWeights loads a model from the weight store and then calls done. From
// loadStart on, more concurrent loads than the store supports slow each new one
// down.
func (pool *hostPool) loadWeights(model string, done func()) {
	loadTime := pool.sheet.model(model).LoadTime
	if pool.now < pool.loadStart {
		loadTime = time.Duration(warmUpLoadFactor * float64(loadTime))
	} else {
		pool.loadCount++
	}
	pool.loadsInProgress++
	if overload := float64(pool.loadsInProgress) / float64(max(pool.sheet.Engine.ConcurrentLoads, 1)); overload > 1 && pool.now >= pool.loadStart {
		loadTime = time.Duration(overload * float64(loadTime))
	}
	pool.after(loadTime, func() { pool.loadsInProgress--; done() })
}

func (pool *hostPool) join(h *simulatedHost, o formation.Order) error {
	if o.Epoch < h.highestEpoch {
		return formation.ErrOrderRefused
	}
	if h.host.Group.Name == o.Group {
		return nil
	}
	pool.leave(h)
	h.highestEpoch = o.Epoch
	h.members = o.Members
	h.host.Group = fleet.Membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, o.HostID), State: fleet.MemberJoining}
	h.membershipVersion++
	version, startedAt := h.membershipVersion, h.host.Started
	ready := func() {
		if h.alive && h.membershipVersion == version && h.host.Started.Equal(startedAt) {
			h.host.Group.State, h.host.LoadedModel, h.lastModel = fleet.MemberReady, o.Model, o.Model
			h.host.StagedModels = []string{o.Model}
			pool.publish()
		}
	}
	switch {
	case h.lastModel == o.Model:
		pool.after(sameModelJoinTime, ready)
	case slices.Contains(h.host.StagedModels, o.Model):
		pool.after(pool.sheet.model(o.Model).StagedLoadTime, ready)
	default:
		pool.loadWeights(o.Model, ready)
	}
	return nil
}

func (pool *hostPool) open(h *simulatedHost, o formation.Order) error {
	if h.host.Group.Rank != 0 || h.host.Group.State != fleet.MemberReady {
		return formation.ErrOrderRefused
	}
	version := h.membershipVersion
	pool.after(pool.sheet.Engine.FormTime, func() {
		if !h.alive || h.membershipVersion != version || h.host.Group.State != fleet.MemberReady {
			return
		}
		h.host.Group.State = fleet.MemberOpen
		g := &group{clock: pool.clock, engine: &pool.sheet.Engine, model: pool.sheet.model(o.Model), members: h.members, name: o.Group}
		g.onCrash = func() { pool.crash(h) }
		g.silence = func() time.Duration {
			longest := time.Duration(0)
			for _, id := range g.members {
				longest = max(longest, pool.byID[id].silentUntil-pool.now)
			}
			return longest
		}
		g.slowdown = func() float64 {
			slowest := 1.0
			for _, id := range g.members {
				slowest = max(slowest, pool.byID[id].slowdown)
			}
			return slowest
		}
		h.servingGroup = g
		for _, id := range h.members {
			member := pool.byID[id]
			if member.alive && member.host.Group.Name == o.Group {
				continue
			}
			if member.alive {
				pool.incompleteGroups++ // a failed member does not count: it was ready when the order came
			}
			g.stall()
			break
		}
		pool.publish()
	})
	return nil
}

func (pool *hostPool) close(h *simulatedHost) error {
	if h.servingGroup == nil || h.host.Group.State != fleet.MemberOpen {
		return formation.ErrOrderRefused
	}
	h.host.Group.State = fleet.MemberClosing
	g := h.servingGroup
	g.close(func() {
		if h.servingGroup == g {
			h.servingGroup, h.host.Group.State = nil, fleet.MemberReady
			pool.publish()
		}
	})
	return nil
}

// leave ends the membership of a host. If the host is a serving head, its tasks are
// aborted; otherwise its group stalls.
func (pool *hostPool) leave(h *simulatedHost) {
	if h.host.Group.Name == "" {
		return
	}
	if h.servingGroup != nil {
		h.servingGroup.terminate()
		h.servingGroup = nil
	} else {
		pool.stallGroupOf(h)
	}
	h.membershipVersion++
	h.host.Group, h.members = fleet.Membership{}, nil
}

// stallGroupOf stalls the group of which the host is a member.
func (pool *hostPool) stallGroupOf(h *simulatedHost) {
	if len(h.members) == 0 {
		return
	}
	if head := pool.byID[h.members[0]]; head.servingGroup != nil && head.host.Group.Name == h.host.Group.Name {
		g := head.servingGroup
		g.stall()
		pool.after(pool.sheet.Engine.StallTimeout, func() {
			if head.servingGroup == g {
				head.host.Group.State = fleet.MemberBroken
				pool.publish()
			}
		})
	}
}

// fail stops a host silently. Its registration lapses after the lapse delay unless
// the host has started again. If restartAfter is above 0, the host starts again that
// long after the failure, with the weights staged on it.
func (pool *hostPool) fail(h *simulatedHost, restartAfter time.Duration) {
	if !h.alive {
		return
	}
	h.alive = false
	pool.stallGroupOf(h)
	if h.servingGroup != nil {
		g := h.servingGroup
		h.servingGroup = nil
		g.stall()
	}
	startedAt := h.host.Started
	pool.after(pool.sheet.Run.LapseDelay, func() {
		if !h.alive && h.host.Started.Equal(startedAt) {
			h.registered = false
			pool.publish()
		}
	})
	if restartAfter <= 0 {
		return
	}
	pool.after(restartAfter, func() {
		h.host.Started = pool.time()
		h.host.Group, h.host.LoadedModel, h.lastModel, h.members, h.highestEpoch = fleet.Membership{}, "", "", nil, 0
		h.alive, h.registered, h.refusesConnections = true, true, false
		h.membershipVersion++
		pool.publish()
	})
}

// pickAlive returns up to n random live hosts, members of groups first.
func (pool *hostPool) pickAlive(n int) []*simulatedHost {
	order := pool.random.Perm(len(pool.ids))
	var members, others []*simulatedHost
	for _, i := range order {
		h := pool.byID[pool.ids[i]]
		switch {
		case !h.alive:
		case h.host.Group.Name != "":
			members = append(members, h)
		default:
			others = append(others, h)
		}
	}
	all := append(members, others...)
	return all[:min(n, len(all))]
}

// countOpenGroups counts the groups that make progress and take requests, by model.
func (pool *hostPool) countOpenGroups() map[string]int {
	counts := map[string]int{}
	for _, id := range pool.ids {
		if h := pool.byID[id]; h.alive && h.servingGroup != nil && !h.servingGroup.stalled && !h.servingGroup.broken && !h.servingGroup.closing {
			counts[h.servingGroup.model.Name]++
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
