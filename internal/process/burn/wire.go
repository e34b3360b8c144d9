package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantladder.example/currantladder/internal/connection/peer"
)

// encodeWindow converts the tally of a window to the form that nodes exchange.
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

// encodeCounts lists the causes, the most frequent first.
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
		// Encode fails only for an unknown encoding version.
		return ""
	}
	return string(encoded)
}

func decodeWindow(w peer.BurnWindow) (tally, error) {
	t := tally{good: w.Good, total: w.Total}
	for _, c := range w.Bad {
		t.bad = addCount(t.bad, c.Cause, c.Count)
	}
	for _, c := range w.Excluded {
		t.excluded = addCount(t.excluded, c.Cause, c.Count)
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

// mergedSeries is the sum of the digests of several nodes.
type mergedSeries map[seriesKey]*seriesSum

// seriesSum is the sum of one series over several nodes.
type seriesSum struct {
	windows [len(windows)]tally
	// points maps the start of a bucket, in Unix seconds, to its counts.
	points map[int64]peer.BurnPoint
}

func (s mergedSeries) getOrCreate(key seriesKey) *seriesSum {
	if s[key] == nil {
		s[key] = &seriesSum{points: make(map[int64]peer.BurnPoint)}
	}
	return s[key]
}

// addDigest adds a digest. On an error it adds nothing of it.
func (s mergedSeries) addDigest(digest peer.BurnDigest) error {
	decoded := make(mergedSeries, len(digest.Series))
	for _, encoded := range digest.Series {
		if err := decoded.getOrCreate(seriesKey{encoded.Rank, encoded.Class}).addEncoded(encoded); err != nil {
			return fmt.Errorf("digest of node %s: rank %q: %w", digest.Node, encoded.Rank, err)
		}
	}
	for key, sum := range decoded {
		s.getOrCreate(key).merge(sum)
	}
	return nil
}

func (s *seriesSum) addEncoded(encoded peer.BurnSeries) error {
	for _, w := range encoded.Windows {
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
	for _, p := range encoded.Points {
		s.addPoint(p)
	}
	return nil
}

func (s *seriesSum) addPoint(p peer.BurnPoint) {
	old := s.points[p.Start]
	s.points[p.Start] = peer.BurnPoint{Start: p.Start, Good: old.Good + p.Good, Total: old.Total + p.Total}
}

func (s *seriesSum) merge(o *seriesSum) {
	for i := range s.windows {
		s.windows[i].merge(o.windows[i])
	}
	for _, p := range o.points {
		s.addPoint(p)
	}
}

// sortedPoints returns the points ordered by their start.
func (s *seriesSum) sortedPoints() []peer.BurnPoint {
	points := make([]peer.BurnPoint, 0, len(s.points))
	for _, p := range s.points {
		points = append(points, p)
	}
	slices.SortFunc(points, func(a, b peer.BurnPoint) int { return cmp.Compare(a.Start, b.Start) })
	return points
}
