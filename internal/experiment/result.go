package experiment

import (
	"fmt"
	"io"
	"slices"
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
	outcomeAbandoned
)

// Range and precision of the latency histograms.
const (
	maxLatencyMicros         = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// SecondResult holds counts and worth of the requests that were first sent in one
// second of the load.
type SecondResult struct {
	OfferedWorth, EarnedWorth float64
	Refusals                  int
	Sent                      int
}

// KindResult is the result for the requests of one kind. OfferedWorth is the sum of
// their worth if all were answered on time; EarnedWorth is the part that was
// earned.
type KindResult struct {
	Kind                                     KindSheet
	OnTime, Late, Refused, Failed, Abandoned int
	OfferedWorth, EarnedWorth                float64
	// Large counts the requests with the longest tenth of the prompts.
	Large LargeResult
	// Returned counts the callers that returned after a refusal when they were told to,
	// and RefusedAgain those of them that were refused again. Promised and Broken count
	// those that were promised to be served.
	Returned, RefusedAgain, Promised, Broken int
	// FirstEventMicros holds the times to the first event in microseconds.
	FirstEventMicros *hdrhistogram.Histogram
	Seconds          []SecondResult
}

// LargeResult counts requests with long prompts: all, those that were answered, and
// those that were answered on time.
type LargeResult struct{ Total, Served, OnTime int }

// record counts a request that earned its worth or a late one.
func (l *LargeResult) record(o outcome, onTime bool) {
	l.Total++
	if o == outcomeServed {
		l.Served++
	}
	if onTime {
		l.OnTime++
	}
}

// Total is the number of requests that have ended.
func (k *KindResult) Total() int { return k.OnTime + k.Late + k.Refused + k.Failed + k.Abandoned }

// EarnedShare is the earned part of the offered worth, 0 to 1.
func (k *KindResult) EarnedShare() float64 {
	if k.OfferedWorth == 0 {
		return 0
	}
	return k.EarnedWorth / k.OfferedWorth
}

// Result is the result of one simulation.
type Result struct {
	Policy Policy
	Kinds  []*KindResult
	// Groups counts the groups that make progress and take requests at the end of
	// each second, by model.
	Groups []map[string]int
	// Moves counts streams moved to another group, RepeatedRefusals the refusals
	// of requests that had been refused before, Orders the orders to hosts and
	// Loads the loads from the weight store from the first request on.
	Moves, RepeatedRefusals, Orders, Loads int
	// IncompleteGroups counts groups that opened although a live host of their
	// member list did not belong to them.
	IncompleteGroups int
	// Poison describes what prompt parts that crash hosts did.
	Poison PoisonResult
	// Limits describes the hosts that named limits.
	Limits LimitResult
	byKind map[string]*KindResult
}

func newResult(sheet *Sheet, policy Policy) *Result {
	r := &Result{Policy: policy, byKind: map[string]*KindResult{}}
	seconds := int((sheet.Run.Length + time.Second - 1) / time.Second)
	for _, k := range sheet.Kinds {
		kind := &KindResult{Kind: k, FirstEventMicros: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits), Seconds: make([]SecondResult, seconds)}
		r.Kinds = append(r.Kinds, kind)
		r.byKind[k.Name] = kind
	}
	return r
}

func (r *Result) second(req *request) *SecondResult {
	seconds := r.byKind[req.kind.Name].Seconds
	return &seconds[min(int((req.sentAt-warmUpTime)/time.Second), len(seconds)-1)]
}

func (r *Result) recordSent(req *request) {
	worth := req.kind.Worth * req.sizeWorth()
	r.byKind[req.kind.Name].OfferedWorth += worth
	s := r.second(req)
	s.OfferedWorth += worth
	s.Sent++
}

func (r *Result) recordRefusal(req *request) { r.second(req).Refusals++ }

// recordReturn records what a refusal told a caller, which returns as told or not, and
// whether it had returned as it was told before.
func (r *Result) recordReturn(req *request, returns, promised bool) {
	kind := r.byKind[req.kind.Name]
	if req.returnedAsTold {
		kind.RefusedAgain++
	}
	if req.promised {
		kind.Broken++
	}
	if req.returnedAsTold, req.promised = returns, returns && promised; returns {
		kind.Returned++
		if promised {
			kind.Promised++
		}
	}
}

func (r *Result) recordOutcome(req *request, o outcome) {
	kind, s := r.byKind[req.kind.Name], r.second(req)
	if req.hasEvent {
		// A longer time is counted as the maximum.
		_ = kind.FirstEventMicros.RecordValue(min(int64(req.firstEventDelay/time.Microsecond), maxLatencyMicros))
	}
	onTime := o == outcomeServed && req.onTime()
	if float64(req.promptTokens) >= req.kind.largePrompt() {
		kind.Large.record(o, onTime)
	}
	switch o {
	case outcomeServed:
		worth := req.kind.Worth
		if onTime {
			kind.OnTime++
		} else {
			kind.Late++
			worth = req.kind.LateWorth
		}
		kind.EarnedWorth += worth * req.sizeWorth()
		s.EarnedWorth += worth * req.sizeWorth()
	case outcomeRefused:
		kind.Refused++
	case outcomeFailed:
		kind.Failed++
	case outcomeAbandoned:
		kind.Abandoned++
	}
}

