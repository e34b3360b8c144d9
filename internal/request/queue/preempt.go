package queue

import (
	"container/list"
	"time"
)

const (
	// preemptionGracePart divides a rank's first-token target: a request
	// waits so long for a slot to free by itself.
	preemptionGracePart = 4
	// maxPreemptions bounds how often one request is preempted.
	maxPreemptions = 4
	// maxPendingPart divides the slots: so many preempted runs may be on
	// their way out at once.
	maxPendingPart = 8
	// preemptionTimeout is how long a preempted run counts as about to free
	// its slot.
	preemptionTimeout = 2 * time.Second
	// maxVictimScan bounds the runs looked at for one preemption.
	maxVictimScan = 32
	// maxPreemptionCounts bounds the requests whose preemptions are counted.
	maxPreemptionCounts = 4096
)

// preempt chooses lower-rank runs to cancel for requests that would wait too
// long otherwise.
func (s *Scheduler) preempt(now time.Time) []string {
	if s.groups.hasFree() || len(s.queued) == 0 {
		return nil
	}
	var ids []string
	pending := s.pendingPreemptions(now)
	limit := max(s.groups.slots/maxPendingPart, 1)
	rate := s.freeRate()
	waiting := 0
	for _, r := range s.ranks {
		if r.dispatchable() == 0 {
			continue
		}
		waiting += r.dispatchable()
		left := r.preemptionGrace() - now.Sub(oldest(&r.arrivals).arrived)
		soon := int(rate * max(left, 0).Seconds())
		for waiting-pending-soon > 0 && pending < limit {
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

// preemptionGrace is how long a request of the rank waits before it preempts.
func (r *rankState) preemptionGrace() time.Duration {
	return r.FirstTokenTarget / preemptionGracePart
}

// markPreempted notes that the caller will cancel a run.
func (s *Scheduler) markPreempted(it *item, now time.Time) {
	it.preempting = true
	it.preemptedAt = now
	it.rank.preempting++
	s.preempting = append(s.preempting, it)
	s.victims.add(it.ID)
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

// freeRate is the expected number of slots that free a second.
func (s *Scheduler) freeRate() float64 {
	rate := 0.0
	for _, r := range s.ranks {
		if r.service.value > 0 {
			rate += float64(r.running.Len()) / r.service.value
		}
	}
	return rate
}

// victim returns the run to cancel for a request of rank r, one of the least
// urgent rank that stays at its floor without it. It is nil where there is
// none.
func (s *Scheduler) victim(r *rankState) *item {
	for i := len(s.ranks) - 1; i >= 0; i-- {
		lower := s.ranks[i]
		if lower.Priority <= r.Priority {
			return nil
		}
		if !lower.Preemptible || s.runningShare(lower, 1) < floorHeadroom*lower.FloorShare {
			continue
		}
		if it := s.newestVictim(lower); it != nil {
			return it
		}
	}
	return nil
}

// newestVictim returns the run of the rank that was preempted least often
// before; of several, the newest, which loses the least work.
func (s *Scheduler) newestVictim(r *rankState) *item {
	var best *item
	least := maxPreemptions
	scanned := 0
	for e := r.running.Back(); e != nil && scanned < maxVictimScan; e = e.Prev() {
		scanned++
		it := e.Value.(*item)
		if it.preempting || it.group.slots == 0 {
			continue
		}
		if count := s.victims.count(it.ID); count < least {
			best, least = it, count
		}
	}
	return best
}

// preemptionWake returns when a waiting request passes its grace or a
// preemption its timeout; zero where nothing waits.
func (s *Scheduler) preemptionWake(now time.Time) time.Time {
	var wake time.Time
	earliest := func(at time.Time) {
		if at.After(now) && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	for i, r := range s.ranks {
		if r.dispatchable() > 0 && i < len(s.ranks)-1 {
			earliest(oldest(&r.arrivals).arrived.Add(r.preemptionGrace()))
		}
	}
	if len(s.queued) > 0 {
		for _, it := range s.preempting {
			earliest(it.preemptedAt.Add(preemptionTimeout))
		}
	}
	return wake
}

// preemptionCounts counts preemptions by request ID and forgets the oldest
// entry when it is full.
type preemptionCounts struct {
	entries map[string]*list.Element
	order   *list.List // of *preemptionCount, the oldest first
}

type preemptionCount struct {
	id    string
	count int
}

func newPreemptionCounts() preemptionCounts {
	return preemptionCounts{entries: map[string]*list.Element{}, order: list.New()}
}

func (c preemptionCounts) count(id string) int {
	if e := c.entries[id]; e != nil {
		return e.Value.(*preemptionCount).count
	}
	return 0
}

func (c preemptionCounts) add(id string) {
	if e := c.entries[id]; e != nil {
		e.Value.(*preemptionCount).count++
		return
	}
	if c.order.Len() == maxPreemptionCounts {
		c.forget(c.order.Front().Value.(*preemptionCount).id)
	}
	c.entries[id] = c.order.PushBack(&preemptionCount{id: id, count: 1})
}

func (c preemptionCounts) forget(id string) {
	if e := c.entries[id]; e != nil {
		c.order.Remove(e)
		delete(c.entries, id)
	}
}
