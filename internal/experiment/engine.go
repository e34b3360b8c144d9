package experiment

import (
	"cmp"
	"slices"
	"time"
)

// taskOutcome is how an engine ended a task.
type taskOutcome int

const (
	taskCompleted taskOutcome = iota
	// taskRefused means that the engine did not run the task.
	taskRefused
	// taskAborted means that the group broke after it had started the task, or that
	// the process of its head ended.
	taskAborted
)

// task is an attempt of a request at a group, as its engine sees it. The functions
// onTokens and onEnd are called at engine time; they add the delay of the link to
// the node.
type task struct {
	promptTokens, answerTokens int
	// priority orders the queue, lowest value first.
	priority  int
	arrivedAt time.Duration
	// cachedTokens counts the context tokens, of the prompt and of the answer so
	// far, in the key-value cache. generatedTokens counts the tokens of the answer
	// before the current pass, also those of earlier attempts.
	cachedTokens, generatedTokens int
	// pendingTokens counts tokens of the current pass that are not delivered yet.
	pendingTokens int
	// onTokens is called for each event with generatedTokens.
	onTokens func(generatedTokens int)
	onEnd    func(taskOutcome)
	done     bool
	// crashes is true if the host crashes when it begins to answer the task.
	crashes bool
}

// contextTokens is the number of tokens that must be in the key-value cache before
// the task generates more.
func (t *task) contextTokens() int { return t.promptTokens + t.generatedTokens }

// prefilling reports whether a part of the context is not in the cache yet.
func (t *task) prefilling() bool { return t.cachedTokens < t.contextTokens() }

// group simulates the engine of a replica group: a queue and a batch that runs in
// passes. Like an engine it admits tasks by priority, prefills prompts in chunks
// between the tokens of other tasks, and preempts the newest task when the
// key-value cache is full.
type group struct {
	clock  *clock
	engine *EngineSheet
	model  *ModelSheet
	// members are the IDs of the hosts, the head first.
	members []string
	name    string
	// slowdown returns how many times slower than usual the slowest member is.
	slowdown func() float64
	// silence returns for how long a member will be silent.
	silence func() time.Duration
	waiting []*task
	running []*task
	inPass  bool
	// generating counts the tasks that generated tokens in the current pass.
	generating int
	// A stalled group makes no progress. A broken group refuses tasks.
	stalled, broken bool
	// A closing group finishes its tasks, refuses new ones and then calls onClosed.
	closing  bool
	onClosed func()
	// onCrash ends the process of the head.
	onCrash func()
	// preemptions counts tasks that were put back into the queue.
	preemptions int
}

// enqueue queues or refuses a task after the enqueue delay.
func (g *group) enqueue(t *task) {
	g.clock.after(g.engine.EnqueueDelay, func() {
		if t.done {
			return
		}
		if g.broken || g.closing || len(g.waiting) >= max(g.engine.QueueLimit, 1) || t.contextTokens() > g.engine.MemoryTokens {
			t.finish(taskRefused)
			return
		}
		t.arrivedAt = g.clock.now
		g.waiting = append(g.waiting, t)
		g.startPass()
	})
}

func (t *task) finish(outcome taskOutcome) {
	if !t.done {
		t.done = true
		t.onEnd(outcome)
	}
}

func (g *group) usedTokens() int {
	total := 0
	for _, t := range g.running {
		total += t.cachedTokens + t.pendingTokens
	}
	return total
}

// startPass starts a pass unless one is running, the group is stalled or broken, or
// there are no tasks. A closing group without tasks is closed.
func (g *group) startPass() {
	if g.inPass || g.stalled || g.broken {
		return
	}
	isDone := func(t *task) bool { return t.done }
	g.running, g.waiting = slices.DeleteFunc(g.running, isDone), slices.DeleteFunc(g.waiting, isDone)
	g.admit()
	if len(g.running) == 0 {
		if g.closing && g.onClosed != nil {
			g.onClosed()
		}
		return
	}
	g.inPass = true
	g.clock.after(g.runPass(), g.endPass)
}

