package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/standin/platform"
)

// BenchmarkCapacityClaims begins and records calls that come at one node at
// the same time, and reports the transactions that each call takes.
func BenchmarkCapacityClaims(b *testing.B) {
	for _, together := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("together=%d", together), func(b *testing.B) {
			store := &capacity.Store{Store: platform.New(platform.Options{WritesPerSecond: 1e9, ReadsPerSecond: 1e9}).Table}
			claims := New(store, Options{})
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			running.Go(func() { claims.Run(ctx) })
			next := 0
			for b.Loop() {
				var calls sync.WaitGroup
				for range together {
					next++
					key := fmt.Sprintf("key-%d", next)
					calls.Go(func() {
						outcome, refused := claims.Begin(ctx, Call{Service: "booking", Account: "league-a", Key: key})
						if refused != nil {
							b.Error(refused)
							return
						}
						if err := claims.Record(ctx, outcome.Ticket, Answer{Status: 200, Body: make([]byte, 256)}); err != nil {
							b.Error(err)
						}
					})
				}
				calls.Wait()
			}
			usage := store.Usage()
			each := float64(b.N * together)
			commits, reads := float64(usage.Commits)/each, float64(usage.Reads)/each
			b.ReportMetric(commits, "writes/call")
			b.ReportMetric(reads, "reads/call")
			b.ReportMetric(float64(usage.Bytes)/each, "wire-bytes/call")
			// A call takes one write for its claim and one for its answer, and
			// calls that come together share them.
			if commits > 2 {
				b.Fatalf("a call takes %.2f transactions, over 2", commits)
			}
		})
	}
}
