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

// countingOrderer answers orders after a time and counts them.
type countingOrderer struct {
	mu             sync.Mutex
	onWay, most, n int
}

// Order implements Orderer.
func (o *countingOrderer) Order(context.Context, string, Order) error {
	o.mu.Lock()
	o.onWay++
	o.n++
	o.most = max(o.most, o.onWay)
	o.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	o.mu.Lock()
	o.onWay--
	o.mu.Unlock()
	return nil
}

// Probe implements Orderer.
func (o *countingOrderer) Probe(context.Context, string, string) (float64, error) { return 1, nil }

// TestFirstOrdersKeepToTheirBound plays the first plan of 1,600 hosts: all get
// their order, and no more of them are on their way at a time than a node has
// descriptors for.
func TestFirstOrdersKeepToTheirBound(t *testing.T) {
	const (
		hosts = 1600
		// bound is a quarter of the 4,200 descriptors that the users' nodes
		// have.
		bound = 1050
	)
	var list []*fleet.Host
	for i := range hosts {
		h := host(fmt.Sprintf("h%04d", i), fmt.Sprintf("d%03d", i/8))
		h.Service = "models"
		list = append(list, h)
	}
	holder := &fleet.Holder{}
	configuration := &fleet.Configuration{Services: map[string]*fleet.Service{"models": {Name: "models", Engine: engine()}}}
	holder.Store(fleet.NewView(configuration, list, 1, time.Now(), true))
	orderer := &countingOrderer{}
	c := NewController(Options{
		View: holder, Orderer: orderer, Leads: func() (int64, bool) { return 1, true }, Suspects: func() []string { return nil },
		Traffic: func() bool { return false }, FirstStart: true, Log: eventlog.Discard(), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	deadline := time.Now().Add(10 * time.Second)
	for {
		orderer.mu.Lock()
		n, most := orderer.n, orderer.most
		orderer.mu.Unlock()
		if most > bound {
			t.Fatalf("%d orders are on their way at a time, bound %d", most, bound)
		}
		if n >= hosts {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d hosts got an order", n, hosts)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
