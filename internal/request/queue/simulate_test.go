package queue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// policy is what the simulation drives: the Scheduler or a baseline.
type policy interface {
	Offer(r Request, now time.Time) *refusal.Error
	Next(now time.Time) Decisions
	Progress(id string, tokens int64, now time.Time)
	Finish(id string, tokens int64, now time.Time)
	NextWake(now time.Time) time.Time
}

// source is a Poisson stream of requests of one account in one rank.
type source struct {
	account, rank string
	perSecond     float64
}

const (
	simPrefill     = 100 * time.Millisecond
	simRate        = 50.0 // generated tokens a second of one stream
	simMeanService = 5 * time.Second
	simCancel      = 10 * time.Millisecond // from Preempt to Finish
	simTick        = 100 * time.Millisecond
	simReportTicks = 5 // ticks between two Progress calls of a stream
)

// simConfig describes one deterministic run.
type simConfig struct {
	seed     uint64
	sources  []source
	duration time.Duration
	warmup   time.Duration
}

// outcome is one request of a run.
type outcome struct {
	source  int
	refused bool
	// wait is the time from the first Offer to the first token; infinite for
	// requests that were refused or never started.
	wait time.Duration
}

const neverStarted = time.Duration(math.MaxInt64)

// simResult holds the outcomes after the warm-up, and tokens by tick.
type simResult struct {
	outcomes    []outcome
	tokens      []map[string]float64
	backlogged  []map[string]bool
	preemptions int
	refusals    map[string]int
}

// call is one request on its way through the simulation.
type call struct {
	request   Request
	source    int
	offered   time.Time
	prompt    int64
	remaining float64 // tokens still to generate
	group     string
	prefilled time.Time // when the prefill of this run ends
	used      float64
	reported  int64
	run       int
	first     time.Duration
	refused   bool
}

// event is a point in virtual time.
type event struct {
	at   time.Time
	seq  int
	call *call
	kind eventKind
	run  int
}

type eventKind int

const (
	eventArrive eventKind = iota
	eventEnd
	eventCancelled
	eventTick
	eventWake
)

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// simulation is a discrete-event run of one policy.
type simulation struct {
	config  simConfig
	policy  policy
	rng     *rand.Rand
	events  eventHeap
	seq     int
	ticks   int
	calls   map[string]*call
	order   []*call
	running []*call
	queued  map[string]int // by rank
	result  *simResult
	wake    time.Time
}

var simStart = time.Unix(1_000_000, 0)

// simulate runs the policy against the sources. Equal configurations give
// every policy the same arrivals.
func simulate(p policy, config simConfig) *simResult {
	s := &simulation{
		config: config, policy: p, rng: rand.New(rand.NewPCG(config.seed, 1)),
		calls: map[string]*call{}, queued: map[string]int{}, result: &simResult{refusals: map[string]int{}},
	}
	s.scheduleArrivals()
	s.push(event{at: simStart, kind: eventTick})
	end := simStart.Add(config.duration)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.After(end) {
			break
		}
		s.handle(e)
	}
	s.collect()
	return s.result
}

func (s *simulation) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

func (s *simulation) scheduleArrivals() {
	for i, src := range s.config.sources {
		rng := rand.New(rand.NewPCG(s.config.seed, uint64(i)+2))
		for at := 0.0; at < s.config.duration.Seconds(); {
			at += rng.ExpFloat64() / src.perSecond
			prompt := 100 + rng.Int64N(300)
			service := min(max(rng.ExpFloat64(), 0.1), 4) * simMeanService.Seconds()
			c := &call{
				source: i, prompt: prompt, remaining: service * simRate,
				request: Request{
					ID: fmt.Sprintf("%d-%d", i, s.seq), Account: src.account, Rank: src.rank,
					CostTokens: prompt + int64(simMeanService.Seconds()*simRate),
				},
				first: neverStarted,
			}
			s.push(event{at: simStart.Add(time.Duration(at * float64(time.Second))), kind: eventArrive, call: c})
		}
	}
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case eventArrive:
		s.arrive(e.call, e.at)
	case eventEnd, eventCancelled:
		if e.call.run != e.run || e.call.group == "" {
			return
		}
		s.finish(e.call, e.at, e.kind == eventCancelled)
	case eventTick:
		s.tick(e.at)
	case eventWake:
		s.wake = time.Time{}
	}
	s.decide(e.at)
}

func (s *simulation) arrive(c *call, now time.Time) {
	c.offered = now
	s.order = append(s.order, c)
	s.offer(c, now)
}

func (s *simulation) offer(c *call, now time.Time) {
	if refused := s.policy.Offer(c.request, now); refused != nil {
		c.refused = true
		s.result.refusals[c.request.Rank]++
		return
	}
	s.calls[c.request.ID] = c
	s.queued[c.request.Rank]++
}

