package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/standin/platform"
)

// BenchmarkCapacityClaims begins and records concurrent calls at one node, and
// reports the transactions and reads per call.
func BenchmarkCapacityClaims(b *testing.B) {
	for _, concurrentCalls := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("together=%d", concurrentCalls), func(b *testing.B) {
			store := &capacity.CountingStore{Store: platform.New(platform.Options{WritesPerSecond: 1e9, ReadsPerSecond: 1e9}).Table}
			claims := New(store, Options{})
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			running.Go(func() { claims.Run(ctx) })
			next := 0
			for b.Loop() {
				var calls sync.WaitGroup
				for range concurrentCalls {
					next++
					key := fmt.Sprintf("key-%d", next)
					calls.Go(func() {
						outcome, refused := claims.Begin(ctx, Call{Service: "booking", Account: "league-a", Key: key})
						if refused != nil {
							b.Error(refused)
							return
						}
						if err := claims.Record(ctx, outcome.Handle, Answer{Status: 200, Body: make([]byte, 256)}); err != nil {
							b.Error(err)
						}
					})
				}
				calls.Wait()
			}
			usage := store.Usage()
			totalCalls := float64(b.N * concurrentCalls)
			commits, reads := float64(usage.Commits)/totalCalls, float64(usage.Reads)/totalCalls
			b.ReportMetric(commits, "writes/call")
			b.ReportMetric(reads, "reads/call")
			b.ReportMetric(float64(usage.Bytes)/totalCalls, "wire-bytes/call")
			// A call needs one transaction for its claim and one for its answer.
			// Concurrent calls share transactions.
			if commits > 2 {
				b.Fatalf("got %.2f transactions per call, want at most 2", commits)
			}
		})
	}
}
