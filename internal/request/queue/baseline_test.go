package queue

import (
	"container/list"
	"fmt"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// baseline is the rival of the Scheduler in benchmarks: first come, first
// served, or strict order of ranks without floors.
type baseline struct {
	strict  []string // ranks, the most urgent first; nil for FIFO
	queues  map[string]*list.List
	free    []int
	running map[string]int
}

func newBaseline(strict []string) *baseline {
	b := &baseline{strict: strict, queues: map[string]*list.List{}, running: map[string]int{}}
	for range simGroups {
		b.free = append(b.free, simSlots)
	}
	if strict == nil {
		b.strict = []string{""}
	}
	for _, rank := range b.strict {
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
	for _, rank := range b.strict {
		for queue := b.queues[rank]; queue.Len() > 0; {
			group := b.freeGroup()
			if group < 0 {
				return d
			}
			id := queue.Remove(queue.Front()).(string)
			b.free[group]--
			b.running[id] = group
			d.Assign = append(d.Assign, Assignment{RequestID: id, Group: fmt.Sprintf("group-%03d", group)})
		}
	}
	return d
}

func (b *baseline) freeGroup() int {
	for i, free := range b.free {
		if free > 0 {
			return i
		}
	}
	return -1
}

func (b *baseline) Finish(id string, _ int64, _ time.Time) {
	b.free[b.running[id]]++
	delete(b.running, id)
}

func (b *baseline) Progress(string, int64, time.Time) {}
func (b *baseline) NextWake(now time.Time) time.Time  { return time.Time{} }
