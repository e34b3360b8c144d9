package gateway

import (
	"fmt"
	"reflect"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Times for lapsed registrations of hosts.
const (
	// lapseGracePeriod is how long a host is kept after its registration lapsed
	// around an outage of the store. Working hosts register again within two
	// seconds of the end of an outage.
	lapseGracePeriod = 1800 * time.Millisecond
	// outageWindow is the time after a failed call to the store in which a lapse
	// counts as caused by the outage.
	outageWindow = 2500 * time.Millisecond
	// unconfirmedGracePeriod is how long a host is kept, without new work, after its
	// registration was replaced by an unusable one. It covers two heartbeats of a host.
	unconfirmedGracePeriod = 2500 * time.Millisecond
)

// maxLoggedErrorLength limits the logged part of a decoding error, in characters.
const maxLoggedErrorLength = 500

// Decoder converts the platform's records to the types of package fleet.
type Decoder struct {
	Configuration func([]feed.Record) (*fleet.Configuration, error)
	Host          func(feed.Record) (*fleet.Host, error)
	// Evacuation returns the failure domain whose evacuation a record of the
	// configuration feed requests, or false for any other record.
	Evacuation func(feed.Record) (domain string, ok bool)
}

// viewBuilder builds the node's view of the fleet from the two feeds.
type viewBuilder struct {
	decode Decoder
	view   *fleet.ViewHolder
	log    *eventlog.Logger
	// onChange is called without locks after each new view.
	onChange func()

	mu            sync.Mutex
	configuration *fleet.Configuration
	hosts         map[string]*fleet.Host
	// lapseDeadlines contains the hosts whose registration has lapsed or become
	// unusable, and the time at which each is removed.
	lapseDeadlines map[string]time.Time
	// unusable contains the IDs whose registration is unusable at present.
	unusable map[string]bool
	// ended and deferred keep an older copy of the host list from undoing what this
	// node has seen; restoredAt is when the store last came back from one.
	ended      *fleet.EndedLives
	deferred   map[string]deferredRecord
	restoredAt time.Time
	// departures tells the groups that a member has left.
	departures *fleet.Departures
	// evacuations are the failure domains whose hosts get no requests, and
	// unknownDomains those that are requested and that no host is in.
	evacuations    *fleet.Evacuations
	unknownDomains map[string]bool
	// said contains the hosts that have said in an answer that they leave.
	said map[string]saidLeaving
	// former contains the hosts whose registration was removed lately, and confirmedAt
	// when the copy of the host list that is applied was confirmed.
	former       map[string]formerHost
	confirmedAt  time.Time
	hostsVersion int64
	readAt       time.Time
	hostsKnown   bool
}

func newViewBuilder(decode Decoder, view *fleet.ViewHolder, log *eventlog.Logger, onChange func()) *viewBuilder {
	return &viewBuilder{
		decode: decode, view: view, log: log, onChange: onChange,
		hosts: map[string]*fleet.Host{}, lapseDeadlines: map[string]time.Time{}, unusable: map[string]bool{},
		ended: fleet.NewEndedLives(), deferred: map[string]deferredRecord{}, departures: fleet.NewDepartures(), said: map[string]saidLeaving{},
		evacuations: fleet.NewEvacuations(), unknownDomains: map[string]bool{}, former: map[string]formerHost{},
	}
}

// applyConfigurationFeed applies changes of the configuration feed: evacuations, then the
// configuration. restored is true if the store has come back from an older copy and the
// changes are its whole table.
func (b *viewBuilder) applyConfigurationFeed(changed []feed.Record, restored bool, now time.Time) {
	b.applyEvacuations(changed, restored, now)
	b.applyConfiguration(changed)
}

// applyConfiguration puts a newer revision in force. An older revision, or one
// that cannot be decoded, changes nothing.
func (b *viewBuilder) applyConfiguration(changed []feed.Record) {
	if len(changed) == 0 {
		return
	}
	decoded, err := b.decode.Configuration(changed)
	if err != nil {
		b.log.Log(eventlog.ConfigUnusable, eventlog.Fields{"error": fmt.Sprintf("%.*s", maxLoggedErrorLength, err)})
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
	b.onChange()
}

// applyHosts applies changes up to a version of the host list. lastStoreFailure
// is when a call to the store last failed; the zero time means never.
func (b *viewBuilder) applyHosts(changed []feed.Record, version int64, lastStoreFailure, now time.Time) {
	b.mu.Lock()
	viewChanged := !b.hostsKnown
	for _, r := range changed {
		former := b.hosts[r.Key]
		b.applyHost(r, lastStoreFailure, now)
		// Most registrations are only renewed. A new view costs time in proportion to
		// all hosts.
		viewChanged = viewChanged || !reflect.DeepEqual(former, b.hosts[r.Key])
	}
	b.hostsVersion, b.readAt, b.hostsKnown = version, now, true
	if viewChanged {
		b.publish()
	}
	b.mu.Unlock()
	if viewChanged {
		b.onChange()
	}
}

// applyHost applies one record. The caller must hold mu.
func (b *viewBuilder) applyHost(r feed.Record, lastStoreFailure, now time.Time) {
	previous := b.hosts[r.Key]
	delete(b.deferred, r.Key)
	if r.Deleted {
		delete(b.unusable, r.Key)
		if previous == nil {
			return
		}
		if !lastStoreFailure.IsZero() && now.Sub(lastStoreFailure) < outageWindow {
			b.lapseDeadlines[r.Key] = now.Add(lapseGracePeriod)
			b.log.Log(eventlog.HostRemovalDelayed, eventlog.Fields{"host": r.Key, "version": r.Version, "store_failed_ms": now.Sub(lastStoreFailure).Milliseconds()})
			return
		}
		b.remove(r.Key, r.Version, now)
		return
	}
	host, err := b.decode.Host(r)
	if err == nil && previous != nil && host.Started.Before(previous.Started) {
		err = fmt.Errorf("registration %q is ignored until it is written again: it names an earlier start of the host than the last one", r.Key)
	}
	if err != nil {
		b.logUnusable(r, err)
		b.withdraw(previous, now)
		return
	}
	delete(b.unusable, r.Key)
	delete(b.lapseDeadlines, r.Key)
	host.Evacuated = b.evacuations.InForce(host.FailureDomain)
	b.setTimes(host, b.confirmedAt, now)
	host = b.staysLeaving(host, now)
	b.ended.Registered(host, now)
	b.departures.Registered(host)
	b.hosts[r.Key] = host
	if previous == nil || previous.State != host.State || previous.Group != host.Group || previous.Instance() != host.Instance() {
		b.log.LogLimited(eventlog.HostChanged, eventlog.Fields{
			"host": host.ID, "service": host.Service, "leaving": host.State == fleet.HostLeaving, "group": host.Group.Name,
			"epoch": host.Group.Epoch, "rank": host.Group.Rank, "member_state": host.Group.State, "version": r.Version,
		})
	}
}

// logUnusable logs that a registration is unusable, unless it was so before. The caller
// must hold mu.
func (b *viewBuilder) logUnusable(r feed.Record, err error) {
	if b.unusable[r.Key] {
		return
	}
	b.unusable[r.Key] = true
	// The error may contain the registration.
	b.log.LogLimited(eventlog.HostUnusable, eventlog.Fields{"host": r.Key, "version": r.Version, "error": fmt.Sprintf("%.*s", maxLoggedErrorLength, err)})
}

// withdraw gives a host whose registration has become unusable no new work, and sets
// the time at which it is removed. The host may be nil. The caller must hold mu.
func (b *viewBuilder) withdraw(host *fleet.Host, now time.Time) {
	if host == nil {
		return
	}
	if _, lapsed := b.lapseDeadlines[host.ID]; !lapsed {
		b.lapseDeadlines[host.ID] = now.Add(unconfirmedGracePeriod)
	}
	if host.State != fleet.HostReady {
		return
	}
	unconfirmed := *host
	unconfirmed.State = fleet.HostUnconfirmed
	b.hosts[host.ID] = &unconfirmed
}

// remove removes a host. The caller must hold mu.
func (b *viewBuilder) remove(id string, version int64, now time.Time) {
	host := b.hosts[id]
	b.ended.Removed(host, now)
	b.rememberFormer(host, now)
	delete(b.hosts, id)
	delete(b.lapseDeadlines, id)
	b.log.LogLimited(eventlog.HostRemoved, eventlog.Fields{"host": id, "group": host.Group.Name, "version": version})
}

// removeLapsedHosts removes hosts that did not register again in time.
func (b *viewBuilder) removeLapsedHosts(now time.Time) {
	b.mu.Lock()
	removed := false
	for id, deadline := range b.lapseDeadlines {
		if !now.Before(deadline) {
			b.remove(id, b.hostsVersion, now)
			removed = true
		}
	}
	if removed {
		b.publish()
	}
	b.mu.Unlock()
	if removed {
		b.onChange()
	}
}

// publish builds and stores a new view. The caller must hold mu.
func (b *viewBuilder) publish() {
	hosts := make([]*fleet.Host, 0, len(b.hosts))
	for _, h := range b.hosts {
		hosts = append(hosts, h)
	}
	b.logUnknownEvacuations(hosts)
	b.departures.Mark(hosts, b.groupSize)
	b.view.Store(fleet.NewView(b.configuration, hosts, b.hostsVersion, b.readAt, b.hostsKnown))
}

// groupSize returns the number of hosts of a head's group, or 0 if the configuration
// does not tell it. The caller must hold mu.
func (b *viewBuilder) groupSize(head *fleet.Host) int {
	if b.configuration == nil {
		return 0
	}
	service := b.configuration.Services[head.Service]
	if service == nil || service.Engine == nil {
		return 0
	}
	model := service.Engine.Model(head.LoadedModel)
	if model == nil {
		return 0
	}
	return model.Size
}
