// Package suspect finds requests that crash the endpoints that run them. When
// an endpoint is lost, every request in flight there becomes a suspect, with a
// weight of one divided by their number. A suspect runs on an endpoint without
// other work. When its weight reaches RefusalThreshold, every node refuses it.
// Nodes exchange the weights in digests.
package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

const (
	// maxWeightDivisor is the largest divisor of a loss's weight: with more
	// requests in flight, each still gets 1/maxWeightDivisor.
	maxWeightDivisor = 256
	// RefusalThreshold is the weight at which a request is refused. A single loss
	// never reaches it. A loss with other requests in flight and a loss of the
	// request running alone reach it together.
	RefusalThreshold = 1 + 1.0/maxWeightDivisor
	// LossTTL is how long a loss adds to the weight of its requests.
	LossTTL = 10 * time.Minute
	// CorrelationWindow is the time within which losses in one domain count as
	// correlated.
	CorrelationWindow = 5 * time.Second
	// MinCorrelatedLosses is the number of correlated losses that count as an
	// outage. An outage gives weight only to requests that were in flight at
	// all endpoints lost in it.
	MinCorrelatedLosses = 3
	// MaxDigestEntries is the largest number of suspects in one digest.
	MaxDigestEntries = 16
	// AnnounceDelay is how long after a loss the final error of its requests
	// is delayed, so that the digests with the loss reach every node before a
	// caller can send the request again.
	AnnounceDelay = 3 * time.Second
	// maxLosses is the number of losses that are kept; the oldest are dropped.
	maxLosses = 256
)

// Loss is the failure of one endpoint, or of one replica group.
type Loss struct {
	Endpoint      string
	FailureDomain string
	FabricDomain  string
	// InFlight lists the fingerprints of the requests that it was running.
	InFlight []uint64
}

// Verdict is the decision on how to handle a request.
type Verdict struct {
	// Weight is the sum of the weights at all nodes.
	Weight float64
	// Isolate requests an endpoint without other work.
	Isolate bool
	// Refuse requires a refusal with refusal.KindCrashSuspect.
	Refuse bool
}

// loss is a Loss with its time and the weight that it gives each request.
type loss struct {
	Loss
	at     time.Time
	weight float64
}

// remoteSuspicion is the weight of a suspect that another node reported, and the
// time of its last loss.
type remoteSuspicion struct {
	weight float64
	last   time.Time
}

// Tracker keeps the losses seen by one node and the suspects that other nodes
// report. It has no clock and does no I/O, and is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	losses []loss
	remote map[string]map[uint64]remoteSuspicion
}

// New returns a tracker without suspects.
func New() *Tracker { return &Tracker{remote: map[string]map[uint64]remoteSuspicion{}} }

// Lost records the loss of an endpoint, even if it was running nothing: the loss
// may be part of an outage. The home node that assigned the requests calls it
// once for each loss. It returns the requests of the loss that are refused from
// now on.
func (t *Tracker) Lost(l Loss, now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	l.InFlight = slices.Clone(l.InFlight)
	slices.Sort(l.InFlight)
	l.InFlight = slices.Compact(l.InFlight)
	weight := 1 / float64(min(max(len(l.InFlight), 1), maxWeightDivisor))
	if len(t.losses) >= maxLosses {
		t.losses = t.losses[1:]
	}
	t.losses = append(t.losses, loss{l, now, weight})
	var refused []uint64
	for _, fingerprint := range l.InFlight {
		if t.weight(fingerprint, now) >= RefusalThreshold {
			refused = append(refused, fingerprint)
		}
	}
	return refused
}

// ClearSuspicion removes a request that ran to its end from all losses of this
// node: it does not crash endpoints.
func (t *Tracker) ClearSuspicion(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.losses {
		t.losses[i].InFlight = slices.DeleteFunc(t.losses[i].InFlight, func(f uint64) bool { return f == fingerprint })
	}
}

