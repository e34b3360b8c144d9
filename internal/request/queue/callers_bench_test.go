package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	smallAccounts = 9
	// smallAccountLoad is the total load of the small accounts as a fraction of
	// the capacity.
	smallAccountLoad = 0.5
	// floodFactor is the request rate of the flooding account as a multiple of
	// a small one's.
	floodFactor = 50
	// smallAccountSeeds is the number of runs, each with its own seed.
	smallAccountSeeds = 5
	// maxSlowdown limits the p95 wait of the small accounts, as a multiple of the
	// reference wait.
	maxSlowdown = 1.5
)

// BenchmarkSmallCallers measures the waits of small accounts while another one
// in the same rank sends floodFactor times as many requests. If a large account
// already keeps the rank busy, the reference is the wait without the flooding
// account. If the rank has free slots, there is no such wait to compare with.
// The reference is then the wait of the small accounts in a more urgent rank
// than the flood, which is the least that any order can reach without cancelling
// runs. In both cases the wait must be at most maxSlowdown times the reference.
func BenchmarkSmallCallers(b *testing.B) {
	small := equalSources("urgent", smallAccounts, smallAccountLoad)
	large := source{account: "large", rank: "urgent", perSecond: simRequestsPerSecond}
	flood := source{account: "flood", rank: "urgent", perSecond: floodFactor * small[0].perSecond}
	b.Run("busy", func(b *testing.B) {
		for b.Loop() {
			for name := range policies() {
				without := smallAccountWait(name, append(small[:smallAccounts:smallAccounts], large))
				with := smallAccountWait(name, append(small[:smallAccounts:smallAccounts], large, flood))
				checkSmallAccounts(b, name, without, with)
			}
		}
	})
	b.Run("idle", func(b *testing.B) {
		lowerRankFlood := flood
		lowerRankFlood.rank = "draft"
		for b.Loop() {
			reference := smallAccountWait("strict", append(small[:smallAccounts:smallAccounts], lowerRankFlood))
			b.ReportMetric(smallAccountWait("scheduler", small), "scheduler-alone-p95-ms")
			for name := range policies() {
				with := smallAccountWait(name, append(small[:smallAccounts:smallAccounts], flood))
				checkSmallAccounts(b, name, reference, with)
			}
		}
	})
}

// smallAccountWait returns the p95 first-token wait of the small accounts over
// smallAccountSeeds runs of the named policy, in milliseconds. Refused requests
// count as infinite waits.
func smallAccountWait(name string, sources []source) float64 {
	var waits []time.Duration
	for seed := range uint64(smallAccountSeeds) {
		r := simulate(policies()[name], simConfig{seed: seed + 1, sources: sources, duration: 3 * time.Minute, warmup: 20 * time.Second})
		waits = append(waits, r.waits(func(i int) bool { return i < smallAccounts })...)
	}
	slices.Sort(waits)
	return quantile(waits, 0.95)
}

// checkSmallAccounts reports the p95 wait with the flooding account and its
// reference, both in milliseconds. It fails if the scheduler's wait exceeds
// maxSlowdown times the reference.
func checkSmallAccounts(b *testing.B, name string, reference, with float64) {
	b.ReportMetric(reference, name+"-reference-p95-ms")
	b.ReportMetric(with, name+"-with-p95-ms")
	if name == "scheduler" && (with < 0 || with > maxSlowdown*reference) {
		b.Fatalf("p95 wait of small accounts during the flood: got %.0f ms, want at most %.1f times %.0f ms", with, maxSlowdown, reference)
	}
}

// BenchmarkPooling measures how long an urgent request waits for a slot without
// preemption while all slots are taken. With one group the request has no choice
// of group; with 4 or 7 it takes the first slot released in any of them. For 7
// groups the p95 of the first-token waits must be within the urgent target.
func BenchmarkPooling(b *testing.B) {
	ranks := []Rank{
		{Name: "urgent", Priority: 0, FirstTokenTarget: time.Minute},
		{Name: "digest", Priority: 2, FirstTokenTarget: 10 * time.Minute},
	}
	for _, groups := range []int{1, 4, simGroups} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			capacityFraction := float64(groups) / simGroups
			sources := equalSources("urgent", 1, 0.05*capacityFraction)
			sources = append(sources, equalSources("digest", 1, 2*capacityFraction)...)
			for b.Loop() {
				s := New()
				s.SetRanks(ranks, simStart)
				s.SetGroups(newSimGroups(groups, simSlots), simStart)
				r := simulate(s, simConfig{seed: 4, sources: sources, duration: time.Hour, warmup: time.Minute})
				waits := r.waits(isInRank(sources, "urgent"))
				p95 := quantile(waits, 0.95)
				b.ReportMetric(meanSlotWait(waits), "mean-slot-wait-ms")
				b.ReportMetric(p95-float64(simPrefillTime.Milliseconds()), "p95-slot-wait-ms")
				if groups == simGroups && p95 > float64(urgentTarget.Milliseconds()) {
					b.Fatalf("p95 of first-token waits: got %.0f ms, want at most %v", p95, urgentTarget)
				}
			}
		})
	}
}

// meanSlotWait returns the mean wait for a slot of the requests that started, in
// milliseconds.
func meanSlotWait(waits []time.Duration) float64 {
	sum, count := 0.0, 0
	for _, wait := range waits {
		if wait != neverStarted {
			sum += float64(wait-simPrefillTime) / float64(time.Millisecond)
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// BenchmarkDispatch measures one Offer, Next and Finish at a home whose slots
// are all taken, at a constant queue depth.
func BenchmarkDispatch(b *testing.B) {
	for _, groups := range []int{7, 33, 100, 330} {
		for _, depth := range []int{10, 1000, 10000} {
			b.Run(fmt.Sprintf("groups=%d/queued=%d", groups, depth), func(b *testing.B) {
				benchmarkDispatch(b, groups, depth)
			})
		}
	}
}

func benchmarkDispatch(b *testing.B, groups, depth int) {
	const accounts, cost = 100, 500
	ranks := []Rank{
		{Name: "urgent", Priority: 0, FirstTokenTarget: time.Hour, FloorShare: 0.4},
		{Name: "digest", Priority: 2, FirstTokenTarget: time.Hour, FloorShare: 0.1, Preemptible: true},
	}
	s := New()
	s.SetRanks(ranks, simStart)
	s.SetGroups(newSimGroups(groups, simSlots), simStart)
	now, offered := simStart, 0
	offer := func() {
		r := Request{
			ID: fmt.Sprint(offered), Account: accountNames[offered%accounts], Rank: ranks[offered%2].Name,
			CostTokens: cost, Prefix: []uint64{uint64(offered % 50), uint64(offered), uint64(offered + 1)},
			Deadline: now.Add(time.Hour),
		}
		offered++
		if refused := s.Offer(r, now); refused != nil {
			b.Fatal(refused)
		}
	}
	var running []string
	next := func() {
		for _, a := range s.Next(now).Assign {
			running = append(running, a.RequestID)
		}
	}
	for range groups * simSlots {
		offer()
	}
	next()
	for range depth {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		offer()
		s.Finish(running[0], cost, now)
		running = running[1:]
		next()
	}
}

var accountNames = func() (names []string) {
	for i := range 100 {
		names = append(names, fmt.Sprintf("account-%03d", i))
	}
	return names
}()
