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

// Range and precision of the latency histograms.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// line is one row of the report.
type line struct {
	name       string
	offered    int
	served     int
	refused    int
	unknown    int
	tokens     int
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
}

func newLine(name string) *line {
	return &line{
		name:       name,
		firstToken: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		interToken: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func (l *line) add(r result) {
	l.offered++
	l.tokens += r.tokens
	switch r.outcome {
	case served:
		l.served++
	case refused:
		l.refused++
	default:
		l.unknown++
	}
	if r.tokens == 0 {
		return
	}
	_ = l.firstToken.RecordValue(r.firstToken.Microseconds())
	for _, gap := range r.gaps {
		_ = l.interToken.RecordValue(gap.Microseconds())
	}
}

// writeTable writes one report, in the order of names.
func writeTable(w io.Writer, title string, names []string, results []result, nameOf func(result) string) {
	lines := make(map[string]*line)
	for _, name := range names {
		lines[name] = newLine(name)
	}
	for _, r := range results {
		if l := lines[nameOf(r)]; l != nil {
			l.add(r)
		}
	}
	const padding = 2
	tw := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "%s\toffered\tserved\trefused\tunknown\ttokens\tfirst token ms p50\tp95\tp99\tbetween tokens ms p50\tp95\tp99\t\n", title)
	for _, name := range names {
		l := lines[name]
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", l.name, l.offered, l.served, l.refused, l.unknown, l.tokens, quantiles(l.firstToken), quantiles(l.interToken))
	}
	_ = tw.Flush()
	fmt.Fprintln(w)
}

func quantiles(h *hdrhistogram.Histogram) string {
	const microsPerMilli = 1000
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return fmt.Sprintf("%.1f\t%.1f\t%.1f", millis(50), millis(95), millis(99))
}

// report prints tables, downtime, cap use and the promises.
func report(w io.Writer, results []result, s *sampler, p *promises, elapsed time.Duration) {
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
	reportCaps(w, results, elapsed)
	reportRefusals(w, results)
	fmt.Fprintln(w)
	reportPromises(w, p)
}

func reportCaps(w io.Writer, results []result, elapsed time.Duration) {
	const percent = 100
	tokens := make(map[string]int)
	for _, r := range results {
		tokens[r.account] += r.charged()
	}
	for _, a := range accounts()[:2] {
		limit := a.tokensPerSecond*elapsed.Seconds() + float64(a.burst)
		fmt.Fprintf(w, "cap use of %s: %d of %.0f tokens (%.0f%%)\n", a.name, tokens[a.name], limit, percent*float64(tokens[a.name])/limit)
	}
}

// reportRefusals counts refusals by kind and account class.
func reportRefusals(w io.Writer, results []result) {
	counts := make(map[string]int)
	for _, r := range results {
		if r.outcome != served {
			counts[fmt.Sprintf("%s %s by %s", r.outcome, r.kind, classOf(r.account))]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s: %d\n", name, counts[name])
	}
}

func classOf(name string) object.AccountClass {
	for _, a := range accounts() {
		if a.name == name {
			return a.class
		}
	}
	return ""
}

func reportPromises(w io.Writer, p *promises) {
	kept := 0
	for _, one := range p.all() {
		state := "KEPT"
		switch {
		case one.checks == 0:
			state = "NOT EXERCISED"
		case !one.kept():
			state = "BROKEN"
		default:
			kept++
		}
		fmt.Fprintf(w, "%-13s %s (%d checks)\n", state, one.name, one.checks)
		for i, breach := range one.breaches {
			const shown = 5
			if i == shown {
				fmt.Fprintf(w, "              and %d more\n", len(one.breaches)-shown)
				break
			}
			fmt.Fprintf(w, "              %s\n", breach)
		}
	}
	fmt.Fprintf(w, "promises: %d of %d kept\n", kept, len(p.all()))
}
