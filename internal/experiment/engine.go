package experiment

import (
	"cmp"
	"slices"
	"time"
)

// ending is how an engine ended a task.
type ending int

const (
	endComplete ending = iota
	// endRefused: the engine did not run the task.
	endRefused
	// endCut: the engine broke off, or its host is gone.
	endCut
)

// task is one attempt of a request at a group. Times are those of the engine;
// the link to the node lies before deliver and end are called.
type task struct {
	prompt, answer int
	// urgency orders the queue; 0 comes first.
	urgency int
	arrived time.Duration
	// read counts tokens of context that are in memory, of the prompt and of
	// what was written before; written those of the answer.
	read, written int
	// fresh counts tokens of the present pass, which nobody has yet.
	fresh int
	// deliver is called for each event with the tokens written so far.
	deliver func(written int)
	end     func(ending)
	gone    bool
}

// context is the number of tokens that must be in memory to write on.
func (t *task) context() int { return t.prompt + t.written }

// reading reports whether a part of the context must still be read.
func (t *task) reading() bool { return t.read < t.context() }

// group is a replica group as it runs: a queue and a batch that work in
// passes. It answers the same load as an engine: urgent tasks first, prompts
// read in pieces between the tokens of others, and the newest task put back
// where memory runs out.
type group struct {
	clock  *clock
	engine *EngineSheet
	model  *ModelSheet
	// members are the IDs of the hosts, the head first.
	members []string
	name    string
	// slowness is how many times slower than usual the slowest member works.
	slowness func() float64
	waiting  []*task
	running  []*task
	passing  bool
	// writing counts the tasks that wrote in the present pass.
	writing int
	// stalled groups make no progress, broken ones refuse.
	stalled, broken bool
	// closing groups finish their work and take no more; closed is called then.
	closing bool
	closed  func()
	// preempted counts tasks that were put back.
	preempted int
}

// add queues a task, or refuses it.
func (g *group) add(t *task) {
	g.clock.after(g.engine.FirstTokenTime, func() {
		if t.gone {
			return
		}
		if g.broken || g.closing || len(g.waiting) >= max(g.engine.Queue, 1) || t.context() > g.engine.MemoryTokens {
			t.finish(endRefused)
			return
		}
		t.arrived = g.clock.now
		g.waiting = append(g.waiting, t)
		g.nextPass()
	})
}

func (t *task) finish(e ending) {
	if !t.gone {
		t.gone = true
		t.end(e)
	}
}

func (g *group) used() int {
	total := 0
	for _, t := range g.running {
		total += t.read + t.fresh
	}
	return total
}

// nextPass begins a pass where there is something to do.
func (g *group) nextPass() {
	if g.passing || g.stalled || g.broken {
		return
	}
	gone := func(t *task) bool { return t.gone }
	g.running, g.waiting = slices.DeleteFunc(g.running, gone), slices.DeleteFunc(g.waiting, gone)
	g.admit()
	if len(g.running) == 0 {
		if g.closing && g.closed != nil {
			g.closed()
		}
		return
	}
	g.passing = true
	g.clock.after(g.pass(), g.endPass)
}

// admit moves waiting tasks into the batch.
func (g *group) admit() {
	slices.SortStableFunc(g.waiting, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.arrived, b.arrived))
	})
	reserved := 0
	for _, t := range g.running {
		reserved += t.context()
	}
	for len(g.waiting) > 0 && len(g.running) < g.engine.Slots {
		next := g.waiting[0]
		if reserved+next.context() > g.engine.MemoryTokens && len(g.running) > 0 {
			return
		}
		reserved += next.context()
		g.waiting = g.waiting[1:]
		g.running = append(g.running, next)
	}
}

// pass computes the length of a pass: it reads pieces of prompts and lets the
// tasks that have read theirs write, from the next step on. Tokens are handed
// out when it ends.
func (g *group) pass() time.Duration {
	steps := 1
	if slices.ContainsFunc(g.running, func(t *task) bool { return !t.reading() }) {
		steps = g.engine.StepsPerPass
	}
	total := time.Duration(0)
	for range steps {
		total += g.step()
	}
	pace := g.model.Pace * g.slowness()
	return time.Duration(float64(total) * pace)
}

// step runs one step and returns its time.
func (g *group) step() time.Duration {
	took := time.Duration(0)
	left := g.engine.ChunkTokens
	for _, t := range g.running {
		switch {
		case t.reading():
			n := min(left, t.context()-t.read)
			left -= n
			took += g.readTime(t, n)
			t.read += n
		case t.written+t.fresh < t.answer:
			if t.fresh == 0 {
				g.writing++
			}
			t.fresh++
			took += g.engine.StepTimePerRequest + time.Duration(float64(g.engine.ContextTime)*float64(t.context())/1000)
		}
	}
	if g.writing > 0 {
		took += g.engine.StepTime
	}
	g.preempt()
	return took
}

func (g *group) readTime(t *task, tokens int) time.Duration {
	pairs := float64(tokens) * (float64(t.read) + float64(tokens)/2)
	return time.Duration(float64(tokens)/g.engine.ReadTokensPerSecond*float64(time.Second) + pairs/1e6*float64(g.engine.PairTime))
}

// preempt puts the newest tasks back into the queue until memory holds one more
// token of each. What they wrote in this pass is lost.
func (g *group) preempt() {
	for len(g.running) > 1 && g.used()+len(g.running) > g.engine.MemoryTokens {
		last := g.running[len(g.running)-1]
		g.running = g.running[:len(g.running)-1]
		last.read, last.fresh = 0, 0
		g.waiting = append(g.waiting, last)
		g.preempted++
	}
}

// endPass hands out the tokens of a pass. A group that has stalled meanwhile
// does not end it.
func (g *group) endPass() {
	if g.stalled || g.broken {
		return
	}
	g.passing, g.writing = false, 0
	for _, t := range slices.Clone(g.running) {
		if t.gone || t.fresh == 0 {
			continue
		}
		t.written += t.fresh
		t.read += t.fresh
		t.fresh = 0
		t.deliver(t.written)
		if t.written >= t.answer {
			t.finish(endComplete)
		}
	}
	g.nextPass()
}

// stall stops the group; after the stall time it breaks.
func (g *group) stall() {
	if g.stalled || g.broken {
		return
	}
	g.stalled = true
	g.clock.after(g.engine.StallTime, g.breakOff)
}

// breakOff ends all work: what ran is cut, what waited was not run.
func (g *group) breakOff() {
	if g.broken {
		return
	}
	g.broken = true
	for _, t := range g.running {
		t.finish(endCut)
	}
	for _, t := range g.waiting {
		if t.written > 0 {
			t.finish(endCut)
		} else {
			t.finish(endRefused)
		}
	}
	g.running, g.waiting = nil, nil
}

// drop ends all work at once, as when the head's process ends: connections
// break without an answer.
func (g *group) drop() {
	g.broken = true
	for _, t := range slices.Concat(g.running, g.waiting) {
		t.finish(endCut)
	}
	g.running, g.waiting = nil, nil
}

// close lets the group finish its work.
func (g *group) close(closed func()) {
	g.closing, g.closed = true, closed
	g.nextPass()
}
