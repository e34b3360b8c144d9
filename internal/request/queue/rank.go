package queue

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

// averageWeight is the weight of the newest sample in moving averages.
const averageWeight = 1.0 / 16

// minSweep is the least number of accounts at which idle ones are forgotten.
const minSweep = 256

// average is an exponential moving average; it is 0 before the first sample.
type average struct{ value float64 }

func (a *average) add(sample float64) {
	if a.value == 0 {
		a.value = sample
		return
	}
	a.value += averageWeight * (sample - a.value)
}

// rankState is one rank's queue, running requests and measurements.
type rankState struct {
	Rank
	// declared is false once SetRanks no longer names the rank.
	declared bool
	turns    turns
	accounts map[string]*account
	sizes    sizeHeap
	// sweepAt is the number of accounts at which idle ones are forgotten.
	sweepAt int
	// arrivals holds all queued items in order of arrival.
	arrivals list.List
	// parked is the number of queued items that avoid every free group.
	parked       int
	queuedTokens int64
	// backlogSince is when the queue last became non-empty.
	backlogSince time.Time
	// backlog numbers the backlogs.
	backlog int

	// running holds running items in order of start.
	running    list.List
	preempting int

	window window
	// busy counts the time of running requests that window covers, in
	// nanoseconds.
	busy window
	// cost is the mean estimate, in tokens.
	cost average
	// service is the mean time of a run, in seconds.
	service average
	// endedCost is the mean estimate of the runs in service, in tokens.
	endedCost average
}

func newRankState() *rankState {
	return &rankState{accounts: map[string]*account{}, sweepAt: minSweep}
}

// retire puts the rank behind all others, for one that is no longer declared.
func (r *rankState) retire() {
	r.declared = false
	r.Priority = math.MaxInt
	r.FloorShare = 0
	r.Preemptible = false
}

func (r *rankState) queued() int       { return r.arrivals.Len() }
func (r *rankState) dispatchable() int { return r.queued() - r.parked }
func (r *rankState) idle() bool        { return r.queued() == 0 && r.running.Len() == 0 }

// account returns the named account, adding it where needed.
func (r *rankState) account(name string) *account {
	if a := r.accounts[name]; a != nil {
		return a
	}
	if len(r.accounts) >= r.sweepAt {
		r.sweep()
	}
	a := &account{name: name, turnIndex: -1}
	r.accounts[name] = a
	heap.Push(&r.sizes, a)
	return a
}

// sweep forgets accounts without requests that are not ahead of others.
func (r *rankState) sweep() {
	for name, a := range r.accounts {
		if a.queued() > 0 || a.running > 0 || (a.backlog == r.backlog && a.start > r.turns.earliest()) {
			continue
		}
		heap.Remove(&r.sizes, a.sizeIndex)
		delete(r.accounts, name)
	}
	r.sweepAt = max(2*len(r.accounts), minSweep)
}

// enqueue adds a new item at the end of its account's queue.
func (r *rankState) enqueue(it *item, now time.Time) {
	if r.queued() == 0 {
		r.startBacklog(now)
	}
	r.cost.add(float64(it.CostTokens))
	r.turns.credit = maxCreditRequests * int64(r.cost.value)
	it.rankElement = r.arrivals.PushBack(it)
	r.queuedTokens += it.CostTokens
	a := r.account(it.Account)
	it.account = a
	it.accountElement = a.list(it).PushBack(it)
	r.linked(it)
}

// startBacklog begins a backlog: what accounts had before is forgotten.
func (r *rankState) startBacklog(now time.Time) {
	r.backlogSince = now
	r.backlog++
	r.turns.virtual = 0
}

// linked accounts an item that was put into its account's queue.
func (r *rankState) linked(it *item) {
	a := it.account
	if a.backlog != r.backlog {
		a.backlog = r.backlog
		a.start = r.turns.earliest()
	}
	a.queuedTokens += it.CostTokens
	r.sizes.fixSize(a)
	r.turns.update(a)
}

// dequeue removes a queued item, parked or not.
func (r *rankState) dequeue(it *item) {
	r.arrivals.Remove(it.rankElement)
	it.rankElement = nil
	r.queuedTokens -= it.CostTokens
	if it.parked {
		r.setParked(it, false)
		return
	}
	r.unlink(it)
}

// unlink removes an item from its account's queue.
func (r *rankState) unlink(it *item) {
	a := it.account
	a.list(it).Remove(it.accountElement)
	it.accountElement = nil
	a.queuedTokens -= it.CostTokens
	r.sizes.fixSize(a)
	r.turns.update(a)
}

// park sets aside an item that avoids every free group.
func (r *rankState) park(it *item) {
	r.unlink(it)
	r.setParked(it, true)
}

func (r *rankState) setParked(it *item, parked bool) {
	change := 1
	if !parked {
		change = -1
	}
	it.parked = parked
	it.account.parked += change
	r.parked += change
}

// unpark puts an item back in front of its account's queue.
func (r *rankState) unpark(it *item) {
	r.setParked(it, false)
	it.accountElement = it.account.list(it).PushFront(it)
	r.linked(it)
}

// head returns the item that the rank starts next, or nil.
func (r *rankState) head() *item {
	a := r.turns.next()
	if a == nil {
		return nil
	}
	return a.head()
}

// start accounts an item as running.
func (r *rankState) start(it *item, now time.Time) {
	r.turns.charge(it.account, it.CostTokens)
	r.dequeue(it)
	it.account.running++
	it.backlog = r.backlog
	it.charged = it.CostTokens
	it.started = now
	it.accounted = now
	it.runElement = r.running.PushBack(it)
}

// use accounts tokens of a running item.
func (r *rankState) use(it *item, tokens int64, now time.Time) {
	r.window.add(tokens, it.accounted, now)
	r.busy.add(int64(now.Sub(it.accounted)), it.accounted, now)
	it.accounted = now
	it.used += tokens
	if extra := it.used - it.charged; extra > 0 {
		r.settle(it, extra)
		it.charged = it.used
	}
}

// settle corrects what the item's account was charged, while the backlog in
// which the item started goes on.
func (r *rankState) settle(it *item, tokens int64) {
	if it.backlog == r.backlog && it.account.backlog == r.backlog {
		r.turns.settle(it.account, tokens)
	}
}

// finish settles a running item and removes it.
func (r *rankState) finish(it *item, now time.Time) {
	r.running.Remove(it.runElement)
	it.runElement = nil
	if spare := it.charged - it.used; spare > 0 {
		r.settle(it, -spare)
	}
	it.account.running--
	if it.preempting {
		r.preempting--
		return
	}
	r.service.add(now.Sub(it.started).Seconds())
	r.endedCost.add(float64(it.CostTokens))
}

// largest returns the account with the most fresh queued items, or nil.
func (r *rankState) largest() *account {
	if len(r.sizes) == 0 {
		return nil
	}
	return r.sizes[0]
}
