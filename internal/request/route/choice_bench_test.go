package route_test

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantladder.example/currantladder/internal/request/queue"
	"currantladder.example/currantladder/internal/request/route"
)

const (
	simHomes           = 7
	simGroupsPerHome   = 7
	simSlots           = 8
	simMeanServiceTime = 5 * time.Second
	// simCapacity is the number of requests per second that all slots together
	// serve at a mean service time of 5 s.
	simCapacity = simHomes * simGroupsPerHome * simSlots / 5.0
	// simReportInterval is the time between two load reports of a home.
	simReportInterval = 2 * time.Second
	// simEventDelay is the delay of cache events, and simEventLoss the share of
	// them that is lost.
	simEventDelay = 3 * time.Second
	simEventLoss  = 0.2
	// simCacheBlocks is the cache memory of one group, in blocks.
	simCacheBlocks = 600
	// simTemplates is the number of different shared prompt templates.
	simTemplates    = 1000
	simNetworkDelay = 2 * time.Millisecond
	simPrefillBase  = 20 * time.Millisecond
	// simBlockPrefillTime is the time to prefill one block that is not cached.
	simBlockPrefillTime = 12 * time.Millisecond
	simDuration         = 3 * time.Minute
	simWarmup           = 30 * time.Second
	simSeeds            = 3
)

// simFirstTokenTarget is the first-token target of urgent work.
const simFirstTokenTarget = 670 * time.Millisecond

// blockCache is a set of at most simCacheBlocks blocks that evicts the least
// recently used one.
type blockCache struct {
	order  *list.List
	blocks map[uint64]*list.Element
}

func newBlockCache() *blockCache {
	return &blockCache{order: list.New(), blocks: map[uint64]*list.Element{}}
}

// hits returns the number of leading blocks that are cached.
func (c *blockCache) hits(prefix []uint64) int {
	for i, block := range prefix {
		if c.blocks[block] == nil {
			return i
		}
	}
	return len(prefix)
}

func (c *blockCache) store(prefix []uint64) {
	for _, block := range prefix {
		if e := c.blocks[block]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		if c.order.Len() > simCacheBlocks {
			oldest := c.order.Back()
			delete(c.blocks, c.order.Remove(oldest).(uint64))
		}
	}
}

// simRequest is one request of a simulation.
type simRequest struct {
	id      string
	prefix  []uint64
	arrived time.Time
	home    int
	service time.Duration
}

type simEvent struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// policy returns the index in view of the home that a request goes to.
type policy func(sim *simulation, view []route.HomeLoad, prefix []uint64, requestHash uint64) int

func chooseByLoad(_ *simulation, view []route.HomeLoad, _ []uint64, requestHash uint64) int {
	return route.ChooseByLoad(view, requestHash)
}

func chooseDefault(_ *simulation, view []route.HomeLoad, prefix []uint64, requestHash uint64) int {
	return route.Choose(view, prefix, requestHash)
}

// chooseByEvents returns the home with the most cached leading blocks according
// to the cache events, among homes with a load of at most MaxAffinityLoad. If no
// home has any, it chooses by load.
func chooseByEvents(sim *simulation, view []route.HomeLoad, prefix []uint64, requestHash uint64) int {
	maxLoad := route.MaxAffinityLoad(view)
	best, most := -1, 0
	for i, home := range view {
		if float64(home.Running+home.Queued) > maxLoad*float64(home.Slots) {
			continue
		}
		if hits := sim.index[i].hits(prefix); hits > most {
			best, most = i, hits
		}
	}
	if best >= 0 {
		return best
	}
	return route.ChooseByLoad(view, requestHash)
}

// simulation models entry nodes that choose homes by delayed load reports, and
// homes that run queue.Scheduler over groups with a limited prefix cache.
type simulation struct {
	rng    *rand.Rand
	events simEvents
	seq    int
	choose policy
	homes  []*queue.Scheduler
	caches []map[string]*blockCache
	load   []int
	// reports is the load of each home as last reported; recent is what each
	// entry node has sent since.
	reports []route.HomeLoad
	recent  [simHomes]route.RecentRequests
	// index is the cache content of each home according to cache events, which
	// are delayed and partly lost.
	index    []*blockCache
	requests map[string]*simRequest

	waits              []time.Duration
	blocks, hits       int
	imbalance, samples float64
}

