package share

import (
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
)

// evidence is the latest evidence that other nodes see this process as live.
type evidence struct {
	session Session
	// listedAt is when the last host list that names this process was requested.
	listedAt time.Time
}

// presence decides whether other nodes may have reclaimed this process's shares.
// It lapses once all evidence is older than the timeout, or when the session is
// replaced. Only a session renewal sent after the lapse makes it valid again: a
// reclaim asserts the version of the session row, so after the renewal no reclaim
// can succeed that relies on earlier observations.
type presence struct {
	valid          bool
	incarnation    int64
	latestEvidence time.Time
	// validSince is when the presence became valid. Reads of rows that were sent
	// earlier must not be used.
	validSince time.Time
	// lapsedAt is when the presence last lapsed.
	lapsedAt time.Time
}

// update applies new evidence. It reports whether the presence has just lapsed, or
// may have lapsed and recovered since the last call.
func (p *presence) update(e evidence, now time.Time, timeout time.Duration) bool {
	latestEvidence := later(e.session.LastRenewalSent, e.listedAt)
	gap := latestEvidence.Sub(p.latestEvidence) >= timeout
	replaced := e.session.Incarnation != p.incarnation
	expired := now.Sub(later(latestEvidence, p.latestEvidence)) >= timeout
	lapsed := p.valid && (gap || replaced || expired)
	if lapsed {
		p.valid = false
		p.lapsedAt = now
	}
	p.incarnation = e.session.Incarnation
	p.latestEvidence = later(latestEvidence, p.latestEvidence)
	if !p.valid && !expired {
		p.tryRecover(e, now)
	}
	return lapsed
}

func (p *presence) tryRecover(e evidence, now time.Time) {
	if e.session.Incarnation == 0 || !e.session.LastRenewalSent.After(p.lapsedAt) {
		return
	}
	p.valid = true
	p.validSince = now
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// listsNode reports whether the list names the node with the given address. An
// empty address matches any.
func listsNode(list hostlist.List, node, address string) bool {
	for _, h := range list.Hosts {
		if h.Role == hostlist.RoleNode && h.Name == node && (address == "" || h.Address == address) {
			return true
		}
	}
	return false
}
