package place

import (
	"time"

	"currantladder.example/currantladder/internal/request/warmup"
	"currantladder.example/currantladder/internal/version/fleet"
)

// LimitColdHosts makes the board ask the guard how many requests cold hosts may get. It must
// be called before the board is used.
func (b *Board) LimitColdHosts(guard *warmup.Guard) { b.warmup = guard }

// coldCandidates are the cold hosts that could run a request.
type coldCandidates struct {
	// found counts them, and open are those that may get the request.
	found int
	open  []candidate
}

// add adds the candidate if its host is cold, and reports whether it is. The caller holds
// mu of the board.
func (cold *coldCandidates) add(b *Board, c candidate, q Query, now time.Time) bool {
	room, limited := b.warmup.Room(q.Service, c.host, now)
	if !limited {
		return false
	}
	cold.found++
	if room > 0 && c.reported < c.limit {
		c.load = float64(c.reported)
		c.cost = c.load + b.penalty(c.host, c.record, q, now)*float64(c.limit)
		cold.open = append(cold.open, c)
	}
	return true
}

// closed returns the number of cold hosts that may not get the request.
func (cold *coldCandidates) closed() int { return cold.found - len(cold.open) }

// cheapest returns the cold host with the lowest cost, unless a warm one that has room costs
// no more. No other rule is needed to keep nodes from choosing the same host: few may send
// to it, and each of them little. The caller holds mu of the board.
func (cold *coldCandidates) cheapest(b *Board, warm []candidate, now time.Time) (chosen candidate, found bool) {
	reportAge := b.reportAge(now)
	for _, c := range cold.open {
		if found && c.cost >= chosen.cost {
			continue
		}
		if reason, _ := b.setRoom(&c, reportAge, now); reason == ReasonNone {
			chosen, found = c, true
		}
	}
	for _, c := range warm {
		if found && c.cost <= chosen.cost {
			return candidate{}, false
		}
	}
	return chosen, found
}

// coldRetryTime is the time over which callers are spread that return because only cold
// hosts could run their requests. By then each node may send to them again.
const coldRetryTime = 1250 * time.Millisecond

// retryAfter returns when a caller should return that was refused because only cold hosts
// could run its request. The caller holds mu of the board.
func (cold *coldCandidates) retryAfter(b *Board) time.Duration {
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
