package place

import (
	"math"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// HostLimit returns the number of requests in flight, over all nodes, that the head of an
// open group may have for a request of the query. It is 0 for one that gets none from
// this node now, and for cold hosts, which each node leaves to few others.
func (b *Board) HostLimit(host *fleet.Host, q Query, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ensureHost(host.ID)
	if b.blockedBy(host, r, q, now) != ReasonNone {
		return 0
	}
	if _, limited := b.warmup.Room(q.Service, host, now); limited {
		return 0
	}
	limit := hostLimit(host, q)
	if b.usesAdmission(q, now) {
		// A rank that yields to more urgent ones has less headroom.
		limit = max(int(b.admission.Threshold(q.admission(0, 0).Model, q.Rank, now)*float64(limit)), 1)
	}
	return b.rampedLimit(host, limit, now)
}

// RetryAfter estimates when there is room for a request that a node with newer counts
// has refused.
func (b *Board) RetryAfter(view *fleet.View, q Query, now time.Time) *Refusal {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.survey(q.hosts(view), q, now)
	refusal := &Refusal{Candidates: s.count, Load: s.load, Limit: s.limit, AdmittedShare: 1}
	refusal.RetryAfter, _ = b.retryAfter(q, refusal, now)
	return refusal
}

// preferred returns the host that the query prefers if this node may send to it. Its
// load does not matter, since the counts here are older. The caller holds mu.
func (b *Board) preferred(view *fleet.View, q Query, now time.Time) (candidate, bool) {
	host := view.Host(q.Preferred)
	if host == nil || host.Service != q.Service.Name || !host.IsOpenHead() || host.LoadedModel != q.Model {
		return candidate{}, false
	}
	r := b.ensureHost(host.ID)
	if b.blockedBy(host, r, q, now) != ReasonNone {
		return candidate{}, false
	}
	if _, limited := b.warmup.Room(q.Service, host, now); limited {
		return candidate{}, false
	}
	c := b.candidate(host, r, q, now)
	room, _ := b.rateLimitRoom(host, b.reportAge(now), now)
	c.limited = !math.IsInf(room, 1)
	return c, room > 0
}
