package formation

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// countingOrderer answers each order after 50 ms and counts the orders in
// flight.
type countingOrderer struct {
	mu                           sync.Mutex
	inFlight, maxInFlight, total int
}

// Order implements Orderer.
func (o *countingOrderer) Order(context.Context, string, Order) error {
	o.mu.Lock()
	o.inFlight++
	o.total++
	o.maxInFlight = max(o.maxInFlight, o.inFlight)
	o.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	o.mu.Lock()
	o.inFlight--
	o.mu.Unlock()
	return nil
}

// Probe implements Orderer.
func (o *countingOrderer) Probe(context.Context, string, string) (float64, error) { return 1, nil }

// TestOrdersInFlightAreLimited verifies that all 1,600 hosts of a first plan get
// their order, while the number of orders in flight stays well below the number
// of file descriptors that a node may have.
func TestOrdersInFlightAreLimited(t *testing.T) {
	const (
		hosts = 1600
		// limit is a quarter of the 4,200 file descriptors of a user's node.
		limit = 1050
	)
	var list []*fleet.Host
	for i := range hosts {
		h := host(fmt.Sprintf("h%04d", i), fmt.Sprintf("d%03d", i/8))
		h.Service = "models"
		list = append(list, h)
	}
	holder := &fleet.ViewHolder{}
	configuration := &fleet.Configuration{Services: map[string]*fleet.Service{"models": {Name: "models", Engine: engine()}}}
	holder.Store(fleet.NewView(configuration, list, 1, time.Now(), true))
	orderer := &countingOrderer{}
	c := NewController(Options{
		View: holder, Orderer: orderer, Leads: func() (int64, bool) { return 1, true }, StalledHeads: func() []string { return nil },
		Traffic: func() bool { return false }, FirstStart: true, IsBusy: func(string) bool { return false }, Log: eventlog.Discard(), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	deadline := time.Now().Add(10 * time.Second)
	for {
		orderer.mu.Lock()
		total, maxInFlight := orderer.total, orderer.maxInFlight
		orderer.mu.Unlock()
		if maxInFlight > limit {
			t.Fatalf("got %d orders in flight, want at most %d", maxInFlight, limit)
		}
		if total >= hosts {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d hosts got an order in 10 s, want all", total, hosts)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// slowNode answers each probe, but handles one at a time, as a node with a small
// share of a core does.
type slowNode struct {
	countingOrderer
	processor chan struct{}
}

// Probe implements Orderer. It takes 2 ms of the processor.
func (o *slowNode) Probe(ctx context.Context, _, _ string) (float64, error) {
	select {
	case o.processor <- struct{}{}:
		defer func() { <-o.processor }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	return 1, nil
}

// TestManySuspectedGroupsAreNotLost guards against a past failure: when many
// groups of 16 were suspected at once, a node with a fifth of a core probed all
// their members together, so that the probes of healthy hosts timed out. The hosts
// counted as lost, and nearly all large groups of the fleet were dissolved.
func TestManySuspectedGroupsAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list []*fleet.Host
		var heads []string
		for d := range int64(25) {
			group := openGroup(fmt.Sprintf("d%02d", d), "big", d+1, 16)
			heads = append(heads, group[0].ID)
			list = append(list, group...)
		}
		lost := lostAfterSuspicion(&slowNode{processor: make(chan struct{}, 1)}, list, heads)
		if lost != 0 {
			t.Errorf("%d of %d answering hosts count as lost or slow, want none", lost, len(list))
		}
	})
}

// lostAfterSuspicion suspects the groups of the given heads for five seconds and
// returns how many hosts count as lost or slow then.
func lostAfterSuspicion(orderer Orderer, list []*fleet.Host, heads []string) int {
	holder := &fleet.ViewHolder{}
	configuration := &fleet.Configuration{Services: map[string]*fleet.Service{"models": {Name: "models", Engine: largeEngine()}}}
	holder.Store(fleet.NewView(configuration, list, 1, time.Now(), true))
	c := NewController(Options{
		View: holder, Orderer: orderer, Leads: func() (int64, bool) { return 1, true },
		StalledHeads: func() []string { return heads }, Traffic: func() bool { return true }, IsBusy: func(string) bool { return false }, Log: eventlog.Discard(), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	time.Sleep(5 * time.Second)
	c.mu.Lock()
	lost := len(c.conditions)
	c.mu.Unlock()
	cancel()
	time.Sleep(time.Second) // lets the probes in flight end
	return lost
}

// busyNode answers every probe, but only after 300 ms, as a node does that is busy
// with something else. Hosts that it knows as dead do not answer.
type busyNode struct {
	countingOrderer
	dead map[string]bool
}

// Probe implements Orderer.
func (o *busyNode) Probe(ctx context.Context, _, hostID string) (float64, error) {
	delay := 300 * time.Millisecond
	if o.dead[hostID] {
		delay = time.Hour
	}
	select {
	case <-time.After(delay):
		return 1, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// TestBusyNodeLosesFewHosts guards against a past failure: while the leading node
// decoded a large configuration, its probes timed out, and it counted 41 healthy
// hosts in many groups as lost at once. Hosts that are dead count as lost all the
// same.
func TestBusyNodeLosesFewHosts(t *testing.T) {
	const maxFalseLosses = 10
	synctest.Test(t, func(t *testing.T) {
		var list []*fleet.Host
		var heads []string
		dead := map[string]bool{}
		for d := range int64(12) {
			group := openGroup(fmt.Sprintf("d%02d", d), "big", d+1, 16)
			heads = append(heads, group[0].ID)
			dead[group[5].ID] = true
			list = append(list, group...)
		}
		if lost := lostAfterSuspicion(&busyNode{dead: dead}, list, heads); lost < len(dead) || lost > len(dead)+maxFalseLosses {
			t.Errorf("%d hosts count as lost, want the %d dead ones and at most %d others", lost, len(dead), maxFalseLosses)
		}
	})
}
