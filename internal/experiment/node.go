package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/forward"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/retry"
	"currantladder.example/currantladder/internal/version/fleet"
)

// node is one entry node. It decides with the product's own board, limits of
// silence and retry budget, unless the policy replaces them.
type node struct {
	*play
	name    string
	board   *place.Board
	retries *retry.Budget
	view    *fleet.View
	alive   bool
	calls   map[*call]bool
	// queue holds calls without a place, for policies that queue.
	queue []*call
}

// call is one attempt of a caller at a node.
type call struct {
	node   *node
	kind   *KindSheet
	prompt int
	answer int
	// written is the number of tokens that the caller has.
	written int
	due     time.Duration
	queued  time.Duration
	tried   []string
	leg     *leg
	over    bool
	// sent is true once an engine may have begun the call.
	sent     bool
	nextMove time.Duration
	// events, refused, cut and completed tell the caller.
	event     func()
	refused   func(returnAfter time.Duration)
	cut       func()
	completed func()
}

// leg is an attempt of a call at a group.
type leg struct {
	host     *fleet.Host
	group    *group
	task     *task
	started  time.Duration
	progress time.Duration
	events   int
}

// hop is the delay between a node and a host.
func (n *node) hop() time.Duration {
	if n.policy.home {
		return 2 * n.sheet.Run.LinkDelay
	}
	return n.sheet.Run.LinkDelay
}

func (n *node) serve(c *call) {
	if !n.alive {
		c.cut()
		return
	}
	n.calls[c] = true
	n.retries.First(serviceName, n.time())
	none := n.start(c)
	if none == nil {
		return
	}
	if n.policy.queueTime > 0 && none.Candidates > 0 {
		c.queued = n.now
		n.queue = append(n.queue, c)
		return
	}
	n.refuse(c, none)
}

func (n *node) refuse(c *call, none *place.Refusal) {
	after := none.ReturnAfter
	if none.Candidates == 0 {
		after = forward.NoEndpointReturn
	}
	n.finish(c, func() { c.refused(after) })
}

// finish ends a call; tell reaches the caller after the delay of its link.
func (n *node) finish(c *call, tell func()) {
	if c.over {
		return
	}
	c.over = true
	delete(n.calls, c)
	n.after(n.sheet.Run.CallerDelay, tell)
}

// start places a call and sends it to a group.
func (n *node) start(c *call) *place.Refusal {
	q := place.Query{Service: n.service, Model: c.kind.Model, Rank: c.kind.Rank, Exclude: c.tried}
	choice, none := n.policy.choose(n, q)
	if none != nil {
		return none
	}
	c.tried = append(c.tried, choice.Host.ID)
	urgency := 0
	if n.policy.ranked {
		urgency = c.kind.Rank
	}
	l := &leg{host: choice.Host, started: n.now, progress: n.now}
	c.leg = l
	l.task = &task{prompt: c.prompt, answer: c.answer, written: c.written, urgency: urgency}
	l.task.deliver = func(written int) { n.after(n.hop(), func() { n.passOn(c, l, written) }) }
	l.task.end = func(e ending) { n.after(n.hop(), func() { n.ended(c, l, e) }) }
	n.after(n.hop(), func() {
		m := n.hosts.byID[l.host.ID]
		switch {
		case !m.alive: // no answer: the silence is noticed
		case m.serving == nil || m.host.Group.Name != l.host.Group.Name:
			l.task.finish(endRefused)
		default:
			l.group = m.serving
			l.group.add(l.task)
		}
	})
	n.after(forward.CheckPeriod, func() { n.check(c, l) })
	return nil
}

// passOn delivers an event.
func (n *node) passOn(c *call, l *leg, written int) {
	if !n.alive {
		return
	}
	n.board.Progressed(l.host.ID, n.time())
	if c.over || c.leg != l {
		return
	}
	l.progress = n.now
	l.events++
	c.sent = true
	if written > c.written {
		c.written = written
		n.after(n.sheet.Run.CallerDelay, c.event)
	}
}

// endLeg ends the present attempt of a call.
func (n *node) endLeg(c *call, outcome place.Outcome) {
	if l := c.leg; l != nil {
		n.board.Ended(l.host.ID, outcome, n.now-l.started, n.time())
		l.task.gone = true
		c.leg = nil
	}
	n.serveQueue()
}

