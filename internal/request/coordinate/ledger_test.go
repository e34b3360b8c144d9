package coordinate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testKey = Key{"models", "large"}

// testService has the engine of the plates.
func testService() *fleet.Service {
	return &fleet.Service{Name: "models", Engine: &fleet.Engine{
		Slots: 20, MemoryTokens: 1_860_000, StepsPerPass: 6, ChunkTokens: 2048, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 94700 * time.Nanosecond,
		PrefillTokensPerSecond: 45_900, MeanPromptTokens: 850, MeanAnswerTokens: 158,
		Models: []fleet.Model{{Name: "large", Size: 8, TimeFactor: 1}, {Name: "small", Size: 2, TimeFactor: 0.6}},
	}}
}

func testView(groups int) *fleet.View {
	var hosts []*fleet.Host
	for i := range groups {
		hosts = append(hosts, &fleet.Host{
			ID: fmt.Sprintf("h%04d", i), Service: "models", State: fleet.HostReady, LoadedModel: "large", FailureDomain: fmt.Sprintf("d%d", i%3), Started: testStart,
			Group: fleet.Membership{Name: fmt.Sprintf("g%d", i), Epoch: 1, State: fleet.MemberOpen},
		})
	}
	return fleet.NewView(nil, hosts, 1, testStart, true)
}

// TestLedgerAgreesWithNodes plays asks, attempts, lost and repeated reports and ends of
// nodes at random. It guards against a group that seems full or empty for good: once
// each node's last report has arrived, the ledger must hold what the nodes have in
// flight, and it must never choose a group beyond its limit as it knows it.
func TestLedgerAgreesWithNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service, view, now := testService(), testView(rapid.IntRange(1, 5).Draw(t, "groups")), testStart
		ledger := NewLedger(place.NewBoard())
		var trackers []*Tracker
		for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
			trackers = append(trackers, NewTracker(fmt.Sprintf("n%d", i), now))
		}
		uses, delayed := make([][]*Use, len(trackers)), []Usage{}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(5 * time.Millisecond)
			i := rapid.IntRange(0, len(trackers)-1).Draw(t, "node")
			tracker := trackers[i]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1: // an ask, whose answer may be lost
				id := tracker.OpenAsk(testKey)
				prompt := rapid.IntRange(1, 5920).Draw(t, "prompt")
				answer := ledger.Place(tracker.Usage(testKey, testStart), Ask{ID: id, PromptTokens: prompt, Tokens: prompt + 100, Rank: 1}, service, view, now)
				if load := ledger.keys[testKey].groups[answer.Host]; answer.Host != "" && load.load.Requests > place.RankLimit(service.Engine, 1) {
					t.Fatalf("chosen group has %d requests, want at most %d", load.load.Requests, place.RankLimit(service.Engine, 1))
				}
				if answer.Host != "" && rapid.Bool().Draw(t, "arrives") {
					uses[i] = append(uses[i], tracker.Begin(testKey, answer.Host, prompt, prompt+100))
				}
				tracker.CloseAsk(testKey, id)
			case 2:
				for _, u := range uses[i] {
					u.Event(now)
				}
			case 3:
				for _, u := range uses[i] {
					u.End()
				}
				uses[i] = nil
			case 4:
				delayed = append(delayed, tracker.Usage(testKey, testStart))
			case 5: // reports arrive late, in any order and again
				for _, u := range delayed {
					ledger.Observe(u, service, now)
				}
			}
		}
		want := map[string]Load{}
		for _, tracker := range trackers {
			usage := tracker.Usage(testKey, testStart)
			ledger.Observe(usage, service, now)
			for id, load := range usage.Groups {
				want[id] = want[id].plus(load, 1)
			}
		}
		for id, g := range ledger.keys[testKey].groups {
			if g.load != want[id] {
				t.Errorf("group %s: got load %+v, want %+v as the nodes have", id, g.load, want[id])
			}
			delete(want, id)
		}
		if len(want) > 0 {
			t.Errorf("ledger lacks the loads %v", want)
		}
	})
}

// place asks for one request and counts it at the tracker.
func placeOne(tracker *Tracker, ledger *Ledger, view *fleet.View, ask Ask, now time.Time) (Answer, *Use) {
	ask.ID = tracker.OpenAsk(testKey)
	answer := ledger.Place(tracker.Usage(testKey, testStart), ask, testService(), view, now)
	var use *Use
	if answer.Host != "" {
		use = tracker.Begin(testKey, answer.Host, ask.PromptTokens, ask.Tokens)
	}
	tracker.CloseAsk(testKey, ask.ID)
	return answer, use
}

