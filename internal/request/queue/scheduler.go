package queue

import (
	"container/list"
	"net/http"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// maxCostTokens bounds the estimate of one request.
const maxCostTokens = 1 << 32

// Scheduler orders requests over the groups of one home node. Ranks are
// served in strict order above their floors, and accounts inside a rank by
// start-time fair queueing. It is not safe for concurrent use.
type Scheduler struct {
	ranks      []*rankState // by priority, the most urgent first
	byName     map[string]*rankState
	groups     groupSet
	queued     map[string]*item
	running    map[string]*item
	deadlines  deadlineHeap
	affinity   *affinity
	parked     []*item
	evicted    []Expiry
	preempting []*item // cancelled runs whose slots are still taken
	victims    preemptionCounts
	total      window    // of tokens
	busy       window    // of running time, in nanoseconds
	now        time.Time // of the last event
}

// New returns a scheduler without ranks or groups.
func New() *Scheduler {
	return &Scheduler{
		byName:   map[string]*rankState{},
		groups:   groupSet{byName: map[string]*groupState{}},
		queued:   map[string]*item{},
		running:  map[string]*item{},
		affinity: newAffinity(),
		victims:  newPreemptionCounts(),
	}
}

// SetRanks replaces the ranks. Queued requests of a removed rank keep waiting
// behind all others.
func (s *Scheduler) SetRanks(ranks []Rank, _ time.Time) {
	for _, r := range s.ranks {
		r.retire()
	}
	for _, declared := range ranks {
		r := s.byName[declared.Name]
		if r == nil {
			r = newRankState()
			s.byName[declared.Name] = r
			s.ranks = append(s.ranks, r)
		}
		r.Rank = declared
		r.declared = true
	}
	s.dropRetired()
	slices.SortFunc(s.ranks, compareRanks)
}

// dropRetired forgets undeclared ranks without requests.
func (s *Scheduler) dropRetired() {
	s.ranks = slices.DeleteFunc(s.ranks, func(r *rankState) bool {
		if r.declared || !r.idle() {
			return false
		}
		delete(s.byName, r.Name)
		return true
	})
}

// SetGroups replaces the set of groups and their slots. Requests that run in
// a removed group stay accounted until Finish.
func (s *Scheduler) SetGroups(groups []Group, _ time.Time) { s.groups.set(groups) }

// Offer queues a request, or refuses it at once: nil means queued. A resumed
// request is refused only where its rank is unknown or its ID is in use.
func (s *Scheduler) Offer(r Request, now time.Time) *refusal.Error {
	s.now = now
	rank := s.byName[r.Rank]
	if rank == nil || (!rank.declared && !r.Resumed) {
		return refusal.New(refusal.KindUnknownRank, http.StatusBadRequest, "rank "+r.Rank+" is not declared; use a declared rank")
	}
	if s.queued[r.ID] != nil || s.running[r.ID] != nil {
		return refusal.Unknown(refusal.KindBadRequest, http.StatusConflict, "request "+r.ID+" is already queued or running; use a new request ID")
	}
	r.CostTokens = min(max(r.CostTokens, 1), maxCostTokens)
	if !r.Resumed {
		if refused := s.admit(rank, &r, now); refused != nil {
			return refused
		}
	}
	it := &item{Request: r, rank: rank, arrived: now}
	s.queued[r.ID] = it
	s.deadlines.add(it)
	rank.enqueue(it, now)
	return nil
}

// Next returns the decisions that follow from the present state. The caller
// carries them out; assignments count as running from now on.
func (s *Scheduler) Next(now time.Time) Decisions {
	s.now = now
	var d Decisions
	d.Expire, s.evicted = s.evicted, nil
	d.Expire = append(d.Expire, s.expire(now)...)
	s.unpark()
	for s.groups.hasFree() {
		rank, reason := s.nextRank(now)
		if rank == nil {
			break
		}
		it := rank.head()
		group, hit := s.place(it)
		if group == nil {
			rank.park(it)
			s.parked = append(s.parked, it)
			continue
		}
		s.start(it, group, hit, reason, now)
		d.Assign = append(d.Assign, Assignment{RequestID: it.ID, Group: group.name, PrefixHit: hit})
	}
	d.Preempt = s.preempt(now)
	return d
}

// Progress accounts tokens that a running request has used since its last
// Progress call.
func (s *Scheduler) Progress(id string, tokens int64, now time.Time) {
	s.now = now
	it := s.running[id]
	if it == nil || tokens <= 0 {
		return
	}
	s.total.add(tokens, it.accounted, now)
	s.busy.add(int64(now.Sub(it.accounted)), it.accounted, now)
	it.rank.use(it, tokens, now)
}

// Finish frees the slot of a running request. tokens is the total that it
// used in this run, against which the estimate is settled.
func (s *Scheduler) Finish(id string, tokens int64, now time.Time) {
	s.now = now
	it := s.running[id]
	if it == nil {
		return
	}
	s.Progress(id, tokens-it.used, now)
	delete(s.running, id)
	s.groups.giveBack(it.group)
	it.rank.finish(it, now)
	if it.preempting {
		s.preempting = slices.DeleteFunc(s.preempting, func(other *item) bool { return other == it })
	} else {
		s.victims.forget(id)
	}
	if !it.rank.declared {
		s.dropRetired()
	}
}

// Cancel removes a queued request whose caller has gone; it reports whether
// the request was still queued.
func (s *Scheduler) Cancel(id string, _ time.Time) bool {
	it := s.queued[id]
	if it == nil {
		return false
	}
	s.remove(it)
	s.victims.forget(id)
	return true
}

// NextWake returns when Next must be called even without an event, for
// deadlines and preemption; zero means never.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	var wake time.Time
	if len(s.evicted) > 0 {
		return now
	}
	if len(s.deadlines) > 0 {
		wake = s.deadlines[0].Deadline
	}
	if at := s.preemptionWake(now); !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
		wake = at
	}
	return wake
}

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return len(s.queued) }