// admit moves waiting tasks into the batch.
func (g *group) admit() {
	slices.SortStableFunc(g.waiting, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
	reserved := 0
	for _, t := range g.running {
		reserved += t.contextTokens()
	}
	for len(g.waiting) > 0 && len(g.running) < g.engine.Slots {
		next := g.waiting[0]
		if reserved+next.contextTokens() > g.engine.MemoryTokens && len(g.running) > 0 {
			return
		}
		reserved += next.contextTokens()
		g.waiting = g.waiting[1:]
		g.running = append(g.running, next)
	}
}

// runPass runs the steps of a pass and returns its duration. It prefills chunks of
// prompts; a task generates tokens from the step after its prefill on. endPass
// delivers the tokens.
func (g *group) runPass() time.Duration {
	steps := 1
	if slices.ContainsFunc(g.running, func(t *task) bool { return !t.prefilling() }) {
		steps = g.engine.StepsPerPass
	}
	stepTimes := time.Duration(0)
	for range steps {
		stepTimes += g.runStep()
	}
	timeFactor := g.model.TimeFactor * g.slowdown()
	return time.Duration(float64(stepTimes) * timeFactor)
}

// runStep runs one step and returns its duration.
func (g *group) runStep() time.Duration {
	stepTime := time.Duration(0)
	chunkLeft := g.engine.ChunkTokens
	for _, t := range g.running {
		switch {
		case t.prefilling():
			n := min(chunkLeft, t.contextTokens()-t.cachedTokens)
			chunkLeft -= n
			stepTime += g.prefillTime(t, n)
			t.cachedTokens += n
		case t.generatedTokens+t.pendingTokens < t.answerTokens:
			if t.pendingTokens == 0 {
				g.generating++
			}
			t.pendingTokens++
			stepTime += g.engine.StepTimePerRequest + time.Duration(float64(g.engine.StepTimePer1000ContextTokens)*float64(t.contextTokens())/1000)
		}
	}
	if g.generating > 0 {
		stepTime += g.engine.StepTime
	}
	g.preempt()
	return stepTime
}

func (g *group) prefillTime(t *task, tokens int) time.Duration {
	pairs := float64(tokens) * (float64(t.cachedTokens) + float64(tokens)/2)
	return time.Duration(float64(tokens)/g.engine.PrefillTokensPerSecond*float64(time.Second) + pairs/1e6*float64(g.engine.PrefillTimePerMillionPairs))
}

// preempt puts the newest tasks back into the queue until the key-value cache has
// room for one more token of each running task. The tokens that a preempted task
// generated in this pass are lost.
func (g *group) preempt() {
	for len(g.running) > 1 && g.usedTokens()+len(g.running) > g.engine.MemoryTokens {
		newest := g.running[len(g.running)-1]
		g.running = g.running[:len(g.running)-1]
		newest.cachedTokens, newest.pendingTokens = 0, 0
		g.waiting = append(g.waiting, newest)
		g.preemptions++
	}
}

// endPass delivers the tokens of a pass and starts the next one. A group that
// stalled during the pass does not end it.
func (g *group) endPass() {
	if g.stalled || g.broken {
		return
	}
	if left := g.silence(); left > 0 {
		g.clock.after(left, g.endPass)
		return
	}
	g.inPass, g.generating = false, 0
	if g.onCrash != nil && slices.ContainsFunc(g.running, func(t *task) bool { return t.crashes && !t.done && t.pendingTokens > 0 }) {
		g.onCrash()
		return
	}
	for _, t := range slices.Clone(g.running) {
		if t.done || t.pendingTokens == 0 {
			continue
		}
		t.generatedTokens += t.pendingTokens
		t.cachedTokens += t.pendingTokens
		t.pendingTokens = 0
		t.onTokens(t.generatedTokens)
		if t.generatedTokens >= t.answerTokens {
			t.finish(taskCompleted)
		}
	}
	g.startPass()
}

// stall stops the group. After the stall timeout the group breaks.
func (g *group) stall() {
	if g.stalled || g.broken {
		return
	}
	g.stalled = true
	g.clock.after(g.engine.StallTimeout, g.breakDown)
}

// breakDown marks the group as broken and ends all tasks. Running tasks and tasks
// with delivered tokens are aborted; other waiting tasks are refused.
func (g *group) breakDown() {
	if g.broken {
		return
	}
	g.broken = true
	for _, t := range g.running {
		t.finish(taskAborted)
	}
	for _, t := range g.waiting {
		if t.generatedTokens > 0 {
			t.finish(taskAborted)
		} else {
			t.finish(taskRefused)
		}
	}
	g.running, g.waiting = nil, nil
}

// terminate aborts all tasks, as when the process of the head ends and connections
// break without an answer.
func (g *group) terminate() {
	g.broken = true
	for _, t := range slices.Concat(g.running, g.waiting) {
		t.finish(taskAborted)
	}
	g.running, g.waiting = nil, nil
}

// close lets the group finish its tasks. It calls onClosed when none is left.
func (g *group) close(onClosed func()) {
	g.closing, g.onClosed = true, onClosed
	g.startPass()
}
