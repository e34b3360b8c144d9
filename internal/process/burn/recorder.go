// Package burn reports how well the ranks meet their service-level objectives.
// The Recorder of each node observes the finished requests. Nodes exchange the
// contents of their recorders as digests. NewReport merges the digests into a
// report of error budgets, burn rates and alerts. Only Collect, which asks other
// nodes for their digests, blocks on the network.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
)

// Sliding windows of the report.
const (
	ShortWindow = 5 * time.Minute
	HourWindow  = time.Hour
	LongWindow  = 6 * time.Hour
)

// windows lists the windows, the shortest first.
var windows = [...]time.Duration{ShortWindow, HourWindow, LongWindow}

// Numbers of closed buckets of the rings.
const (
	// bucketsPerWindow is the number of closed buckets of each window. With the
	// open bucket, a window covers its length and at most one bucket more.
	bucketsPerWindow = 6
	// pointsPerLongWindow is the number of closed buckets from which the points
	// of a plot are made.
	pointsPerLongWindow = 72
)

// maxSeries limits the number of pairs of rank and account class that a node
// records. Samples of further pairs are counted as dropped.
const maxSeries = 24

// seriesKey identifies a series. Both parts are empty for requests that were
// refused before the caller was known.
type seriesKey struct {
	rank  string
	class object.AccountClass
}

// series records the requests of one pair of rank and account class.
type series struct {
	rings      [len(windows)]*ring
	points     *ring
	lastSample time.Time
}

func newSeries() *series {
	s := &series{points: newRing(LongWindow, pointsPerLongWindow)}
	for i, window := range windows {
		s.rings[i] = newRing(window, bucketsPerWindow)
	}
	return s
}

func (s *series) add(o observation, now time.Time) {
	s.lastSample = now
	for _, r := range s.rings {
		r.add(o, now)
	}
	if o.verdict != verdictExcluded {
		s.points.add(observation{verdict: o.verdict}, now)
	}
}

// Recorder implements callerapi.Observer. Its memory is bounded. It is safe
// for concurrent use and does no I/O.
type Recorder struct {
	node string
	view configlog.View

	mu      sync.Mutex
	series  map[seriesKey]*series
	dropped int64
}

// NewRecorder returns the recorder of a node. Requests are evaluated against the
// targets that are in force when they end.
func NewRecorder(node string, view configlog.View) *Recorder {
	return &Recorder{node: node, view: view, series: make(map[seriesKey]*series)}
}

// Observe implements callerapi.Observer.
func (r *Recorder) Observe(s callerapi.Sample) { r.record(s, time.Now()) }

func (r *Recorder) record(s callerapi.Sample, now time.Time) {
	o := observation{firstToken: s.FirstToken, interToken: s.MaxInterToken}
	o.verdict, o.cause = evaluate(s, r.view.Current().Rank(s.Rank))
	r.mu.Lock()
	defer r.mu.Unlock()
	dest := r.seriesLocked(seriesKey{s.Rank, s.Class}, now)
	if dest == nil {
		r.dropped++
		return
	}
	dest.add(o, now)
}

// seriesLocked returns the series of the key and creates it if needed. It returns
// nil if maxSeries is reached.
func (r *Recorder) seriesLocked(key seriesKey, now time.Time) *series {
	if s := r.series[key]; s != nil {
		return s
	}
	if len(r.series) >= maxSeries {
		r.evictIdleLocked(now)
	}
	if len(r.series) >= maxSeries {
		return nil
	}
	s := newSeries()
	r.series[key] = s
	return s
}

// evictIdleLocked removes each series that has had no sample for longer than twice
// LongWindow.
func (r *Recorder) evictIdleLocked(now time.Time) {
	for key, s := range r.series {
		if now.Sub(s.lastSample) > 2*LongWindow {
			delete(r.series, key)
		}
	}
}

// Digest returns what the node has observed in each window up to now.
func (r *Recorder) Digest() peer.BurnDigest { return r.digest(time.Now()) }

func (r *Recorder) digest(now time.Time) peer.BurnDigest {
	r.mu.Lock()
	defer r.mu.Unlock()
	digest := peer.BurnDigest{Node: r.node, Dropped: r.dropped}
	for key, s := range r.series {
		digest.Series = append(digest.Series, s.digest(key, now))
	}
	slices.SortFunc(digest.Series, func(a, b peer.BurnSeries) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Class, b.Class))
	})
	return digest
}

func (s *series) digest(key seriesKey, now time.Time) peer.BurnSeries {
	digest := peer.BurnSeries{Rank: key.rank, Class: key.class}
	for i, r := range s.rings {
		digest.Windows = append(digest.Windows, encodeWindow(windows[i], r.sum(now)))
	}
	for _, b := range s.points.closedInWindow(now) {
		digest.Points = append(digest.Points, s.point(b.number, b.tally.good, b.tally.total))
	}
	digest.Points = append(digest.Points, s.point(s.points.number, s.points.open.good, s.points.open.total))
	return digest
}

func (s *series) point(number, good, total int64) peer.BurnPoint {
	start := time.Unix(0, number*int64(s.points.width))
	return peer.BurnPoint{Start: start.Unix(), Good: good, Total: total}
}
