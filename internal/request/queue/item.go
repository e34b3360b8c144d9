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

	// Positions while queued; nil otherwise. accountElement is nil while the
	// item is parked.
	accountElement *list.Element
	rankElement    *list.Element
	deadlineIndex  int
	parked         bool

	// State while running.
	group       *groupState
	runElement  *list.Element
	started     time.Time
	accounted   time.Time // up to here used was spread over the window
	used        int64     // tokens reported
	charged     int64     // tokens charged to the account
	backlog     int       // number of the rank's backlog at the start
	preempting  bool
	preemptedAt time.Time
	hit         int
	reason      Reason
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

// add tracks the deadline of an item that has one.
func (h *deadlineHeap) add(it *item) {
	it.deadlineIndex = -1
	if !it.Deadline.IsZero() {
		heap.Push(h, it)
	}
}

// drop forgets an item.
func (h *deadlineHeap) drop(it *item) {
	if it.deadlineIndex >= 0 {
		heap.Remove(h, it.deadlineIndex)
	}
}
