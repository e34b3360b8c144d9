package queue

import (
	"math"
	"time"
)

// predict returns how long a new request of the account would wait for a
// slot. It is 0 while a slot is free, or nothing is known of service times.
func (s *Scheduler) predict(r *rankState, accountName string) time.Duration {
	if s.groups.slots-s.groups.used > len(s.queued) {
		return 0
	}
	tokenTime := s.tokenTime(r)
	if tokenTime == 0 || s.groups.slots == 0 {
		return 0
	}
	return s.waitFor(r, r.tokensAhead(accountName), tokenTime)
}

// waitFor returns the time until ahead tokens of the rank have started and
// one more slot frees.
func (s *Scheduler) waitFor(r *rankState, ahead int64, tokenTime float64) time.Duration {
	work := (float64(ahead) + r.cost.value - r.cost.value*float64(s.spareSlots(r))) * tokenTime
	if work <= 0 {
		return r.preemptionGrace()
	}
	slots := float64(s.groups.slots)
	seconds := math.Inf(1)
	if r.FloorShare > 0 {
		seconds = work / (slots * r.FloorShare)
	}
	if open := s.openShare(r); open > 0 {
		seconds = min(seconds, (work+s.workAbove(r))/(slots*open))
	}
	if seconds > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

// tokensAhead returns the queued tokens of the rank that start before a new
// request of the account.
func (r *rankState) tokensAhead(accountName string) int64 {
	a := r.accounts[accountName]
	start, own := r.turns.earliest(), int64(0)
	if a != nil && a.backlog == r.backlog {
		start, own = max(start, a.start), a.queuedTokens
	}
	return own + r.turns.ahead(a, start+own, int64(r.cost.value))
}

// openShare returns the share of the slots that is left to a rank by what
// more urgent ranks use and the floors of less urgent ones with backlog.
func (s *Scheduler) openShare(r *rankState) float64 {
	open := 1.0
	for _, other := range s.ranks {
		switch {
		case other == r:
		case other.Priority < r.Priority:
			open -= s.runningShare(other, 0)
		case other.queued() > 0:
			open -= other.FloorShare
		}
	}
	return max(open, 0)
}

// workAbove returns the queued work of more urgent ranks, in slot seconds.
func (s *Scheduler) workAbove(r *rankState) float64 {
	work := 0.0
	for _, other := range s.ranks {
		if other.Priority < r.Priority {
			work += float64(other.queuedTokens) * s.tokenTime(other)
		}
	}
	return work
}

// spareSlots returns how many slots the rank can take over by preemption.
func (s *Scheduler) spareSlots(r *rankState) int {
	throughput := s.throughput()
	spare := 0
	for _, other := range s.ranks {
		if !other.Preemptible || other.Priority <= r.Priority {
			continue
		}
		kept := math.Ceil(other.FloorShare * throughput / s.speed(other))
		spare += max(other.running.Len()-other.preempting-int(kept), 0)
	}
	return spare
}

// tokenTime returns the expected time of a run per token of its estimate, in
// seconds; 0 where no run has ended yet.
func (s *Scheduler) tokenTime(r *rankState) float64 {
	if r.endedCost.value > 0 {
		return r.service.value / r.endedCost.value
	}
	for _, other := range s.ranks {
		if other.endedCost.value > 0 {
			return other.service.value / other.endedCost.value
		}
	}
	return 0
}
