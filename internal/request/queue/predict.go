package queue

import (
	"math"
	"time"
)

// predictWait returns how long a new request of the account would wait for a
// slot. It is 0 while more slots are free than requests are queued, while there
// are no slots, and while no run has finished.
func (s *Scheduler) predictWait(r *rankState, accountName string) time.Duration {
	if s.groups.slots-s.groups.used > len(s.queued) {
		return 0
	}
	secondsPerToken := s.secondsPerToken(r)
	if secondsPerToken == 0 || s.groups.slots == 0 {
		return 0
	}
	return s.waitForTokens(r, r.tokensAhead(accountName), secondsPerToken)
}

// waitForTokens returns the time until ahead tokens of the rank have started
// and one more slot is free.
func (s *Scheduler) waitForTokens(r *rankState, ahead int64, secondsPerToken float64) time.Duration {
	work := (float64(ahead) + r.meanCost.value - r.meanCost.value*float64(s.preemptibleSlots(r))) * secondsPerToken
	if work <= 0 {
		return r.preemptionDelay()
	}
	slots := float64(s.groups.slots)
	seconds := math.Inf(1)
	if r.FloorShare > 0 {
		seconds = work / (slots * r.FloorShare)
	}
	if available := s.availableShare(r); available > 0 {
		seconds = min(seconds, (work+s.moreUrgentWork(r))/(slots*available))
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
	start, ownTokens := r.fairQueue.earliestStart(), int64(0)
	if a != nil && a.backlogID == r.backlogID {
		start, ownTokens = max(start, a.virtualStart), a.queuedTokens
	}
	return ownTokens + r.fairQueue.tokensBefore(a, start+ownTokens, int64(r.meanCost.value))
}

// availableShare returns the share of the slots that remains for a rank after
// the running share of more urgent ranks and the floors of less urgent ranks
// with queued requests.
func (s *Scheduler) availableShare(r *rankState) float64 {
	available := 1.0
	for _, other := range s.ranks {
		switch {
		case other == r:
		case other.Priority < r.Priority:
			available -= s.runningShare(other, 0)
		case other.queued() > 0:
			available -= other.FloorShare
		}
	}
	return max(available, 0)
}

// moreUrgentWork returns the queued work of more urgent ranks, in slot seconds.
func (s *Scheduler) moreUrgentWork(r *rankState) float64 {
	work := 0.0
	for _, other := range s.ranks {
		if other.Priority < r.Priority {
			work += float64(other.queuedTokens) * s.secondsPerToken(other)
		}
	}
	return work
}

// preemptibleSlots returns how many slots the rank can gain by preemption.
func (s *Scheduler) preemptibleSlots(r *rankState) int {
	throughput := s.throughput()
	slots := 0
	for _, other := range s.ranks {
		if !other.Preemptible || other.Priority <= r.Priority {
			continue
		}
		keptRuns := math.Ceil(other.FloorShare * throughput / s.tokenRate(other))
		slots += max(other.running.Len()-other.preempting-int(keptRuns), 0)
	}
	return slots
}

// secondsPerToken returns the expected run time per estimated token, in
// seconds. It uses the first rank with finished runs if r has none, and is 0 if
// no run has finished yet.
func (s *Scheduler) secondsPerToken(r *rankState) float64 {
	if r.meanFinishedCost.value > 0 {
		return r.meanServiceSeconds.value / r.meanFinishedCost.value
	}
	for _, other := range s.ranks {
		if other.meanFinishedCost.value > 0 {
			return other.meanServiceSeconds.value / other.meanFinishedCost.value
		}
	}
	return 0
}