// TestLongPromptsAreSpread guards against short requests behind a long prompt: the
// groups that prefill nothing are chosen first, although each has a request more.
func TestLongPromptsAreSpread(t *testing.T) {
	tracker, ledger, view := NewTracker("n0", testStart), NewLedger(place.NewBoard()), testView(3)
	long, _ := placeOne(tracker, ledger, view, Ask{PromptTokens: 5880, Tokens: 5900}, testStart)
	for i := range 4 {
		short, use := placeOne(tracker, ledger, view, Ask{PromptTokens: 100, Tokens: 200}, testStart)
		use.Event(testStart)
		if short.Host == long.Host || short.Host == "" {
			t.Errorf("short request %d: got group %q, want another one than %q with the long prompt", i, short.Host, long.Host)
		}
	}
}

// TestFullGroups verifies that a request is refused only if no group has slots and
// memory for its rank, that a less urgent one leaves headroom, and that excluded
// groups are left out.
func TestFullGroups(t *testing.T) {
	for _, c := range []struct {
		name string
		rank int
		ask  Ask
		fits int
	}{
		{"slots of rank 0", 0, Ask{PromptTokens: 10, Tokens: 20}, 40},
		{"slots of rank 2", 2, Ask{PromptTokens: 10, Tokens: 20}, 32},
		{"memory", 0, Ask{PromptTokens: 500_000, Tokens: 600_000}, 6},
	} {
		tracker, ledger, view := NewTracker("n0", testStart), NewLedger(place.NewBoard()), testView(2)
		c.ask.Rank = c.rank
		for i := range c.fits {
			if answer, _ := placeOne(tracker, ledger, view, c.ask, testStart); answer.Host == "" {
				t.Fatalf("%s: request %d: got no group, want one, because %d fit", c.name, i+1, c.fits)
			}
		}
		if answer, _ := placeOne(tracker, ledger, view, c.ask, testStart); !answer.Full {
			t.Errorf("%s: request %d: got %+v, want full", c.name, c.fits+1, answer)
		}
	}
	tracker, ledger, view := NewTracker("n0", testStart), NewLedger(place.NewBoard()), testView(2)
	if answer, _ := placeOne(tracker, ledger, view, Ask{Exclude: []string{"h0000", "h0001"}}, testStart); answer.Host != "" || answer.Full {
		t.Errorf("all groups excluded: got %+v, want neither a group nor full", answer)
	}
}

// TestUncoveredLedgerDoesNotChoose guards against a node to which only some others
// report, after its start or a partition: it would fill groups that others fill too.
func TestUncoveredLedgerDoesNotChoose(t *testing.T) {
	board, view := place.NewBoard(), testView(9)
	counts := map[string]int{}
	for _, h := range view.Hosts {
		counts[h.ID] = 10
	}
	board.Merge("hub", counts, 122, nil, testStart)
	ledger, tracker := NewLedger(board), NewTracker("n0", testStart)
	if answer, _ := placeOne(tracker, ledger, view, Ask{}, testStart); answer.Host != "" || answer.Full {
		t.Errorf("without reports of 90 requests: got %+v, want no choice", answer)
	}
	for _, h := range view.Hosts {
		for range 8 {
			tracker.Begin(testKey, h.ID, 10, 20)
		}
	}
	if answer, _ := placeOne(tracker, ledger, view, Ask{}, testStart.Add(coverageInterval)); answer.Host == "" {
		t.Errorf("with reports of 72 of 90 requests: got %+v, want a choice", answer)
	}
}

// TestLapsedNodesAreForgotten guards against room that a lost node holds for good.
func TestLapsedNodesAreForgotten(t *testing.T) {
	ledger, view := NewLedger(place.NewBoard()), testView(1)
	lost, live := NewTracker("n0", testStart), NewTracker("n1", testStart)
	for range 20 {
		placeOne(lost, ledger, view, Ask{}, testStart)
	}
	if answer, _ := placeOne(live, ledger, view, Ask{}, testStart.Add(usageTTL/2)); !answer.Full {
		t.Errorf("20 requests of another node: got %+v, want full", answer)
	}
	if answer, _ := placeOne(live, ledger, view, Ask{}, testStart.Add(2*usageTTL)); answer.Host == "" {
		t.Errorf("after the node's reports have lapsed: got %+v, want a group", answer)
	}
}

