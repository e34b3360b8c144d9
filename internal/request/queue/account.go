package queue

import (
	"container/heap"
	"container/list"
)

// maxCreditRequests limits the credit that an account gains over others while
// it is idle or when its estimates were too high, in requests of mean cost.
const maxCreditRequests = 4

// account is one client account's queue inside a rank.
type account struct {
	name string
	// resumed holds the resumed requests, which start first, and fresh the
	// others. The elements are of type *item.
	resumed, fresh list.List
	// queuedTokens is the estimated cost of the items that are not parked.
	queuedTokens int64
	// parked is the number of items that avoid every free group.
	parked  int
	running int
	// virtualStart is the virtual time at which the account's next item starts.
	virtualStart int64
	// backlogID identifies the backlog of the rank for which virtualStart is
	// valid.
	backlogID int
	// startIndex and sizeIndex are positions in heaps; startIndex is -1 while
	// the account has nothing to start.
	startIndex int
	sizeIndex  int
}

// startable is the number of queued items that are not parked.
func (a *account) startable() int { return a.resumed.Len() + a.fresh.Len() }

func (a *account) queued() int { return a.startable() + a.parked }

// head returns the item that the account starts next, or nil.
func (a *account) head() *item {
	if e := a.resumed.Front(); e != nil {
		return e.Value.(*item)
	}
	if e := a.fresh.Front(); e != nil {
		return e.Value.(*item)
	}
	return nil
}

// queueFor returns the list that the item belongs to.
func (a *account) queueFor(it *item) *list.List {
	if it.Resumed {
		return &a.resumed
	}
	return &a.fresh
}

// sizeHeap orders accounts by the number of fresh queued items, the largest
// first.
type sizeHeap []*account

func (h sizeHeap) Len() int { return len(h) }
func (h sizeHeap) Less(i, j int) bool {
	if h[i].fresh.Len() != h[j].fresh.Len() {
		return h[i].fresh.Len() > h[j].fresh.Len()
	}
	return h[i].name < h[j].name
}
func (h sizeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].sizeIndex = i
	h[j].sizeIndex = j
}

// Push implements heap.Interface.
func (h *sizeHeap) Push(x any) {
	a := x.(*account)
	a.sizeIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *sizeHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return a
}

// fix restores the heap order after the queue of a has changed.
func (h *sizeHeap) fix(a *account) { heap.Fix(h, a.sizeIndex) }

// startHeap orders accounts with something to start by the virtual time of
// their next start.
type startHeap []*account

func (h startHeap) Len() int { return len(h) }
func (h startHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].name < h[j].name
}
func (h startHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].startIndex = i
	h[j].startIndex = j
}

// Push implements heap.Interface.
func (h *startHeap) Push(x any) {
	a := x.(*account)
	a.startIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *startHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.startIndex = -1
	return a
}

// fairQueue shares a rank's tokens among its accounts by start-time fair
// queueing. Virtual time counts the tokens of the requests that each backlogged
// account has started. An account that was idle for long starts creditTokens
// before the current virtual time and so ahead of the backlogged ones.
type fairQueue struct {
	byStart     startHeap
	virtualTime int64
	// creditTokens is how far before the virtual time an account may start.
	creditTokens int64
}

// next returns the account that starts its next item first, or nil.
func (q *fairQueue) next() *account {
	if len(q.byStart) == 0 {
		return nil
	}
	return q.byStart[0]
}

// earliestStart is the virtual time at which an account without recent requests
// starts.
func (q *fairQueue) earliestStart() int64 { return q.virtualTime - q.creditTokens }

// update adds the account if it has something to start, and removes it if not.
func (q *fairQueue) update(a *account) {
	switch waiting := a.startable() > 0; {
	case waiting && a.startIndex < 0:
		a.virtualStart = max(a.virtualStart, q.earliestStart())
		heap.Push(&q.byStart, a)
	case !waiting && a.startIndex >= 0:
		heap.Remove(&q.byStart, a.startIndex)
	}
}

// charge advances the virtual time to the account's start and charges the
// tokens of the item that it starts.
func (q *fairQueue) charge(a *account, tokens int64) {
	q.virtualTime = max(q.virtualTime, a.virtualStart)
	q.adjust(a, tokens)
}

// adjust charges tokens, or refunds them if tokens is negative. A refund does
// not move the account before earliestStart.
func (q *fairQueue) adjust(a *account, tokens int64) {
	if tokens < 0 {
		tokens = max(tokens, min(q.earliestStart()-a.virtualStart, 0))
	}
	a.virtualStart += tokens
	if a.startIndex >= 0 {
		heap.Fix(&q.byStart, a.startIndex)
	}
}

// maxScannedAccounts limits the accounts that tokensBefore visits.
const maxScannedAccounts = 64

// tokensBefore estimates the queued tokens of other accounts that start before
// the virtual time start. meanCost is the mean cost of a request in tokens.
func (q *fairQueue) tokensBefore(own *account, start, meanCost int64) int64 {
	scan := backlogScan{own: own, start: start, meanCost: meanCost, remaining: maxScannedAccounts}
	scan.visit(q.byStart, 0)
	return scan.tokens
}

// backlogScan sums the tokens for tokensBefore.
type backlogScan struct {
	own             *account
	start, meanCost int64
	remaining       int
	tokens          int64
}

// visit adds the tokens of the subtree at index i. It descends only below
// accounts that start at s.start or earlier.
func (s *backlogScan) visit(h startHeap, i int) {
	if i >= len(h) || h[i].virtualStart > s.start || s.remaining == 0 {
		return
	}
	s.remaining--
	if a := h[i]; a != s.own {
		s.tokens += min(a.queuedTokens, s.start-a.virtualStart+s.meanCost)
	}
	s.visit(h, 2*i+1)
	s.visit(h, 2*i+2)
}
