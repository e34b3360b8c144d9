package queue

import (
	"container/heap"
	"container/list"
	"math"
	"time"
)

// movingAverageWeight is the weight of the newest sample.
const movingAverageWeight = 1.0 / 16

// minCleanupThreshold is the minimum of rankState.cleanupThreshold.
const minCleanupThreshold = 256

// movingAverage is an exponential moving average; it is 0 before the first
// sample.
type movingAverage struct{ value float64 }

func (a *movingAverage) add(sample float64) {
	if a.value == 0 {
		a.value = sample
		return
	}
	a.value += movingAverageWeight * (sample - a.value)
}

// rankState is one rank's queue, running requests and statistics.
type rankState struct {
	Rank
	// declared is false once SetRanks no longer names the rank.
	declared       bool
	fairQueue      fairQueue
	accounts       map[string]*account
	accountsBySize sizeHeap
	// cleanupThreshold is the number of accounts at which idle ones are
	// removed.
	cleanupThreshold int
	// arrivals holds all queued items in order of arrival.
	arrivals list.List
	// parked is the number of queued items that avoid every free group.
	parked       int
	queuedTokens int64
	// backlogSince is when the queue last became non-empty.
	backlogSince time.Time
	// backlogID is the sequence number of the current or last backlog.
	backlogID int

	// running holds running items in order of start.
	running list.List
	// preempting is the number of running items that were preempted.
	preempting int

	tokenWindow slidingWindow
	// runTimeWindow sums the running time of the rank's requests, in
	// nanoseconds.
	runTimeWindow slidingWindow
	// meanCost is the mean estimate of offered requests, in tokens.
	meanCost movingAverage
	// meanServiceSeconds is the mean duration of finished runs.
	meanServiceSeconds movingAverage
	// meanFinishedCost is the mean estimate of finished runs, in tokens.
	meanFinishedCost movingAverage
}

func newRankState() *rankState {
	return &rankState{accounts: map[string]*account{}, cleanupThreshold: minCleanupThreshold}
}

// retire gives a rank that is no longer declared the lowest priority and no
// floor.
func (r *rankState) retire() {
	r.declared = false
	r.Priority = math.MaxInt
	r.FloorShare = 0
	r.Preemptible = false
}

func (r *rankState) queued() int    { return r.arrivals.Len() }
func (r *rankState) startable() int { return r.queued() - r.parked }
func (r *rankState) idle() bool     { return r.queued() == 0 && r.running.Len() == 0 }

// getOrAddAccount returns the named account, adding it if needed.
func (r *rankState) getOrAddAccount(name string) *account {
	if a := r.accounts[name]; a != nil {
		return a
	}
	if len(r.accounts) >= r.cleanupThreshold {
		r.removeIdleAccounts()
	}
	a := &account{name: name, startIndex: -1}
	r.accounts[name] = a
	heap.Push(&r.accountsBySize, a)
	return a
}

// removeIdleAccounts removes accounts without requests. It keeps those that would
// start later than a new account in the current backlog.
func (r *rankState) removeIdleAccounts() {
	for name, a := range r.accounts {
		if a.queued() > 0 || a.running > 0 || (a.backlogID == r.backlogID && a.virtualStart > r.fairQueue.earliestStart()) {
			continue
		}
		heap.Remove(&r.accountsBySize, a.sizeIndex)
		delete(r.accounts, name)
	}
	r.cleanupThreshold = max(2*len(r.accounts), minCleanupThreshold)
}

// enqueue adds a new item at the end of its account's queue.
func (r *rankState) enqueue(it *item, now time.Time) {
	if r.queued() == 0 {
		r.startBacklog(now)
	}
	r.meanCost.add(float64(it.CostTokens))
	r.fairQueue.creditTokens = maxCreditRequests * int64(r.meanCost.value)
	it.rankElement = r.arrivals.PushBack(it)
	r.queuedTokens += it.CostTokens
	a := r.getOrAddAccount(it.Account)
	it.account = a
	it.accountElement = a.queueFor(it).PushBack(it)
	r.itemAddedToAccount(it)
}

