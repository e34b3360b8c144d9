package burn

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Unit, range and precision of the latency histograms.
const (
	// latencyUnit is the duration of one histogram unit.
	latencyUnit = 100 * time.Microsecond
	// maxLatency is the largest recorded latency. Longer ones are recorded as
	// maxLatency.
	maxLatency = 10 * time.Minute
	// significantDigits bounds the relative error of a quantile to 1%.
	significantDigits = 2
)

// maxCauses limits the distinct causes of one bucket. Further ones are counted as
// causeOther.
const maxCauses = 32

// tally counts the requests of one time bucket, or of several, and records their
// latencies.
type tally struct {
	good, total   int64
	bad, excluded map[string]int64
	// firstToken and interToken are nil until a latency is recorded.
	firstToken, interToken *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), significantDigits)
}

// observation is one request and its verdict.
type observation struct {
	verdict    verdict
	cause      string
	firstToken time.Duration
	interToken time.Duration
}

func (t *tally) add(o observation) {
	switch o.verdict {
	case verdictGood:
		t.good++
		t.total++
	case verdictBad:
		t.total++
		t.bad = addCount(t.bad, o.cause, 1)
	case verdictExcluded:
		t.excluded = addCount(t.excluded, o.cause, 1)
	}
	t.firstToken = recordLatency(t.firstToken, o.firstToken)
	t.interToken = recordLatency(t.interToken, o.interToken)
}

func addCount(causes map[string]int64, cause string, n int64) map[string]int64 {
	if causes == nil {
		causes = make(map[string]int64)
	}
	if _, known := causes[cause]; !known && len(causes) >= maxCauses {
		cause = causeOther
	}
	causes[cause] += n
	return causes
}

// recordLatency records a latency and returns the histogram, which it creates if
// needed. Zero means that there was none.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) *hdrhistogram.Histogram {
	if d <= 0 {
		return h
	}
	if h == nil {
		h = newHistogram()
	}
	// The value lies within the range of the histogram, so this cannot fail.
	_ = h.RecordValue(int64(min(d, maxLatency) / latencyUnit))
	return h
}

// merge adds the counts and latencies of another tally.
func (t *tally) merge(o tally) {
	t.good += o.good
	t.total += o.total
	for cause, n := range o.bad {
		t.bad = addCount(t.bad, cause, n)
	}
	for cause, n := range o.excluded {
		t.excluded = addCount(t.excluded, cause, n)
	}
	t.firstToken = mergeHistogram(t.firstToken, o.firstToken)
	t.interToken = mergeHistogram(t.interToken, o.interToken)
}

func mergeHistogram(into, from *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if from == nil || from.TotalCount() == 0 {
		return into
	}
	if into == nil {
		into = newHistogram()
	}
	into.Merge(from)
	return into
}

// ring keeps the most recent time buckets of one width: the open bucket, which is
// being filled, and closed ones, which are stored without empty histogram cells.
// Buckets start at multiples of the width since the Unix epoch, so that the
// buckets of several nodes can be added.
type ring struct {
	width time.Duration
	// number is the number of the open bucket, in widths since the Unix epoch.
	number int64
	open   tally
	// closed is indexed by the bucket number modulo its length.
	closed []closedBucket
}

type closedBucket struct {
	number int64
	// tally has no histograms. Their cells are in firstToken and interToken.
	tally                  tally
	firstToken, interToken []cell
}

// cell is a recorded value of a histogram, in units of latencyUnit, and how often
// it was recorded.
type cell struct{ value, count uint32 }

// nonEmptyCells returns the recorded values of a histogram.
func nonEmptyCells(h *hdrhistogram.Histogram) []cell {
	if h == nil {
		return nil
	}
	var cells []cell
	for _, bar := range h.Distribution() {
		if bar.Count > 0 {
			cells = append(cells, cell{uint32(bar.From), uint32(min(bar.Count, math.MaxUint32))})
		}
	}
	return slices.Clip(cells)
}

// recordCells records the cells in h and returns it. If h is nil and there are
// cells, a new histogram is created.
func recordCells(h *hdrhistogram.Histogram, cells []cell) *hdrhistogram.Histogram {
	if len(cells) > 0 && h == nil {
		h = newHistogram()
	}
	for _, c := range cells {
		// The value comes from a histogram with the same range, so this cannot
		// fail.
		_ = h.RecordValues(int64(c.value), int64(c.count))
	}
	return h
}

func newClosedBucket(number int64, t tally) closedBucket {
	b := closedBucket{number: number, firstToken: nonEmptyCells(t.firstToken), interToken: nonEmptyCells(t.interToken), tally: t}
	b.tally.firstToken, b.tally.interToken = nil, nil
	return b
}

// newRing returns a ring whose closed buckets cover the window. The open bucket
// comes in addition.
func newRing(window time.Duration, buckets int) *ring {
	return &ring{width: window / time.Duration(buckets), closed: make([]closedBucket, buckets)}
}

func (r *ring) numberAt(now time.Time) int64 { return now.UnixNano() / int64(r.width) }

// add counts an observation. If the clock went back, it is counted in the open
// bucket.
func (r *ring) add(o observation, now time.Time) {
	r.advance(r.numberAt(now))
	r.open.add(o)
}

// advance closes the open bucket if a later one has begun.
func (r *ring) advance(number int64) {
	if number <= r.number {
		return
	}
	if r.number > 0 {
		r.closed[r.number%int64(len(r.closed))] = newClosedBucket(r.number, r.open)
	}
	r.number = number
	r.open = tally{firstToken: resetHistogram(r.open.firstToken), interToken: resetHistogram(r.open.interToken)}
}

// resetHistogram empties the histogram and returns it for use in the next bucket.
func resetHistogram(h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if h != nil {
		h.Reset()
	}
	return h
}

// closedInWindow advances the ring to now and returns the closed buckets that are
// still inside the window, the oldest first.
func (r *ring) closedInWindow(now time.Time) []closedBucket {
	r.advance(r.numberAt(now))
	var buckets []closedBucket
	for number := r.number - int64(len(r.closed)); number < r.number; number++ {
		if number < 0 {
			continue
		}
		if b := r.closed[number%int64(len(r.closed))]; b.number == number && number > 0 {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// sum adds up the open bucket and the closed buckets inside the window.
func (r *ring) sum(now time.Time) tally {
	var sum tally
	for _, b := range r.closedInWindow(now) {
		sum.merge(b.tally)
		sum.firstToken = recordCells(sum.firstToken, b.firstToken)
		sum.interToken = recordCells(sum.interToken, b.interToken)
	}
	sum.merge(r.open)
	return sum
}
