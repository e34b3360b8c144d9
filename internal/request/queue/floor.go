package queue

import (
	"cmp"
	"time"
)

const (
	// floorHeadroom is how far above its floor a rank is kept, as a multiple:
	// tokens come unevenly, and prompts at once.
	floorHeadroom = 1.35
	// controlWindow is the time over which shares are compared with floors.
	// It is shorter than Window, so that a shortfall is made up inside it.
	controlWindow = Window / 3
	// maxCatchUp bounds, as a multiple of its floor, the part of the running
	// work that a rank gets to make up for a shortfall.
	maxCatchUp = 2
	// speedPrior is the running time whose weight the mean speed of all
	// ranks has in the speed of one.
	speedPrior = 5 * time.Second
)

func compareRanks(a, b *rankState) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
}

// nextRank returns the rank that gets the next free slot, and why: one that
// falls short of its floor, else the most urgent. It is nil without work.
func (s *Scheduler) nextRank(now time.Time) (*rankState, Reason) {
	var first, short *rankState
	var shortest float64
	throughput := s.throughput()
	for _, r := range s.ranks {
		if r.dispatchable() == 0 {
			continue
		}
		if first == nil {
			first = r
		}
		level, below := s.floorLevel(r, throughput, now)
		if below && (short == nil || level < shortest) {
			short, shortest = r, level
		}
	}
	if short != nil && short != first {
		return short, ReasonFloor
	}
	return first, ReasonRankOrder
}

// floorLevel returns the running share of a rank or its share of the control
// window, the lower one, as a multiple of its floor; and whether the rank is
// due a slot.
func (s *Scheduler) floorLevel(r *rankState, throughput float64, now time.Time) (float64, bool) {
	if r.FloorShare <= 0 {
		return 0, false
	}
	speed := s.speed(r)
	level := float64(r.running.Len()-r.preempting) * speed / (r.FloorShare * (throughput + speed))
	share := s.shareSince(r, now.Add(-controlWindow), now) / r.FloorShare
	if level < 1 {
		return min(level, share), true
	}
	return min(level, share), level < maxCatchUp && share < floorHeadroom
}

// shareSince returns the rank's share of the tokens since the given time or
// since its backlog began; 1 before any token.
func (s *Scheduler) shareSince(r *rankState, since, now time.Time) float64 {
	if r.backlogSince.After(since) {
		since = r.backlogSince
	}
	total := s.total.since(since, now)
	if total == 0 {
		return 1
	}
	return float64(r.window.since(since, now)) / float64(total)
}

// throughput is the expected rate of all running requests, in tokens a
// second.
func (s *Scheduler) throughput() float64 {
	sum := 0.0
	for _, r := range s.ranks {
		sum += float64(r.running.Len()-r.preempting) * s.speed(r)
	}
	return sum
}

// speed returns the expected rate of one running request of a rank, in
// tokens a second: what the window shows, drawn to the mean of all ranks
// where it shows little.
func (s *Scheduler) speed(r *rankState) float64 {
	mean := 1.0
	if s.busy.sum > 0 && s.total.sum > 0 {
		mean = float64(s.total.sum) / time.Duration(s.busy.sum).Seconds()
	}
	prior := speedPrior.Seconds()
	return (float64(r.window.sum) + mean*prior) / (time.Duration(r.busy.sum).Seconds() + prior)
}

// runningShare returns the part of the throughput that a rank has after
// losing some running requests.
func (s *Scheduler) runningShare(r *rankState, lost int) float64 {
	throughput := s.throughput()
	if throughput == 0 {
		return 0
	}
	return float64(r.running.Len()-r.preempting-lost) * s.speed(r) / throughput
}
