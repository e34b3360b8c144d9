package gateway

import (
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Times after the store came back from an older copy. Hosts that work write their
// registration again within about two seconds; those of hosts that are gone lapse
// after some more.
const (
	// restoredReportDelay is how long what this node has seen of a registered host
	// counts for more than the copy.
	restoredReportDelay = 2 * time.Second
	// restoredLapseGracePeriod is how long a host is kept that is not in the copy.
	restoredLapseGracePeriod = 2500 * time.Millisecond
	// restoredRemovalDelay is how long a host stays removed that is in the copy but
	// whose registration this node has seen removed.
	restoredRemovalDelay = 6 * time.Second
)

// deferredRecord is a registration of an older copy that is applied later, unless the
// host writes it again before that.
type deferredRecord struct {
	record feed.Record
	at     time.Time
}

// applyRestoredHosts applies the whole host list after the store came back from an
// older copy. What this node has seen of a host since then stays in force until the
// host has had time to write it again.
func (b *viewBuilder) applyRestoredHosts(records []feed.Record, version int64, now time.Time) {
	b.mu.Lock()
	b.restoredAt = now
	for _, r := range records {
		b.applyRestoredHost(r, now)
	}
	b.hostsVersion, b.readAt, b.hostsKnown = version, now, true
	b.publish()
	b.mu.Unlock()
	b.onChange()
}

// applyRestoredHost applies one record of an older copy. The caller must hold mu.
func (b *viewBuilder) applyRestoredHost(r feed.Record, now time.Time) {
	current := b.hosts[r.Key]
	if r.Deleted {
		delete(b.unusable, r.Key)
		if current != nil {
			b.lapseDeadlines[r.Key] = now.Add(restoredLapseGracePeriod)
			b.log.LogLimited(eventlog.HostRemovalDelayed, eventlog.Fields{"host": r.Key, "version": r.Version})
		}
		return
	}
	host, err := b.decode.Host(r)
	if err != nil {
		b.applyHost(r, time.Time{}, now) // logs the error
		return
	}
	switch {
	case b.ended.State(host) == fleet.LifeRemoved:
		b.deferred[r.Key] = deferredRecord{r, now.Add(restoredRemovalDelay)}
	case host.State != fleet.HostLeaving && current != nil && current.Started.Equal(host.Started):
		b.deferred[r.Key] = deferredRecord{r, now.Add(restoredReportDelay)}
	case current == nil || !current.Started.After(host.Started):
		b.applyHost(r, time.Time{}, now)
	}
}

// applyDeferredHosts applies the registrations of an older copy whose time has come.
func (b *viewBuilder) applyDeferredHosts(now time.Time) {
	b.mu.Lock()
	applied := false
	for id, d := range b.deferred {
		if now.Before(d.at) {
			continue
		}
		b.applyHost(d.record, time.Time{}, now)
		delete(b.deferred, id)
		applied = true
	}
	if applied {
		b.publish()
	}
	b.mu.Unlock()
	if applied {
		b.onChange()
	}
}

// staysLeaving returns the host as leaving if it said so in an answer in this life, or
// if it was registered so in this life and the store has come back since then from a
// copy that may be older. The caller must hold mu.
func (b *viewBuilder) staysLeaving(host *fleet.Host, now time.Time) *fleet.Host {
	restored := !b.restoredAt.IsZero() && now.Sub(b.restoredAt) < restoredRemovalDelay && b.ended.State(host) == fleet.LifeLeaving
	if restored || b.keepsLeaving(host) {
		return asLeaving(host)
	}
	return host
}