var simStart = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, choose policy) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), choose: choose, load: make([]int, simHomes), requests: map[string]*simRequest{}}
	for home := range simHomes {
		s := queue.New()
		s.SetRanks([]queue.Rank{{Name: "urgent", FirstTokenTarget: time.Hour}}, simStart)
		caches := map[string]*blockCache{}
		var groups []queue.Group
		for group := range simGroupsPerHome {
			name := fmt.Sprintf("group-%d-%d", home, group)
			caches[name] = newBlockCache()
			groups = append(groups, queue.Group{Name: name, Slots: simSlots})
		}
		s.SetGroups(groups, simStart)
		sim.homes = append(sim.homes, s)
		sim.caches = append(sim.caches, caches)
		sim.index = append(sim.index, newBlockCache())
		sim.reports = append(sim.reports, route.HomeLoad{Node: fmt.Sprintf("node-%d", home), Slots: simGroupsPerHome * simSlots})
	}
	return sim
}

func (sim *simulation) at(at time.Time, run func(now time.Time)) {
	sim.seq++
	heap.Push(&sim.events, simEvent{at: at, seq: sim.seq, run: run})
}

// prompt returns the prefix blocks of a prompt: a shared template of 4 to 35
// blocks, chosen by a Zipf distribution, and up to 15 blocks of its own.
func (sim *simulation) prompt(zipf *rand.Zipf) []uint64 {
	template := zipf.Uint64()
	shared := 4 + int(xxhash.Sum64String(fmt.Sprint(template))%32)
	own := sim.rng.IntN(16)
	prefix := make([]uint64, 0, shared+own)
	for i := range shared {
		prefix = append(prefix, xxhash.Sum64String(fmt.Sprintf("%d/%d", template, i)))
	}
	for range own {
		prefix = append(prefix, sim.rng.Uint64())
	}
	return prefix
}

func (sim *simulation) run(load, skew float64) {
	zipf := rand.NewZipf(sim.rng, skew, 1, simTemplates-1)
	for at := 0.0; at < simDuration.Seconds(); at += sim.rng.ExpFloat64() / (load * simCapacity) {
		service := time.Duration(min(max(sim.rng.ExpFloat64(), 0.1), 4) * float64(simMeanServiceTime))
		r := &simRequest{id: fmt.Sprint(sim.seq), prefix: sim.prompt(zipf), service: service}
		sim.at(simStart.Add(time.Duration(at*float64(time.Second))), func(now time.Time) { sim.arrive(r, now) })
	}
	sim.at(simStart, sim.report)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(simEvent)
		if e.at.Sub(simStart) > simDuration {
			return
		}
		e.run(e.at)
	}
}

func (sim *simulation) arrive(r *simRequest, now time.Time) {
	r.arrived = now
	recent := &sim.recent[sim.rng.IntN(len(sim.recent))]
	view := slices.Clone(sim.reports)
	recent.Adjust("model", view, len(sim.recent))
	r.home = sim.choose(sim, view, r.prefix, sim.rng.Uint64())
	recent.CountSent("model", sim.reports[r.home])
	sim.requests[r.id] = r
	sim.at(now.Add(simNetworkDelay), func(now time.Time) {
		sim.load[r.home]++
		_ = sim.homes[r.home].Offer(queue.Request{ID: r.id, Account: "a", Rank: "urgent", CostTokens: 500, Prefix: r.prefix}, now)
		sim.dispatch(r.home, now)
	})
}

func (sim *simulation) dispatch(home int, now time.Time) {
	for _, a := range sim.homes[home].Next(now).Assign {
		sim.begin(sim.requests[a.RequestID], a.Group, now)
	}
}

