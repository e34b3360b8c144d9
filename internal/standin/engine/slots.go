package engine

import "container/heap"

// ticket is a place in the queue for slots.
type ticket struct {
	priority int
	seq      int
	index    int // position in the heap; -1 once granted
	granted  chan struct{}
}

// slotQueue grants slots by priority, lowest number first, then in order of
// arrival. It is not safe for concurrent use.
type slotQueue struct {
	freeSlots int
	seq       int
	waiting   ticketHeap
}

// enqueue adds a ticket and grants it at once if a slot is free.
func (q *slotQueue) enqueue(priority int) *ticket {
	q.seq++
	t := &ticket{priority: priority, seq: q.seq, granted: make(chan struct{})}
	heap.Push(&q.waiting, t)
	q.grant()
	return t
}

// release frees the slot of a ticket, or its place in the queue if it has no
// slot yet.
func (q *slotQueue) release(t *ticket) {
	if t.index >= 0 {
		heap.Remove(&q.waiting, t.index)
		return
	}
	q.freeSlots++
	q.grant()
}

// grant gives the free slots to waiting tickets.
func (q *slotQueue) grant() {
	for q.freeSlots > 0 && len(q.waiting) > 0 {
		t := heap.Pop(&q.waiting).(*ticket)
		q.freeSlots--
		close(t.granted)
	}
}

// ticketHeap implements heap.Interface.
type ticketHeap []*ticket

func (h ticketHeap) Len() int { return len(h) }

func (h ticketHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	t.index = -1
	*h = (*h)[:last]
	return t
}
