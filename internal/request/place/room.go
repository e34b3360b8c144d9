package place

import (
	"math"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// Shares of a group's batch that requests of rank 0, rank 1 and all further
	// ranks may fill. A less urgent rank leaves headroom, so that its bursts do
	// not delay the more urgent ones.
	rank0BatchShare   = 1.0
	rank1BatchShare   = 0.95
	lowRankBatchShare = 0.8
	// plainRequestsPerSlot limits the requests in flight at an endpoint of a
	// plain service, as a multiple of its slots.
	plainRequestsPerSlot = 3
)

// Reason names the rule that keeps a host from getting a request.
type Reason string

const (
	ReasonNone        Reason = ""
	ReasonTried       Reason = "tried before"
	ReasonSuspected   Reason = "suspected"
	ReasonQuarantined Reason = "quarantined"
	ReasonWaiting     Reason = "asks for no requests"
	ReasonFull        Reason = "full"
	ReasonRateLimited Reason = "rate limit"
	ReasonCold        Reason = "cold"
)

// blockedBy returns the rule by which a host gets no request at present, whatever its
// load is. The caller holds mu.
func (b *Board) blockedBy(host *fleet.Host, r *hostRecord, q Query, now time.Time) Reason {
	if slices.Contains(q.Exclude, host.ID) {
		return ReasonTried
	}
	if now.Before(r.suspectedUntil) && !q.TrustsGroups && host.ID != q.Preferred {
		return ReasonSuspected
	}
	// A quarantined endpoint of a plain service stays a candidate, because there
	// may be no other. Its penalty ranks it last.
	if q.Service.Engine != nil && now.Before(r.quarantinedUntil) {
		return ReasonQuarantined
	}
	if w := b.waitOf(host); w != nil && now.Before(w.until) {
		return ReasonWaiting
	}
	return ReasonNone
}

// withRoom returns the candidates that have room, with the room of each, and counts in
// the survey those that are not full. The caller holds mu.
func (b *Board) withRoom(s *survey, now time.Time) []candidate {
	candidates := s.candidates[:0]
	reportAge := b.reportAge(now)
	for _, c := range s.candidates {
		reason, perSecond := b.setRoom(&c, reportAge, now)
		if reason != ReasonFull {
			s.notFull++
			s.limitedRate += perSecond / s.part
		}
		if reason == ReasonNone {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// setRoom sets how many more requests a candidate may get from all nodes until their
// next reports, the least that a rule allows. It returns the rule that leaves no room,
// and the limit of requests a second that the host names, or 0. The caller holds mu.
func (b *Board) setRoom(c *candidate, reportAge time.Duration, now time.Time) (reason Reason, perSecond float64) {
	c.room = math.Inf(1)
	if max(c.load, float64(c.reported)) >= float64(c.limit) {
		c.room = 0
		return ReasonFull, 0
	}
	room, perSecond := b.rateLimitRoom(c.host, reportAge, now)
	if c.limited = !math.IsInf(room, 1); c.limited {
		c.room = min(c.room, room)
	}
	if c.room <= 0 {
		return ReasonRateLimited, perSecond
	}
	return ReasonNone, perSecond
}

// hostLimit is the number of requests in flight that the host may have.
func hostLimit(host *fleet.Host, q Query) int {
	if q.Service.Engine == nil {
		return max(host.Slots, 1) * plainRequestsPerSlot
	}
	return RankLimit(q.Service.Engine, q.Rank)
}

// RankLimit is the load of a group, in requests in flight, at which it takes no
// more requests of the rank.
func RankLimit(engine *fleet.Engine, rank int) int {
	share := lowRankBatchShare
	switch {
	case rank <= 0:
		share = rank0BatchShare
	case rank == 1:
		share = rank1BatchShare
	}
	return max(int(share*float64(engine.Slots)), 1)
}
