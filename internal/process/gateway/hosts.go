package gateway

import (
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Times of the host list.
const (
	// lapseGrace is how long a host is kept whose registration lapsed around an
	// outage of the store: living hosts register again within two seconds of
	// its end.
	lapseGrace = 1800 * time.Millisecond
	// outageMemory is how long after a failed call of the store a lapse counts
	// as caused by the outage.
	outageMemory = 2500 * time.Millisecond
)

// Decoder turns the platform's records into the product's objects.
type Decoder struct {
	Configuration func([]feed.Record) (*fleet.Configuration, error)
	Host          func(feed.Record) (*fleet.Host, error)
}

// viewBuilder keeps the node's view of the fleet up to date.
type viewBuilder struct {
	decode Decoder
	view   *fleet.Holder
	log    *eventlog.Logger
	// changed is called after each new view, outside of locks.
	changed func()

	mu            sync.Mutex
	configuration *fleet.Configuration
	hosts         map[string]*fleet.Host
	// lapsed holds until when hosts are kept whose registration is gone.
	lapsed  map[string]time.Time
	version int64
	read    time.Time
	known   bool
}

func newViewBuilder(decode Decoder, view *fleet.Holder, log *eventlog.Logger, changed func()) *viewBuilder {
	return &viewBuilder{
		decode: decode, view: view, log: log, changed: changed,
		hosts: map[string]*fleet.Host{}, lapsed: map[string]time.Time{},
	}
}

// applyConfiguration takes over a newer revision. An older one or one that
// cannot be decoded changes nothing.
func (b *viewBuilder) applyConfiguration(changed []feed.Record) {
	if len(changed) == 0 {
		return
	}
	decoded, err := b.decode.Configuration(changed)
	if err != nil {
		b.log.Log(eventlog.ConfigUnusable, eventlog.Fields{"error": err.Error()})
		return
	}
	b.mu.Lock()
	if decoded == nil || b.configuration != nil && decoded.Revision <= b.configuration.Revision {
		b.mu.Unlock()
		return
	}
	b.configuration = decoded
	b.publish()
	b.mu.Unlock()
	b.log.Log(eventlog.ConfigInForce, eventlog.Fields{
		"revision": decoded.Revision, "routes": len(decoded.Routes), "services": len(decoded.Services), "accounts": len(decoded.Accounts),
	})
	b.changed()
}

// applyHosts takes over changes of the host list as of a version. disturbed
// is when a call of the store last failed.
func (b *viewBuilder) applyHosts(changed []feed.Record, version int64, disturbed, now time.Time) {
	b.mu.Lock()
	for _, r := range changed {
		b.applyHost(r, disturbed, now)
	}
	fresh := len(changed) > 0 || !b.known
	b.version, b.read, b.known = version, now, true
	if fresh {
		b.publish()
	}
	b.mu.Unlock()
	if fresh {
		b.changed()
	}
}

// applyHost takes over one record. The caller holds mu.
func (b *viewBuilder) applyHost(r feed.Record, disturbed, now time.Time) {
	before := b.hosts[r.Key]
	if r.Deleted {
		if before == nil {
			return
		}
		if !disturbed.IsZero() && now.Sub(disturbed) < outageMemory {
			b.lapsed[r.Key] = now.Add(lapseGrace)
			b.log.Log(eventlog.HostGoneDelayed, eventlog.Fields{"host": r.Key, "version": r.Version, "store_failed_ms": now.Sub(disturbed).Milliseconds()})
			return
		}
		b.remove(r.Key, r.Version)
		return
	}
	host, err := b.decode.Host(r)
	if err != nil {
		b.log.Ordinary(eventlog.HostUnusable, eventlog.Fields{"host": r.Key, "version": r.Version, "error": err.Error()})
		delete(b.hosts, r.Key)
		delete(b.lapsed, r.Key)
		return
	}
	delete(b.lapsed, r.Key)
	b.hosts[r.Key] = host
	if before == nil || before.State != host.State || before.Group != host.Group || before.Life() != host.Life() {
		b.log.Ordinary(eventlog.HostChanged, eventlog.Fields{
			"host": host.ID, "service": host.Service, "leaving": host.State == fleet.HostLeaving, "group": host.Group.Name,
			"epoch": host.Group.Epoch, "rank": host.Group.Rank, "member_state": host.Group.State, "version": r.Version,
		})
	}
}

// remove drops a host. The caller holds mu.
func (b *viewBuilder) remove(id string, version int64) {
	host := b.hosts[id]
	delete(b.hosts, id)
	delete(b.lapsed, id)
	b.log.Ordinary(eventlog.HostGone, eventlog.Fields{"host": id, "group": host.Group.Name, "version": version})
}

// expireLapsed drops hosts that did not register again in time.
func (b *viewBuilder) expireLapsed(now time.Time) {
	b.mu.Lock()
	removed := false
	for id, until := range b.lapsed {
		if !now.Before(until) {
			b.remove(id, b.version)
			removed = true
		}
	}
	if removed {
		b.publish()
	}
	b.mu.Unlock()
	if removed {
		b.changed()
	}
}

// publish builds the view. The caller holds mu.
func (b *viewBuilder) publish() {
	hosts := make([]*fleet.Host, 0, len(b.hosts))
	for _, h := range b.hosts {
		hosts = append(hosts, h)
	}
	b.view.Store(fleet.NewView(b.configuration, hosts, b.version, b.read, b.known))
}
