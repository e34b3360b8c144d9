package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/admission"
	"currantladder.example/currantladder/internal/request/coordinate"
	"currantladder.example/currantladder/internal/request/forward"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/request/retry"
	"currantladder.example/currantladder/internal/version/fleet"
)

// node is an entry node. It decides with the board, stall thresholds and retry
// budget of the product, unless the policy replaces them.
type node struct {
	*simulation
	name    string
	board   *place.Board
	retries *retry.Budget
	view    *fleet.View
	alive   bool
	// poisonTracker finds prompt parts that crash hosts.
	poisonTracker *poison.Tracker
	calls         map[*call]bool
	coordination  *coordination
	// queue holds calls for which no group has room, under policies that queue.
	queue []*call
}

// call is a request that a caller has sent to a node.
type call struct {
	node         *node
	kind         *KindSheet
	promptTokens int
	answerTokens int
	// deliveredTokens is the number of answer tokens sent on to the caller.
	deliveredTokens int
	deadline        time.Duration
	queuedAt        time.Duration
	triedHosts      []string
	// preferredHost is the choice of the coordinator for the first attempt.
	preferredHost string
	attempt       *attempt
	done          bool
	account       string
	// receivedAt is when the node got the call. judged is true once the node has counted
	// it as on time or not; firstEventAt and lastEventAt are 0 before the first event.
	receivedAt, firstEventAt, lastEventAt time.Duration
	judged                                bool
	// mayHaveRun is true once an engine may have started the call.
	mayHaveRun bool
	nextMoveAt time.Duration
	// identity is what the request shares with others. crashes is true if it crashes
	// the hosts that begin to answer it; the node does not know that. isTrial is true
	// if it tries a convicted part.
	identity poison.Request
	crashes  bool
	isTrial  bool
	// onEvent, onRefused, onAborted and onCompleted run at the caller.
	onEvent     func()
	onRefused   func(retryAfter time.Duration, promised bool)
	onAborted   func()
	onCompleted func()
}

// attempt is the part of a call that runs at one group. A retried or moved call
// has several, one after the other.
type attempt struct {
	host        *fleet.Host
	group       *group
	task        *task
	startedAt   time.Duration
	lastEventAt time.Duration
	events      int
	// beganAt is when the first event came. beganWell is true once the host went on
	// working after it.
	beganAt   time.Duration
	beganWell bool
	// use counts the attempt for the coordinators; it may be nil.
	use *coordinate.Use
}

// hostDelay is the one-way delay between the node and a host. Under a shared
// board the hop between nodes adds a second link delay.
func (n *node) hostDelay() time.Duration {
	if n.policy.sharedBoard {
		return 2 * n.sheet.Run.LinkDelay
	}
	return n.sheet.Run.LinkDelay
}

func (n *node) serve(c *call) {
	if !n.alive {
		c.onAborted()
		return
	}
	n.calls[c] = true
	c.receivedAt = n.now
	if n.refusesPoison(c) {
		return
	}
	n.retries.RecordFirstAttempt(serviceName, n.time())
	if !n.coordinated {
		n.startOrRefuse(c)
		return
	}
	n.askCoordinator(c, func(preferred string, full bool) {
		if full {
			n.refuse(c, n.board.RetryAfter(n.view, c.query(n.service), n.time()))
			return
		}
		c.preferredHost = preferred
		n.startOrRefuse(c)
		c.preferredHost = ""
	})
}

// startOrRefuse starts the first attempt of a call, or queues or refuses the call.
func (n *node) startOrRefuse(c *call) {
	refusal := n.startAttempt(c)
	if refusal == nil {
		return
	}
	if n.policy.queueTimeout > 0 && refusal.Candidates > 0 {
		c.queuedAt = n.now
		n.queue = append(n.queue, c)
		return
	}
	n.refuse(c, refusal)
}

func (n *node) refuse(c *call, refusal *place.Refusal) {
	retryAfter := refusal.RetryAfter
	if refusal.Candidates == 0 {
		retryAfter = forward.NoEndpointRetryAfter
	}
	n.judge(c, false)
	n.finish(c, func() { c.onRefused(retryAfter, refusal.Promised) })
}

// judge counts a call for admission as on time or not, once.
func (n *node) judge(c *call, onTime bool) {
	if !c.judged {
		c.judged = true
		n.board.Admission().Ended(admission.Model{Service: serviceName, Name: c.kind.Model}, c.kind.Rank, onTime, n.time())
	}
}

