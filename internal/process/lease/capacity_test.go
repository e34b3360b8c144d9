package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/standin/platform"
)

// BenchmarkCapacityLease renews one session and reads the roster of n nodes,
// and reports what these take at their periods.
func BenchmarkCapacityLease(b *testing.B) {
	const ttl, renew = 10 * time.Second, 3 * time.Second
	for _, n := range capacity.Sizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			ctx := context.Background()
			store := &capacity.Store{Store: platform.New(platform.Options{WritesPerSecond: 1e9, ReadsPerSecond: 1e9}).Table}
			keepers := make([]*Keeper, n)
			for i := range keepers {
				region := capacity.Region(i, n)
				keepers[i] = New(store, SessionRow{Node: fmt.Sprintf("node-%03d", i), Region: fmt.Sprintf("region-%d", region), FailureDomain: fmt.Sprintf("region-%d-domain-1", region), PeerAddress: fmt.Sprintf("10.2.%d.%d:7443", region, i%250)}, ttl, renew, eventlog.Discard())
				if err := keepers[i].Renew(ctx); err != nil {
					b.Fatal(err)
				}
			}
			k := keepers[0]
			var renewal, roster capacity.Usage
			for b.Loop() {
				store.Reset()
				if err := k.Renew(ctx); err != nil {
					b.Fatal(err)
				}
				renewal = store.Usage()
				store.Reset()
				if !k.readRoster(ctx) {
					b.Fatal("the roster could not be read")
				}
				roster = store.Usage()
			}
			rosterPeriod := k.rosterPeriod()
			bytes := float64(renewal.Bytes)/renew.Seconds() + float64(roster.Bytes)/rosterPeriod.Seconds()
			reads := float64(n) * (float64(renewal.Reads)/renew.Seconds() + float64(roster.Reads)/rosterPeriod.Seconds())
			rows := float64(n) * float64(roster.Rows) / rosterPeriod.Seconds()
			writes := float64(n) * float64(renewal.Commits) / renew.Seconds()
			b.ReportMetric(bytes, "wire-bytes/node/s")
			b.ReportMetric(reads, "fleet-reads/s")
			b.ReportMetric(rows, "fleet-rows/s")
			b.ReportMetric(writes, "fleet-writes/s")
			if bytes > capacity.LeaseBytesPerSecond {
				b.Errorf("a node's session and roster take %.0f bytes a second, over %d", bytes, capacity.LeaseBytesPerSecond)
			}
			if reads > capacity.TableReadsPerSecond || writes > capacity.TableWritesPerSecond {
				b.Errorf("sessions take %.0f reads and %.0f writes a second of the table service", reads, writes)
			}
		})
	}
}

// TestRosterOfLargeFleet checks, with so many nodes that the roster is read
// less than once a TTL, that every node takes the others for live at any time,
// and a stopped one for dead after two reads.
func TestRosterOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, stopped = 60, 11
		store := platform.New(platform.Options{}).Table
		keepers := make([]*Keeper, n)
		var stop func()
		for i := range keepers {
			keepers[i] = newKeeper(store, fmt.Sprintf("node-%02d", i))
			pause := start(t, keepers[i])
			if i == stopped {
				stop = pause
			} else {
				defer pause()
			}
			time.Sleep(testRenew / n)
		}
		time.Sleep(testTTL + testRenew)
		period := keepers[0].rosterPeriod()
		if period <= 2*testTTL {
			t.Fatalf("the roster of %d nodes is read every %s", n, period)
		}
		// Nodes that started early have read a roster that was not complete.
		time.Sleep(2 * period)
		expect := func(live int) {
			t.Helper()
			for _, k := range keepers {
				k.mu.Lock()
				got := len(k.liveLocked(time.Now()))
				k.mu.Unlock()
				if k != keepers[stopped] && got != live {
					t.Fatalf("%s takes %d nodes for live, want %d", k.node, got, live)
				}
			}
		}
		for range 3 * int(period/time.Second) {
			time.Sleep(time.Second)
			expect(n)
		}
		stop()
		time.Sleep(3 * (period + testRenew))
		expect(n - 1)
	})
}
