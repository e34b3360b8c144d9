package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	smallAccounts = 9
	// smallLoad is the load of all small accounts as a part of the capacity.
	smallLoad = 0.5
	// floodFactor is how much more the flooding account asks than a small one.
	floodFactor = 50
	// smallSeeds is the number of runs, each with its seed.
	smallSeeds = 5
	// maxSlowdown bounds how much the flooding account may slow others down.
	maxSlowdown = 1.5
)

// BenchmarkSmallCallers measures small accounts beside one that asks 50 times
// as much in the same rank. In a rank that a large account keeps busy, the
// bound is 1.5 times the wait without the flooding one. In a rank with free
// slots there is no wait to compare with; there the bound is 1.5 times the
// wait that small accounts would have in a rank of their own above the flood,
// the least that any order can give while runs are not cancelled.
func BenchmarkSmallCallers(b *testing.B) {
	small := accountsOf("urgent", smallAccounts, smallLoad)
	large := source{account: "large", rank: "urgent", perSecond: simCapacity}
	flood := source{account: "flood", rank: "urgent", perSecond: floodFactor * small[0].perSecond}
	b.Run("busy", func(b *testing.B) {
		for b.Loop() {
			for name := range rivals() {
				without := smallWait(name, append(small[:smallAccounts:smallAccounts], large))
				with := smallWait(name, append(small[:smallAccounts:smallAccounts], large, flood))
				reportSmall(b, name, without, with)
			}
		}
	})
	b.Run("idle", func(b *testing.B) {
		below := flood
		below.rank = "draft"
		for b.Loop() {
			least := smallWait("strict", append(small[:smallAccounts:smallAccounts], below))
			b.ReportMetric(smallWait("scheduler", small), "scheduler-alone-p95-ms")
			for name := range rivals() {
				with := smallWait(name, append(small[:smallAccounts:smallAccounts], flood))
				reportSmall(b, name, least, with)
			}
		}
	})
}

// smallWait returns the p95 first-token wait of the small accounts over
// smallSeeds runs, in milliseconds, with refused requests counted as infinite
// waits.
func smallWait(name string, sources []source) float64 {
	var waits []time.Duration
	for seed := range uint64(smallSeeds) {
		r := simulate(rivals()[name], simConfig{seed: seed + 1, sources: sources, duration: 3 * time.Minute, warmup: 20 * time.Second})
		waits = append(waits, r.waits(func(i int) bool { return i < smallAccounts })...)
	}
	slices.Sort(waits)
	return quantile(waits, 0.95)
}

// reportSmall reports the p95 wait beside the flood and what it is compared
// with, and holds the scheduler to the bound.
func reportSmall(b *testing.B, name string, reference, with float64) {
	b.ReportMetric(reference, name+"-reference-p95-ms")
	b.ReportMetric(with, name+"-with-p95-ms")
	if name == "scheduler" && (with < 0 || with > maxSlowdown*reference) {
		b.Fatalf("small accounts wait %.0f ms at p95 beside the flood, want at most %.1f times %.0f ms", with, maxSlowdown, reference)
	}
}

// BenchmarkPooling measures how long an urgent request waits for a slot to
// free by itself, with all slots taken, when it is bound to one group at once
// and when it is bound late among 4 or 7. The bound is the urgent target for
// 7 groups.
func BenchmarkPooling(b *testing.B) {
	ranks := []Rank{
		{Name: "urgent", Priority: 0, FirstTokenTarget: time.Minute},
		{Name: "digest", Priority: 2, FirstTokenTarget: 10 * time.Minute},
	}
	for _, groups := range []int{1, 4, simGroups} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			part := float64(groups) / simGroups
			sources := accountsOf("urgent", 1, 0.05*part)
			sources = append(sources, accountsOf("digest", 1, 2*part)...)
			for b.Loop() {
				s := New()
				s.SetRanks(ranks, simStart)
				s.SetGroups(simGroupSet(groups, simSlots), simStart)
				r := simulate(s, simConfig{seed: 4, sources: sources, duration: time.Hour, warmup: time.Minute})
				waits := r.waits(ofRank(sources, "urgent"))
				p95 := quantile(waits, 0.95)
				b.ReportMetric(meanWait(waits), "mean-slot-wait-ms")
				b.ReportMetric(p95-float64(simPrefill.Milliseconds()), "p95-slot-wait-ms")
				if groups == simGroups && p95 > float64(urgentTarget.Milliseconds()) {
					b.Fatalf("first token p95 %.0f ms, want at most %v", p95, urgentTarget)
				}
			}
		})
	}
}

// meanWait returns the mean wait for a slot, in milliseconds.
func meanWait(waits []time.Duration) float64 {
	sum, count := 0.0, 0
	for _, wait := range waits {
		if wait != neverStarted {
			sum += float64(wait-simPrefill) / float64(time.Millisecond)
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// BenchmarkDispatch measures one Offer, Next and Finish on a home whose slots
// are all taken, at a steady queue depth.
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
	s.SetGroups(simGroupSet(groups, simSlots), simStart)
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
