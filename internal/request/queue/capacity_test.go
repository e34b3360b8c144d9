package queue

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
)

// maxSchedulerBytes limits the heap of one home's scheduler with a full backlog.
const maxSchedulerBytes = capacity.MemoryBytes / 4

// BenchmarkCapacityDispatch offers, assigns and finishes one request at a home
// whose backlog is spread over the given number of accounts. It also checks the
// heap that the scheduler takes.
func BenchmarkCapacityDispatch(b *testing.B) {
	const backlog = 1000
	for _, accounts := range []int{10, 50, 151, capacity.Accounts} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := New()
			ranks := []Rank{{Name: "urgent", FirstTokenTarget: time.Hour, QueueBound: 10 * backlog}}
			s.SetRanks(ranks, simStart)
			s.SetGroups(newSimGroups(simGroups, simSlots), simStart)
			now := simStart
			next := 0
			offer := func() {
				next++
				r := Request{ID: fmt.Sprintf("request-%d", next), Account: fmt.Sprintf("account-%03d", next%accounts), Rank: "urgent", CostTokens: 300, Prefix: []uint64{1, uint64(next % 50), uint64(next)}}
				if refused := s.Offer(r, now); refused != nil {
					b.Fatal(refused)
				}
			}
			for range backlog {
				offer()
			}
			running := s.Next(now).Assign
			runtime.GC()
			runtime.ReadMemStats(&after)
			heapBytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				offer()
				s.Finish(running[0].RequestID, 300, now)
				running = append(running[1:], s.Next(now).Assign...)
			}
			runtime.KeepAlive(s)
			b.ReportMetric(heapBytes, "heap-bytes")
			if heapBytes > maxSchedulerBytes {
				b.Fatalf("heap of the scheduler: got %.0f bytes, want at most %d", heapBytes, maxSchedulerBytes)
			}
		})
	}
}