// start binds a queued item to a group.
func (s *Scheduler) start(it *item, group *groupState, hit int, reason Reason, now time.Time) {
	delete(s.queued, it.ID)
	s.deadlines.drop(it)
	it.rank.start(it, now)
	it.group = group
	it.hit = hit
	it.reason = reason
	s.groups.take(group)
	s.running[it.ID] = it
	s.affinity.record(it.Prefix, group.name)
}

// remove takes an item out of the queue.
func (s *Scheduler) remove(it *item) {
	delete(s.queued, it.ID)
	s.deadlines.drop(it)
	if it.parked {
		s.parked = slices.DeleteFunc(s.parked, func(other *item) bool { return other == it })
	}
	it.rank.dequeue(it)
}

// expire removes the queued requests whose deadline has passed.
func (s *Scheduler) expire(now time.Time) []Expiry {
	var expired []Expiry
	for len(s.deadlines) > 0 && !now.Before(s.deadlines[0].Deadline) {
		it := s.deadlines[0]
		s.remove(it)
		s.victims.forget(it.ID)
		expired = append(expired, Expiry{RequestID: it.ID, Refusal: deadlineRefusal(it, now)})
	}
	return expired
}

// unpark puts parked items that may use a free group back in their queues.
func (s *Scheduler) unpark() {
	if len(s.parked) == 0 || !s.groups.hasFree() {
		return
	}
	var still []*item
	for _, it := range slices.Backward(s.parked) {
		if s.groups.order.mostFree(it.Avoid) == nil {
			still = append(still, it)
			continue
		}
		it.rank.unpark(it)
	}
	slices.Reverse(still)
	s.parked = still
}

// place returns the free group that an item runs in, with the number of
// prefix blocks expected there, or nil.
func (s *Scheduler) place(it *item) (*groupState, int) {
	name, hit := s.affinity.best(it.Prefix, func(group string) bool {
		g := s.groups.byName[group]
		return g != nil && g.free() > 0 && !slices.Contains(it.Avoid, group)
	})
	if name != "" {
		return s.groups.byName[name], hit
	}
	return s.groups.order.mostFree(it.Avoid), 0
}

// oldest returns the queued item of a list of arrivals that came first.
func oldest(arrivals *list.List) *item { return arrivals.Front().Value.(*item) }
