package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Geometry of the latency histograms.
const (
	// latencyUnit is the time of one histogram unit.
	latencyUnit = 100 * time.Microsecond
	// maxLatency is the largest recorded time; longer ones count as this.
	maxLatency = 10 * time.Minute
	// significantDigits bounds the error of a quantile to one in a hundred.
	significantDigits = 2
)

// maxCauses bounds the distinct causes of one bucket; further ones are counted
// as causeOther.
const maxCauses = 32

// tally is what one time bucket, or the sum of several, holds.
type tally struct {
	good, total   int64
	bad, excluded map[string]int64
	// firstToken and interToken are nil while nothing was recorded.
	firstToken, interToken *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), significantDigits)
}

// observation is one judged request.
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
		t.bad = count(t.bad, o.cause, 1)
	case verdictExcluded:
		t.excluded = count(t.excluded, o.cause, 1)
	}
	t.firstToken = observe(t.firstToken, o.firstToken)
	t.interToken = observe(t.interToken, o.interToken)
}

func count(causes map[string]int64, cause string, n int64) map[string]int64 {
	if causes == nil {
		causes = make(map[string]int64)
	}
	if _, known := causes[cause]; !known && len(causes) >= maxCauses {
		cause = causeOther
	}
	causes[cause] += n
	return causes
}

// observe records a time; zero means that there was none.
func observe(h *hdrhistogram.Histogram, d time.Duration) *hdrhistogram.Histogram {
	if d <= 0 {
		return h
	}
	if h == nil {
		h = newHistogram()
	}
	// The value lies inside the histogram's range, so no error can come.
	_ = h.RecordValue(int64(min(d, maxLatency) / latencyUnit))
	return h
}

// merge adds another tally.
func (t *tally) merge(o tally) {
	t.good += o.good
	t.total += o.total
	for cause, n := range o.bad {
		t.bad = count(t.bad, cause, n)
	}
	for cause, n := range o.excluded {
		t.excluded = count(t.excluded, cause, n)
	}
	t.firstToken = mergeHistogram(t.firstToken, o.firstToken)
	t.interToken = mergeHistogram(t.interToken, o.interToken)
}

func mergeHistogram(into, from *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if from == nil {
		return into
	}
	if into == nil {
		into = newHistogram()
	}
	into.Merge(from)
	return into
}

// clear empties the tally for a new time and keeps its histograms' memory.
func (t *tally) clear() {
	t.good, t.total = 0, 0
	clear(t.bad)
	clear(t.excluded)
	for _, h := range []*hdrhistogram.Histogram{t.firstToken, t.interToken} {
		if h != nil {
			h.Reset()
		}
	}
}

// ring holds the last buckets of one width. Buckets start at multiples of the
// width since the Unix epoch, so that those of several nodes add up.
type ring struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	// number counts widths since the Unix epoch.
	number int64
	tally  tally
}

// newRing returns a ring that covers the window: so many whole buckets and the
// one that is being filled.
func newRing(window time.Duration, whole int) *ring {
	return &ring{width: window / time.Duration(whole), buckets: make([]bucket, whole+1)}
}

func (r *ring) number(now time.Time) int64 { return now.UnixNano() / int64(r.width) }

func (r *ring) add(o observation, now time.Time) {
	number := r.number(now)
	b := &r.buckets[number%int64(len(r.buckets))]
	if b.number != number {
		b.tally.clear()
		b.number = number
	}
	b.tally.add(o)
}

// live returns the buckets that are still inside the window, oldest first.
func (r *ring) live(now time.Time) []*bucket {
	var live []*bucket
	last := r.number(now)
	for number := last - int64(len(r.buckets)) + 1; number <= last; number++ {
		b := &r.buckets[number%int64(len(r.buckets))]
		if b.number == number {
			live = append(live, b)
		}
	}
	return live
}

// sum adds up the window.
func (r *ring) sum(now time.Time) tally {
	var sum tally
	for _, b := range r.live(now) {
		sum.merge(b.tally)
	}
	return sum
}
