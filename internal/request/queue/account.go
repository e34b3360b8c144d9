package queue

import (
	"container/heap"
	"container/list"
)

// maxCreditRequests bounds, in requests of mean cost, how far an account may
// get ahead of others by estimates that were too high or by absence.
const maxCreditRequests = 4

// account is one client account's queue inside a rank.
type account struct {
	name string
	// resumed and fresh hold *item; resumed goes first.
	resumed, fresh list.List
	// queuedTokens is the estimated cost of the items that are not parked.
	queuedTokens int64
	// parked is the number of items that avoid every free group.
	parked  int
	running int
	// start is the virtual time at which the account's next item starts.
	start int64
	// backlog numbers the backlog of the rank that start belongs to.
	backlog int
	// turnIndex and sizeIndex are positions in heaps; turnIndex is -1 while
	// the account has nothing to start.
	turnIndex int
	sizeIndex int
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

// list returns the list that holds the item.
func (a *account) list(it *item) *list.List {
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

// fixSize restores the order of sizes after a's queue has changed.
func (h *sizeHeap) fixSize(a *account) { heap.Fix(h, a.sizeIndex) }

// turnHeap orders accounts with something to start by the virtual time of
// their next start.
type turnHeap []*account

func (h turnHeap) Len() int { return len(h) }
func (h turnHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].name < h[j].name
}
func (h turnHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].turnIndex = i
	h[j].turnIndex = j
}

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) {
	a := x.(*account)
	a.turnIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.turnIndex = -1
	return a
}

// turns shares a rank's tokens among its accounts by start-time fair
// queueing. Virtual time counts the tokens that each account in backlog has
// started; an account that was away for long starts behind the present virtual
// time, before those in backlog.
type turns struct {
	order   turnHeap
	virtual int64
	// credit is how far behind the virtual time an account may start, in
	// tokens.
	credit int64
}

// next returns the account whose turn it is, or nil.
func (t *turns) next() *account {
	if len(t.order) == 0 {
		return nil
	}
	return t.order[0]
}

// earliest is the virtual time at which an account without recent requests
// starts.
func (t *turns) earliest() int64 { return t.virtual - t.credit }

// update takes an account in or out as it has something to start or not.
func (t *turns) update(a *account) {
	switch waiting := a.startable() > 0; {
	case waiting && a.turnIndex < 0:
		a.start = max(a.start, t.earliest())
		heap.Push(&t.order, a)
	case !waiting && a.turnIndex >= 0:
		heap.Remove(&t.order, a.turnIndex)
	}
}

// charge accounts the tokens of an item that the account starts now.
func (t *turns) charge(a *account, tokens int64) {
	t.virtual = max(t.virtual, a.start)
	t.settle(a, tokens)
}

// settle charges tokens, or gives them back where tokens is negative.
func (t *turns) settle(a *account, tokens int64) {
	if tokens < 0 {
		tokens = max(tokens, min(t.earliest()-a.start, 0))
	}
	a.start += tokens
	if a.turnIndex >= 0 {
		heap.Fix(&t.order, a.turnIndex)
	}
}

// maxAheadScan bounds the accounts looked at by ahead.
const maxAheadScan = 64

// ahead estimates the tokens of other accounts that start before the virtual
// time start. meanCost is the mean cost of a request.
func (t *turns) ahead(own *account, start, meanCost int64) int64 {
	scan := aheadScan{own: own, start: start, meanCost: meanCost, left: maxAheadScan}
	scan.visit(t.order, 0)
	return scan.tokens
}

type aheadScan struct {
	own             *account
	start, meanCost int64
	left            int
	tokens          int64
}

// visit adds the tokens of the subtree at index i. It descends only below
// accounts that start in time.
func (s *aheadScan) visit(h turnHeap, i int) {
	if i >= len(h) || h[i].start > s.start || s.left == 0 {
		return
	}
	s.left--
	if a := h[i]; a != s.own {
		s.tokens += min(a.queuedTokens, s.start-a.start+s.meanCost)
	}
	s.visit(h, 2*i+1)
	s.visit(h, 2*i+2)
}