func (r *Result) recordGroups(at time.Duration, counts map[string]int) {
	if at > 0 {
		r.Groups = append(r.Groups, counts)
	}
}

func (r *Result) recordHostCounters(sim *simulation) {
	r.Orders, r.Loads, r.IncompleteGroups = sim.hosts.orderCount, sim.hosts.loadCount, sim.hosts.incompleteGroups
}

// EarnedShare is the earned part of the offered worth over all kinds, 0 to 1.
func (r *Result) EarnedShare() float64 {
	offered, earned := 0.0, 0.0
	for _, k := range r.Kinds {
		offered += k.OfferedWorth
		earned += k.EarnedWorth
	}
	if offered == 0 {
		return 0
	}
	return earned / offered
}

// WorstSpanShare is the earned part of the offered worth, 0 to 1, in the worst span
// of the given number of seconds.
func (r *Result) WorstSpanShare(seconds int) float64 {
	worst := 1.0
	for from := 0; from+seconds <= len(r.Kinds[0].Seconds); from++ {
		offered, earned := 0.0, 0.0
		for _, k := range r.Kinds {
			for _, s := range k.Seconds[from : from+seconds] {
				offered += s.OfferedWorth
				earned += s.EarnedWorth
			}
		}
		if offered > 0 {
			worst = min(worst, earned/offered)
		}
	}
	return worst
}

// writePoison adds a table of what prompt parts that crash hosts did, if there were
// any.
func writePoison(t io.Writer, results []*Result) {
	if !slices.ContainsFunc(results, func(r *Result) bool { return r.Poison.Sent > 0 }) {
		return
	}
	fmt.Fprintln(t, "\npolicy\tcrashing requests\tcrashed hosts\treached after bound\tsound refused\tknown after\t")
	for _, r := range results {
		p := r.Poison
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t\n", r.Policy.Name, p.Sent, p.CrashedHosts, p.ReachedAfterBound, p.SoundRefused, p.KnownAfter.Round(time.Millisecond))
	}
}

// writeLimits adds a table of the hosts that named limits, if there were any.
func writeLimits(t io.Writer, results []*Result) {
	if !slices.ContainsFunc(results, func(r *Result) bool { return r.Limits.Limited > 0 }) {
		return
	}
	fmt.Fprintln(t, "\npolicy\tlimited hosts\tover the bound\tuse of limits\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t\n", r.Policy.Name, r.Limits.Limited, r.Limits.Broken, r.Limits.Used)
	}
}

// worstSpanSeconds is the length of the span for the column "worst 3 s".
const worstSpanSeconds = 3

// WriteTable writes the results as two text tables: one row for each policy and
// kind, then one row for each policy.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tkind\trequests\ton time\tlate\trefused\tfailed\tleft\tfirst p50\tp95\tp99\tworth\t")
	for _, r := range results {
		for _, k := range r.Kinds {
			total := max(k.Total(), 1)
			share := func(n int) string { return fmt.Sprintf("%.3f", float64(n)/float64(total)) }
			quantile := func(q float64) string {
				return (time.Duration(k.FirstEventMicros.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond).String()
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t\n", r.Policy.Name, k.Kind.Name, k.Total(),
				share(k.OnTime), share(k.Late), share(k.Refused), share(k.Failed), share(k.Abandoned), quantile(50), quantile(95), quantile(99), k.EarnedShare())
		}
	}
	fmt.Fprintln(t, "\npolicy\tworth\tworst 3 s\tmoves\trefused again\torders\tloads\topened partial\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t\n", r.Policy.Name, r.EarnedShare(), r.WorstSpanShare(worstSpanSeconds), r.Moves, r.RepeatedRefusals, r.Orders, r.Loads, r.IncompleteGroups)
	}
	fmt.Fprintln(t, "\npolicy\tkind\treturned as told\tserved then\tpromised\tserved then\t")
	for _, r := range results {
		for _, k := range r.Kinds {
			served := func(n, refused int) string { return fmt.Sprintf("%.3f", 1-float64(refused)/float64(max(n, 1))) }
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%s\t\n", r.Policy.Name, k.Kind.Name, k.Returned, served(k.Returned, k.RefusedAgain), k.Promised, served(k.Promised, k.Broken))
		}
	}
	writePoison(t, results)
	writeLimits(t, results)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}
