package route

import (
	"maps"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/request/place"
)

// HostWaits are the times for which hosts of plain services take no calls from this
// node, each for one life of its host. It is not safe for concurrent use.
type HostWaits struct{ waits map[string]hostWait }

// hostLife identifies one run of the process behind an entry of the host list.
type hostLife struct{ address, bootID string }

func lifeOf(host hostlist.Host) hostLife { return hostLife{host.Address, host.BootID} }

type hostWait struct {
	life  hostLife
	until time.Time
	// credit is the part of a call that the host has saved up while its share grows.
	credit float64
}

// NewHostWaits returns a set without waits.
func NewHostWaits() *HostWaits { return &HostWaits{waits: make(map[string]hostWait)} }

// Observe records that a host takes no calls for a time d above 0, of which at most
// endpoint.MaxWait count. Of several times the latest end counts. It returns that end,
// and whether it is new.
func (w *HostWaits) Observe(host hostlist.Host, d time.Duration, now time.Time) (until time.Time, changed bool) {
	maps.DeleteFunc(w.waits, func(_ string, known hostWait) bool { return place.RampShare(known.until, now) == 1 })
	until = now.Add(min(d, endpoint.MaxWait))
	if former := w.End(host); !until.After(former) {
		return former, false
	}
	w.waits[host.Name] = hostWait{life: lifeOf(host), until: until}
	return until, true
}

// End returns the end of the last wait of a host in its present life, or the zero time.
func (w *HostWaits) End(host hostlist.Host) time.Time {
	if known := w.waits[host.Name]; known.life == lifeOf(host) {
		return known.until
	}
	return time.Time{}
}

// TakesTurn reports whether a host, whose wait is over, takes the call that is its turn:
// after a wait it takes a growing share of them.
func (w *HostWaits) TakesTurn(host hostlist.Host, now time.Time) bool {
	share := place.RampShare(w.End(host), now)
	if share == 1 {
		return true
	}
	known := w.waits[host.Name]
	known.credit += share
	takes := known.credit >= 1
	if takes {
		known.credit--
	}
	w.waits[host.Name] = known
	return takes
}
