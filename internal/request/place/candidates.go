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
	host   *fleet.Host
	record *hostRecord
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
	// candidates are hosts that may take requests now, whatever their load: all of
	// them, or a sample. part is the sample's part of the hosts, 1 for all.
	candidates []candidate
	part       float64
	// count, load, limit and ownInFlight are sums over all hosts that may take requests.
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
	// coldFound is the number of cold hosts, which the other fields leave out. cold are
	// those that may get the request.
	coldFound int
	cold      []candidate
	// index holds all hosts if the candidates are a sample, and is nil otherwise. looked
	// is the number of hosts that were looked at.
	index  *loadIndex
	looked int
}

// survey collects the candidates among the hosts. Beyond maxCandidates hosts it takes a
// sample, and the sums of the index. The caller holds mu.
func (b *Board) survey(hosts []*fleet.Host, q Query, now time.Time) survey {
	b.expireReports(now)
	if len(hosts) == 0 {
		return survey{}
	}
	x := b.index(hosts, q, now)
	if len(x.warm) > maxCandidates {
		s := b.surveySample(x, q, now)
		b.addCold(&s, x, q, now)
		return s
	}
	s := survey{part: 1, looked: len(x.warm), candidates: make([]candidate, 0, len(x.warm))}
	for i, host := range x.warm {
		b.addHost(&s, host, x.records[i], q, now)
	}
	b.addCold(&s, x, q, now)
	return s
}

// addHost adds a host as a candidate with its counts, or counts it as waiting. The caller
// holds mu.
func (b *Board) addHost(s *survey, host *fleet.Host, r *hostRecord, q Query, now time.Time) {
	switch b.blockedBy(host, r, q, now) {
	case ReasonNone:
		c := b.candidate(host, r, q, now)
		s.candidates = append(s.candidates, c)
		s.count++
		s.load += c.reported
		s.limit += c.limit
		s.ownInFlight += c.ownInFlight
	case ReasonWaiting:
		s.addWaiting(b.waitOf(host))
	}
}

// addWaiting counts a host that asks for no requests.
func (s *survey) addWaiting(w *wait) {
	w.leftOut++
	s.waiting++
	if s.firstWaitEnd.IsZero() || w.until.Before(s.firstWaitEnd) {
		s.firstWaitEnd = w.until
	}
}

// onlyWaiting reports whether there are endpoints that could run the request and all of them ask
// for none.
func (s *survey) onlyWaiting() bool { return s.count == 0 && s.coldFound == 0 && s.waiting > 0 }

// candidate returns a host with its counts. The caller holds mu.
func (b *Board) candidate(host *fleet.Host, r *hostRecord, q Query, now time.Time) candidate {
	return candidate{host: host, record: r, limit: b.rampedLimit(host, hostLimit(host, q), now), ownInFlight: r.inFlight, reported: r.load()}
}
