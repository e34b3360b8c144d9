package queue

import (
	"container/heap"
	"container/list"
	"time"
)

// item is a request while it is queued or running.
type item struct {
	Request
	rank    *rankState
	account *account
	arrived time.Time

	// Positions while queued; nil otherwise, or -1 for deadlineIndex.
	// accountElement is nil while the item is parked.
	accountElement *list.Element
	rankElement    *list.Element
	deadlineIndex  int
	parked         bool

	// State while running.
	group              *groupState
	runningElement     *list.Element
	started            time.Time
	usageRecordedUntil time.Time // end of the time already counted in the windows
	usedTokens         int64     // tokens reported in this run
	chargedTokens      int64     // tokens charged to the account
	backlogID          int       // the rank's backlogID when the run started
	preempting         bool
	preemptedAt        time.Time
	prefixHit          int
	startReason        Reason
}

// deadlineHeap orders queued items by deadline, the earliest first.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex = i
	h[j].deadlineIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.deadlineIndex = -1
	return it
}

// add adds an item that has a deadline.
func (h *deadlineHeap) add(it *item) {
	it.deadlineIndex = -1
	if !it.Deadline.IsZero() {
		heap.Push(h, it)
	}
}

// remove removes an item that has a deadline.
func (h *deadlineHeap) remove(it *item) {
	if it.deadlineIndex >= 0 {
		heap.Remove(h, it.deadlineIndex)
	}
}
