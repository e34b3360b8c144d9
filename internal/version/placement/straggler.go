package placement

import (
	"slices"
	"time"
)

const (
	// slowFactor is how many times slower than the median of its peers a
	// member must answer to count as slow.
	slowFactor = 4
	// slowFloor is the latency below which no member counts as slow.
	slowFloor = 50 * time.Millisecond
)

// Sample is the latency of one member of a group; 0 means unknown.
type Sample struct {
	Host    string
	Latency time.Duration
}

// Detector finds members that stay much slower than their peers. It is a pure
// state machine and not safe for concurrent use.
type Detector struct{ since map[string]time.Time }

// NewDetector returns a detector without observations.
func NewDetector() *Detector { return &Detector{since: map[string]time.Time{}} }

// Observe takes the present latencies of one group, or of all free hosts. A
// host without peers to compare it with keeps its verdict.
func (d *Detector) Observe(samples []Sample, now time.Time) {
	for i, s := range samples {
		peers := peerMedian(samples, i)
		slow := peers > 0 && s.Latency > slowFloor && s.Latency > slowFactor*peers
		_, known := d.since[s.Host]
		switch {
		case peers == 0:
		case slow && !known:
			d.since[s.Host] = now
		case !slow:
			delete(d.since, s.Host)
		}
	}
}

// SlowSince returns since when the host has been slow without a break; zero
// where it is not slow.
func (d *Detector) SlowSince(host string) time.Time { return d.since[host] }

// peerMedian returns the median latency of all samples but one; 0 where none
// is known.
func peerMedian(samples []Sample, except int) time.Duration {
	peers := make([]time.Duration, 0, len(samples))
	for i, s := range samples {
		if i != except && s.Latency > 0 {
			peers = append(peers, s.Latency)
		}
	}
	if len(peers) == 0 {
		return 0
	}
	slices.Sort(peers)
	return peers[len(peers)/2]
}
