package gateway

import (
	"maps"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// formerHostTTL is how long a host is remembered whose registration was removed. One
	// that lapsed around an outage comes back within that time and has served meanwhile.
	formerHostTTL = 10 * time.Second
	// maxFormerHosts limits the remembered hosts. Beyond it further ones are not kept.
	maxFormerHosts = 4096
	// minColdChange is the change of the time at which a host will be warm from which a
	// health answer changes the view.
	minColdChange = 200 * time.Millisecond
)

// formerHost is a host whose registration was removed.
type formerHost struct {
	host *fleet.Host
	at   time.Time
}

// copyConfirmed records when the copy of the host list that is applied next was confirmed.
func (b *viewBuilder) copyConfirmed(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmedAt = at
}

// setTimes sets when a host that has registered will be warm and since when it has taken
// requests. confirmed is when the copy of the host list was confirmed: the registration is
// at least that old. The caller must hold mu.
func (b *viewBuilder) setTimes(host *fleet.Host, confirmed, now time.Time) {
	if confirmed.IsZero() || confirmed.After(now) {
		confirmed = now
	}
	host.WarmAt = time.Time{}
	if host.ColdLeft > 0 {
		host.WarmAt = confirmed.Add(host.ColdLeft)
	}
	previous := b.hosts[host.ID]
	if former, ok := b.former[host.ID]; ok && previous == nil {
		previous = former.host
	}
	delete(b.former, host.ID)
	if host.WarmAt.After(now) && (previous == nil || previous.Instance() != host.Instance() || !previous.WarmAt.After(now)) {
		b.log.LogLimited(eventlog.HostCold, eventlog.Fields{"host": host.ID, "group": host.Group.Name, "cold_left_ms": host.WarmAt.Sub(now).Milliseconds()})
	}
	switch {
	case previous != nil && previous.Instance() == host.Instance() && isServing(previous) && previous.Group == host.Group:
		host.ServingSince = previous.ServingSince
	case b.hostsKnown && isServing(host):
		host.ServingSince = now
	}
}

// isServing reports whether a host is one that gets requests: a host outside groups, or the
// head of an open group.
func isServing(h *fleet.Host) bool {
	return h.Group.Name == "" || h.Group.Rank == 0 && h.Group.State == fleet.MemberOpen
}

// rememberFormer remembers a host whose registration is removed. The caller must hold mu.
func (b *viewBuilder) rememberFormer(host *fleet.Host, now time.Time) {
	maps.DeleteFunc(b.former, func(_ string, f formerHost) bool { return now.Sub(f.at) >= formerHostTTL })
	if len(b.former) < maxFormerHosts {
		b.former[host.ID] = formerHost{host, now}
	}
}

// hostSaysCold records that a host has said in a health answer that it stays cold for some
// time. Only its registration says that it is warm before that.
func (b *viewBuilder) hostSaysCold(id string, left time.Duration, now time.Time) {
	b.mu.Lock()
	host := b.hosts[id]
	changed := host != nil && left > 0 && now.Add(left).Sub(host.WarmAt) >= minColdChange
	if changed {
		cold := *host
		cold.WarmAt = now.Add(left)
		b.hosts[id] = &cold
		b.publish()
	}
	b.mu.Unlock()
	if changed {
		b.onChange()
	}
}
