// Package admission decides which requests for a model are admitted before a group is
// chosen, in fleets in which reports are too old to fill groups exactly. It uses sums over
// all nodes only: the requests in flight, and by rank how many requests ended lately and
// how many of those were on time. The least urgent rank is shed first, at a load that
// falls while a more urgent rank is served less than it. Within a rank neither the size
// nor the client account of a request matters.
//
// Admission is open in a part of each period, which differs between accounts and failure
// domains but not between nodes. A refused caller is told to return in the part of a later
// period in which every node is open, so that no node needs to know what another promised.
//
// Callers pass in the time; the package does no I/O and blocks only on a mutex.
package admission

import (
	"slices"
	"sync"
	"time"
)

const (
	// sumWindow is the time over which the ends of requests are counted.
	sumWindow    = 2 * time.Second
	bucketLength = 200 * time.Millisecond
	bucketCount  = int64(sumWindow / bucketLength)
	// reportTTL is how long the sums of other nodes are used, as long as their counts of
	// requests in flight.
	reportTTL = 1500 * time.Millisecond
	// updateInterval is the least time between two updates of thresholds.
	updateInterval = 100 * time.Millisecond
	// Ranks beyond maxRank are counted as maxRank, and less urgent.
	maxRank = 9
)

// Model names a model of a service.
type Model struct{ Service, Name string }

// Sum counts the requests of one model and rank that ended within sumWindow: all, also
// refused ones, and those that were answered on time.
type Sum struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	Rank    int    `json:"r"`
	Ended   int    `json:"n"`
	OnTime  int    `json:"t"`
}

// counts are the numbers of a Sum.
type counts struct{ ended, onTime int }

// modelState is what a node knows of the requests for one model.
type modelState struct {
	own [maxRank + 1]window
	// thresholds hold, by rank, the part of the usual load at which shedding begins.
	thresholds thresholds
	// promising is when this node last could have promised a caller a time, by rank.
	promising [maxRank + 1]time.Time
	askedAt   time.Time
}

// Controller is the admission of one node. It is safe for concurrent use.
type Controller struct {
	mu      sync.Mutex
	random  func() float64
	models  map[Model]*modelState
	reports map[string]report
}

type report struct {
	receivedAt time.Time
	sums       []Sum
}

// New returns a controller that takes its random numbers in [0, 1) from the given source.
func New(random func() float64) *Controller {
	return &Controller{random: random, models: map[Model]*modelState{}, reports: map[string]report{}}
}

// Request is what admission depends on.
type Request struct {
	Model
	Rank int
	// Load is the number of requests in flight over all groups of the model, and Limit how
	// many the request's rank may bring it to.
	Load, Limit int
	// Account and FailureDomain are those of the caller, which keeps them when it returns.
	Account, FailureDomain string
	// TimeLeft is the time until the caller gives up; 0 means that it is not known.
	TimeLeft time.Duration
}

// Decision is the answer to a Request.
type Decision struct {
	Admitted bool
	// Share is the share of the requests of the rank that is admitted now.
	Share float64
}

// Decide returns whether a request is admitted.
func (c *Controller) Decide(r Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.model(r.Model, now)
	state.askedAt = now
	rank := boundedRank(r.Rank)
	c.update(r.Model, state, now)
	share := admittedShare(r.Load, r.Limit, state.thresholds.of[rank])
	if share >= promisingShare {
		state.promising[rank] = now
	}
	return Decision{Admitted: isOpen(share, phase(r, now), now.Sub(state.promising[rank])), Share: share}
}

// Threshold returns the part of the usual load at which requests of a rank are shed, 1
// unless the rank yields to more urgent ones.
func (c *Controller) Threshold(m Model, rank int, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.model(m, now)
	state.askedAt = now
	c.update(m, state, now)
	return state.thresholds.of[boundedRank(rank)]
}

// RetryAfter returns when a refused caller should return, given the share that is admitted,
// or 0 if no time is promised. It is admitted then at any node of its failure domain.
func (c *Controller) RetryAfter(r Request, share float64, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state := c.models[r.Model]; state == nil || state.thresholds.of[boundedRank(r.Rank)] < 1 {
		return 0 // the share of a rank that yields to another may fall at any time
	}
	return retryAfter(share, phase(r, now), r.TimeLeft, c.random(), c.random())
}

// Ended counts a request that was refused, or answered on time or late.
func (c *Controller) Ended(m Model, rank int, onTime bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.models[m]
	if state == nil {
		return // only models that are served have a state, since callers may name any
	}
	one := counts{ended: 1}
	if onTime {
		one.onTime = 1
	}
	state.own[boundedRank(rank)].add(one, now)
}

