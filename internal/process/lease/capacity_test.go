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

// BenchmarkCapacityLease renews one session and reads the roster of n nodes. It
// reports the resulting rates at the intervals of both, and fails where they
// exceed the limits of package capacity.
func BenchmarkCapacityLease(b *testing.B) {
	const ttl, renewInterval = 10 * time.Second, 3 * time.Second
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			ctx := context.Background()
			store := &capacity.CountingStore{Store: platform.New(platform.Options{WritesPerSecond: 1e9, ReadsPerSecond: 1e9}).Table}
			keepers := make([]*Keeper, n)
			for i := range keepers {
				region := capacity.Region(i, n)
				keepers[i] = NewKeeper(store, SessionRow{Node: fmt.Sprintf("node-%03d", i), Region: fmt.Sprintf("region-%d", region), FailureDomain: fmt.Sprintf("region-%d-domain-1", region), PeerAddress: fmt.Sprintf("10.2.%d.%d:7443", region, i%250)}, ttl, renewInterval, eventlog.Discard())
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
					b.Fatal("reading the roster failed")
				}
				roster = store.Usage()
			}
			rosterInterval := k.rosterInterval()
			bytes := float64(renewal.Bytes)/renewInterval.Seconds() + float64(roster.Bytes)/rosterInterval.Seconds()
			reads := float64(n) * (float64(renewal.Reads)/renewInterval.Seconds() + float64(roster.Reads)/rosterInterval.Seconds())
			rows := float64(n) * float64(roster.Rows) / rosterInterval.Seconds()
			writes := float64(n) * float64(renewal.Commits) / renewInterval.Seconds()
			b.ReportMetric(bytes, "wire-bytes/node/s")
			b.ReportMetric(reads, "fleet-reads/s")
			b.ReportMetric(rows, "fleet-rows/s")
			b.ReportMetric(writes, "fleet-writes/s")
			if bytes > capacity.LeaseBytesPerSecond {
				b.Errorf("session and roster of a node: got %.0f bytes/s, want at most %d", bytes, capacity.LeaseBytesPerSecond)
			}
			if reads > capacity.TableReadsPerSecond || writes > capacity.TableWritesPerSecond {
				b.Errorf("table service load of all sessions: got %.0f reads/s and %.0f writes/s, over the limits of package capacity", reads, writes)
			}
		})
	}
}

// TestRosterOfLargeFleet verifies that in a fleet whose roster is read less often
// than once per TTL, every node counts all others as live at all times, and stops
// counting a stopped node within about three roster intervals.
func TestRosterOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, stopped = 60, 11
		store := platform.New(platform.Options{}).Table
		keepers := make([]*Keeper, n)
		var stop func()
		for i := range keepers {
			keepers[i] = newKeeper(store, fmt.Sprintf("node-%02d", i))
			stopKeeper := start(t, keepers[i])
			if i == stopped {
				stop = stopKeeper
			} else {
				defer stopKeeper()
			}
			time.Sleep(testRenewInterval / n)
		}
		time.Sleep(testTTL + testRenewInterval)
		interval := keepers[0].rosterInterval()
		if interval <= 2*testTTL {
			t.Fatalf("roster interval of %d nodes: got %s, want more than two TTLs", n, interval)
		}
		// The first nodes read the roster before the last ones had a session row.
		time.Sleep(2 * interval)
		expectLive := func(want int) {
			t.Helper()
			for _, k := range keepers {
				k.mu.Lock()
				got := len(k.liveNodesLocked(time.Now()))
				k.mu.Unlock()
				if k != keepers[stopped] && got != want {
					t.Fatalf("live nodes as counted by %s: got %d, want %d", k.node, got, want)
				}
			}
		}
		for range 3 * int(interval/time.Second) {
			time.Sleep(time.Second)
			expectLive(n)
		}
		stop()
		time.Sleep(3 * (interval + testRenewInterval))
		expectLive(n - 1)
	})
}
