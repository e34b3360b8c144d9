package engine

import (
	"container/list"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 4096

// prefixCache keeps prefix blocks in limited memory and evicts the least
// recently used one. It is not safe for concurrent use.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List // of uint64, the most recently used first
	events eventLog
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		limit:  o.CacheBlocks,
		blocks: map[uint64]*list.Element{},
		recent: list.New(),
		events: eventLog{next: 1, lag: o.ReportLag, lossEvery: int64(o.EventLossEvery), seed: o.Seed},
	}
}

// match returns the number of leading blocks in the cache and marks them used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element := c.blocks[block]
		if element == nil {
			return i
		}
		c.recent.MoveToFront(element)
	}
	return len(blocks)
}

// store adds the blocks and evicts others where memory runs out.
func (c *prefixCache) store(blocks []uint64, now time.Time) {
	for _, block := range blocks {
		if element := c.blocks[block]; element != nil {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recent.PushFront(block)
		c.events.add(block, false, now)
		if len(c.blocks) > c.limit {
			c.evict(now)
		}
	}
}

func (c *prefixCache) evict(now time.Time) {
	block := c.recent.Remove(c.recent.Back()).(uint64)
	delete(c.blocks, block)
	c.events.add(block, true, now)
}

// clear evicts everything.
func (c *prefixCache) clear(now time.Time) {
	for len(c.blocks) > 0 {
		c.evict(now)
	}
}

// eventLog publishes cache events late and loses some of them.
type eventLog struct {
	next      int64
	lag       time.Duration
	lossEvery int64
	seed      int64
	events    []timedEvent
}

type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

func (l *eventLog) add(block uint64, evicted bool, now time.Time) {
	seq := l.next
	l.next++
	if l.lossEvery > 0 && (seq+l.seed)%l.lossEvery == 0 {
		return
	}
	l.events = append(l.events, timedEvent{now, endpoint.CacheEvent{Seq: seq, Block: block, Evicted: evicted}})
	if len(l.events) > maxEvents {
		l.events = l.events[1:]
	}
}

// page returns the visible events from a sequence number up to the next gap.
// A number from an earlier life of the engine starts over with a gap.
func (l *eventLog) page(from int64, now time.Time) endpoint.CacheEvents {
	restarted := from > l.next
	if restarted || from < 1 {
		from = 1
	}
	page := endpoint.CacheEvents{Events: []endpoint.CacheEvent{}, Next: from, Gap: restarted}
	for _, e := range l.events {
		if e.event.Seq < from {
			continue
		}
		first := len(page.Events) == 0
		if e.at.After(now.Add(-l.lag)) || (!first && e.event.Seq != page.Next) {
			break
		}
		page.Gap = page.Gap || (first && e.event.Seq != from)
		page.Events = append(page.Events, e.event)
		page.Next = e.event.Seq + 1
	}
	return page
}