// startBacklog begins a new backlog. Tokens charged to accounts in earlier
// backlogs no longer count.
func (r *rankState) startBacklog(now time.Time) {
	r.backlogSince = now
	r.backlogID++
	r.fairQueue.virtualTime = 0
}

// itemAddedToAccount updates the account after an item was put into its queue.
func (r *rankState) itemAddedToAccount(it *item) {
	a := it.account
	if a.backlogID != r.backlogID {
		a.backlogID = r.backlogID
		a.virtualStart = r.fairQueue.earliestStart()
	}
	a.queuedTokens += it.CostTokens
	r.accountsBySize.fix(a)
	r.fairQueue.update(a)
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
	r.removeFromAccount(it)
}

// removeFromAccount removes an item from its account's queue.
func (r *rankState) removeFromAccount(it *item) {
	a := it.account
	a.queueFor(it).Remove(it.accountElement)
	it.accountElement = nil
	a.queuedTokens -= it.CostTokens
	r.accountsBySize.fix(a)
	r.fairQueue.update(a)
}

// park sets aside an item that avoids every free group.
func (r *rankState) park(it *item) {
	r.removeFromAccount(it)
	r.setParked(it, true)
}

func (r *rankState) setParked(it *item, parked bool) {
	delta := 1
	if !parked {
		delta = -1
	}
	it.parked = parked
	it.account.parked += delta
	r.parked += delta
}

// unpark puts an item back in front of its account's queue.
func (r *rankState) unpark(it *item) {
	r.setParked(it, false)
	it.accountElement = it.account.queueFor(it).PushFront(it)
	r.itemAddedToAccount(it)
}

// head returns the item that the rank starts next, or nil.
func (r *rankState) head() *item {
	a := r.fairQueue.next()
	if a == nil {
		return nil
	}
	return a.head()
}

// start moves an item from the queue to the running ones and charges its
// estimate.
func (r *rankState) start(it *item, now time.Time) {
	r.fairQueue.charge(it.account, it.CostTokens)
	r.dequeue(it)
	it.account.running++
	it.backlogID = r.backlogID
	it.chargedTokens = it.CostTokens
	it.started = now
	it.usageRecordedUntil = now
	it.runningElement = r.running.PushBack(it)
}

// recordUsage adds tokens of a running item to the windows, and charges its
// account for those above the estimate.
func (r *rankState) recordUsage(it *item, tokens int64, now time.Time) {
	r.tokenWindow.add(tokens, it.usageRecordedUntil, now)
	r.runTimeWindow.add(int64(now.Sub(it.usageRecordedUntil)), it.usageRecordedUntil, now)
	it.usageRecordedUntil = now
	it.usedTokens += tokens
	if extra := it.usedTokens - it.chargedTokens; extra > 0 {
		r.adjustCharge(it, extra)
		it.chargedTokens = it.usedTokens
	}
}

// adjustCharge corrects the charge of the item's account, but only if the
// backlog in which the item started is still the current one.
func (r *rankState) adjustCharge(it *item, tokens int64) {
	if it.backlogID == r.backlogID && it.account.backlogID == r.backlogID {
		r.fairQueue.adjust(it.account, tokens)
	}
}

// finish removes a running item and refunds the unused part of its estimate.
func (r *rankState) finish(it *item, now time.Time) {
	r.running.Remove(it.runningElement)
	it.runningElement = nil
	if unused := it.chargedTokens - it.usedTokens; unused > 0 {
		r.adjustCharge(it, -unused)
	}
	it.account.running--
	if it.preempting {
		r.preempting--
		return
	}
	r.meanServiceSeconds.add(now.Sub(it.started).Seconds())
	r.meanFinishedCost.add(float64(it.CostTokens))
}

// largestAccount returns the account with the most fresh queued items, or nil.
func (r *rankState) largestAccount() *account {
	if len(r.accountsBySize) == 0 {
		return nil
	}
	return r.accountsBySize[0]
}
