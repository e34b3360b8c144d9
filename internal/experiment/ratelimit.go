package experiment

import (
	"time"

	"currantladder.example/currantladder/internal/request/ratelimit"
)

// Bounds for hosts that name a limit: in a window, from a grace after they first named
// it, at most limitFactor times what the limit allows and limitSlack more.
const (
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// LimitResult describes a run in which hosts name limits.
type LimitResult struct {
	// Limited counts the hosts that named a limit and got requests after the grace,
	// and Broken those of them that got more in a window than the bound.
	Limited, Broken int
	// Used is the mean number of requests a second at these hosts, as a share of
	// their limits.
	Used float64
}

// hostLimit is the limit that a host names, and the requests that reach the host.
type hostLimit struct {
	perSecond  float64
	from, till time.Duration
	arrivals   []time.Duration
}

// limitHosts makes hosts name a limit in their answers, for a time.
func (sim *simulation) limitHosts(f FailureSheet) {
	for _, h := range sim.hosts.pickAlive(f.Count) {
		h.limit = &hostLimit{perSecond: f.PerSecond, from: sim.now, till: sim.now + f.Duration}
		sim.limits = append(sim.limits, h.limit)
	}
}

// recordLimited counts an attempt that reaches a host.
func (h *simulatedHost) recordLimited(now time.Duration) {
	if h.limit != nil && now < h.limit.till {
		h.limit.arrivals = append(h.limit.arrivals, now)
	}
}

// observeRateLimit tells the board of a node what the first event of an attempt says.
func (n *node) observeRateLimit(a *attempt) {
	limit := ratelimit.Limit{}
	if l := n.hosts.byID[a.host.ID].limit; l != nil && n.now < l.till {
		limit = ratelimit.Limit{Named: true, PerSecond: l.perSecond}
	}
	n.board.ObserveRateLimit(a.host, limit, n.time())
}

// limitResult checks the bound at all hosts that named a limit.
func (sim *simulation) limitResult() LimitResult {
	var r LimitResult
	for _, l := range sim.limits {
		from := l.from + limitGrace
		count, most, first := 0, 0, 0
		for last, at := range l.arrivals {
			if at < from {
				first = last + 1
				continue
			}
			count++
			for at-l.arrivals[first] > limitWindow {
				first++
			}
			most = max(most, last-first+1)
		}
		if count == 0 {
			continue // a member, which gets no requests
		}
		r.Limited++
		r.Used += float64(count) / (l.perSecond * (l.till - from).Seconds())
		if float64(most) > limitFactor*l.perSecond*limitWindow.Seconds()+limitSlack {
			r.Broken++
		}
	}
	r.Used /= float64(max(r.Limited, 1))
	return r
}
