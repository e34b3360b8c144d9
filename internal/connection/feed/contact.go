package feed

import (
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
)

// LastContact returns when the store last confirmed the copy and when a call to
// the store last failed; the zero time means never.
func (f *Follower) LastContact() (lastConfirmed, lastFailure time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastConfirmed, f.lastFailure
}

// LastOutage returns when a call to the store last failed while no other node was
// known to have a fresh copy; the zero time means never.
func (f *Follower) LastOutage() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastOutage
}

// recordPeerCopy records the age of a peer's copy. The store still counts as
// lost, but a fresh copy shows whether that is an outage for all nodes.
func (f *Follower) recordPeerCopy(b Batch) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := now.Add(-b.ConfirmedAgo); at.After(f.lastConfirmed) {
		f.lastConfirmed = at
	}
	if b.ConfirmedAgo > maxCopyAge {
		return
	}
	f.lastOutage = time.Time{}
	if b.FailedAgo > 0 {
		f.lastOutage = now.Add(-b.FailedAgo)
	}
}

func (f *Follower) recordStoreFailure(err error) {
	f.mu.Lock()
	f.lastFailure = time.Now()
	f.lastOutage = f.lastFailure
	first := !f.storeLost
	f.storeLost = true
	f.mu.Unlock()
	if first {
		version, _ := f.table.Version()
		f.log.Log(eventlog.FeedLost, eventlog.Fields{"topic": f.topic, "version": version, "error": err.Error()})
	}
}

// recordAnswer records an answer of the store, or of a hub with the age of its
// copy in b.
func (f *Follower) recordAnswer(b Batch) {
	now := time.Now()
	f.mu.Lock()
	if at := now.Add(-b.ConfirmedAgo); at.After(f.lastConfirmed) {
		f.lastConfirmed = at
	}
	if at := now.Add(-b.FailedAgo); b.FailedAgo > 0 {
		f.lastFailure = latest(f.lastFailure, at)
		f.lastOutage = latest(f.lastOutage, at)
	}
	regained := f.storeLost && b.ConfirmedAgo <= maxCopyAge
	f.storeLost = f.storeLost && !regained
	f.storeBackoff, f.nextStoreCall = 0, time.Time{}
	f.mu.Unlock()
	if regained {
		version, _ := f.table.Version()
		f.log.Log(eventlog.FeedRegained, eventlog.Fields{"topic": f.topic, "version": version})
	}
}

func (f *Follower) setReadsStore(reads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readsStore = reads
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
