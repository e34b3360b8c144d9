package place

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// hosts returns the hosts that run the service and the model, in order of ID. The view
// keeps them in an index, so that hosts without requests, such as the members of groups,
// cost a choice nothing.
func (q Query) hosts(view *fleet.View) []*fleet.Host {
	if q.Service.Engine == nil {
		return view.ReadyHosts(q.Service.Name)
	}
	return view.OpenHeads(q.Service.Name, q.Model)
}

// MayServe reports whether a host could run the request, be it full, suspected or
// quarantined at present.
func MayServe(view *fleet.View, q Query) bool {
	return slices.ContainsFunc(q.hosts(view), func(h *fleet.Host) bool { return !slices.Contains(q.Exclude, h.ID) })
}

// candidate is a host that may take a request.
type candidate struct {
	host *fleet.Host
	// ownInFlight is the number of this node's requests at the host; reported
	// adds the numbers that the other nodes reported.
	ownInFlight, reported, limit int
	// load is the estimated number of requests at the host. cost is load plus
	// the penalty, in requests.
	load, cost float64
	// limited is true if the host names a limit of requests a second. room is how
	// many more it may get from all nodes until their next reports, without a limit
	// infinite.
	limited bool
	room    float64
}

// survey is what a choice knows of the hosts of a service and model.
type survey struct {
	// candidates are the hosts that may take requests now, whatever their load.
	candidates []candidate
	// count, load, limit and ownInFlight are sums over them.
	count, load, limit, ownInFlight int
	// waiting is the number of hosts that ask for no requests, and firstWaitEnd when the
	// first of them takes requests again.
	waiting      int
	firstWaitEnd time.Time
	// notFull is the number of candidates below their limit of requests in flight.
	// limitedRate is the number of requests a second that those of them that name a
	// limit take together.
	notFull     int
	limitedRate float64
}

// survey collects the candidates among the hosts. The caller holds mu.
func (b *Board) survey(hosts []*fleet.Host, q Query, now time.Time) survey {
	var s survey
	for _, host := range hosts {
		switch b.blockedBy(host, q, now) {
		case ReasonNone:
			s.add(b.candidate(host, q, now))
		case ReasonWaiting:
			w := b.waitOf(host)
			w.leftOut++
			s.waiting++
			if s.firstWaitEnd.IsZero() || w.until.Before(s.firstWaitEnd) {
				s.firstWaitEnd = w.until
			}
		}
	}
	return s
}

// add adds a candidate and its counts.
func (s *survey) add(c candidate) {
	s.candidates = append(s.candidates, c)
	s.count++
	s.load += c.reported
	s.limit += c.limit
	s.ownInFlight += c.ownInFlight
}

// candidate returns a host with its counts. The caller holds mu.
func (b *Board) candidate(host *fleet.Host, q Query, now time.Time) candidate {
	c := candidate{host: host, limit: b.rampedLimit(host, hostLimit(host, q), now), reported: b.load(host.ID, now)}
	if r := b.hosts[host.ID]; r != nil {
		c.ownInFlight = r.inFlight
	}
	return c
}