func (sim *simulation) begin(r *simRequest, group string, now time.Time) {
	cache := sim.caches[r.home][group]
	hits := cache.hits(r.prefix)
	cache.store(r.prefix)
	sim.at(now.Add(simEventDelay), func(time.Time) {
		if sim.rng.Float64() >= simEventLoss {
			sim.index[r.home].store(r.prefix)
		}
	})
	first := now.Add(simPrefillBase + time.Duration(len(r.prefix)-hits)*simBlockPrefillTime)
	if r.arrived.Sub(simStart) > simWarmup {
		sim.waits = append(sim.waits, first.Sub(r.arrived))
		sim.blocks += len(r.prefix)
		sim.hits += hits
	}
	sim.at(first.Add(r.service), func(now time.Time) {
		sim.homes[r.home].Finish(r.id, 500, now)
		sim.load[r.home]--
		delete(sim.requests, r.id)
		sim.dispatch(r.home, now)
	})
}

// report replaces the reports by the current load and samples the imbalance.
func (sim *simulation) report(now time.Time) {
	sum := 0
	for home, load := range sim.load {
		sum += load
		queued := sim.homes[home].Queued()
		sim.reports[home].Running = load - queued
		sim.reports[home].Queued = queued
		sim.reports[home].Report++
	}
	if sum > 0 {
		sim.imbalance += float64(slices.Max(sim.load)) * simHomes / float64(sum)
		sim.samples++
	}
	sim.at(now.Add(simReportInterval), sim.report)
}

// simResult summarizes the runs of one policy.
type simResult struct {
	hitShare, imbalance float64
	p50, p95            float64 // milliseconds
}

func runSimulations(load, skew float64, choose policy) simResult {
	var waits []time.Duration
	var result simResult
	for seed := range uint64(simSeeds) {
		sim := newSimulation(seed+1, choose)
		sim.run(load, skew)
		waits = append(waits, sim.waits...)
		result.hitShare += float64(sim.hits) / float64(sim.blocks) / simSeeds
		result.imbalance += sim.imbalance / sim.samples / simSeeds
	}
	slices.Sort(waits)
	result.p50 = float64(waits[len(waits)/2]) / float64(time.Millisecond)
	result.p95 = float64(waits[len(waits)*95/100]) / float64(time.Millisecond)
	return result
}

// BenchmarkGroupChoice compares three policies: the default (affinity with
// bounded load), two choices by load alone, and cache events. Prompts follow a
// Zipf distribution, load reports are delayed, cache events are delayed and
// partly lost, and cache memory is limited. The first-token p95 of the default
// must meet the urgent target up to 0.8 of the capacity, and must not exceed that
// of two choices at any load.
func BenchmarkGroupChoice(b *testing.B) {
	const maxTargetLoad = 0.8
	for _, skew := range []float64{1.05, 1.5} {
		for _, load := range []float64{0.5, 0.8, 0.9} {
			b.Run(fmt.Sprintf("zipf=%.2f/load=%.1f", skew, load), func(b *testing.B) {
				for b.Loop() {
					byLoad := runSimulations(load, skew, chooseByLoad)
					byLoad.report(b, "load")
					runSimulations(load, skew, chooseByEvents).report(b, "events")
					byDefault := runSimulations(load, skew, chooseDefault)
					byDefault.report(b, "default")
					if byDefault.p95 > byLoad.p95 {
						b.Errorf("default: got first-token p95 of %.0f ms, want at most the %.0f ms of two choices by load", byDefault.p95, byLoad.p95)
					}
					if load <= maxTargetLoad && byDefault.p95 > float64(simFirstTokenTarget.Milliseconds()) {
						b.Errorf("default: got first-token p95 of %.0f ms, want at most %v", byDefault.p95, simFirstTokenTarget)
					}
				}
			})
		}
	}
}

func (r simResult) report(b *testing.B, name string) {
	b.ReportMetric(r.hitShare, name+"-hit-share")
	b.ReportMetric(r.p50, name+"-p50-ms")
	b.ReportMetric(r.p95, name+"-p95-ms")
	b.ReportMetric(r.imbalance, name+"-imbalance")
}
