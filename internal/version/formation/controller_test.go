package formation

import (
	"context"
	"fmt"
	"sync"
	"testing"
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
		Traffic: func() bool { return false }, FirstStart: true, Log: eventlog.Discard(), Metrics: tally.NoopScope,
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
