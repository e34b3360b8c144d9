package gateway

import (
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// saidLeavingTTL is how long a host's word that it leaves is remembered after its
	// registration is gone. It is longer than a host stays up after that.
	saidLeavingTTL = 2 * time.Minute
	// maxSaidLeaving limits the remembered hosts. Beyond it the oldest is forgotten.
	maxSaidLeaving = 1024
)

// saidLeaving is one life of a host that has said in an answer that it leaves.
type saidLeaving struct {
	started time.Time
	at      time.Time
}

// hostSaysLeaving makes a host count as leaving for the rest of its life, whatever its
// registration says and whether the store answers or not.
func (b *viewBuilder) hostSaysLeaving(host *fleet.Host, requestID string, now time.Time) {
	if current := b.view.Load().Host(host.ID); current != nil && current.State == fleet.HostLeaving && current.Started.Equal(host.Started) {
		return
	}
	b.mu.Lock()
	if known, ok := b.said[host.ID]; ok && !host.Started.After(known.started) {
		b.mu.Unlock()
		return
	}
	b.forgetSaid(now)
	b.said[host.ID] = saidLeaving{host.Started, now}
	current := b.hosts[host.ID]
	changed := current != nil && current.State != fleet.HostLeaving && current.Started.Equal(host.Started)
	if changed {
		b.hosts[host.ID] = asLeaving(current)
		b.ended.Registered(b.hosts[host.ID], now)
		b.publish()
	}
	b.mu.Unlock()
	b.log.LogLimited(eventlog.HostSaysLeaving, eventlog.Fields{"host": host.ID, "group": host.Group.Name, "request": requestID})
	if changed {
		b.onChange()
	}
}

// forgetSaid forgets the hosts that are not registered any more, after some time, and
// the oldest if there are too many. The caller must hold mu.
func (b *viewBuilder) forgetSaid(now time.Time) {
	oldest := ""
	for id, s := range b.said {
		if b.hosts[id] == nil && now.Sub(s.at) >= saidLeavingTTL {
			delete(b.said, id)
			continue
		}
		if oldest == "" || s.at.Before(b.said[oldest].at) {
			oldest = id
		}
	}
	if len(b.said) >= maxSaidLeaving {
		delete(b.said, oldest)
	}
}

// keepsLeaving reports whether a host has said in an answer, in this life, that it
// leaves. The caller must hold mu.
func (b *viewBuilder) keepsLeaving(host *fleet.Host) bool {
	s, ok := b.said[host.ID]
	return ok && s.started.Equal(host.Started)
}

// asLeaving returns a copy of a host that is leaving.
func asLeaving(host *fleet.Host) *fleet.Host {
	leaving := *host
	leaving.State = fleet.HostLeaving
	return &leaving
}
