package burn

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/object"
)

// newRandomSample returns a sample with a random rank, class and outcome.
func newRandomSample(random *rand.Rand) callerapi.Sample {
	ranks := []string{"urgent", "standard", "batch", ""}
	classes := []object.AccountClass{object.AccountLarge, object.AccountSmall}
	kinds := []refusal.Kind{refusal.KindOverloaded, refusal.KindCapExceeded, refusal.KindIncomplete}
	outcomes := []callerapi.Outcome{callerapi.OutcomeComplete, callerapi.OutcomeComplete, callerapi.OutcomeComplete, callerapi.OutcomeRefused, callerapi.OutcomeUnknown, callerapi.OutcomeCallerLeft}
	s := callerapi.Sample{Rank: ranks[random.IntN(len(ranks))], Class: classes[random.IntN(len(classes))], Outcome: outcomes[random.IntN(len(outcomes))]}
	if s.Outcome == callerapi.OutcomeComplete {
		s.FirstToken = time.Duration(random.ExpFloat64() * float64(300*time.Millisecond))
		s.MaxInterToken = time.Duration(random.ExpFloat64() * float64(12*time.Millisecond))
		return s
	}
	s.Kind = kinds[random.IntN(len(kinds))]
	return s
}

// TestMergedDigestsEqualSingleRecorder spreads ten hours of requests over seven
// nodes. Their digests, encoded as JSON, must merge into the same report as that
// of a single node that recorded all requests.
func TestMergedDigestsEqualSingleRecorder(t *testing.T) {
	const nodes, requests, seed = 7, 40_000, 20260301
	random := rand.New(rand.NewPCG(seed, seed))
	view := testRanks()
	single := NewRecorder("single", view)
	parts := make([]*Recorder, nodes)
	for i := range parts {
		parts[i] = NewRecorder(fmt.Sprintf("n%d", i), view)
	}
	now := testStart
	for range requests {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(10*time.Hour/requests)))
		s := newRandomSample(random)
		single.record(s, now)
		parts[random.IntN(nodes)].record(s, now)
	}
	var digests []peer.BurnDigest
	for _, part := range parts {
		digests = append(digests, roundTripJSON(t, part.digest(now)))
	}
	got := NewReport(view.current, digests, nil, now)
	want := NewReport(view.current, []peer.BurnDigest{single.digest(now)}, nil, now)
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(Report{}, "Nodes")); diff != "" {
		t.Errorf("merged report (-single +merged):\n%s", diff)
	}
	if got.Nodes != nodes || got.Lines[0].Windows[2].FirstToken.Count == 0 {
		t.Errorf("got %d nodes, first tokens %+v; want 7 nodes and at least one first token", got.Nodes, got.Lines[0].Windows[2].FirstToken)
	}
}

func roundTripJSON(t testing.TB, digest peer.BurnDigest) peer.BurnDigest {
	t.Helper()
	data, err := json.Marshal(digest)
	if err != nil {
		t.Fatal(err)
	}
	var received peer.BurnDigest
	if err := json.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	return received
}

// TestAlertStates runs through phases with different shares of bad requests, one
// request a second, and checks the alert at the end of each phase.
func TestAlertStates(t *testing.T) {
	type phase struct {
		length time.Duration
		// badShare is negative for a phase without requests.
		badShare float64
		want     Alert
	}
	for name, c := range map[string]struct {
		rank   string
		phases []phase
	}{
		"a short burst raises no alert and an outage raises the fast alert until it ends": {"urgent", []phase{
			{time.Hour, 0.01, AlertNone}, {6 * time.Minute, 1, AlertNone}, {60 * time.Minute, 1, AlertFast}, {8 * time.Minute, 0, AlertSlow}, {3 * time.Hour, 0, AlertNone},
		}},
		"a lasting partial failure raises the slow alert":         {"urgent", []phase{{7 * time.Hour, 0.4, AlertSlow}, {2 * time.Hour, 0.01, AlertNone}}},
		"errors within the objective raise no alert":              {"urgent", []phase{{7 * time.Hour, 0.05, AlertNone}}},
		"an outage raises the fast alert under a loose objective": {"batch", []phase{{2 * time.Hour, 0, AlertNone}, {90 * time.Minute, 1, AlertFast}}},
		"the alert ends when no requests arrive":                  {"urgent", []phase{{time.Hour, 1, AlertFast}, {14 * time.Hour, -1, AlertNone}}},
	} {
		t.Run(name, func(t *testing.T) {
			view := testRanks()
			r := NewRecorder("n", view)
			random := rand.New(rand.NewPCG(5, 5))
			now := testStart
			for i, p := range c.phases {
				for end := now.Add(p.length); now.Before(end); now = now.Add(time.Second) {
					if p.badShare < 0 {
						continue
					}
					s := callerapi.Sample{Rank: c.rank, Class: object.AccountSmall, Outcome: callerapi.OutcomeComplete, FirstToken: time.Millisecond}
					if random.Float64() < p.badShare {
						s.Outcome, s.Kind = callerapi.OutcomeRefused, refusal.KindOverloaded
					}
					r.record(s, now)
				}
				report := NewReport(view.current, []peer.BurnDigest{r.digest(now)}, nil, now)
				for _, line := range report.Lines {
					if line.Rank == c.rank && line.Class == ClassAll && line.Alert != p.want {
						t.Errorf("after phase %d: got alert %s, want %s; burn rates %.2f %.2f %.2f", i, line.Alert, p.want, line.Windows[0].Burn, line.Windows[1].Burn, line.Windows[2].Burn)
					}
				}
			}
		})
	}
}

