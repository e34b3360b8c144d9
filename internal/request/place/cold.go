package place

import (
	"time"

	"currantladder.example/currantladder/internal/request/warmup"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// coldRetryTime is the time over which callers are spread that return because only cold
	// hosts could run their requests. By then each node may send to them again.
	coldRetryTime = 1250 * time.Millisecond
	// minColdRebuild is the least time between two builds of an index because hosts have
	// become warm. After an evacuation many do so one after the other.
	minColdRebuild = 100 * time.Millisecond
)

// LimitColdHosts makes the board ask the guard how many requests cold hosts may get. It must
// be called before the board is used.
func (b *Board) LimitColdHosts(guard *warmup.Guard) { b.warmup = guard }

// coldHosts are the hosts of a service and model that were cold when its index was built.
type coldHosts struct {
	// found counts them. own are those to which this node may send.
	found int
	own   []coldHost
	// until is when the index is to be built again; zero if no host is cold.
	until time.Time
}

type coldHost struct {
	host   *fleet.Host
	record *hostRecord
}

// add adds the host if it is cold, and reports whether it is.
func (cold *coldHosts) add(guard *warmup.Guard, host *fleet.Host, r *hostRecord, q Query, now time.Time) bool {
	until, quota := guard.ColdUntil(q.Service, host, now)
	if until.IsZero() {
		return false
	}
	if earliest := now.Add(minColdRebuild); until.Before(earliest) {
		until = earliest
	}
	if cold.found++; cold.until.IsZero() || until.Before(cold.until) {
		cold.until = until
	}
	if quota > 0 {
		cold.own = append(cold.own, coldHost{host, r})
	}
	return true
}

// isOutdated reports whether a host has become warm.
func (cold *coldHosts) isOutdated(now time.Time) bool {
	return !cold.until.IsZero() && !now.Before(cold.until)
}

// addCold adds the cold hosts that may get the request to a survey. Where many are cold, it
// looks at some of them. The caller holds mu.
func (b *Board) addCold(s *survey, x *loadIndex, q Query, now time.Time) {
	s.coldFound = x.cold.found
	own := x.cold.own
	if len(own) == 0 {
		return
	}
	first := int(b.random() * float64(len(own)))
	for i := range min(len(own), maxCandidates) {
		cold := own[(first+i)%len(own)]
		s.looked++
		if b.blockedBy(cold.host, cold.record, q, now) != ReasonNone {
			continue
		}
		if room, limited := b.warmup.Room(q.Service, cold.host, now); !limited || room <= 0 {
			continue
		}
		c := b.candidate(cold.host, cold.record, q, now)
		c.load = float64(c.reported)
		c.cost = c.load + b.penalty(c.host, c.record, q, now)*float64(c.limit)
		s.cold = append(s.cold, c)
	}
}

// pickCold returns the cold host with the lowest cost, unless a warm one that has room costs
// no more. No other rule is needed to keep nodes from choosing the same host: few may send
// to it, and each of them little. The caller holds mu.
func (b *Board) pickCold(s *survey, warm []candidate, now time.Time) (chosen candidate, found bool) {
	reportAge := b.reportAge(now)
	for _, c := range s.cold {
		if reason, _ := b.setRoom(&c, reportAge, now); reason == ReasonNone && (!found || c.cost < chosen.cost) {
			chosen, found = c, true
		}
	}
	for _, c := range warm {
		if c.cost <= chosen.cost {
			return candidate{}, false
		}
	}
	return chosen, found
}

// coldRetryAfter returns when a caller should return that was refused because only cold hosts
// could run its request. The caller holds mu.
func (b *Board) coldRetryAfter() time.Duration {
	return minRetryAfter + time.Duration(b.random()*float64(coldRetryTime))
}

// started counts a request as sent to the chosen candidate. The caller holds mu.
func (b *Board) started(c candidate, q Query, isCold bool, now time.Time) Choice {
	c.record.addOwn(1)
	b.limiter.Sent(c.host.ID, now)
	b.warmup.Sent(q.Service, c.host, now)
	return Choice{Host: c.host, Load: c.reported, Limit: c.limit, RateLimited: c.limited, Cold: isCold}
}

// ForgetCold drops what was counted for the limits of cold hosts that are gone.
func (b *Board) ForgetCold(view *fleet.View, now time.Time) {
	b.warmup.Forget(func(id string) bool { return view.Host(id) != nil }, now)
}