func (s *simulation) decide(now time.Time) {
	d := s.policy.Next(now)
	for _, expiry := range d.Expire {
		c := s.calls[expiry.RequestID]
		c.refused = true
		s.result.refusals[c.request.Rank]++
		s.unqueue(c)
	}
	for _, a := range d.Assign {
		s.begin(s.calls[a.RequestID], a.Group, now)
	}
	for _, id := range d.Preempt {
		c := s.calls[id]
		s.result.preemptions++
		s.push(event{at: now.Add(simCancel), kind: eventCancelled, call: c, run: c.run})
	}
	if wake := s.policy.NextWake(now); !wake.IsZero() && (s.wake.IsZero() || wake.Before(s.wake)) {
		s.wake = wake
		s.push(event{at: wake, kind: eventWake})
	}
}

func (s *simulation) unqueue(c *call) {
	s.queued[c.request.Rank]--
	if s.queued[c.request.Rank] == 0 {
		s.markIdle(c.request.Rank)
	}
}

func (s *simulation) begin(c *call, group string, now time.Time) {
	s.unqueue(c)
	c.group = group
	c.run++
	c.used, c.reported = 0, 0
	c.prefilled = now.Add(simPrefill)
	if c.first == neverStarted {
		c.first = c.prefilled.Sub(c.offered)
	}
	s.running = append(s.running, c)
	end := c.prefilled.Add(time.Duration(c.remaining / simRate * float64(time.Second)))
	s.push(event{at: end, kind: eventEnd, call: c, run: c.run})
}

func (s *simulation) finish(c *call, now time.Time, cancelled bool) {
	s.advance(c, now)
	s.policy.Finish(c.request.ID, int64(c.used), now)
	s.running = slices.DeleteFunc(s.running, func(other *call) bool { return other == c })
	c.group = ""
	if !cancelled {
		delete(s.calls, c.request.ID)
		return
	}
	c.request.Resumed = true
	c.request.CostTokens = max(c.request.CostTokens-int64(c.used), 1)
	s.offer(c, now)
}

// advance produces the tokens of a stream since the last tick.
func (s *simulation) advance(c *call, now time.Time) {
	if now.Before(c.prefilled) {
		return
	}
	from := simStart.Add(time.Duration(s.ticks-1) * simTick)
	produced := 0.0
	if !from.After(c.prefilled) {
		from = c.prefilled
		produced = float64(c.prompt)
	}
	generated := min(now.Sub(from).Seconds()*simRate, c.remaining)
	c.remaining -= generated
	produced += generated
	c.used += produced
	s.bin()[c.request.Rank] += produced
}

func (s *simulation) bin() map[string]float64 {
	for len(s.result.tokens) <= s.ticks {
		s.result.tokens = append(s.result.tokens, map[string]float64{})
		backlogged := map[string]bool{}
		for rank, count := range s.queued {
			backlogged[rank] = count > 0
		}
		s.result.backlogged = append(s.result.backlogged, backlogged)
	}
	return s.result.tokens[s.ticks]
}

func (s *simulation) markIdle(rank string) {
	s.bin()
	s.result.backlogged[s.ticks][rank] = false
}

// tick produces the tokens of the elapsed tick and reports some of them.
func (s *simulation) tick(now time.Time) {
	for i, c := range s.running {
		s.advance(c, now)
		if (s.ticks+i)%simReportTicks == 0 {
			s.policy.Progress(c.request.ID, int64(c.used)-c.reported, now)
			c.reported = int64(c.used)
		}
	}
	s.bin()
	s.ticks++
	s.push(event{at: now.Add(simTick), kind: eventTick})
}

// collect records the outcomes of requests that arrived after the warm-up.
// Those that were still waiting count as never started.
func (s *simulation) collect() {
	from := simStart.Add(s.config.warmup)
	for _, c := range s.order {
		if c.offered.Before(from) {
			continue
		}
		wait := c.first
		if c.refused {
			wait = neverStarted
		}
		s.result.outcomes = append(s.result.outcomes, outcome{source: c.source, refused: c.refused, wait: wait})
	}
}

// waits returns the sorted waits of the sources that match.
func (r *simResult) waits(match func(source int) bool) []time.Duration {
	var waits []time.Duration
	for _, o := range r.outcomes {
		if match(o.source) {
			waits = append(waits, o.wait)
		}
	}
	slices.Sort(waits)
	return waits
}

// quantile returns the q-quantile of sorted waits, in milliseconds; -1 where
// the request at that place was refused or never started.
func quantile(waits []time.Duration, q float64) float64 {
	if len(waits) == 0 {
		return 0
	}
	wait := waits[min(int(q*float64(len(waits))), len(waits)-1)]
	if wait == neverStarted {
		return -1
	}
	return float64(wait) / float64(time.Millisecond)
}

// windowShares returns the least share of the tokens that a rank had in any
// window in which it had backlog throughout, and the number of windows.
func (r *simResult) windowShares(rank string) (float64, int) {
	const ticks = int(Window / simTick)
	least, count := 1.0, 0
	for start := 0; start+ticks <= len(r.tokens); start++ {
		own, total, backlogged := 0.0, 0.0, true
		for i := start; i < start+ticks && backlogged; i++ {
			backlogged = r.backlogged[i][rank]
			for name, tokens := range r.tokens[i] {
				total += tokens
				if name == rank {
					own += tokens
				}
			}
		}
		if backlogged && total > 0 {
			count++
			least = min(least, own/total)
		}
	}
	return least, count
}
