package place

import (
	"slices"
	"time"
)

const (
	// maxCandidates is the number of hosts up to which a choice looks at all of them.
	// Among more it looks at a sample of this size.
	maxCandidates = 64
	// maxFurtherCandidates limits how many more hosts a choice looks at if the sample has
	// no room. The first ones have the most.
	maxFurtherCandidates = maxCandidates
)

// surveySample collects a sample of the hosts at even distances in the order of load, from
// a random one on. Each host is in it with the same probability, and its loads are
// distributed as those of all hosts, so that the shares of water-filling stay the same on
// average. The sums are those of the index less the hosts that a rule leaves out. The
// caller holds mu.
func (b *Board) surveySample(x *loadIndex, q Query, now time.Time) survey {
	n := len(x.entries)
	s := survey{index: x, candidates: make([]candidate, 0, maxCandidates), count: n, load: x.load, ownInFlight: x.own}
	distance := float64(n) / maxCandidates
	for position := b.random() * distance; len(s.candidates) < maxCandidates && position < float64(n); position += distance {
		e := x.entries[int(position)]
		if b.blockedBy(e.host, e.record, q, now) == ReasonNone {
			s.candidates = append(s.candidates, b.candidate(e.host, e.record, q, now))
		}
	}
	s.looked = maxCandidates
	if s.limit = x.slots * plainRequestsPerSlot; q.Service.Engine != nil {
		s.limit = n * RankLimit(q.Service.Engine, q.Rank)
	}
	b.leaveOutImpaired(&s, q, now)
	s.part = float64(len(s.candidates)) / float64(max(s.count, 1))
	return s
}

// leaveOutImpaired takes the hosts that may not get the request out of the sums of a
// survey. The caller holds mu.
func (b *Board) leaveOutImpaired(s *survey, q Query, now time.Time) {
	leaveOut := func(e *indexEntry) {
		s.count--
		s.load -= e.record.load()
		s.ownInFlight -= e.record.inFlight
		s.limit -= hostLimit(e.host, q)
	}
	for id := range b.impaired {
		r := b.hosts[id]
		if r == nil || b.isSound(id, r, now) {
			delete(b.impaired, id)
			continue
		}
		if r.entry == nil || r.entry.index != s.index {
			continue
		}
		host := r.entry.host
		switch b.blockedBy(host, r, q, now) {
		case ReasonNone:
			limit := hostLimit(host, q)
			s.limit += b.rampedLimit(host, limit, now) - limit
		case ReasonTried: // left out below
		case ReasonWaiting:
			s.addWaiting(b.waitOf(host))
			leaveOut(r.entry)
		default:
			leaveOut(r.entry)
		}
	}
	for i, id := range q.Exclude {
		if r := b.hosts[id]; r != nil && r.entry != nil && r.entry.index == s.index && !slices.Contains(q.Exclude[:i], id) {
			leaveOut(r.entry)
		}
	}
}

// isSound reports whether no rule keeps requests from a host but its load and a limit
// of requests a second. The caller holds mu.
func (b *Board) isSound(id string, r *hostRecord, now time.Time) bool {
	w := b.waits[id]
	return !now.Before(r.suspectedUntil) && !now.Before(r.quarantinedUntil) && (w == nil || now.Sub(w.until) >= waitRampTime)
}

// lookFurther returns candidates with room for a survey whose sample has none: the least
// loaded hosts that name no limit of requests a second. The index shows where the full
// hosts begin. The caller holds mu.
func (b *Board) lookFurther(s *survey, q Query, now time.Time) []candidate {
	highest := s.index.maxSlots * plainRequestsPerSlot
	if q.Service.Engine != nil {
		highest = RankLimit(q.Service.Engine, q.Rank)
	}
	further := survey{count: s.count, load: s.load, ownInFlight: s.ownInFlight, part: 1}
	for _, e := range s.index.entries {
		if e.load >= highest || len(further.candidates) == maxFurtherCandidates {
			break
		}
		s.looked++
		if b.blockedBy(e.host, e.record, q, now) == ReasonNone {
			further.candidates = append(further.candidates, b.candidate(e.host, e.record, q, now))
		}
	}
	b.estimateLoad(&further, q, now)
	found := slices.DeleteFunc(b.withRoom(&further, now), func(c candidate) bool { return c.limited })
	if len(found) > 0 {
		s.notFull, s.part = len(found), 1
	}
	return found
}
