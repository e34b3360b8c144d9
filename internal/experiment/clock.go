package experiment

import (
	"container/heap"
	"time"
)

// startTime is the virtual date and time at which every simulation starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs functions at virtual times. Functions for the same time run in the
// order in which they were scheduled.
type clock struct {
	now          time.Duration
	timers       timerHeap
	lastSequence int64
}

type timer struct {
	at       time.Duration
	sequence int64
	run      func()
}

// after schedules a function. A negative delay counts as 0.
func (c *clock) after(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.timers, timer{c.now + max(delay, 0), c.lastSequence, run})
}

// every schedules a function at a fixed interval, first after one interval.
func (c *clock) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

// runUntil runs all functions that are due by end and advances the time to it.
func (c *clock) runUntil(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// time returns the current virtual time as a date and time.
func (c *clock) time() time.Time { return startTime.Add(c.now) }

// timerHeap implements heap.Interface.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].sequence < t[j].sequence
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}
