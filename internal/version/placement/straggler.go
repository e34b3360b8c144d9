package placement

import (
	"slices"
	"time"
)

const (
	// slowLatencyFactor is how many times slower than the median of its peers a
	// member must answer to count as slow.
	slowLatencyFactor = 4
	// minSlowLatency is the latency below which no member counts as slow.
	minSlowLatency = 50 * time.Millisecond
)

// LatencySample is the latency of one member of a group; 0 means unknown.
type LatencySample struct {
	Host    string
	Latency time.Duration
}

// StragglerDetector finds members that stay much slower than their peers. It is
// a pure state machine and not safe for concurrent use.
type StragglerDetector struct {
	// slowSince holds the slow hosts by name.
	slowSince map[string]time.Time
}

// NewStragglerDetector returns a detector without observations.
func NewStragglerDetector() *StragglerDetector {
	return &StragglerDetector{slowSince: map[string]time.Time{}}
}

// Observe records the current latencies of one group, or of all free hosts. A
// host without peers to compare it with stays slow or not slow as before.
func (d *StragglerDetector) Observe(samples []LatencySample, now time.Time) {
	for i, s := range samples {
		median := peerMedian(samples, i)
		slow := median > 0 && s.Latency > minSlowLatency && s.Latency > slowLatencyFactor*median
		_, wasSlow := d.slowSince[s.Host]
		switch {
		case median == 0:
		case slow && !wasSlow:
			d.slowSince[s.Host] = now
		case !slow:
			delete(d.slowSince, s.Host)
		}
	}
}

// SlowSince returns when the host became slow and has stayed so since; zero
// if it is not slow.
func (d *StragglerDetector) SlowSince(host string) time.Time { return d.slowSince[host] }

// peerMedian returns the median of the known latencies of all samples except
// the one at the given index; 0 if none is known.
func peerMedian(samples []LatencySample, except int) time.Duration {
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
