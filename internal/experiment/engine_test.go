package experiment

import (
	"slices"
	"testing"
	"time"
)

// testGroup returns a group with round numbers: a step takes 10 ms plus 1 ms for
// each generating task, a pass has 5 steps, and prefill takes 1 us per token.
func testGroup(c *clock) *group {
	return &group{silence: func() time.Duration { return 0 },
		clock: c, name: "g", slowdown: func() float64 { return 1 }, model: &ModelSheet{Name: "m", HostsPerGroup: 1, TimeFactor: 1},
		engine: &EngineSheet{
			Slots: 2, QueueLimit: 3, MemoryTokens: 1000, StepsPerPass: 5, ChunkTokens: 100, StepTime: 10 * time.Millisecond,
			StepTimePerRequest: time.Millisecond, PrefillTokensPerSecond: 1e6, StallTimeout: 2 * time.Second,
		},
	}
}

// recorder records when a task delivered tokens and how it ended.
type recorder struct {
	task       *task
	eventTimes []time.Duration
	tokens     []int
	outcome    taskOutcome
	endedAt    time.Duration
	endCount   int
}

func newRecorder(c *clock, promptTokens, answerTokens, priority int) *recorder {
	r := &recorder{task: &task{promptTokens: promptTokens, answerTokens: answerTokens, priority: priority}}
	r.task.onTokens = func(generatedTokens int) {
		r.eventTimes = append(r.eventTimes, c.now)
		r.tokens = append(r.tokens, generatedTokens)
	}
	r.task.onEnd = func(outcome taskOutcome) {
		r.outcome, r.endedAt = outcome, c.now
		r.endCount++
	}
	return r
}

// TestPassTimesOfOneTask verifies the times of a single task: the prefill of 100
// tokens takes 0.1 ms, then each pass of 5 steps generates 5 tokens in 55 ms.
func TestPassTimesOfOneTask(t *testing.T) {
	c := &clock{}
	g, r := testGroup(c), newRecorder(c, 100, 12, 0)
	g.enqueue(r.task)
	c.runUntil(time.Second)
	prefill := 100 * time.Microsecond
	want := []time.Duration{prefill + 55*time.Millisecond, prefill + 110*time.Millisecond, prefill + 110*time.Millisecond + 2*11*time.Millisecond}
	// The last pass also has five steps. The last three generate nothing and take
	// the step time without an addition for the task.
	want[2] += 3 * 10 * time.Millisecond
	if !slices.Equal(r.tokens, []int{5, 10, 12}) || !slices.Equal(r.eventTimes, want) {
		t.Errorf("got tokens %v at %v, want 5, 10, 12 at %v", r.tokens, r.eventTimes, want)
	}
	if r.outcome != taskCompleted || r.endCount != 1 {
		t.Errorf("task ended %d times with outcome %v, want once with taskCompleted", r.endCount, r.outcome)
	}
}

// TestUrgentTasksAreAdmittedFirst verifies that waiting tasks start in order of
// priority, and that a task is refused when the queue is full.
func TestUrgentTasksAreAdmittedFirst(t *testing.T) {
	c := &clock{}
	g := testGroup(c)
	g.engine.Slots = 1
	var records []*recorder
	for _, priority := range []int{1, 1, 2, 0, 0} {
		r := newRecorder(c, 10, 5, priority)
		records = append(records, r)
		g.enqueue(r.task)
	}
	c.runUntil(time.Second)
	if records[4].outcome != taskRefused {
		t.Errorf("last task: got outcome %v, want taskRefused, because one task runs and three wait", records[4].outcome)
	}
	if !(records[3].endedAt < records[1].endedAt && records[1].endedAt < records[2].endedAt) {
		t.Errorf("tasks of priority 0, 1 and 2 ended at %v, %v and %v, want this order", records[3].endedAt, records[1].endedAt, records[2].endedAt)
	}
}

// TestNewestTaskIsPreemptedWhenMemoryRunsOut runs two tasks whose contexts outgrow
// the key-value cache. The newer one is preempted and prefilled again, the older
// one continues, and both complete.
func TestNewestTaskIsPreemptedWhenMemoryRunsOut(t *testing.T) {
	c := &clock{}
	g := testGroup(c)
	older, newer := newRecorder(c, 480, 40, 0), newRecorder(c, 480, 40, 0)
	g.enqueue(older.task)
	g.enqueue(newer.task)
	c.runUntil(3 * time.Second)
	if g.preemptions == 0 {
		t.Error("got no preemption, want at least one when the memory runs out")
	}
	if older.endedAt >= newer.endedAt || older.outcome != taskCompleted || newer.outcome != taskCompleted {
		t.Errorf("older task ended at %v (outcome %v), newer at %v (outcome %v), want both completed, the older first", older.endedAt, older.outcome, newer.endedAt, newer.outcome)
	}
	if !slices.IsSorted(newer.tokens) || newer.tokens[len(newer.tokens)-1] != 40 {
		t.Errorf("got tokens %v of the preempted task, want them to rise to 40", newer.tokens)
	}
}

// TestStalledGroupBreaks verifies that a stalled group delivers nothing, and that
// after the stall timeout running tasks are aborted and waiting ones refused.
func TestStalledGroupBreaks(t *testing.T) {
	c := &clock{}
	g := testGroup(c)
	running := []*recorder{newRecorder(c, 10, 500, 0), newRecorder(c, 10, 500, 0)}
	waiting := newRecorder(c, 10, 5, 0)
	for _, r := range append(running, waiting) {
		g.enqueue(r.task)
	}
	c.after(100*time.Millisecond, g.stall)
	c.runUntil(1900 * time.Millisecond)
	events := len(running[0].eventTimes)
	if running[0].endCount+running[1].endCount+waiting.endCount > 0 {
		t.Error("a task ended before the stall timeout, want none")
	}
	c.runUntil(3 * time.Second)
	if running[0].outcome != taskAborted || running[1].outcome != taskAborted || waiting.outcome != taskRefused {
		t.Errorf("got outcomes %v, %v, %v, want taskAborted twice and taskRefused", running[0].outcome, running[1].outcome, waiting.outcome)
	}
	if len(running[0].eventTimes) != events || running[0].eventTimes[events-1] > 100*time.Millisecond {
		t.Errorf("got events at %v, want none after the stall at 100 ms", running[0].eventTimes)
	}
}

// TestClosingGroupFinishesItsWork verifies that a closing group completes its tasks,
// refuses new ones and reports when it is done.
func TestClosingGroupFinishesItsWork(t *testing.T) {
	c := &clock{}
	g := testGroup(c)
	first, late := newRecorder(c, 10, 20, 0), newRecorder(c, 10, 5, 0)
	g.enqueue(first.task)
	closed := time.Duration(0)
	c.after(20*time.Millisecond, func() { g.close(func() { closed = c.now }) })
	c.after(30*time.Millisecond, func() { g.enqueue(late.task) })
	c.runUntil(time.Second)
	if first.outcome != taskCompleted || late.outcome != taskRefused || closed < first.endedAt {
		t.Errorf("got outcome %v of the first task and %v of the late one, closed at %v, first task ended at %v; want taskCompleted, taskRefused and closed not before the first task ended", first.outcome, late.outcome, closed, first.endedAt)
	}
}
