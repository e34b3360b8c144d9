package burn

import (
	"math"
	"slices"
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
	if from == nil || from.TotalCount() == 0 {
		return into
	}
	if into == nil {
		into = newHistogram()
	}
	into.Merge(from)
	return into
}

// ring holds the last buckets of one width: one that is being filled, and
// whole ones without their empty cells. Buckets start at multiples of the
// width since the Unix epoch, so that those of several nodes add up.
type ring struct {
	width time.Duration
	// number is that of the open bucket; it counts widths since the epoch.
	number int64
	open   tally
	// whole is indexed by number modulo its length.
	whole []wholeBucket
}

type wholeBucket struct {
	number int64
	// tally has no histograms; firstToken and interToken hold their cells.
	tally                  tally
	firstToken, interToken []cell
}

// cell is one value of a histogram that was recorded, in units of latencyUnit.
type cell struct{ value, count uint32 }

// cellsOf returns the recorded values of a histogram.
func cellsOf(h *hdrhistogram.Histogram) []cell {
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

// addTo records the cells in a histogram, which may be nil.
func addTo(h *hdrhistogram.Histogram, cells []cell) *hdrhistogram.Histogram {
	if len(cells) > 0 && h == nil {
		h = newHistogram()
	}
	for _, c := range cells {
		// The value came from a histogram of the same range.
		_ = h.RecordValues(int64(c.value), int64(c.count))
	}
	return h
}

func newWholeBucket(number int64, t tally) wholeBucket {
	b := wholeBucket{number: number, firstToken: cellsOf(t.firstToken), interToken: cellsOf(t.interToken), tally: t}
	b.tally.firstToken, b.tally.interToken = nil, nil
	return b
}

// newRing returns a ring that covers the window: so many whole buckets and the
// one that is being filled.
func newRing(window time.Duration, whole int) *ring {
	return &ring{width: window / time.Duration(whole), whole: make([]wholeBucket, whole)}
}

func (r *ring) numberAt(now time.Time) int64 { return now.UnixNano() / int64(r.width) }

// add counts an observation. One that comes after the clock went back is
// counted in the open bucket.
func (r *ring) add(o observation, now time.Time) {
	r.advance(r.numberAt(now))
	r.open.add(o)
}

// advance closes the open bucket once a later one begins.
func (r *ring) advance(number int64) {
	if number <= r.number {
		return
	}
	if r.number > 0 {
		r.whole[r.number%int64(len(r.whole))] = newWholeBucket(r.number, r.open)
	}
	r.number = number
	r.open = tally{firstToken: emptied(r.open.firstToken), interToken: emptied(r.open.interToken)}
}

// emptied returns the histogram for use in another bucket.
func emptied(h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if h != nil {
		h.Reset()
	}
	return h
}

// live returns the whole buckets that are still inside the window, oldest
// first, and brings the open one up to now.
func (r *ring) live(now time.Time) []wholeBucket {
	r.advance(r.numberAt(now))
	var live []wholeBucket
	for number := r.number - int64(len(r.whole)); number < r.number; number++ {
		if number < 0 {
			continue
		}
		if b := r.whole[number%int64(len(r.whole))]; b.number == number && number > 0 {
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
		sum.firstToken = addTo(sum.firstToken, b.firstToken)
		sum.interToken = addTo(sum.interToken, b.interToken)
	}
	sum.merge(r.open)
	return sum
}
