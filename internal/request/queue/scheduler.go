package queue

import (
	"container/list"
	"net/http"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// maxCostTokens limits the estimated tokens of one request.
const maxCostTokens = 1 << 32

// Scheduler assigns requests to the groups of one home node. Ranks are
// served in strict order above their floors, and accounts inside a rank by
// start-time fair queueing. It is not safe for concurrent use.
type Scheduler struct {
	ranks            []*rankState // by priority, the most urgent first
	ranksByName      map[string]*rankState
	groups           groupSet
	queued           map[string]*item
	running          map[string]*item
	deadlines        deadlineHeap
	affinity         *affinity
	parked           []*item
	evicted          []RefusedRequest
	preempting       []*item // preempted runs that still hold a slot
	preemptionCounts preemptionCounter
	tokenWindow      slidingWindow // tokens of all ranks
	runTimeWindow    slidingWindow // running time of all ranks, in nanoseconds
	lastEvent        time.Time     // time of the last event
}

// New returns a scheduler without ranks or groups.
func New() *Scheduler {
	return &Scheduler{
		ranksByName:      map[string]*rankState{},
		groups:           groupSet{byName: map[string]*groupState{}},
		queued:           map[string]*item{},
		running:          map[string]*item{},
		affinity:         newAffinity(),
		preemptionCounts: newPreemptionCounter(),
	}
}

// SetRanks replaces the ranks. Queued requests of a removed rank stay queued
// with the lowest priority.
func (s *Scheduler) SetRanks(ranks []Rank, _ time.Time) {
	for _, r := range s.ranks {
		r.retire()
	}
	for _, declared := range ranks {
		r := s.ranksByName[declared.Name]
		if r == nil {
			r = newRankState()
			s.ranksByName[declared.Name] = r
			s.ranks = append(s.ranks, r)
		}
		r.Rank = declared
		r.declared = true
	}
	s.removeIdleRetiredRanks()
	slices.SortFunc(s.ranks, compareRanks)
}

// removeIdleRetiredRanks removes undeclared ranks without requests.
func (s *Scheduler) removeIdleRetiredRanks() {
	s.ranks = slices.DeleteFunc(s.ranks, func(r *rankState) bool {
		if r.declared || !r.idle() {
			return false
		}
		delete(s.ranksByName, r.Name)
		return true
	})
}

// SetGroups replaces the set of groups and their slots. Requests that run in
// a removed group count as running until Finish.
func (s *Scheduler) SetGroups(groups []Group, _ time.Time) { s.groups.set(groups) }

// Offer queues a request and returns nil, or returns its refusal. A resumed
// request is refused only if its rank is unknown or its ID is in use.
func (s *Scheduler) Offer(r Request, now time.Time) *refusal.Error {
	s.lastEvent = now
	rank := s.ranksByName[r.Rank]
	if rank == nil || (!rank.declared && !r.Resumed) {
		return refusal.New(refusal.KindUnknownRank, http.StatusBadRequest, "rank "+r.Rank+" is not declared; use a declared rank")
	}
	if s.queued[r.ID] != nil || s.running[r.ID] != nil {
		return refusal.NewMayHaveRun(refusal.KindBadRequest, http.StatusConflict, "request "+r.ID+" is already queued or running; use a new request ID")
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

// Next returns the decisions that follow from the current state. The caller
// carries them out; assigned requests count as running from now on.
func (s *Scheduler) Next(now time.Time) Decisions {
	s.lastEvent = now
	var d Decisions
	d.Refuse, s.evicted = s.evicted, nil
	d.Refuse = append(d.Refuse, s.expire(now)...)
	s.unpark()
	for s.groups.hasFreeSlot() {
		rank, reason := s.nextRank(now)
		if rank == nil {
			break
		}
		it := rank.head()
		group, hit := s.chooseGroup(it)
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

// Progress records tokens that a running request has used since its last
// Progress call.
func (s *Scheduler) Progress(id string, tokens int64, now time.Time) {
	s.lastEvent = now
	it := s.running[id]
	if it == nil || tokens <= 0 {
		return
	}
	s.tokenWindow.add(tokens, it.usageRecordedUntil, now)
	s.runTimeWindow.add(int64(now.Sub(it.usageRecordedUntil)), it.usageRecordedUntil, now)
	it.rank.recordUsage(it, tokens, now)
}

// Finish frees the slot of a running request. tokens is the total that it
// used in this run; the charge of its account is corrected to it.
func (s *Scheduler) Finish(id string, tokens int64, now time.Time) {
	s.lastEvent = now
	it := s.running[id]
	if it == nil {
		return
	}
	s.Progress(id, tokens-it.usedTokens, now)
	delete(s.running, id)
	s.groups.releaseSlot(it.group)
	it.rank.finish(it, now)
	if it.preempting {
		s.preempting = slices.DeleteFunc(s.preempting, func(other *item) bool { return other == it })
	} else {
		s.preemptionCounts.forget(id)
	}
	if !it.rank.declared {
		s.removeIdleRetiredRanks()
	}
}

// Cancel removes a queued request whose caller has disconnected. It reports
// whether the request was still queued.
func (s *Scheduler) Cancel(id string, _ time.Time) bool {
	it := s.queued[id]
	if it == nil {
		return false
	}
	s.removeQueued(it)
	s.preemptionCounts.forget(id)
	return true
}

// NextWake returns when Next must be called even without an event, because of
// a deadline or a preemption. Zero means never.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	var wake time.Time
	if len(s.evicted) > 0 {
		return now
	}
	if len(s.deadlines) > 0 {
		wake = s.deadlines[0].Deadline
	}
	if at := s.nextPreemptionCheck(now); !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
		wake = at
	}
	return wake
}

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return len(s.queued) }

// start moves a queued item to a slot of the group.
func (s *Scheduler) start(it *item, group *groupState, hit int, reason Reason, now time.Time) {
	delete(s.queued, it.ID)
	s.deadlines.remove(it)
	it.rank.start(it, now)
	it.group = group
	it.prefixHit = hit
	it.startReason = reason
	s.groups.acquireSlot(group)
	s.running[it.ID] = it
	s.affinity.record(it.Prefix, group.name)
}

// removeQueued removes an item from the queue.
func (s *Scheduler) removeQueued(it *item) {
	delete(s.queued, it.ID)
	s.deadlines.remove(it)
	if it.parked {
		s.parked = slices.DeleteFunc(s.parked, func(other *item) bool { return other == it })
	}
	it.rank.dequeue(it)
}

// expire removes the queued requests whose deadline has passed and returns their
// refusals.
func (s *Scheduler) expire(now time.Time) []RefusedRequest {
	var expired []RefusedRequest
	for len(s.deadlines) > 0 && !now.Before(s.deadlines[0].Deadline) {
		it := s.deadlines[0]
		s.removeQueued(it)
		s.preemptionCounts.forget(it.ID)
		expired = append(expired, RefusedRequest{RequestID: it.ID, Refusal: deadlineRefusal(it, now)})
	}
	return expired
}

// unpark returns parked items that may use a free group to their accounts'
// queues.
func (s *Scheduler) unpark() {
	if len(s.parked) == 0 || !s.groups.hasFreeSlot() {
		return
	}
	var stillParked []*item
	for _, it := range slices.Backward(s.parked) {
		if s.groups.byFreeSlots.mostFree(it.Avoid) == nil {
			stillParked = append(stillParked, it)
			continue
		}
		it.rank.unpark(it)
	}
	slices.Reverse(stillParked)
	s.parked = stillParked
}

// chooseGroup returns the group with a free slot in which the item is to run,
// and the number of leading prefix blocks expected in its cache. It returns nil
// if the item avoids every such group.
func (s *Scheduler) chooseGroup(it *item) (*groupState, int) {
	name, hit := s.affinity.bestGroup(it.Prefix, func(group string) bool {
		g := s.groups.byName[group]
		return g != nil && g.free() > 0 && !slices.Contains(it.Avoid, group)
	})
	if name != "" {
		return s.groups.byName[name], hit
	}
	return s.groups.byFreeSlots.mostFree(it.Avoid), 0
}

// oldestItem returns the item that arrived first.
func oldestItem(arrivals *list.List) *item { return arrivals.Front().Value.(*item) }
