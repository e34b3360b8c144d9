package configlog

import (
	"maps"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// ObserveRevision records that the given revision was accepted, usually because
// a peer has it in force. If it is above the one in force here, it is read
// soon.
func (f *Follower) ObserveRevision(revision int64) {
	for {
		highest := f.highestKnownRevision.Load()
		if revision <= highest || f.highestKnownRevision.CompareAndSwap(highest, revision) {
			break
		}
	}
	if !f.isBehind() {
		return
	}
	signal(f.wakeStore)
	signal(f.wakePeers)
}

// signal puts a token in the channel unless it already holds one.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// ApplyAccepted takes a record that was accepted through this node and puts it
// in force as soon as its predecessors are. It then spreads to the peers even
// if the store fails right after the acceptance.
func (f *Follower) ApplyAccepted(record object.Record) {
	f.mu.Lock()
	if len(f.offered) < maxOfferedRecords {
		f.offered[record.Revision] = record
	}
	f.applyOffered()
	f.mu.Unlock()
	f.ObserveRevision(record.Revision)
}

// applyOffered applies the offered records that directly follow the revision in
// force, and drops those at or below it. The caller holds mu.
func (f *Follower) applyOffered() {
	if !f.Ready() {
		return
	}
	for {
		record, ok := f.offered[f.Current().Revision+1]
		if !ok {
			break
		}
		f.applyNext(record)
	}
	maps.DeleteFunc(f.offered, func(revision int64, _ object.Record) bool { return revision <= f.Current().Revision })
}

// apply puts in force the records that follow the current revision without a
// gap. Records at or below it are skipped.
func (f *Follower) apply(records []object.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		if record.Revision == f.Current().Revision+1 {
			f.applyNext(record)
		}
	}
	f.applyOffered()
}

// applyNext puts in force the record that follows the current revision. The
// caller holds mu.
func (f *Follower) applyNext(record object.Record) {
	f.history.add(record)
	f.publish(f.Current().Apply(record))
	f.log.Log(eventlog.ConfigApplied, eventlog.Fields{"revision": record.Revision, "author": record.Author})
}

// adoptSnapshot puts a whole snapshot in force if its revision is higher than
// the current one.
func (f *Follower) adoptSnapshot(next *snapshot.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Revision > f.Current().Revision {
		f.history.reset(next.Revision)
		f.publish(next)
		f.log.Log(eventlog.ConfigLoaded, eventlog.Fields{"revision": next.Revision})
	}
	f.applyOffered()
}

// publish replaces the snapshot in force and wakes the waiters of Changed. The
// caller holds mu.
func (f *Follower) publish(next *snapshot.Snapshot) {
	f.current.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
}