// Sums returns the counts of this node, for the other nodes.
func (c *Controller) Sums(now time.Time) []Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	var sums []Sum
	for m, state := range c.models {
		for rank := range state.own {
			if n := state.own[rank].total(now); n.ended > 0 {
				sums = append(sums, Sum{m.Service, m.Name, rank, n.ended, n.onTime})
			}
		}
		if now.Sub(state.askedAt) > 30*sumWindow {
			delete(c.models, m)
		}
	}
	return sums
}

// Merge stores the sums that came with the report of the given name. They replace the
// former ones.
func (c *Controller) Merge(name string, sums []Sum, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for former, r := range c.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(c.reports, former)
		}
	}
	if len(sums) > 0 {
		c.reports[name] = report{now, sums}
	} else {
		delete(c.reports, name)
	}
	for _, s := range sums {
		c.model(Model{s.Service, s.Model}, now)
	}
	for m, state := range c.models {
		c.update(m, state, now)
	}
}

// update brings the thresholds of a model up to date, also while this node is not asked,
// so that all nodes have about the same. The caller holds mu.
func (c *Controller) update(m Model, state *modelState, now time.Time) {
	if now.Sub(state.thresholds.updatedAt) >= updateInterval {
		state.thresholds.update(c.totals(m, now), now)
	}
}

// Reported returns the sums of other nodes that have not expired, by name of the report.
func (c *Controller) Reported(now time.Time) map[string][]Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	reported := make(map[string][]Sum, len(c.reports))
	for name, r := range c.reports {
		if now.Sub(r.receivedAt) <= reportTTL {
			reported[name] = r.sums
		}
	}
	return reported
}

// Add adds sums of several nodes.
func Add(total, sums []Sum) []Sum {
	for _, s := range sums {
		found := false
		for i := range total {
			if t := &total[i]; t.Service == s.Service && t.Model == s.Model && t.Rank == s.Rank {
				t.Ended, t.OnTime, found = t.Ended+s.Ended, t.OnTime+s.OnTime, true
			}
		}
		if !found {
			total = append(total, s)
		}
	}
	return total
}

// Subtract returns total without sums that are part of it.
func Subtract(total, sums []Sum) []Sum {
	out := slices.Clone(total)
	for _, s := range sums {
		for i := range out {
			if t := &out[i]; t.Service == s.Service && t.Model == s.Model && t.Rank == s.Rank {
				t.Ended, t.OnTime = max(t.Ended-s.Ended, 0), max(t.OnTime-s.OnTime, 0)
			}
		}
	}
	return out
}

// model returns the state of a model that is served. The caller holds mu.
func (c *Controller) model(m Model, now time.Time) *modelState {
	state := c.models[m]
	if state == nil {
		state = &modelState{thresholds: newThresholds(now), askedAt: now}
		c.models[m] = state
	}
	return state
}

// totals returns the counts over all nodes by rank. The caller holds mu.
func (c *Controller) totals(m Model, now time.Time) (totals [maxRank + 1]counts) {
	for rank := range totals {
		totals[rank] = c.models[m].own[rank].total(now)
	}
	for _, r := range c.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			continue
		}
		for _, s := range r.sums {
			if s.Service == m.Service && s.Model == m.Name && s.Ended > 0 && s.OnTime >= 0 && s.OnTime <= s.Ended {
				t := &totals[boundedRank(s.Rank)]
				t.ended, t.onTime = t.ended+s.Ended, t.onTime+s.OnTime
			}
		}
	}
	return totals
}

func boundedRank(rank int) int { return min(max(rank, 0), maxRank) }

// window counts in the buckets of the last sumWindow.
type window struct {
	buckets [bucketCount]counts
	numbers [bucketCount]int64
}

func (w *window) add(n counts, now time.Time) {
	number := now.UnixNano() / int64(bucketLength)
	i := number % bucketCount
	if w.numbers[i] != number {
		w.buckets[i], w.numbers[i] = counts{}, number
	}
	w.buckets[i].ended += n.ended
	w.buckets[i].onTime += n.onTime
}

func (w *window) total(now time.Time) (sum counts) {
	number := now.UnixNano() / int64(bucketLength)
	for i, n := range w.buckets {
		if age := number - w.numbers[i]; age >= 0 && age < bucketCount {
			sum.ended += n.ended
			sum.onTime += n.onTime
		}
	}
	return sum
}
