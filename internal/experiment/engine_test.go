package experiment

import (
	"slices"
	"testing"
	"time"
)

// testGroup returns a group with round figures: a step takes 10 ms and 1 ms a
// writer, a pass has 5 steps, prompts are read at 1 token a microsecond.
func testGroup(c *clock) *group {
	return &group{
		clock: c, name: "g", slowness: func() float64 { return 1 }, model: &ModelSheet{Name: "m", Size: 1, Pace: 1},
		engine: &EngineSheet{
			Slots: 2, Queue: 3, MemoryTokens: 1000, StepsPerPass: 5, ChunkTokens: 100, StepTime: 10 * time.Millisecond,
			StepTimePerRequest: time.Millisecond, ReadTokensPerSecond: 1e6, StallTime: 2 * time.Second,
		},
	}
}

// recorder notes when a task got its tokens and how it ended.
type recorder struct {
	task   *task
	events []time.Duration
	tokens []int
	ended  ending
	endAt  time.Duration
	ends   int
}

func record(c *clock, prompt, answer, urgency int) *recorder {
	r := &recorder{task: &task{prompt: prompt, answer: answer, urgency: urgency}}
	r.task.deliver = func(written int) {
		r.events = append(r.events, c.now)
		r.tokens = append(r.tokens, written)
	}
	r.task.end = func(e ending) {
		r.ended, r.endAt = e, c.now
		r.ends++
	}
	return r
}

// TestPassesOfOneTask holds the times of a single task: a prompt of 100 tokens
// is read in 0.1 ms, then each pass of 5 steps writes 5 tokens in 55 ms.
func TestPassesOfOneTask(t *testing.T) {
	c := &clock{}
	g, r := testGroup(c), record(c, 100, 12, 0)
	g.add(r.task)
	c.runUntil(time.Second)
	read := 100 * time.Microsecond
	want := []time.Duration{read + 55*time.Millisecond, read + 110*time.Millisecond, read + 110*time.Millisecond + 2*11*time.Millisecond}
	// The last pass has five steps as well, of which three have nothing to
	// write: they take the time of a step.
	want[2] += 3 * 10 * time.Millisecond
	if !slices.Equal(r.tokens, []int{5, 10, 12}) || !slices.Equal(r.events, want) {
		t.Errorf("tokens %v at %v, want 5, 10, 12 at %v", r.tokens, r.events, want)
	}
	if r.ended != endComplete || r.ends != 1 {
		t.Errorf("ended %d times with %v", r.ends, r.ended)
	}
}

// TestUrgentTasksAreAdmittedFirst fills the batch and holds the order of what
// waits, and the refusal of what finds the queue full.
func TestUrgentTasksAreAdmittedFirst(t *testing.T) {
	c := &clock{}
	g := testGroup(c)
	g.engine.Slots = 1
	var records []*recorder
	for _, urgency := range []int{1, 1, 2, 0, 0} {
		r := record(c, 10, 5, urgency)
		records = append(records, r)
		g.add(r.task)
	}
	c.runUntil(time.Second)
	if records[4].ended != endRefused {
		t.Errorf("the last task ended with %v, want a refusal: one runs and three wait", records[4].ended)
	}
	if !(records[3].endAt < records[1].endAt && records[1].endAt < records[2].endAt) {
		t.Errorf("ends at %v, %v and %v; want urgency 0 first and 2 last", records[3].endAt, records[1].endAt, records[2].endAt)
	}
}

// TestMemoryPutsTheNewestBack runs two tasks whose contexts outgrow the memory:
// the older one goes on, the newer one is read again, and both end whole.
func TestMemoryPutsTheNewestBack(t *testing.T) {
	c := &clock{}
	g := testGroup(c)
	older, newer := record(c, 480, 40, 0), record(c, 480, 40, 0)
	g.add(older.task)
	g.add(newer.task)
	c.runUntil(3 * time.Second)
	if g.preempted == 0 {
		t.Error("nothing was put back although memory ran out")
	}
	if older.endAt >= newer.endAt || older.ended != endComplete || newer.ended != endComplete {
		t.Errorf("older ended at %v (%v), newer at %v (%v); want both whole, the older first", older.endAt, older.ended, newer.endAt, newer.ended)
	}
	if !slices.IsSorted(newer.tokens) || newer.tokens[len(newer.tokens)-1] != 40 {
		t.Errorf("tokens %v of the task that was put back, want rising ones up to 40", newer.tokens)
	}
}

// TestStalledGroupBreaks holds that nothing moves in a stalled group, and that
// after the stall time what ran is cut and what waited is refused.
func TestStalledGroupBreaks(t *testing.T) {
	c := &clock{}
	g := testGroup(c)
	running := []*recorder{record(c, 10, 500, 0), record(c, 10, 500, 0)}
	waiting := record(c, 10, 5, 0)
	for _, r := range append(running, waiting) {
		g.add(r.task)
	}
	c.after(100*time.Millisecond, g.stall)
	c.runUntil(1900 * time.Millisecond)
	events := len(running[0].events)
	if running[0].ends+running[1].ends+waiting.ends > 0 {
		t.Error("a task ended before the stall time was over")
	}
	c.runUntil(3 * time.Second)
	if running[0].ended != endCut || running[1].ended != endCut || waiting.ended != endRefused {
		t.Errorf("ended with %v, %v, %v; want two cuts and a refusal", running[0].ended, running[1].ended, waiting.ended)
	}
	if len(running[0].events) != events || running[0].events[events-1] > 100*time.Millisecond {
		t.Errorf("events at %v, want none after the stall at 100 ms", running[0].events)
	}
}

// TestClosingGroupFinishes holds that a closing group ends its work, takes no
// more, and says when it is done.
func TestClosingGroupFinishes(t *testing.T) {
	c := &clock{}
	g := testGroup(c)
	first, late := record(c, 10, 20, 0), record(c, 10, 5, 0)
	g.add(first.task)
	closed := time.Duration(0)
	c.after(20*time.Millisecond, func() { g.close(func() { closed = c.now }) })
	c.after(30*time.Millisecond, func() { g.add(late.task) })
	c.runUntil(time.Second)
	if first.ended != endComplete || late.ended != endRefused || closed < first.endAt {
		t.Errorf("first %v, late %v, closed at %v, first ended at %v", first.ended, late.ended, closed, first.endAt)
	}
}
