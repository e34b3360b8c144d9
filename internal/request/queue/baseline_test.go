package queue

import (
	"container/list"
	"fmt"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// baseline is a simple policy that benchmarks compare with the Scheduler: first
// come, first served, or strict order of ranks without floors.
type baseline struct {
	rankOrder []string // most urgent first; one empty name for FIFO
	queues    map[string]*list.List
	freeSlots []int
	groupOf   map[string]int
}

// newBaseline returns a policy with the ranks in strict order, most urgent
// first, or a FIFO policy if it is nil.
func newBaseline(strict []string) *baseline {
	b := &baseline{rankOrder: strict, queues: map[string]*list.List{}, groupOf: map[string]int{}}
	for range simGroups {
		b.freeSlots = append(b.freeSlots, simSlots)
	}
	if strict == nil {
		b.rankOrder = []string{""}
	}
	for _, rank := range b.rankOrder {
		b.queues[rank] = list.New()
	}
	return b
}

func (b *baseline) Offer(r Request, _ time.Time) *refusal.Error {
	queue := b.queues[r.Rank]
	if queue == nil {
		queue = b.queues[""]
	}
	queue.PushBack(r.ID)
	return nil
}

func (b *baseline) Next(time.Time) Decisions {
	var d Decisions
	for _, rank := range b.rankOrder {
		for queue := b.queues[rank]; queue.Len() > 0; {
			group := b.freeGroup()
			if group < 0 {
				return d
			}
			id := queue.Remove(queue.Front()).(string)
			b.freeSlots[group]--
			b.groupOf[id] = group
			d.Assign = append(d.Assign, Assignment{RequestID: id, Group: fmt.Sprintf("group-%03d", group)})
		}
	}
	return d
}

func (b *baseline) freeGroup() int {
	for i, free := range b.freeSlots {
		if free > 0 {
			return i
		}
	}
	return -1
}

func (b *baseline) Finish(id string, _ int64, _ time.Time) {
	b.freeSlots[b.groupOf[id]]++
	delete(b.groupOf, id)
}

func (b *baseline) Progress(string, int64, time.Time) {}
func (b *baseline) NextWake(now time.Time) time.Time  { return time.Time{} }
