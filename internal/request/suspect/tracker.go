// Package suspect finds requests that crash the endpoints that run them. When
// an endpoint is lost, every request in flight there becomes suspect, weighted
// by their number; a suspect runs alone, and one that reaches the limit is
// refused at every node. Weights travel between nodes in digests.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

const (
	// maxInFlight is the number of requests beyond which a loss gives no
	// smaller weights.
	maxInFlight = 256
	// Limit is the weight at which a request is refused. One loss alone never
	// reaches it, and a loss beside others together with one alone does.
	Limit = 1 + 1.0/maxInFlight
	// Expiry is how long a loss counts.
	Expiry = 10 * time.Minute
	// CorrelationWindow is the time within which losses of one domain count
	// as one event.
	CorrelationWindow = 5 * time.Second
	// CorrelatedLosses is the number of endpoints of one domain, lost within
	// the window, from which no single request is held responsible.
	CorrelatedLosses = 3
	// DigestLines is the largest number of suspects in one digest.
	DigestLines = 16
	// AnnounceDelay is how long after a loss the final error of its requests
	// is held back, so that every node knows of it before a caller can send
	// the request again.
	AnnounceDelay = 3 * time.Second
	// maxLosses bounds the losses that are kept; the oldest are dropped.
	maxLosses = 256
)

// Loss is the death of one endpoint, or of one replica group.
type Loss struct {
	Endpoint      string
	FailureDomain string
	FabricDomain  string
	// InFlight holds the fingerprints of the requests that it was running.
	InFlight []uint64
}

// Verdict is what to do with a request.
type Verdict struct {
	// Weight is the sum of all nodes' suspicion.
	Weight float64
	// Isolate asks for an endpoint that runs nothing else.
	Isolate bool
	// Refuse asks to refuse the request with refusal.KindCrashSuspect.
	Refuse bool
}

// loss is a Loss with its time and the weight that it gives each request.
type loss struct {
	Loss
	at     time.Time
	weight float64
}

// line is the suspicion that another node reported.
type line struct {
	weight float64
	last   time.Time
}

// Tracker keeps the suspicions of one node and those that others report. It
// has no clock and does no I/O, and is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	losses []loss
	remote map[string]map[uint64]line
}

// New returns a tracker without suspicions.
func New() *Tracker { return &Tracker{remote: map[string]map[uint64]line{}} }

// Lost takes the loss of an endpoint, also one that was running nothing. The
// home node that had assigned the requests reports it, once. It returns the
// requests of the loss that are refused from now on.
func (t *Tracker) Lost(l Loss, now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	l.InFlight = slices.Clone(l.InFlight)
	slices.Sort(l.InFlight)
	l.InFlight = slices.Compact(l.InFlight)
	weight := 1 / float64(min(max(len(l.InFlight), 1), maxInFlight))
	if len(t.losses) >= maxLosses {
		t.losses = t.losses[1:]
	}
	t.losses = append(t.losses, loss{l, now, weight})
	var refused []uint64
	for _, fingerprint := range l.InFlight {
		if t.weight(fingerprint, now) >= Limit {
			refused = append(refused, fingerprint)
		}
	}
	return refused
}

// Finished takes a request that ran to its end: it does not crash endpoints,
// so this node drops its suspicion.
func (t *Tracker) Finished(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.losses {
		t.losses[i].InFlight = slices.DeleteFunc(t.losses[i].InFlight, func(f uint64) bool { return f == fingerprint })
	}
}

// Merge replaces what another node reports.
func (t *Tracker) Merge(node string, lines []peer.Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := make(map[uint64]line, len(lines))
	for _, s := range lines[:min(len(lines), DigestLines)] {
		age := time.Duration(s.AgeMillis) * time.Millisecond
		reported[s.Fingerprint] = line{weight: s.Weight, last: now.Add(-age)}
	}
	if len(reported) == 0 {
		delete(t.remote, node)
		return
	}
	t.remote[node] = reported
}

// Verdict judges a request before it is queued and before it is assigned.
func (t *Tracker) Verdict(fingerprint uint64, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	weight := t.weight(fingerprint, now)
	return Verdict{Weight: weight, Isolate: weight > 0, Refuse: weight >= Limit}
}

// weight sums the suspicion of all nodes. The caller holds mu.
func (t *Tracker) weight(fingerprint uint64, now time.Time) float64 {
	weight, _ := t.local(fingerprint, now)
	for _, lines := range t.remote {
		if l, ok := lines[fingerprint]; ok && now.Sub(l.last) < Expiry {
			weight += l.weight
		}
	}
	return weight
}

// HoldUntil returns the time before which the final error of the request must
// not reach its caller; zero where this node has seen no loss with it.
func (t *Tracker) HoldUntil(fingerprint uint64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var until time.Time
	for _, l := range t.losses {
		if slices.Contains(l.InFlight, fingerprint) {
			until = l.at.Add(AnnounceDelay)
		}
	}
	return until
}

// Digest returns this node's own suspicions for its next digest, the heaviest
// first.
func (t *Tracker) Digest(now time.Time) []peer.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var lines []peer.Suspect
	for _, fingerprint := range t.fingerprints() {
		weight, last := t.local(fingerprint, now)
		if weight > 0 {
			lines = append(lines, peer.Suspect{Fingerprint: fingerprint, Weight: weight, AgeMillis: now.Sub(last).Milliseconds()})
		}
	}
	slices.SortFunc(lines, func(a, b peer.Suspect) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return lines[:min(len(lines), DigestLines)]
}

// local returns this node's suspicion and when its last loss was. The caller
// holds mu.
func (t *Tracker) local(fingerprint uint64, now time.Time) (float64, time.Time) {
	weight, last := 0.0, time.Time{}
	for i, l := range t.losses {
		if now.Sub(l.at) >= Expiry || !slices.Contains(l.InFlight, fingerprint) || t.excused(i, fingerprint) {
			continue
		}
		weight += l.weight
		last = l.at
	}
	return weight, last
}

// excused reports whether a loss belongs to a correlated one that the request
// did not cause: it was not running at every endpoint lost with it.
func (t *Tracker) excused(i int, fingerprint uint64) bool {
	together, present := 0, 0
	for _, other := range t.losses {
		if !correlated(t.losses[i], other) {
			continue
		}
		together++
		if slices.Contains(other.InFlight, fingerprint) {
			present++
		}
	}
	return together >= CorrelatedLosses && present < together
}

// correlated reports whether two losses share a domain and a moment.
func correlated(a, b loss) bool {
	if a.at.Sub(b.at).Abs() > CorrelationWindow {
		return false
	}
	fabric := a.FabricDomain != "" && a.FabricDomain == b.FabricDomain
	failure := a.FailureDomain != "" && a.FailureDomain == b.FailureDomain
	return fabric || failure
}

// fingerprints lists all suspects of this node. The caller holds mu.
func (t *Tracker) fingerprints() []uint64 {
	var all []uint64
	for _, l := range t.losses {
		all = append(all, l.InFlight...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// expire drops old losses and reports. The caller holds mu.
func (t *Tracker) expire(now time.Time) {
	t.losses = slices.DeleteFunc(t.losses, func(l loss) bool { return now.Sub(l.at) >= Expiry })
	for node, lines := range t.remote {
		for fingerprint, l := range lines {
			if now.Sub(l.last) >= Expiry {
				delete(lines, fingerprint)
			}
		}
		if len(lines) == 0 {
			delete(t.remote, node)
		}
	}
}
