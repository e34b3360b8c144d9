package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// ClassAll names the line of a rank over all account classes.
const ClassAll object.AccountClass = "all"

// Report is the service-level burn of the fleet.
type Report struct {
	Time time.Time `json:"time"`
	// Revision is the configuration whose objectives are reported.
	Revision int64 `json:"revision"`
	// Nodes counts the nodes whose requests are in the report.
	Nodes int `json:"nodes"`
	// Missing names the nodes whose requests are not.
	Missing []Missing `json:"missing,omitempty"`
	// Dropped counts samples that nodes had no room for.
	Dropped int64  `json:"dropped,omitempty"`
	Lines   []Line `json:"lines"`
	// Unattributed counts, over LongWindow, the causes of requests that were
	// refused before the caller's rank was known; no objective counts them.
	Unattributed []peer.BurnCount `json:"unattributed,omitempty"`
}

// Missing is a node that could not be asked.
type Missing struct {
	Node string `json:"node"`
	Why  string `json:"why"`
}

// Line is the report on one rank and account class.
type Line struct {
	Rank                   string              `json:"rank"`
	Class                  object.AccountClass `json:"class"`
	Objective              float64             `json:"objective"`
	FirstTokenTargetMillis int64               `json:"firstTokenTargetMillis"`
	InterTokenTargetMillis int64               `json:"interTokenTargetMillis"`
	// BudgetLeft is the share of LongWindow's error budget that is left; it is
	// negative once more than the budget was used.
	BudgetLeft float64 `json:"budgetLeft"`
	Alert      Alert   `json:"alert"`
	// Windows are in the order short, hour, long.
	Windows []Window         `json:"windows"`
	Points  []peer.BurnPoint `json:"points"`
}

// Window is the part of a line over one sliding window.
type Window struct {
	Seconds int64 `json:"seconds"`
	Good    int64 `json:"good"`
	Total   int64 `json:"total"`
	// GoodShare is 1 where nothing was counted.
	GoodShare float64 `json:"goodShare"`
	// Burn is how many times faster than allowed the error budget is used: 1
	// uses it up exactly.
	Burn       float64          `json:"burn"`
	Bad        []peer.BurnCount `json:"bad,omitempty"`
	Excluded   []peer.BurnCount `json:"excluded,omitempty"`
	FirstToken Quantiles        `json:"firstToken"`
	// InterToken is over the longest time between two tokens of each answer.
	InterToken Quantiles `json:"interToken"`
}

// Quantiles of a time, in milliseconds; Count is 0 where nothing was measured.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Millis"`
	P95   float64 `json:"p95Millis"`
	P99   float64 `json:"p99Millis"`
}

// NewReport merges the digests of nodes. A digest that cannot be read makes
// its node a missing one.
func NewReport(current *snapshot.Snapshot, digests []peer.BurnDigest, missing []Missing, now time.Time) Report {
	report := Report{Time: now.UTC(), Revision: current.Revision, Missing: slices.Clone(missing)}
	merged := make(sums)
	for _, digest := range digests {
		if err := merged.add(digest); err != nil {
			report.Missing = append(report.Missing, Missing{Node: digest.Node, Why: err.Error()})
			continue
		}
		report.Nodes++
		report.Dropped += digest.Dropped
	}
	slices.SortFunc(report.Missing, func(a, b Missing) int { return cmp.Compare(a.Node, b.Node) })
	for _, rank := range current.Ranks() {
		report.Lines = append(report.Lines, rankLines(rank, merged)...)
	}
	report.Unattributed = unattributed(merged)
	return report
}

// rankLines returns the line over all classes and one for each class.
func rankLines(rank *snapshot.Rank, merged sums) []Line {
	all := &seriesSum{points: make(map[int64]peer.BurnPoint)}
	var lines []Line
	for _, class := range []object.AccountClass{object.AccountLarge, object.AccountSmall} {
		sum := merged[seriesKey{rank.Name, class}]
		if sum == nil {
			sum = &seriesSum{}
		}
		all.merge(sum)
		lines = append(lines, newLine(rank, class, sum))
	}
	return append([]Line{newLine(rank, ClassAll, all)}, lines...)
}

func newLine(rank *snapshot.Rank, class object.AccountClass, sum *seriesSum) Line {
	line := Line{
		Rank:                   rank.Name,
		Class:                  class,
		Objective:              rank.Objective,
		FirstTokenTargetMillis: rank.FirstTokenTargetMillis,
		InterTokenTargetMillis: rank.InterTokenTargetMillis,
		Points:                 sum.sortedPoints(),
	}
	for i := range windows {
		line.Windows = append(line.Windows, newWindow(windows[i], &sum.windows[i], rank.Objective))
	}
	line.BudgetLeft = 1 - line.Windows[len(windows)-1].Burn
	line.Alert = alertOf(line.Windows, rank.Objective)
	return line
}

func newWindow(length time.Duration, t *tally, objective float64) Window {
	return Window{
		Seconds:    int64(length / time.Second),
		Good:       t.good,
		Total:      t.total,
		GoodShare:  goodShare(t.good, t.total),
		Burn:       burnRate(t.good, t.total, objective),
		Bad:        encodeCounts(t.bad),
		Excluded:   encodeCounts(t.excluded),
		FirstToken: quantiles(t.firstToken),
		InterToken: quantiles(t.interToken),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h == nil || h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) * float64(latencyUnit) / float64(time.Millisecond)
	}
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// unattributed sums the causes of the series that belong to no rank.
func unattributed(merged sums) []peer.BurnCount {
	var causes map[string]int64
	for key, sum := range merged {
		if key.rank != "" {
			continue
		}
		long := sum.windows[len(windows)-1]
		for _, part := range []map[string]int64{long.bad, long.excluded} {
			for cause, n := range part {
				causes = count(causes, cause, n)
			}
		}
	}
	return encodeCounts(causes)
}
