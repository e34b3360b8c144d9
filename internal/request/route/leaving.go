package route

import (
	"maps"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
)

// saidLeavingTTL is how long a host's last word that it leaves is remembered if the host
// list does not name its process or does not list it any more. It is longer than a host
// stays up after that.
const saidLeavingTTL = 2 * time.Minute

// LeavingHosts are the hosts of plain services that have said in an answer, in their
// present life, that they leave. It is not safe for concurrent use.
type LeavingHosts struct{ said map[string]saidLeaving }

type saidLeaving struct {
	life hostLife
	at   time.Time
}

// NewLeavingHosts returns an empty set.
func NewLeavingHosts() *LeavingHosts { return &LeavingHosts{said: make(map[string]saidLeaving)} }

// Observe records that a host has said that it leaves, and reports whether this is new.
// listed reports whether a host is in the host list; one that is not is forgotten after
// some time.
func (l *LeavingHosts) Observe(host hostlist.Host, now time.Time, listed func(name string) bool) (changed bool) {
	maps.DeleteFunc(l.said, func(name string, s saidLeaving) bool { return !listed(name) && now.Sub(s.at) >= saidLeavingTTL })
	changed = !l.Leaves(host, now)
	l.said[host.Name] = saidLeaving{life: lifeOf(host), at: now}
	return changed
}

// Leaves reports whether a host has said in its present life that it leaves. If the host
// list does not name the process, the word counts for saidLeavingTTL.
func (l *LeavingHosts) Leaves(host hostlist.Host, now time.Time) bool {
	s, known := l.said[host.Name]
	return known && s.life == lifeOf(host) && (host.BootID != "" || now.Sub(s.at) < saidLeavingTTL)
}
