package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantladder.example/currantladder/internal/version/object"
)

// Range and number of significant digits of the latency histograms.
const (
	histogramMinMicros = 1
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// tableRow is one row of a table in the report. Histograms are in microseconds.
type tableRow struct {
	name       string
	offered    int
	served     int
	refused    int
	unknown    int
	tokens     int
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
}

func newTableRow(name string) *tableRow {
	return &tableRow{
		name:       name,
		firstToken: hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits),
		interToken: hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits),
	}
}

func (r *tableRow) add(res result) {
	r.offered++
	r.tokens += res.tokens
	switch res.outcome {
	case outcomeServed:
		r.served++
	case outcomeRefused:
		r.refused++
	default:
		r.unknown++
	}
	if res.tokens == 0 {
		return
	}
	_ = r.firstToken.RecordValue(res.firstToken.Microseconds())
	for _, gap := range res.gaps {
		_ = r.interToken.RecordValue(gap.Microseconds())
	}
}

// writeTable writes a table with one row for each name, in the order of names.
func writeTable(w io.Writer, title string, names []string, results []result, rowName func(result) string) {
	rows := make(map[string]*tableRow)
	for _, name := range names {
		rows[name] = newTableRow(name)
	}
	for _, r := range results {
		if row := rows[rowName(r)]; row != nil {
			row.add(r)
		}
	}
	const padding = 2
	tw := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "%s\toffered\tserved\trefused\tunknown\ttokens\tfirst token ms p50\tp95\tp99\tbetween tokens ms p50\tp95\tp99\t\n", title)
	for _, name := range names {
		row := rows[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", row.name, row.offered, row.served, row.refused, row.unknown, row.tokens, quantiles(row.firstToken), quantiles(row.interToken))
	}
	_ = tw.Flush()
	fmt.Fprintln(w)
}

// quantiles formats the quantiles p50, p95 and p99 in milliseconds.
func quantiles(h *hdrhistogram.Histogram) string {
	const microsPerMilli = 1000
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return fmt.Sprintf("%.1f\t%.1f\t%.1f", millis(50), millis(95), millis(99))
}

// writeReport writes the tables, the downtime of the groups, the use of caps, the
// refusals and the promises.
func writeReport(w io.Writer, results []result, s *sampler, p *promises, elapsed time.Duration) {
	fmt.Fprintln(w)
	writeTable(w, "rank", rankNames, results, func(r result) string { return r.rank })
	var names []string
	for _, a := range accounts() {
		names = append(names, a.name)
	}
	writeTable(w, "account", names, results, func(r result) string { return r.account })
	for i := range groupCount {
		name := fmt.Sprintf("advice-%d", i+1)
		fmt.Fprintf(w, "group %s: not serving for %v of %v\n", name, s.downtime[name].Round(time.Millisecond), elapsed.Round(time.Millisecond))
	}
	writeCapUse(w, results, elapsed)
	writeRefusals(w, results)
	fmt.Fprintln(w)
	writePromises(w, p)
}

func writeCapUse(w io.Writer, results []result, elapsed time.Duration) {
	const percent = 100
	tokens := make(map[string]int)
	for _, r := range results {
		tokens[r.account] += r.charged()
	}
	for _, a := range accounts()[:2] {
		limit := a.tokensPerSecond*elapsed.Seconds() + float64(a.burstTokens)
		fmt.Fprintf(w, "cap use of %s: %d of %.0f tokens (%.0f%%)\n", a.name, tokens[a.name], limit, percent*float64(tokens[a.name])/limit)
	}
}

// writeRefusals writes the number of requests that were not served, by outcome,
// refusal kind and account class.
func writeRefusals(w io.Writer, results []result) {
	counts := make(map[string]int)
	for _, r := range results {
		if r.outcome != outcomeServed {
			counts[fmt.Sprintf("%s %s by %s", r.outcome, r.refusalKind, accountClass(r.account))]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s: %d\n", name, counts[name])
	}
}

func accountClass(name string) object.AccountClass {
	for _, a := range accounts() {
		if a.name == name {
			return a.class
		}
	}
	return ""
}

func writePromises(w io.Writer, p *promises) {
	kept := 0
	for _, checked := range p.all() {
		state := "KEPT"
		switch {
		case checked.checks == 0:
			state = "NOT EXERCISED"
		case !checked.kept():
			state = "BROKEN"
		default:
			kept++
		}
		fmt.Fprintf(w, "%-13s %s (%d checks)\n", state, checked.name, checked.checks)
		for i, breach := range checked.breaches {
			const maxBreachesShown = 5
			if i == maxBreachesShown {
				fmt.Fprintf(w, "              and %d more\n", len(checked.breaches)-maxBreachesShown)
				break
			}
			fmt.Fprintf(w, "              %s\n", breach)
		}
	}
	fmt.Fprintf(w, "promises: %d of %d kept\n", kept, len(p.all()))
}