// TestSuspectedGroupsGetNothing verifies that the rules of the board apply.
func TestSuspectedGroupsGetNothing(t *testing.T) {
	board, view := place.NewBoard(), testView(2)
	board.Suspect("h0000", testStart)
	board.ObserveWait(view.Host("h0001"), time.Second, testStart)
	ledger, tracker := NewLedger(board), NewTracker("n0", testStart)
	if answer, _ := placeOne(tracker, ledger, view, Ask{}, testStart); answer.Host != "" || answer.Full {
		t.Errorf("got %+v, want neither a group nor full: one is suspected, one asks for no requests", answer)
	}
}

// BenchmarkPlace verifies that a choice costs about the same for any number of groups:
// 100 times as many may cost 4 times as much, for the depth of the heap and the caches.
// The fastest of several rounds counts, since other work only adds to a round.
func BenchmarkPlace(b *testing.B) {
	const maxFactor, rounds, asks = 4, 10, 500
	fastest := func(groups int) time.Duration {
		tracker, ledger, view, service := NewTracker("n0", testStart), NewLedger(place.NewBoard()), testView(groups), testService()
		best := time.Hour
		for range rounds {
			start := time.Now()
			for range asks {
				id := tracker.OpenAsk(testKey)
				ledger.Place(tracker.Usage(testKey, testStart), Ask{ID: id, PromptTokens: 1000, Tokens: 1200}, service, view, testStart)
				tracker.CloseAsk(testKey, id)
			}
			best = min(best, time.Since(start)/asks)
		}
		return best
	}
	for b.Loop() {
		few, many := fastest(50), fastest(5000)
		b.Logf("choice: %v with 50 groups, %v with 5000", few, many)
		if many > maxFactor*few {
			b.Errorf("got %v for 5000 groups and %v for 50, want at most %d times as much", many, few, maxFactor)
		}
	}
}

// TestEventsElsewhereRefuteSuspicion guards against groups that stay unused after each
// long pass: a node suspects a group whose streams are silent for longer than most
// passes, and others learn of it, while the pass has long ended for a third node.
func TestEventsElsewhereRefuteSuspicion(t *testing.T) {
	board, view, now := place.NewBoard(), testView(1), testStart
	ledger, asking, other := NewLedger(board), NewTracker("n0", now), NewTracker("n1", now)
	use := other.Begin(testKey, "h0000", 1000, 1200)
	board.Suspect("h0000", now)
	if answer, _ := placeOne(asking, ledger, view, Ask{}, now); answer.Host != "" || answer.Full {
		t.Errorf("suspected group: got %+v, want no choice", answer)
	}
	use.Event(now)
	now = now.Add(50 * time.Millisecond)
	ledger.Observe(other.Usage(testKey, now), testService(), now)
	if answer, _ := placeOne(asking, ledger, view, Ask{}, now); answer.Host == "" {
		t.Errorf("event of the group 50 ms ago: got %+v, want the group", answer)
	}
	now = now.Add(place.EngineStallThresholds(testService().Engine, &testService().Engine.Models[0], 0).Suspect)
	if answer, _ := placeOne(asking, ledger, view, Ask{}, now); answer.Host != "" {
		t.Errorf("no event for longer than most passes: got %+v, want no choice", answer)
	}
}

// TestRoomIsFoundBehindFullGroups guards against refusals while there is room: the only
// group with a free slot has long prompts before it, and more full groups than a choice
// looks at have none.
func TestRoomIsFoundBehindFullGroups(t *testing.T) {
	ledger, tracker, view := NewLedger(place.NewBoard()), NewTracker("n0", testStart), testView(3*maxExamined)
	for i, h := range view.Hosts {
		for j := range 20 {
			if i > 0 || j < 10 {
				use := tracker.Begin(testKey, h.ID, 5880, 6000)
				if i > 0 {
					use.Event(testStart)
				}
			}
		}
	}
	if answer, _ := placeOne(tracker, ledger, view, Ask{Rank: 1}, testStart); answer.Host != "h0000" {
		t.Errorf("got %+v, want h0000, the only group with room", answer)
	}
}
