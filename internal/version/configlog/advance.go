package configlog

import (
	"maps"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// Learn tells the follower of a head at a peer. A higher one is read soon.
func (f *Follower) Learn(revision int64) {
	for {
		known := f.learned.Load()
		if revision <= known || f.learned.CompareAndSwap(known, revision) {
			break
		}
	}
	if !f.behindPeers() {
		return
	}
	signal(f.wakeStore)
	signal(f.wakePeers)
}

func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Offer hands over a record that was accepted through this node. It is put in
// force as soon as its predecessors are, so that it spreads to the peers even
// if the store fails right after the acceptance.
func (f *Follower) Offer(record object.Record) {
	f.mu.Lock()
	if len(f.offered) < offeredCapacity {
		f.offered[record.Revision] = record
	}
	f.applyOffered()
	f.mu.Unlock()
	f.Learn(record.Revision)
}

// applyOffered applies the offered records that are next, and drops those that
// were overtaken. The caller holds mu.
func (f *Follower) applyOffered() {
	if !f.Ready() {
		return
	}
	for {
		record, ok := f.offered[f.Current().Revision+1]
		if !ok {
			break
		}
		f.applyOne(record)
	}
	maps.DeleteFunc(f.offered, func(revision int64, _ object.Record) bool { return revision <= f.Current().Revision })
}

// apply puts records in force that follow the current revision one by one.
// Lower ones are skipped; after a gap nothing more is applied.
func (f *Follower) apply(records []object.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		if record.Revision == f.Current().Revision+1 {
			f.applyOne(record)
		}
	}
	f.applyOffered()
}

// applyOne puts the next record in force. The caller holds mu.
func (f *Follower) applyOne(record object.Record) {
	f.history.add(record)
	f.put(f.Current().Apply(record))
	f.log.Log(eventlog.ConfigApplied, eventlog.Fields{"revision": record.Revision, "author": record.Author})
}

// adopt puts a whole snapshot in force, provided that it is higher.
func (f *Follower) adopt(next *snapshot.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Revision > f.Current().Revision {
		f.history.reset(next.Revision)
		f.put(next)
		f.log.Log(eventlog.ConfigLoaded, eventlog.Fields{"revision": next.Revision})
	}
	f.applyOffered()
}

// put publishes the snapshot and wakes those who wait for a change. The caller
// holds mu.
func (f *Follower) put(next *snapshot.Snapshot) {
	f.current.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
}
