package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantladder.example/currantladder/internal/connection/peer"
)

// encodeWindow converts a sum to the form that nodes exchange.
func encodeWindow(window time.Duration, t tally) peer.BurnWindow {
	return peer.BurnWindow{
		Seconds:    int64(window / time.Second),
		Good:       t.good,
		Total:      t.total,
		Bad:        encodeCounts(t.bad),
		Excluded:   encodeCounts(t.excluded),
		FirstToken: encodeHistogram(t.firstToken),
		InterToken: encodeHistogram(t.interToken),
	}
}

// encodeCounts sorts the causes, the most frequent first.
func encodeCounts(causes map[string]int64) []peer.BurnCount {
	var counts []peer.BurnCount
	for cause, n := range causes {
		if n > 0 {
			counts = append(counts, peer.BurnCount{Cause: cause, Count: n})
		}
	}
	slices.SortFunc(counts, func(a, b peer.BurnCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return counts
}

func encodeHistogram(h *hdrhistogram.Histogram) string {
	if h == nil || h.TotalCount() == 0 {
		return ""
	}
	encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		// The library fails on unknown versions only.
		return ""
	}
	return string(encoded)
}

func decodeWindow(w peer.BurnWindow) (tally, error) {
	t := tally{good: w.Good, total: w.Total}
	for _, c := range w.Bad {
		t.bad = count(t.bad, c.Cause, c.Count)
	}
	for _, c := range w.Excluded {
		t.excluded = count(t.excluded, c.Cause, c.Count)
	}
	var err error
	if t.firstToken, err = decodeHistogram(w.FirstToken); err != nil {
		return tally{}, err
	}
	t.interToken, err = decodeHistogram(w.InterToken)
	return t, err
}

func decodeHistogram(encoded string) (*hdrhistogram.Histogram, error) {
	if encoded == "" {
		return nil, nil
	}
	h, err := hdrhistogram.Decode([]byte(encoded))
	if err != nil {
		return nil, fmt.Errorf("decode a latency histogram: %w", err)
	}
	return h, nil
}

// sums is what the digests of several nodes add up to.
type sums map[seriesKey]*seriesSum

// seriesSum is one series over all nodes.
type seriesSum struct {
	windows [len(windows)]tally
	// points maps the start of a bucket, in Unix seconds, to its counts.
	points map[int64]peer.BurnPoint
}

func (s sums) at(key seriesKey) *seriesSum {
	if s[key] == nil {
		s[key] = &seriesSum{points: make(map[int64]peer.BurnPoint)}
	}
	return s[key]
}

// add takes a digest whole or, with an error, not at all.
func (s sums) add(digest peer.BurnDigest) error {
	decoded := make(sums, len(digest.Series))
	for _, line := range digest.Series {
		if err := decoded.at(seriesKey{line.Rank, line.Class}).decode(line); err != nil {
			return fmt.Errorf("digest of node %s: rank %q: %w", digest.Node, line.Rank, err)
		}
	}
	for key, one := range decoded {
		s.at(key).merge(one)
	}
	return nil
}

func (s *seriesSum) decode(line peer.BurnSeries) error {
	for _, w := range line.Windows {
		i := slices.Index(windows[:], time.Duration(w.Seconds)*time.Second)
		if i < 0 {
			continue
		}
		t, err := decodeWindow(w)
		if err != nil {
			return err
		}
		s.windows[i].merge(t)
	}
	for _, p := range line.Points {
		s.addPoint(p)
	}
	return nil
}

func (s *seriesSum) addPoint(p peer.BurnPoint) {
	sum := s.points[p.Start]
	s.points[p.Start] = peer.BurnPoint{Start: p.Start, Good: sum.Good + p.Good, Total: sum.Total + p.Total}
}

func (s *seriesSum) merge(o *seriesSum) {
	for i := range s.windows {
		s.windows[i].merge(o.windows[i])
	}
	for _, p := range o.points {
		s.addPoint(p)
	}
}

// sortedPoints returns the points in the order of time.
func (s *seriesSum) sortedPoints() []peer.BurnPoint {
	points := make([]peer.BurnPoint, 0, len(s.points))
	for _, p := range s.points {
		points = append(points, p)
	}
	slices.SortFunc(points, func(a, b peer.BurnPoint) int { return cmp.Compare(a.Start, b.Start) })
	return points
}