// judgeEvent counts a call as late when an event comes after its target.
func (n *node) judgeEvent(c *call) {
	if c.firstEventAt == 0 {
		c.firstEventAt, c.lastEventAt = n.now, n.now
		if n.now-c.receivedAt > c.kind.FirstEventTarget {
			n.judge(c, false)
		}
		return
	}
	if c.kind.EventGapTarget > 0 && n.now-c.lastEventAt > c.kind.EventGapTarget {
		n.judge(c, false)
	}
	c.lastEventAt = n.now
}

// finish ends a call. notify runs after the delay of the link to the caller.
func (n *node) finish(c *call, notify func()) {
	if c.done {
		return
	}
	c.done = true
	delete(n.calls, c)
	n.after(n.sheet.Run.CallerDelay, notify)
}

func (c *call) query(service *fleet.Service) place.Query {
	return place.Query{Service: service, Model: c.kind.Model, Rank: c.kind.Rank, Exclude: c.triedHosts, Preferred: c.preferredHost, Account: c.account, TimeLeft: c.deadline - c.node.now}
}

// startAttempt chooses a group for a call and sends the call to it.
func (n *node) startAttempt(c *call) *place.Refusal {
	choice, refusal := n.policy.choose(n, c.query(n.service))
	if refusal != nil {
		return refusal
	}
	c.triedHosts = append(c.triedHosts, choice.Host.ID)
	priority := 0
	if n.policy.sendsRank {
		priority = c.kind.Rank
	}
	a := &attempt{host: choice.Host, startedAt: n.now, lastEventAt: n.now, use: n.begin(c, choice.Host)}
	c.attempt = a
	a.task = &task{promptTokens: c.promptTokens, answerTokens: c.answerTokens, generatedTokens: c.deliveredTokens, priority: priority, crashes: c.crashes}
	a.task.onTokens = func(generatedTokens int) { n.after(n.hostDelay(), func() { n.deliverEvent(c, a, generatedTokens) }) }
	a.task.onEnd = func(outcome taskOutcome) { n.after(n.hostDelay(), func() { n.handleTaskEnd(c, a, outcome) }) }
	n.after(n.hostDelay(), func() {
		h := n.hosts.byID[a.host.ID]
		switch {
		case !h.alive && h.refusesConnections:
			a.task.finish(taskRefused)
		case !h.alive: // no answer: checkSilence detects it
		case h.servingGroup == nil || h.host.Group.Name != a.host.Group.Name:
			a.task.finish(taskRefused)
		default:
			n.recordArrival(c)
			h.recordLimited(n.now)
			a.group = h.servingGroup
			a.group.enqueue(a.task)
		}
	})
	n.after(forward.StallCheckInterval, func() { n.checkSilence(c, a) })
	return nil
}

// deliverEvent handles an event of an attempt and sends new tokens to the caller.
func (n *node) deliverEvent(c *call, a *attempt, generatedTokens int) {
	if !n.alive {
		return
	}
	n.board.Progressed(a.host.ID, n.time())
	if c.done || c.attempt != a {
		return
	}
	a.lastEventAt = n.now
	a.events++
	a.use.Event(n.time())
	if a.events == 1 {
		n.observeRateLimit(a)
		a.beganAt = n.now
	}
	n.recordBegan(c, a)
	c.mayHaveRun = true
	if generatedTokens > c.deliveredTokens {
		c.deliveredTokens = generatedTokens
		n.judgeEvent(c)
		n.after(n.sheet.Run.CallerDelay, c.onEvent)
	}
}

// endAttempt ends the current attempt of a call.
func (n *node) endAttempt(c *call, outcome place.Outcome) {
	if a := c.attempt; a != nil {
		n.board.Ended(a.host.ID, outcome, n.now-a.startedAt, n.time())
		a.use.End()
		a.task.done = true
		c.attempt = nil
	}
	n.serveQueue()
}

// handleTaskEnd handles the end of an attempt at the engine. A failed or refused
// attempt is retried if the retry budget allows it and another group has room.
func (n *node) handleTaskEnd(c *call, a *attempt, taskEnd taskOutcome) {
	if !n.alive || c.done || c.attempt != a {
		return
	}
	if taskEnd == taskCompleted {
		n.endAttempt(c, place.OutcomeAnswered)
		n.judge(c, true)
		n.finish(c, c.onCompleted)
		return
	}
	outcome := place.OutcomeFailed
	if taskEnd == taskRefused {
		outcome = place.OutcomeRefused
	} else {
		c.mayHaveRun = true
	}
	n.endAttempt(c, outcome)
	if taskEnd == taskAborted {
		n.recordCrash(c, a)
		if c.done {
			return
		}
	}
	if n.mayRetry(c) {
		if refusal := n.startAttempt(c); refusal == nil {
			return
		}
	}
	if c.mayHaveRun {
		n.finish(c, c.onAborted)
		return
	}
	n.refuse(c, &place.Refusal{})
}

