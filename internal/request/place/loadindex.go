package place

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// maxIndexedLoad limits the loads that an index tells apart. It is above the batch and
// the queue of any group; hosts with more requests are equally full.
const maxIndexedLoad = 1024

// loadIndex keeps the hosts of one service and model in order of load, with sums. A
// change of the load of one host by one request costs a constant time, so that a choice
// need not look at all hosts. It is part of a board and guarded by its mutex.
type loadIndex struct {
	// hosts is the view's list from which the index was built.
	hosts []*fleet.Host
	// warm are the hosts in the index, and records belong to them, in the same order.
	// The others are in cold.
	warm    []*fleet.Host
	records []*hostRecord
	cold    coldHosts
	// entries are in ascending order of load. Those with a load of n or more begin at
	// starts[n]; loads beyond the end of starts are at no host.
	entries []*indexEntry
	starts  []int
	// own, load and slots are sums over the hosts: this node's requests, those of all
	// nodes, and the slots of each host, at least 1.
	own, load, slots int
	// maxSlots is the largest number of slots of a host.
	maxSlots int
}

// indexEntry is a host in an index.
type indexEntry struct {
	index    *loadIndex
	host     *fleet.Host
	record   *hostRecord
	position int
	// load is what the order is by: the load of the record, within bounds.
	load int
}

// indexedModel names an index; the model is "" for plain services.
type indexedModel struct{ service, model string }

// index returns the index of the hosts, which the view holds for the query. It is built
// anew when the view holds other hosts, or when one has become warm. The caller holds mu.
func (b *Board) index(hosts []*fleet.Host, q Query, now time.Time) *loadIndex {
	key := indexedModel{q.Service.Name, q.Model}
	former := b.indexes[key]
	if former != nil && !former.cold.isOutdated(now) && (isSameSlice(former.hosts, hosts) || slices.Equal(former.hosts, hosts)) {
		former.hosts = hosts // the next comparison with the same view is short
		return former
	}
	former.release()
	x := &loadIndex{hosts: hosts, starts: []int{0}}
	for _, host := range hosts {
		r := b.ensureHost(host.ID)
		if x.cold.add(b.warmup, host, r, q, now) {
			continue
		}
		x.warm = append(x.warm, host)
		e := &indexEntry{index: x, host: host, record: r, load: indexedLoad(r)}
		r.entry = e
		x.records, x.entries = append(x.records, r), append(x.entries, e)
		x.own += r.inFlight
		x.load += r.load()
		x.slots += max(host.Slots, 1)
		x.maxSlots = max(x.maxSlots, host.Slots, 1)
	}
	slices.SortStableFunc(x.entries, func(a, b *indexEntry) int { return a.load - b.load })
	for i, e := range x.entries {
		e.position = i
		for len(x.starts) <= e.load {
			x.starts = append(x.starts, i)
		}
	}
	b.indexes[key] = x
	return x
}

// isSameSlice reports whether both share their elements in memory. They are not empty.
func isSameSlice(a, b []*fleet.Host) bool { return len(a) == len(b) && &a[0] == &b[0] }

// release separates the records of the hosts from an index that is replaced. The
// receiver may be nil.
func (x *loadIndex) release() {
	if x == nil {
		return
	}
	for _, e := range x.entries {
		if e.record.entry == e {
			e.record.entry = nil
		}
	}
}

// load is the number of requests in flight at a host over all nodes.
func (r *hostRecord) load() int { return r.inFlight + r.elsewhere }

func indexedLoad(r *hostRecord) int { return min(max(r.load(), 0), maxIndexedLoad) }

// addOwn changes this node's number of requests at a host.
func (r *hostRecord) addOwn(n int) {
	n = max(n, -r.inFlight)
	r.inFlight += n
	if r.entry != nil {
		r.entry.index.own += n
	}
	r.moved(n)
}

// addElsewhere changes the number of requests of other nodes at a host.
func (r *hostRecord) addElsewhere(n int) {
	r.elsewhere += n
	r.moved(n)
}

// moved restores the order after the load of a host has changed by n.
func (r *hostRecord) moved(n int) {
	e := r.entry
	if e == nil || n == 0 {
		return
	}
	e.index.load += n
	for target := indexedLoad(r); e.load < target; {
		e.index.raise(e)
	}
	for target := indexedLoad(r); e.load > target; {
		e.index.lower(e)
	}
}

// raise moves an entry to the hosts with one request more: it becomes the last of those
// with its load, and then the first of the next.
func (x *loadIndex) raise(e *indexEntry) {
	next := e.load + 1
	if next == len(x.starts) {
		x.starts = append(x.starts, len(x.entries))
	}
	x.starts[next]--
	x.swap(e.position, x.starts[next])
	e.load = next
}

// lower moves an entry to the hosts with one request less.
func (x *loadIndex) lower(e *indexEntry) {
	x.swap(e.position, x.starts[e.load])
	x.starts[e.load]++
	e.load--
}

func (x *loadIndex) swap(i, j int) {
	x.entries[i], x.entries[j] = x.entries[j], x.entries[i]
	x.entries[i].position, x.entries[j].position = i, j
}