// TestEvaluate verifies how each outcome and refusal kind counts.
func TestEvaluate(t *testing.T) {
	urgent := testRanks().current.Rank("urgent")
	complete := func(first, gap time.Duration) callerapi.Sample {
		return callerapi.Sample{Outcome: callerapi.OutcomeComplete, FirstToken: first, MaxInterToken: gap}
	}
	callerLeft := func(first, waited time.Duration) callerapi.Sample {
		return callerapi.Sample{Outcome: callerapi.OutcomeCallerLeft, FirstToken: first, Waited: waited}
	}
	refused := func(k refusal.Kind) callerapi.Sample {
		return callerapi.Sample{Outcome: callerapi.OutcomeRefused, Kind: k}
	}
	unknown := func(k refusal.Kind) callerapi.Sample {
		return callerapi.Sample{Outcome: callerapi.OutcomeUnknown, Kind: k}
	}
	for _, c := range []struct {
		sample callerapi.Sample
		want   verdict
	}{
		{complete(670*time.Millisecond, 27*time.Millisecond), verdictGood},
		{complete(671*time.Millisecond, 0), verdictBad},
		{complete(time.Millisecond, 28*time.Millisecond), verdictBad},
		{callerLeft(0, 600*time.Millisecond), verdictExcluded},
		{callerLeft(0, 700*time.Millisecond), verdictBad},
		{callerLeft(700*time.Millisecond, 0), verdictBad},
		{refused(refusal.KindBadRequest), verdictExcluded},
		{refused(refusal.KindBodyTooLarge), verdictExcluded},
		{refused(refusal.KindUnauthorized), verdictExcluded},
		{refused(refusal.KindUnknownModel), verdictExcluded},
		{refused(refusal.KindUnknownRank), verdictExcluded},
		{refused(refusal.KindUnknownService), verdictExcluded},
		{refused(refusal.KindRankNotAllowed), verdictExcluded},
		{refused(refusal.KindCapExceeded), verdictExcluded},
		{refused(refusal.KindCrashSuspect), verdictExcluded},
		{refused(refusal.KindOverloaded), verdictBad},
		{refused(refusal.KindDeadline), verdictBad},
		{refused(refusal.KindNoEndpoint), verdictBad},
		{refused(refusal.KindNodeStopping), verdictBad},
		{refused(refusal.KindNodeIsolated), verdictBad},
		{refused(refusal.KindStoreUnavailable), verdictBad},
		{refused(refusal.KindRetriesExhausted), verdictBad},
		{unknown(refusal.KindIncomplete), verdictBad},
		{unknown(refusal.KindAlreadyClaimed), verdictBad},
		{unknown(refusal.KindBadRequest), verdictBad},
	} {
		if got, cause := evaluate(c.sample, urgent); got != c.want {
			t.Errorf("%+v: got verdict %d with cause %q, want verdict %d", c.sample, got, cause, c.want)
		}
	}
}

