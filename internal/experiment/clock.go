package experiment

import (
	"container/heap"
	"time"
)

// epoch is the time of day at which every play begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock runs functions at virtual times, those of one time in the order in
// which they were scheduled.
type clock struct {
	now   time.Duration
	queue timers
	next  int64
}

type timer struct {
	at    time.Duration
	order int64
	run   func()
}

// after schedules a function. A negative delay counts as none.
func (c *clock) after(delay time.Duration, run func()) {
	c.next++
	heap.Push(&c.queue, timer{c.now + max(delay, 0), c.next, run})
}

// every runs a function in each period until the clock ends.
func (c *clock) every(period time.Duration, run func()) {
	c.after(period, func() {
		run()
		c.every(period, run)
	})
}

// runUntil advances the time to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// time is now as a time of day.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// timers implements heap.Interface.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}
