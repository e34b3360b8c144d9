package queue

import (
	"container/list"
	"time"
)

const (
	// preemptionDelayDivisor: a request waits for a slot for the first-token
	// target of its rank divided by this number before it preempts.
	preemptionDelayDivisor = 4
	// maxPreemptions limits how often one request is preempted.
	maxPreemptions = 4
	// pendingPreemptionsDivisor: the number of slots divided by this number
	// limits the preemptions pending at once; at least one is allowed.
	pendingPreemptionsDivisor = 8
	// preemptionTimeout is how long a preempted run that still holds its slot
	// counts as pending, that is, as about to free the slot.
	preemptionTimeout = 2 * time.Second
	// maxScannedRuns limits the runs of a rank considered for one preemption.
	maxScannedRuns = 32
	// maxCountedRequests limits the requests whose preemptions are counted.
	maxCountedRequests = 4096
)

// preempt returns the IDs of runs to cancel in less urgent ranks, for requests
// that would otherwise wait longer than the preemption delay of their rank.
func (s *Scheduler) preempt(now time.Time) []string {
	if s.groups.hasFreeSlot() || len(s.queued) == 0 {
		return nil
	}
	var ids []string
	pending := s.pendingPreemptions(now)
	maxPending := max(s.groups.slots/pendingPreemptionsDivisor, 1)
	releaseRate := s.slotReleaseRate()
	waiting := 0
	for _, r := range s.ranks {
		if r.startable() == 0 {
			continue
		}
		waiting += r.startable()
		remainingDelay := r.preemptionDelay() - now.Sub(oldestItem(&r.arrivals).arrived)
		freedInTime := int(releaseRate * max(remainingDelay, 0).Seconds())
		for waiting-pending-freedInTime > 0 && pending < maxPending {
			victim := s.victim(r)
			if victim == nil {
				break
			}
			s.markPreempted(victim, now)
			ids = append(ids, victim.ID)
			pending++
		}
	}
	return ids
}

// preemptionDelay is how long a request of the rank waits before it preempts.
func (r *rankState) preemptionDelay() time.Duration {
	return r.FirstTokenTarget / preemptionDelayDivisor
}

// markPreempted records that the caller will cancel a run.
func (s *Scheduler) markPreempted(it *item, now time.Time) {
	it.preempting = true
	it.preemptedAt = now
	it.rank.preempting++
	s.preempting = append(s.preempting, it)
	s.preemptionCounts.add(it.ID)
}

// pendingPreemptions counts preempted runs that are about to free a slot.
func (s *Scheduler) pendingPreemptions(now time.Time) int {
	count := 0
	for _, it := range s.preempting {
		if now.Sub(it.preemptedAt) < preemptionTimeout {
			count++
		}
	}
	return count
}

// slotReleaseRate returns the expected number of slots released per second.
func (s *Scheduler) slotReleaseRate() float64 {
	rate := 0.0
	for _, r := range s.ranks {
		if r.meanServiceSeconds.value > 0 {
			rate += float64(r.running.Len()) / r.meanServiceSeconds.value
		}
	}
	return rate
}

// victim returns the run to cancel for a request of rank r. It belongs to the
// least urgent preemptible rank below r whose running share without one run is at
// least floorMargin times its floor. It returns nil if there is none.
func (s *Scheduler) victim(r *rankState) *item {
	for i := len(s.ranks) - 1; i >= 0; i-- {
		lower := s.ranks[i]
		if lower.Priority <= r.Priority {
			return nil
		}
		if !lower.Preemptible || s.runningShare(lower, 1) < floorMargin*lower.FloorShare {
			continue
		}
		if it := s.leastPreempted(lower); it != nil {
			return it
		}
	}
	return nil
}

// leastPreempted returns the run of the rank whose request was preempted least
// often. Among equals it returns the newest, which loses the least work.
func (s *Scheduler) leastPreempted(r *rankState) *item {
	var best *item
	least := maxPreemptions
	scanned := 0
	for e := r.running.Back(); e != nil && scanned < maxScannedRuns; e = e.Prev() {
		scanned++
		it := e.Value.(*item)
		if it.preempting || it.group.slots == 0 {
			continue
		}
		if count := s.preemptionCounts.count(it.ID); count < least {
			best, least = it, count
		}
	}
	return best
}

// nextPreemptionCheck returns when a queued request next reaches its preemption
// delay or a pending preemption its timeout. It is zero if neither is due.
func (s *Scheduler) nextPreemptionCheck(now time.Time) time.Time {
	var wake time.Time
	consider := func(at time.Time) {
		if at.After(now) && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	for i, r := range s.ranks {
		if r.startable() > 0 && i < len(s.ranks)-1 {
			consider(oldestItem(&r.arrivals).arrived.Add(r.preemptionDelay()))
		}
	}
	if len(s.queued) > 0 {
		for _, it := range s.preempting {
			consider(it.preemptedAt.Add(preemptionTimeout))
		}
	}
	return wake
}

// preemptionCounter counts preemptions by request ID. It evicts the oldest
// entry when it is full.
type preemptionCounter struct {
	entries map[string]*list.Element
	order   *list.List // of *preemptionCount, oldest first
}

type preemptionCount struct {
	id    string
	count int
}

func newPreemptionCounter() preemptionCounter {
	return preemptionCounter{entries: map[string]*list.Element{}, order: list.New()}
}

func (c preemptionCounter) count(id string) int {
	if e := c.entries[id]; e != nil {
		return e.Value.(*preemptionCount).count
	}
	return 0
}

func (c preemptionCounter) add(id string) {
	if e := c.entries[id]; e != nil {
		e.Value.(*preemptionCount).count++
		return
	}
	if c.order.Len() == maxCountedRequests {
		c.forget(c.order.Front().Value.(*preemptionCount).id)
	}
	c.entries[id] = c.order.PushBack(&preemptionCount{id: id, count: 1})
}

func (c preemptionCounter) forget(id string) {
	if e := c.entries[id]; e != nil {
		c.order.Remove(e)
		delete(c.entries, id)
	}
}
