package queue

import (
	"container/heap"
	"container/list"
	"math"
)

const (
	// maxCreditQuanta bounds, in quanta, what an account may gain by
	// estimates that were too high.
	maxCreditQuanta = 4
	// maxQuantumDrift is the factor by which the mean cost may depart from
	// the quantum. Accounts whose turns see different quanta drift apart, so
	// the quantum seldom changes.
	maxQuantumDrift = 4
)

// account is one client account's queue inside a rank.
type account struct {
	name string
	// resumed and fresh hold *item; resumed goes first.
	resumed, fresh list.List
	// queuedTokens is the estimated cost of all queued items.
	queuedTokens int64
	// deficit is the number of tokens that the account may still start in
	// this round; a request may overdraw it.
	deficit int64
	// ringElement is the position in the ring, nil while outside; inNew tells
	// in which ring.
	ringElement *list.Element
	inNew       bool
	running     int
	// parked is the number of items that avoid every free group.
	parked    int
	sizeIndex int
}

func (a *account) queued() int { return a.resumed.Len() + a.fresh.Len() + a.parked }

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

// ring is a deficit round robin over accounts. An account that becomes
// active starts in the new list, which goes first, and moves to the old list
// once it has used one quantum.
type ring struct {
	fresh, old list.List
	// quantum is the number of tokens that an account gains in a round.
	quantum int64
}

// adjust sets the quantum where the mean cost has departed from it.
func (r *ring) adjust(meanCost int64) {
	if meanCost > r.quantum*maxQuantumDrift || meanCost*maxQuantumDrift < r.quantum {
		r.quantum = meanCost
	}
}

// active returns the number of accounts in the ring.
func (r *ring) active() int { return r.fresh.Len() + r.old.Len() }

// activate adds an account that has got work.
func (r *ring) activate(a *account) {
	if a.ringElement != nil {
		return
	}
	a.deficit = r.quantum
	a.inNew = true
	a.ringElement = r.fresh.PushBack(a)
}

// deactivate removes an account from the ring.
func (r *ring) deactivate(a *account) {
	if a.inNew {
		r.fresh.Remove(a.ringElement)
	} else {
		r.old.Remove(a.ringElement)
	}
	a.ringElement = nil
	a.inNew = false
	a.deficit = 0
}

// rotate moves an account to the end of the old list.
func (r *ring) rotate(a *account) {
	if a.inNew {
		r.fresh.Remove(a.ringElement)
		a.inNew = false
		a.ringElement = r.old.PushBack(a)
		return
	}
	r.old.MoveToBack(a.ringElement)
}

// front returns the account whose turn it is, or nil.
func (r *ring) front() *account {
	if e := r.fresh.Front(); e != nil {
		return e.Value.(*account)
	}
	if e := r.old.Front(); e != nil {
		return e.Value.(*account)
	}
	return nil
}

// next returns the account that may start its head item, or nil. Accounts
// that have neither work nor debt leave the ring and are passed to left.
func (r *ring) next(left func(*account)) *account {
	for turns := 0; ; turns++ {
		a := r.front()
		switch {
		case a == nil:
			return nil
		case a.deficit <= 0 && turns > 2*r.active():
			r.skipRounds()
			turns = 0
		case a.deficit <= 0:
			a.deficit += r.quantum
			r.rotate(a)
		case a.head() != nil:
			return a
		case a.inNew:
			r.rotate(a)
		default:
			r.deactivate(a)
			left(a)
		}
	}
}

// skipRounds adds the rounds at once in which no account could start.
func (r *ring) skipRounds() {
	rounds := int64(math.MaxInt64)
	for e := r.old.Front(); e != nil; e = e.Next() {
		debt := max(-e.Value.(*account).deficit, 0)
		rounds = min(rounds, debt/r.quantum)
	}
	for e := r.old.Front(); e != nil; e = e.Next() {
		e.Value.(*account).deficit += rounds * r.quantum
	}
}

// settle charges tokens beyond what the account was charged before, or gives
// them back where tokens is negative. An account in debt stays in the ring
// until it has paid.
func (r *ring) settle(a *account, tokens int64) {
	a.deficit = min(a.deficit-tokens, maxCreditQuanta*r.quantum)
	if a.ringElement == nil && a.deficit < 0 {
		a.ringElement = r.old.PushBack(a)
	}
}

// fixSize restores the order of sizes after a's queue has changed.
func (h *sizeHeap) fixSize(a *account) { heap.Fix(h, a.sizeIndex) }
