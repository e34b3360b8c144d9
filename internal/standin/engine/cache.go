package engine

import (
	"container/list"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// maxCacheEvents limits the cache events that are kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of at most maxBlocks prefix blocks. It is not safe
// for concurrent use.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	lru       *list.List // of uint64, most recently used first
	events    cacheEventLog
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		maxBlocks: o.CacheBlocks,
		blocks:    map[uint64]*list.Element{},
		lru:       list.New(),
		events:    cacheEventLog{next: 1, lag: o.ReportLag, lossEvery: int64(o.EventLossEvery), seed: o.Seed},
	}
}

// match returns the number of leading blocks that are in the cache and marks
// them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		element := c.blocks[block]
		if element == nil {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(blocks)
}

// store adds the blocks and evicts the least recently used ones beyond
// maxBlocks.
func (c *prefixCache) store(blocks []uint64, now time.Time) {
	for _, block := range blocks {
		if element := c.blocks[block]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.lru.PushFront(block)
		c.events.add(block, false, now)
		if len(c.blocks) > c.maxBlocks {
			c.evict(now)
		}
	}
}

// evict removes the least recently used block.
func (c *prefixCache) evict(now time.Time) {
	block := c.lru.Remove(c.lru.Back()).(uint64)
	delete(c.blocks, block)
	c.events.add(block, true, now)
}

// clear evicts everything.
func (c *prefixCache) clear(now time.Time) {
	for len(c.blocks) > 0 {
		c.evict(now)
	}
}

// cacheEventLog publishes cache events after a lag and, if lossEvery is set,
// loses every lossEvery-th one.
type cacheEventLog struct {
	next      int64
	lag       time.Duration
	lossEvery int64
	seed      int64
	events    []timedEvent
}

// timedEvent is a cache event and the time at which it occurred.
type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

func (l *cacheEventLog) add(block uint64, evicted bool, now time.Time) {
	seq := l.next
	l.next++
	if l.lossEvery > 0 && (seq+l.seed)%l.lossEvery == 0 {
		return
	}
	l.events = append(l.events, timedEvent{now, endpoint.CacheEvent{Seq: seq, Block: block, Evicted: evicted}})
	if len(l.events) > maxCacheEvents {
		l.events = l.events[1:]
	}
}

// page returns the visible events from a sequence number up to the next gap. A
// number beyond the end of the log dates from before a restart of the engine;
// the page then starts at event 1 and reports a gap.
func (l *cacheEventLog) page(from int64, now time.Time) endpoint.CacheEvents {
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
