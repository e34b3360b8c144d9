package place

import (
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engineService() *fleet.Service {
	return &fleet.Service{Name: "models", Engine: &fleet.Engine{
		Slots: 10, StepsPerPass: 5, ChunkTokens: 2048, StepTime: 6 * time.Millisecond, StepTimePerRequest: 240 * time.Microsecond,
		PrefillTokensPerSecond: 46000, MeanPromptTokens: 1000, MeanAnswerTokens: 100, Models: []fleet.Model{{Name: "m", Size: 1, TimeFactor: 1}},
	}}
}

func openHead(id string) *fleet.Host {
	return &fleet.Host{ID: id, Service: "models", State: fleet.HostReady, LoadedModel: "m", Slots: 10,
		Group: fleet.Membership{Name: "m." + id, Epoch: 1, State: fleet.MemberOpen}}
}

func view(hosts ...*fleet.Host) *fleet.View { return fleet.NewView(nil, hosts, 1, start, true) }

func mustPlace(t *testing.T, b *Board, v *fleet.View, q Query, now time.Time) string {
	t.Helper()
	choice, refused := b.Choose(v, q, now)
	if refused != nil {
		t.Fatalf("refused: %+v", refused)
	}
	return choice.Host.ID
}

// TestOnlyOpenHeadsOfTheModelTakeRequests verifies that a host gets no request in
// any other state.
func TestOnlyOpenHeadsOfTheModelTakeRequests(t *testing.T) {
	for name, change := range map[string]func(*fleet.Host){
		"leaving":     func(h *fleet.Host) { h.State = fleet.HostLeaving },
		"other model": func(h *fleet.Host) { h.LoadedModel = "n" },
		"not head":    func(h *fleet.Host) { h.Group.Rank = 1 },
		"ready":       func(h *fleet.Host) { h.Group.State = fleet.MemberReady },
		"closing":     func(h *fleet.Host) { h.Group.State = fleet.MemberClosing },
		"broken":      func(h *fleet.Host) { h.Group.State = fleet.MemberBroken },
		"no group":    func(h *fleet.Host) { h.Group = fleet.Membership{} },
	} {
		host := openHead("a")
		change(host)
		if choice, refused := NewBoard().Choose(view(host), Query{Service: engineService(), Model: "m"}, start); refused == nil {
			t.Errorf("%s: request was placed at %s, want a refusal", name, choice.Host.ID)
		} else if refused.Candidates != 0 {
			t.Errorf("%s: %d candidates, want 0", name, refused.Candidates)
		}
	}
}

// TestNodesTogetherKeepGroupsWithinTheirBatch sends a burst to three nodes that
// report their requests to each other. No group gets more than its batch, and the
// other requests are refused at once with a retry delay.
func TestNodesTogetherKeepGroupsWithinTheirBatch(t *testing.T) {
	v := view(openHead("a"), openHead("b"))
	boards := []*Board{NewBoard(), NewBoard(), NewBoard()}
	counts := map[string]int{}
	refusals := 0
	for i := range 60 {
		board := boards[i%len(boards)]
		choice, refused := board.Choose(v, Query{Service: engineService(), Model: "m"}, start)
		if refused != nil {
			refusals++
			if refused.RetryAfter < minRetryAfter || refused.RetryAfter > maxRetryAfter {
				t.Errorf("retry after %v, want within [%v, %v]", refused.RetryAfter, minRetryAfter, maxRetryAfter)
			}
			continue
		}
		counts[choice.Host.ID]++
		for j, other := range boards {
			if j != i%len(boards) {
				other.Merge(fmt.Sprint(i%len(boards)), board.InFlight(), 1, nil, start)
			}
		}
	}
	if counts["a"] != 10 || counts["b"] != 10 || refusals != 40 {
		t.Errorf("a %d, b %d, refused %d; want 10, 10, 40", counts["a"], counts["b"], refusals)
	}
}

// TestUrgentRankHasHeadroomUnderLowRankOverload verifies that an overload of the
// least urgent rank leaves headroom for the most urgent one.
func TestUrgentRankHasHeadroomUnderLowRankOverload(t *testing.T) {
	v, b := view(openHead("a")), NewBoard()
	low, urgent := Query{Service: engineService(), Model: "m", Rank: 2}, Query{Service: engineService(), Model: "m"}
	for range 50 {
		b.Choose(v, low, start)
	}
	if got := b.InFlight()["a"]; got != 8 {
		t.Errorf("overload of rank 2 fills %d of 10 slots, want 8", got)
	}
	mustPlace(t, b, v, urgent, start)
	mustPlace(t, b, v, urgent, start)
	if _, refused := b.Choose(v, urgent, start); refused == nil {
		t.Error("an 11th request was placed at a group with a batch of 10, want a refusal")
	}
}

// TestSuspectedGroupGetsNoRequestUntilProgress verifies that a suspected group
// gets no request until it sends something, and that suspicions of other nodes
// are adopted.
func TestSuspectedGroupGetsNoRequestUntilProgress(t *testing.T) {
	v, b, q := view(openHead("a"), openHead("b")), NewBoard(), Query{Service: engineService(), Model: "m"}
	if !b.Suspect("a", start) || b.Suspect("a", start) {
		t.Error("Suspect did not report the first suspicion as new and the second as known")
	}
	for range 5 {
		if id := mustPlace(t, b, v, q, start); id != "b" {
			t.Fatalf("request was placed at the suspected host %s, want b", id)
		}
	}
	b.Progressed("a", start)
	if id := mustPlace(t, b, v, q, start); id != "a" {
		t.Errorf("request was placed at %s, want the idle host a after its progress", id)
	}
	other := NewBoard()
	other.Merge("node", nil, 1, []string{"b"}, start)
	if !other.Suspected("b", start) {
		t.Error("host b is not suspected after another node reported it, want suspected")
	}
}

// TestFailingPlainEndpointGetsLess verifies that an endpoint that fails 4 in 10
// requests gets at most a third of its even share, but is still tried.
func TestFailingPlainEndpointGetsLess(t *testing.T) {
	plain := func(id string) *fleet.Host {
		return &fleet.Host{ID: id, Service: "plain", State: fleet.HostReady, Slots: 6}
	}
	v, b, q := view(plain("good1"), plain("good2"), plain("failing")), NewBoard(), Query{Service: &fleet.Service{Name: "plain"}}
	counts, now := map[string]int{}, start
	for i := range 600 {
		now = now.Add(60 * time.Millisecond)
		id := mustPlace(t, b, v, q, now)
		counts[id]++
		outcome := OutcomeAnswered
		if id == "failing" && i%10 < 4 {
			outcome = OutcomeFailed
		}
		b.Ended(id, outcome, 15*time.Millisecond, now)
	}
	if counts["failing"] > 600/9 {
		t.Errorf("the failing endpoint got %d of 600 requests, want at most %d", counts["failing"], 600/9)
	}
	if counts["failing"] == 0 {
		t.Error("the failing endpoint got no request, want some")
	}
}

// TestReportsOfSilentNodesExpire verifies that the requests of a crashed node do
// not count forever.
func TestReportsOfSilentNodesExpire(t *testing.T) {
	v, b, q := view(openHead("a")), NewBoard(), Query{Service: engineService(), Model: "m"}
	b.Merge("crashed", map[string]int{"a": 10}, 1, nil, start)
	if _, refused := b.Choose(v, q, start); refused == nil {
		t.Error("a request was placed at a full group, want a refusal")
	}
	mustPlace(t, b, v, q, start.Add(ReportTTL+time.Millisecond))
	if got := b.LiveNodes(start.Add(ReportTTL + time.Millisecond)); got != 1 {
		t.Errorf("got %d live nodes, want 1", got)
	}
}