// TestUnreachableNodeIsNamed verifies that the report names each node that
// refuses the connection, never answers or sends a damaged digest.
func TestUnreachableNodeIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := testRanks()
		good := NewRecorder("good", view)
		good.Observe(callerapi.Sample{Rank: "urgent", Class: object.AccountSmall, Outcome: callerapi.OutcomeComplete, FirstToken: time.Millisecond})
		fetch := func(ctx context.Context, address string) (peer.BurnDigest, error) {
			switch address {
			case "good":
				return good.Digest(), nil
			case "refuses":
				return peer.BurnDigest{}, errors.New("connection refused")
			case "damaged":
				digest := good.Digest()
				digest.Node = "damaged"
				digest.Series[0].Windows[1].FirstToken = "AAAA"
				return digest, nil
			}
			<-ctx.Done()
			return peer.BurnDigest{}, ctx.Err()
		}
		var sources []Source
		for _, name := range []string{"silent", "good", "refuses", "damaged"} {
			sources = append(sources, Source{Node: name, Address: name})
		}
		start := time.Now()
		digests, missing := Collect(t.Context(), sources, fetch)
		if took := time.Since(start); took != digestTimeout {
			t.Errorf("Collect took %s, want %s", took, digestTimeout)
		}
		report := NewReport(view.current, digests, missing, time.Now())
		var named []string
		for _, m := range report.Missing {
			named = append(named, m.Node)
		}
		if diff := cmp.Diff([]string{"damaged", "refuses", "silent"}, named); diff != "" {
			t.Errorf("missing nodes (-want +got):\n%s", diff)
		}
		if report.Nodes != 1 || report.Lines[0].Windows[0].Total != 1 {
			t.Errorf("got %d nodes and %d requests, want 1 and 1", report.Nodes, report.Lines[0].Windows[0].Total)
		}
		for format, write := range map[string]func(*bytes.Buffer) error{
			"text": func(b *bytes.Buffer) error { return report.WriteText(b) },
			"json": func(b *bytes.Buffer) error { return report.WriteJSON(b) },
			"html": func(b *bytes.Buffer) error { return report.WriteHTML(b) },
		} {
			var b bytes.Buffer
			if err := write(&b); err != nil {
				t.Fatal(err)
			}
			for _, name := range append(named, "urgent", "batch") {
				if !strings.Contains(b.String(), name) {
					t.Errorf("format %s does not name %s", format, name)
				}
			}
		}
	})
}

// TestRecorderMemoryIsBounded records a day of requests with a new rank and a new
// refusal kind each second and checks that the numbers of series and causes stay
// bounded.
func TestRecorderMemoryIsBounded(t *testing.T) {
	r := NewRecorder("n", testRanks())
	now := testStart
	const seconds = 24 * 60 * 60
	for i := range seconds {
		now = now.Add(time.Second)
		s := callerapi.Sample{Rank: fmt.Sprintf("rank-%d", i), Outcome: callerapi.OutcomeUnknown, Kind: refusal.Kind(fmt.Sprintf("kind-%d", i)), FirstToken: time.Second, MaxInterToken: time.Hour}
		r.record(s, now)
		s.Rank = "urgent"
		r.record(s, now)
	}
	if len(r.series) > maxSeries || r.dropped == 0 {
		t.Errorf("got %d series and %d dropped samples, want at most maxSeries series and some dropped samples", len(r.series), r.dropped)
	}
	urgent := r.series[seriesKey{rank: "urgent"}]
	if urgent == nil {
		t.Fatal("the series of the declared rank is missing")
	}
	for _, ring := range urgent.rings {
		for _, b := range ring.closed {
			if n := len(b.tally.bad); n > maxCauses+1 {
				t.Errorf("got a bucket with %d causes, want at most %d and the cause other", n, maxCauses)
			}
		}
	}
}

// TestPageIsSelfContained verifies that the page loads no other resource and
// escapes text from nodes.
func TestPageIsSelfContained(t *testing.T) {
	view := testRanks()
	missing := []MissingNode{{Node: "<script>x</script>", Reason: "gone"}}
	var b bytes.Buffer
	if err := NewReport(view.current, []peer.BurnDigest{outageDigest()}, missing, testStart).WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	for _, forbidden := range []string{"<script", "http://", "https://", "src=", "@import", "url(", "NaN", "ZgotmplZ"} {
		if strings.Contains(b.String(), forbidden) {
			t.Errorf("the page contains %q, want a self-contained and escaped page", forbidden)
		}
	}
	if !strings.Contains(b.String(), "<polyline") {
		t.Error("the page contains no curve, want at least one polyline")
	}
}

// outageDigest returns a digest of six hours of requests in which the rank
// standard has an outage in the last 70 minutes.
func outageDigest() peer.BurnDigest {
	r := NewRecorder("n", testRanks())
	random := rand.New(rand.NewPCG(9, 9))
	const requests = 60_000
	for i := range requests {
		now := testStart.Add(-LongWindow + time.Duration(i)*LongWindow/requests)
		s := newRandomSample(random)
		if s.Outcome != callerapi.OutcomeComplete && random.IntN(15) > 0 {
			s.Outcome, s.FirstToken, s.MaxInterToken = callerapi.OutcomeComplete, 120*time.Millisecond, 14*time.Millisecond
		}
		outage := testStart.Sub(now) < 70*time.Minute && s.Rank == "standard"
		if outage && random.IntN(10) < 9 {
			s.Outcome, s.Kind = callerapi.OutcomeRefused, refusal.KindOverloaded
		}
		r.record(s, now)
	}
	return r.digest(testStart)
}