func (n *node) mayRetry(c *call) bool {
	now := n.time()
	if n.policy.findsPoison && n.poisonTracker.Suspected(c.identity, now) {
		return false
	}
	policy := n.budget.NodePolicy(n.board.LiveNodes(now), c.kind.MaxAttempts)
	if n.policy.sharedBoard {
		policy = n.budget.NodePolicy(n.sheet.Run.Nodes, c.kind.MaxAttempts)
	}
	return n.retries.Allow(retry.Attempt{Rank: serviceName, Policy: policy, AttemptsMade: len(c.triedHosts), Idempotent: true}, now)
}

// checkSilence checks an attempt periodically. Under policies that move streams, it
// suspects the group and moves the stream when events do not come in time.
func (n *node) checkSilence(c *call, a *attempt) {
	if c.done || c.attempt != a || !n.alive {
		return
	}
	n.after(forward.StallCheckInterval, func() { n.checkSilence(c, a) })
	if !n.policy.movesStalledStreams {
		return
	}
	silent := place.SilentFor{Own: n.now - a.lastEventAt, Began: a.events > 0, Suspected: n.board.Suspected(a.host.ID, n.time())}
	silent.Group = silent.Own
	if at := n.board.Progress(a.host.ID); !at.IsZero() {
		silent.Group = min(silent.Own, n.time().Sub(at))
	}
	engine := n.service.Engine
	suspect, move := place.EngineStallThresholds(engine, engine.Model(c.kind.Model), c.promptTokens).Evaluate(silent)
	if suspect {
		n.board.Suspect(a.host.ID, n.time())
	}
	if move {
		n.move(c)
	}
}

// move resumes a stream at another group after the last delivered event.
func (n *node) move(c *call) {
	if n.now < c.nextMoveAt || len(c.triedHosts) >= c.kind.MaxAttempts {
		return
	}
	c.nextMoveAt = n.now + forward.MoveBackoff
	if !n.mayRetry(c) {
		return
	}
	old := c.attempt
	if refusal := n.startAttempt(c); refusal != nil {
		n.retries.Refund(serviceName, n.time())
		return
	}
	old.task.done = true
	n.board.Ended(old.host.ID, place.OutcomeAbandoned, n.now-old.startedAt, n.time())
	old.use.End()
	n.result.Moves++
}

// abandon ends a call whose caller has left.
func (n *node) abandon(c *call) {
	if !c.done {
		c.done = true
		delete(n.calls, c)
		n.endAttempt(c, place.OutcomeAbandoned)
	}
}

// serveQueue starts queued calls in order of rank and time, and refuses those that
// have waited for the queue timeout.
func (n *node) serveQueue() {
	if len(n.queue) == 0 {
		return
	}
	n.queue = slices.DeleteFunc(n.queue, func(c *call) bool { return c.done })
	slices.SortStableFunc(n.queue, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.kind.Rank, b.kind.Rank), cmp.Compare(a.queuedAt, b.queuedAt))
	})
	waiting := n.queue
	n.queue = nil
	for _, c := range waiting {
		refusal := n.startAttempt(c)
		switch {
		case refusal == nil:
		case n.now-c.queuedAt >= n.policy.queueTimeout:
			n.refuse(c, refusal)
		default:
			n.queue = append(n.queue, c)
		}
	}
}

// kill ends the process of the node, which breaks the connections of its callers.
// The node starts again after restartAfter, if that is above 0.
func (n *node) kill(restartAfter time.Duration) {
	n.alive = false
	for c := range n.calls {
		if c.attempt != nil {
			c.attempt.task.done = true
			c.attempt = nil
		}
	}
	aborted := make([]*call, 0, len(n.calls))
	for c := range n.calls {
		aborted = append(aborted, c)
	}
	slices.SortFunc(aborted, func(a, b *call) int { return cmp.Compare(a.deadline, b.deadline) })
	for _, c := range aborted {
		n.finish(c, c.onAborted)
	}
	n.queue = nil
	n.board, n.poisonTracker = n.simulation.newBoard(), poison.New()
	n.coordination = newCoordination(n)
	if restartAfter > 0 {
		n.after(restartAfter, func() { n.alive = true })
	}
}

func nodeName(i int) string { return fmt.Sprintf("node%d", i) }
