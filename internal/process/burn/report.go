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

// Report is the burn report of the fleet.
type Report struct {
	Time time.Time `json:"time"`
	// Revision is the configuration whose objectives are reported.
	Revision int64 `json:"revision"`
	// Nodes counts the nodes whose requests are in the report.
	Nodes int `json:"nodes"`
	// Missing lists the nodes whose requests are not in the report.
	Missing []MissingNode `json:"missing,omitempty"`
	// Dropped counts samples that nodes did not record because they had reached
	// their limit of series.
	Dropped int64  `json:"dropped,omitempty"`
	Lines   []Line `json:"lines"`
	// Unattributed counts, over LongWindow, the causes of requests that were
	// refused before the caller's rank was known; no objective counts them.
	Unattributed []peer.BurnCount `json:"unattributed,omitempty"`
}

// MissingNode is a node that did not supply a usable digest.
type MissingNode struct {
	Node   string `json:"node"`
	Reason string `json:"why"`
}

// Line is the report on one rank and one account class, or all classes.
type Line struct {
	Rank                   string              `json:"rank"`
	Class                  object.AccountClass `json:"class"`
	Objective              float64             `json:"objective"`
	FirstTokenTargetMillis int64               `json:"firstTokenTargetMillis"`
	InterTokenTargetMillis int64               `json:"interTokenTargetMillis"`
	// BudgetLeft is the share of the error budget of LongWindow that is left. It
	// is negative once more than the budget was used.
	BudgetLeft float64 `json:"budgetLeft"`
	Alert      Alert   `json:"alert"`
	// Windows are in the order short, hour, long.
	Windows []Window         `json:"windows"`
	Points  []peer.BurnPoint `json:"points"`
}

// Window is the counts of a line over one sliding window.
type Window struct {
	Seconds int64 `json:"seconds"`
	Good    int64 `json:"good"`
	Total   int64 `json:"total"`
	// GoodShare is 1 where no request was counted.
	GoodShare float64 `json:"goodShare"`
	// Burn is the ratio of the observed error rate to the allowed one. A rate of
	// 1 uses up the error budget exactly.
	Burn       float64          `json:"burn"`
	Bad        []peer.BurnCount `json:"bad,omitempty"`
	Excluded   []peer.BurnCount `json:"excluded,omitempty"`
	FirstToken Quantiles        `json:"firstToken"`
	// InterToken covers the longest time between two tokens of each answer.
	InterToken Quantiles `json:"interToken"`
}

// Quantiles of a latency, in milliseconds. Count is 0 where nothing was recorded.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Millis"`
	P95   float64 `json:"p95Millis"`
	P99   float64 `json:"p99Millis"`
}

// NewReport merges the digests of nodes. A node whose digest cannot be decoded is
// listed as missing.
func NewReport(current *snapshot.Snapshot, digests []peer.BurnDigest, missing []MissingNode, now time.Time) Report {
	report := Report{Time: now.UTC(), Revision: current.Revision, Missing: slices.Clone(missing)}
	merged := make(mergedSeries)
	for _, digest := range digests {
		if err := merged.addDigest(digest); err != nil {
			report.Missing = append(report.Missing, MissingNode{Node: digest.Node, Reason: err.Error()})
			continue
		}
		report.Nodes++
		report.Dropped += digest.Dropped
	}
	slices.SortFunc(report.Missing, func(a, b MissingNode) int { return cmp.Compare(a.Node, b.Node) })
	for _, rank := range current.Ranks() {
		report.Lines = append(report.Lines, rankLines(rank, merged)...)
	}
	report.Unattributed = unattributed(merged)
	return report
}

// rankLines returns the line over all account classes, then one for each class.
func rankLines(rank *snapshot.Rank, merged mergedSeries) []Line {
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
	line.Alert = evaluateAlert(line.Windows, rank.Objective)
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
	millisAt := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) * float64(latencyUnit) / float64(time.Millisecond)
	}
	return Quantiles{Count: h.TotalCount(), P50: millisAt(50), P95: millisAt(95), P99: millisAt(99)}
}

// unattributed adds up the causes of the series that belong to no rank.
func unattributed(merged mergedSeries) []peer.BurnCount {
	var causes map[string]int64
	for key, sum := range merged {
		if key.rank != "" {
			continue
		}
		long := sum.windows[len(windows)-1]
		for _, counts := range []map[string]int64{long.bad, long.excluded} {
			for cause, n := range counts {
				causes = addCount(causes, cause, n)
			}
		}
	}
	return encodeCounts(causes)
}
