package share

import (
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
)

// evidence is what the node last learned of its own standing.
type evidence struct {
	session Session
	// listed is when a host list naming this process was last asked for.
	listed time.Time
}

// presence decides whether other nodes may have reclaimed this process's
// shares. It becomes void once no evidence is younger than the void time, and
// valid again only by a session renewal sent afterwards: a reclaim asserts the
// session row, so none can follow that renewal on older observations.
type presence struct {
	valid       bool
	incarnation int64
	proven      time.Time
	// since is when the presence became valid; rows must be read after it.
	since time.Time
	// lapse is when it last became void.
	lapse time.Time
}

// observe takes new evidence and reports whether the presence has just become
// void, or may have been so between two calls.
func (p *presence) observe(e evidence, now time.Time, void time.Duration) bool {
	proven := later(e.session.Proven, e.listed)
	gap := proven.Sub(p.proven) >= void
	replaced := e.session.Incarnation != p.incarnation
	old := now.Sub(later(proven, p.proven)) >= void
	lapsed := p.valid && (gap || replaced || old)
	if lapsed {
		p.valid = false
		p.lapse = now
	}
	p.incarnation = e.session.Incarnation
	p.proven = later(proven, p.proven)
	if !p.valid && !old {
		p.recover(e, now)
	}
	return lapsed
}

func (p *presence) recover(e evidence, now time.Time) {
	if e.session.Incarnation == 0 || !e.session.Proven.After(p.lapse) {
		return
	}
	p.valid = true
	p.since = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// names reports whether the list names the node, at the given address unless
// that is empty.
func names(list hostlist.List, node, address string) bool {
	for _, h := range list.Hosts {
		if h.Role == hostlist.RoleNode && h.Name == node && (address == "" || h.Address == address) {
			return true
		}
	}
	return false
}
