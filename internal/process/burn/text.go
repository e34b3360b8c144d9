package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"currantladder.example/currantladder/internal/connection/peer"
)

// columnPadding is the number of spaces between two columns of the text report.
const columnPadding = 2

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "Service-level burn at %s, revision %d, %s.\n", r.Time.Format("2006-01-02 15:04:05 MST"), r.Revision, nodeCount(r.Nodes))
	for _, m := range r.Missing {
		fmt.Fprintf(w, "MISSING node %s: %s\n", m.Node, m.Reason)
	}
	if r.Dropped > 0 {
		fmt.Fprintf(w, "DROPPED %d samples: more ranks and classes than a node records\n", r.Dropped)
	}
	fmt.Fprintln(w)
	if err := r.writeBurns(w); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := r.writeLatencies(w); err != nil {
		return err
	}
	return r.writeCauses(w)
}

func nodeCount(n int) string {
	if n == 1 {
		return "1 node"
	}
	return fmt.Sprintf("%d nodes", n)
}

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
}

func (r Report) writeBurns(w io.Writer) error {
	table := newTable(w)
	fmt.Fprintln(table, "RANK\tCLASS\tOBJECTIVE\tGOOD 6H\tREQUESTS 6H\tBUDGET LEFT\tBURN 5M\tBURN 1H\tBURN 6H\tALERT")
	for _, l := range r.Lines {
		long := l.Windows[len(l.Windows)-1]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", l.Rank, l.Class, percent(l.Objective), shareText(long), long.Total,
			budgetText(l), burnText(l.Windows[0]), burnText(l.Windows[1]), burnText(long), l.Alert)
	}
	return table.Flush()
}

func (r Report) writeLatencies(w io.Writer) error {
	table := newTable(w)
	fmt.Fprintln(table, "RANK\tCLASS\tFIRST TOKEN 1H: TARGET\tP50\tP95\tP99\tBETWEEN TOKENS 1H: TARGET\tP50\tP95\tP99")
	for _, l := range r.Lines {
		hour := l.Windows[1]
		fmt.Fprintf(table, "%s\t%s\t%d ms\t%s\t%d ms\t%s\n", l.Rank, l.Class, l.FirstTokenTargetMillis, quantileText(hour.FirstToken), l.InterTokenTargetMillis, quantileText(hour.InterToken))
	}
	return table.Flush()
}

// writeCauses writes why requests were bad or not counted.
func (r Report) writeCauses(w io.Writer) error {
	var text strings.Builder
	for _, l := range r.Lines {
		long := l.Windows[len(l.Windows)-1]
		if l.Class != ClassAll || len(long.Bad)+len(long.Excluded) == 0 {
			continue
		}
		fmt.Fprintf(&text, "\n%s, 6h: bad: %s; not counted: %s", l.Rank, causesText(long.Bad), causesText(long.Excluded))
	}
	if len(r.Unattributed) > 0 {
		fmt.Fprintf(&text, "\nrefused before the rank was known, 6h: %s", causesText(r.Unattributed))
	}
	if text.Len() == 0 {
		return nil
	}
	_, err := fmt.Fprintln(w, text.String())
	return err
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

// noData is shown where no request was counted.
const noData = "-"

func shareText(w Window) string {
	if w.Total == 0 {
		return noData
	}
	return percent(w.GoodShare)
}

func burnText(w Window) string {
	if w.Total == 0 {
		return noData
	}
	return fmt.Sprintf("%.2f", w.Burn)
}

func budgetText(l Line) string {
	if l.Windows[len(l.Windows)-1].Total == 0 {
		return noData
	}
	return fmt.Sprintf("%.0f%%", 100*l.BudgetLeft)
}

func quantileText(q Quantiles) string {
	if q.Count == 0 {
		return "-\t-\t-"
	}
	return millis(q.P50) + "\t" + millis(q.P95) + "\t" + millis(q.P99)
}

func millis(ms float64) string {
	const decimalBelowMillis = 100
	if ms < decimalBelowMillis {
		return fmt.Sprintf("%.1f ms", ms)
	}
	return fmt.Sprintf("%.0f ms", ms)
}

func causesText(counts []peer.BurnCount) string {
	if len(counts) == 0 {
		return "none"
	}
	texts := make([]string, 0, len(counts))
	for _, c := range counts {
		texts = append(texts, fmt.Sprintf("%s %d", c.Cause, c.Count))
	}
	return strings.Join(texts, ", ")
}