// ended handles the end of an attempt at the engine.
func (n *node) ended(c *call, l *leg, e ending) {
	if !n.alive || c.over || c.leg != l {
		return
	}
	if e == endComplete {
		n.endLeg(c, place.OutcomeAnswered)
		n.finish(c, c.completed)
		return
	}
	outcome := place.OutcomeFailed
	if e == endRefused {
		outcome = place.OutcomeRefused
	} else {
		c.sent = true
	}
	n.endLeg(c, outcome)
	if n.mayRetry(c) {
		if none := n.start(c); none == nil {
			return
		}
	}
	if c.sent {
		n.finish(c, c.cut)
		return
	}
	n.refuse(c, &place.Refusal{})
}

func (n *node) mayRetry(c *call) bool {
	now := n.time()
	policy := n.budget.Part(n.board.LiveNodes(now), c.kind.MaxAttempts)
	if n.policy.home {
		policy = n.budget.Part(n.sheet.Run.Nodes, c.kind.MaxAttempts)
	}
	return n.retries.Allow(retry.Attempt{Rank: serviceName, Policy: policy, Made: len(c.tried), Idempotent: true}, now)
}

// check looks for silence while the attempt lasts.
func (n *node) check(c *call, l *leg) {
	if c.over || c.leg != l || !n.alive {
		return
	}
	n.after(forward.CheckPeriod, func() { n.check(c, l) })
	if !n.policy.moves {
		return
	}
	silent := place.Silent{Own: n.now - l.progress, Began: l.events > 0, Suspected: n.board.Suspected(l.host.ID, n.time())}
	silent.Group = silent.Own
	if at := n.board.Progress(l.host.ID); !at.IsZero() {
		silent.Group = min(silent.Own, n.time().Sub(at))
	}
	engine := n.service.Engine
	suspect, move := place.EngineSilence(engine, engine.Model(c.kind.Model), c.prompt).Judge(silent)
	if suspect {
		n.board.Suspect(l.host.ID, n.time())
	}
	if move {
		n.move(c)
	}
}

// move goes on at another group from the last event that the caller has.
func (n *node) move(c *call) {
	if n.now < c.nextMove || len(c.tried) >= c.kind.MaxAttempts {
		return
	}
	c.nextMove = n.now + forward.MoveRetryPause
	if !n.mayRetry(c) {
		return
	}
	old := c.leg
	if none := n.start(c); none != nil {
		n.retries.Refund(serviceName, n.time())
		return
	}
	old.task.gone = true
	n.board.Ended(old.host.ID, place.OutcomeAbandoned, n.now-old.started, n.time())
	n.result.Moves++
}

// leave ends a call whose caller has gone.
func (n *node) leave(c *call) {
	if !c.over {
		c.over = true
		delete(n.calls, c)
		n.endLeg(c, place.OutcomeAbandoned)
	}
}

// serveQueue starts queued calls, the most urgent first, and refuses those that
// have waited too long.
func (n *node) serveQueue() {
	if len(n.queue) == 0 {
		return
	}
	n.queue = slices.DeleteFunc(n.queue, func(c *call) bool { return c.over })
	slices.SortStableFunc(n.queue, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.kind.Rank, b.kind.Rank), cmp.Compare(a.queued, b.queued))
	})
	waiting := n.queue
	n.queue = nil
	for _, c := range waiting {
		none := n.start(c)
		switch {
		case none == nil:
		case n.now-c.queued >= n.policy.queueTime:
			n.refuse(c, none)
		default:
			n.queue = append(n.queue, c)
		}
	}
}

// kill ends the node's process; the callers' connections break.
func (n *node) kill(back time.Duration) {
	n.alive = false
	for c := range n.calls {
		if c.leg != nil {
			c.leg.task.gone = true
			c.leg = nil
		}
	}
	broken := make([]*call, 0, len(n.calls))
	for c := range n.calls {
		broken = append(broken, c)
	}
	slices.SortFunc(broken, func(a, b *call) int { return cmp.Compare(a.due, b.due) })
	for _, c := range broken {
		n.finish(c, c.cut)
	}
	n.queue = nil
	n.board = n.play.newBoard()
	if back > 0 {
		n.after(back, func() { n.alive = true })
	}
}

// exchange tells each node the loads and suspicions of the others.
func (p *play) exchange() {
	for _, from := range p.nodes {
		if !from.alive {
			continue
		}
		counts, suspects := from.board.InFlight(), from.board.Suspects(p.time())
		slices.Sort(suspects)
		for _, to := range p.nodes {
			if to != from && to.alive && to.board != from.board {
				p.after(p.sheet.Run.LinkDelay, func() { to.board.Merge(from.name, counts, 1, suspects, p.time()) })
			}
		}
		from.serveQueue()
	}
}

func nodeName(i int) string { return fmt.Sprintf("node%d", i) }
