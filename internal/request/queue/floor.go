package queue

import (
	"cmp"
	"time"
)

const (
	// floorMargin is the multiple of its floor at which a rank is kept. The
	// margin is needed because token counts are bursty: the tokens of a prompt
	// are counted all at once.
	floorMargin = 1.35
	// controlWindow is the time over which shares are compared with floors.
	// It is shorter than FloorWindow, so that a rank makes up for a shortfall
	// before FloorWindow ends.
	controlWindow = FloorWindow / 3
	// maxCatchUp limits the running share of a rank that makes up for a
	// shortfall, as a multiple of its floor.
	maxCatchUp = 2
	// ratePriorTime is the weight of the mean token rate of all ranks in the
	// estimate for one rank, as an amount of running time.
	ratePriorTime = 5 * time.Second
)

// compareRanks orders ranks by priority, the most urgent first.
func compareRanks(a, b *rankState) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
}

// nextRank returns the rank that gets the next free slot, and the reason: the
// rank that is lowest relative to its floor among those due a slot, else the
// most urgent rank. It returns nil if no rank has a request to start.
func (s *Scheduler) nextRank(now time.Time) (*rankState, Reason) {
	var mostUrgent, belowFloor *rankState
	var lowestRatio float64
	throughput := s.throughput()
	for _, r := range s.ranks {
		if r.startable() == 0 {
			continue
		}
		if mostUrgent == nil {
			mostUrgent = r
		}
		ratio, due := s.floorRatio(r, throughput, now)
		if due && (belowFloor == nil || ratio < lowestRatio) {
			belowFloor, lowestRatio = r, ratio
		}
	}
	if belowFloor != nil && belowFloor != mostUrgent {
		return belowFloor, ReasonFloor
	}
	return mostUrgent, ReasonRankOrder
}

// floorRatio returns the lower of a rank's running share and its share of the
// control window, as a multiple of its floor. The second result is true if the
// rank is due a slot to keep its floor.
func (s *Scheduler) floorRatio(r *rankState, throughput float64, now time.Time) (float64, bool) {
	if r.FloorShare <= 0 {
		return 0, false
	}
	rate := s.tokenRate(r)
	ratio := float64(r.running.Len()-r.preempting) * rate / (r.FloorShare * (throughput + rate))
	share := s.shareSince(r, now.Add(-controlWindow), now) / r.FloorShare
	if ratio < 1 {
		return min(ratio, share), true
	}
	return min(ratio, share), ratio < maxCatchUp && share < floorMargin
}

// shareSince returns the rank's share of the tokens since the given time or
// since its backlog began, whichever is later. It is 1 if there were no tokens.
func (s *Scheduler) shareSince(r *rankState, since, now time.Time) float64 {
	if r.backlogSince.After(since) {
		since = r.backlogSince
	}
	total := s.tokenWindow.sumSince(since, now)
	if total == 0 {
		return 1
	}
	return float64(r.tokenWindow.sumSince(since, now)) / float64(total)
}

// throughput returns the expected rate of all running requests, in tokens per
// second.
func (s *Scheduler) throughput() float64 {
	sum := 0.0
	for _, r := range s.ranks {
		sum += float64(r.running.Len()-r.preempting) * s.tokenRate(r)
	}
	return sum
}

// tokenRate returns the expected rate of one running request of a rank, in
// tokens per second. It is the rate in the rank's window, averaged with the
// mean rate of all ranks, which dominates while the window covers little
// running time.
func (s *Scheduler) tokenRate(r *rankState) float64 {
	mean := 1.0
	if s.runTimeWindow.sum > 0 && s.tokenWindow.sum > 0 {
		mean = float64(s.tokenWindow.sum) / time.Duration(s.runTimeWindow.sum).Seconds()
	}
	prior := ratePriorTime.Seconds()
	return (float64(r.tokenWindow.sum) + mean*prior) / (time.Duration(r.runTimeWindow.sum).Seconds() + prior)
}

// runningShare returns the share of the current throughput that the rank keeps
// if it loses the given number of running requests.
func (s *Scheduler) runningShare(r *rankState, removed int) float64 {
	throughput := s.throughput()
	if throughput == 0 {
		return 0
	}
	return float64(r.running.Len()-r.preempting-removed) * s.tokenRate(r) / throughput
}