// Merge replaces the suspects that another node reports.
func (t *Tracker) Merge(node string, entries []peer.Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := make(map[uint64]remoteSuspicion, len(entries))
	for _, s := range entries[:min(len(entries), MaxDigestEntries)] {
		age := time.Duration(s.AgeMillis) * time.Millisecond
		reported[s.Fingerprint] = remoteSuspicion{weight: s.Weight, last: now.Add(-age)}
	}
	if len(reported) == 0 {
		delete(t.remote, node)
		return
	}
	t.remote[node] = reported
}

// Verdict returns how to handle a request. Callers ask for it before they queue
// the request and again before they assign it.
func (t *Tracker) Verdict(fingerprint uint64, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	weight := t.weight(fingerprint, now)
	return Verdict{Weight: weight, Isolate: weight > 0, Refuse: weight >= RefusalThreshold}
}

// weight returns the sum of the request's weights at all nodes. The caller holds
// mu.
func (t *Tracker) weight(fingerprint uint64, now time.Time) float64 {
	weight, _ := t.localWeight(fingerprint, now)
	for _, entries := range t.remote {
		if reported, ok := entries[fingerprint]; ok && now.Sub(reported.last) < LossTTL {
			weight += reported.weight
		}
	}
	return weight
}

// DelayErrorsUntil returns the time before which the final error of the request
// must not reach its caller; zero where this node has seen no loss with it.
func (t *Tracker) DelayErrorsUntil(fingerprint uint64) time.Time {
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

// Digest returns this node's own suspects for its next digest, those with the
// largest weight first.
func (t *Tracker) Digest(now time.Time) []peer.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	var entries []peer.Suspect
	for _, fingerprint := range t.fingerprints() {
		weight, last := t.localWeight(fingerprint, now)
		if weight > 0 {
			entries = append(entries, peer.Suspect{Fingerprint: fingerprint, Weight: weight, AgeMillis: now.Sub(last).Milliseconds()})
		}
	}
	slices.SortFunc(entries, func(a, b peer.Suspect) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return entries[:min(len(entries), MaxDigestEntries)]
}

// localWeight returns the weight that the losses of this node give the request,
// and the time of the last of them. The caller holds mu.
func (t *Tracker) localWeight(fingerprint uint64, now time.Time) (float64, time.Time) {
	weight, last := 0.0, time.Time{}
	for i, l := range t.losses {
		if now.Sub(l.at) >= LossTTL || !slices.Contains(l.InFlight, fingerprint) || t.partOfOutage(i, fingerprint) {
			continue
		}
		weight += l.weight
		last = l.at
	}
	return weight, last
}

// partOfOutage reports whether loss i is part of an outage that the request did
// not cause, because it was not in flight at every endpoint lost in it. The
// caller holds mu.
func (t *Tracker) partOfOutage(i int, fingerprint uint64) bool {
	related, withRequest := 0, 0
	for _, other := range t.losses {
		if !correlated(t.losses[i], other) {
			continue
		}
		related++
		if slices.Contains(other.InFlight, fingerprint) {
			withRequest++
		}
	}
	return related >= MinCorrelatedLosses && withRequest < related
}

// correlated reports whether two losses are in one fabric or failure domain and
// within CorrelationWindow of each other.
func correlated(a, b loss) bool {
	if a.at.Sub(b.at).Abs() > CorrelationWindow {
		return false
	}
	fabric := a.FabricDomain != "" && a.FabricDomain == b.FabricDomain
	failure := a.FailureDomain != "" && a.FailureDomain == b.FailureDomain
	return fabric || failure
}

// fingerprints returns the requests of all losses of this node. The caller
// holds mu.
func (t *Tracker) fingerprints() []uint64 {
	var all []uint64
	for _, l := range t.losses {
		all = append(all, l.InFlight...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// dropExpired removes losses and reported suspects that are older than LossTTL.
// The caller holds mu.
func (t *Tracker) dropExpired(now time.Time) {
	t.losses = slices.DeleteFunc(t.losses, func(l loss) bool { return now.Sub(l.at) >= LossTTL })
	for node, entries := range t.remote {
		for fingerprint, reported := range entries {
			if now.Sub(reported.last) >= LossTTL {
				delete(entries, fingerprint)
			}
		}
		if len(entries) == 0 {
			delete(t.remote, node)
		}
	}
}
