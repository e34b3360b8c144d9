package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
	outcomeLeft
)

// Bounds of the latency histograms, in microseconds.
const (
	maxLatency       = int64(time.Minute / time.Microsecond)
	latencyPrecision = 3
)

// Second counts the requests that were sent in one second of the load.
type Second struct {
	Owed, Earned float64
	Refusals     int
	Sent         int
}

// KindResult is what callers of one kind got.
type KindResult struct {
	Kind                                KindSheet
	OnTime, Late, Refused, Failed, Left int
	Owed, Earned                        float64
	// First holds times to the first event in microseconds.
	First   *hdrhistogram.Histogram
	Seconds []Second
}

// Total is the number of requests.
func (k *KindResult) Total() int { return k.OnTime + k.Late + k.Refused + k.Failed + k.Left }

// Share is the part of the owed worth that was earned, 0 to 1.
func (k *KindResult) Share() float64 {
	if k.Owed == 0 {
		return 0
	}
	return k.Earned / k.Owed
}

// Result is what callers got from one play.
type Result struct {
	Policy Policy
	Kinds  []*KindResult
	// Groups counts groups that make progress at the end of each second, by
	// model.
	Groups []map[string]int
	// Moves of streams, refusals of callers that had been refused before, orders
	// and loads.
	Moves, RefusedAgain, Orders, Loads int
	// Partial counts groups that opened with a member missing.
	Partial int
	byKind  map[string]*KindResult
}

func newResult(sheet *Sheet, policy Policy) *Result {
	r := &Result{Policy: policy, byKind: map[string]*KindResult{}}
	seconds := int((sheet.Run.Length + time.Second - 1) / time.Second)
	for _, k := range sheet.Kinds {
		kind := &KindResult{Kind: k, First: hdrhistogram.New(1, maxLatency, latencyPrecision), Seconds: make([]Second, seconds)}
		r.Kinds = append(r.Kinds, kind)
		r.byKind[k.Name] = kind
	}
	return r
}

func (r *Result) second(q *request) *Second {
	seconds := r.byKind[q.kind.Name].Seconds
	return &seconds[min(int((q.sent-lead)/time.Second), len(seconds)-1)]
}

func (r *Result) owe(q *request) {
	worth := q.kind.Worth * q.worth()
	r.byKind[q.kind.Name].Owed += worth
	s := r.second(q)
	s.Owed += worth
	s.Sent++
}

func (r *Result) refusal(q *request) { r.second(q).Refusals++ }

func (r *Result) settle(q *request, o outcome) {
	kind, s := r.byKind[q.kind.Name], r.second(q)
	if q.began {
		// A value over the bound is counted as the bound.
		_ = kind.First.RecordValue(min(int64(q.first/time.Microsecond), maxLatency))
	}
	switch o {
	case outcomeServed:
		worth := q.kind.Worth
		if q.first <= q.kind.Target && (q.kind.PauseTarget == 0 || q.pause <= q.kind.PauseTarget) {
			kind.OnTime++
		} else {
			kind.Late++
			worth = q.kind.LateWorth
		}
		kind.Earned += worth * q.worth()
		s.Earned += worth * q.worth()
	case outcomeRefused:
		kind.Refused++
	case outcomeFailed:
		kind.Failed++
	case outcomeLeft:
		kind.Left++
	}
}

func (r *Result) groups(at time.Duration, counts map[string]int) {
	if at > 0 {
		r.Groups = append(r.Groups, counts)
	}
}

func (r *Result) finish(p *play) {
	r.Orders, r.Loads, r.Partial = p.hosts.orders, p.hosts.loads, p.hosts.partial
}

// Share is the part of the owed worth that was earned over all kinds, 0 to 1.
func (r *Result) Share() float64 {
	owed, earned := 0.0, 0.0
	for _, k := range r.Kinds {
		owed += k.Owed
		earned += k.Earned
	}
	if owed == 0 {
		return 0
	}
	return earned / owed
}

// WorstSeconds is the earned part of the owed worth in the worst span of so
// many seconds, 0 to 1.
func (r *Result) WorstSeconds(span int) float64 {
	worst := 1.0
	for from := 0; from+span <= len(r.Kinds[0].Seconds); from++ {
		owed, earned := 0.0, 0.0
		for _, k := range r.Kinds {
			for _, s := range k.Seconds[from : from+span] {
				owed += s.Owed
				earned += s.Earned
			}
		}
		if owed > 0 {
			worst = min(worst, earned/owed)
		}
	}
	return worst
}

// worstSpan is the span that the table shows, in seconds.
const worstSpan = 3

// WriteTable writes the results side by side.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tkind\trequests\ton time\tlate\trefused\tfailed\tleft\tfirst p50\tp95\tp99\tworth\t")
	for _, r := range results {
		for _, k := range r.Kinds {
			total := max(k.Total(), 1)
			share := func(n int) string { return fmt.Sprintf("%.3f", float64(n)/float64(total)) }
			quantile := func(q float64) string {
				return (time.Duration(k.First.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond).String()
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t\n", r.Policy.Name, k.Kind.Name, k.Total(),
				share(k.OnTime), share(k.Late), share(k.Refused), share(k.Failed), share(k.Left), quantile(50), quantile(95), quantile(99), k.Share())
		}
	}
	fmt.Fprintln(t, "\npolicy\tworth\tworst 3 s\tmoves\trefused again\torders\tloads\topened partial\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t\n", r.Policy.Name, r.Share(), r.WorstSeconds(worstSpan), r.Moves, r.RefusedAgain, r.Orders, r.Loads, r.Partial)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}
