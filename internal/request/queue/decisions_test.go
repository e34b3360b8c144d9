package queue

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// offerAndStart offers count requests of an account and starts as many as there
// are free slots.
func offerAndStart(t *testing.T, s *Scheduler, rank, account string, count int, now time.Time) Decisions {
	t.Helper()
	for i := range count {
		r := Request{ID: fmt.Sprintf("%s-%s-%d", rank, account, i), Account: account, Rank: rank, CostTokens: 500}
		if refused := s.Offer(r, now); refused != nil {
			t.Fatalf("offer of %s: %v", r.ID, refused)
		}
	}
	return s.Next(now)
}

// TestUrgentPreemptsDownToFloor fills 24 slots with requests of rank digest,
// whose floor is 2.4 slots, and offers 48 urgent requests. Each preempted run
// frees its slot cancelDelay calls of Next later. Preemption must stop at the
// floor of rank digest and must not choose a run twice.
func TestUrgentPreemptsDownToFloor(t *testing.T) {
	const slots, cancelDelay, calls = 24, 3, 100
	s := newSimScheduler(1, slots)
	offerAndStart(t, s, "digest", "a", slots, simStart)
	now := simStart.Add(time.Second)
	for i := range 2 * slots {
		_ = s.Offer(Request{ID: fmt.Sprintf("urgent-%d", i), Account: "b", Rank: "urgent", CostTokens: 500, Resumed: true}, now)
	}
	preempted := map[string]bool{}
	cancels := make([][]string, calls+cancelDelay)
	for call := range calls {
		for _, id := range cancels[call] {
			s.Finish(id, 0, now)
			_ = s.Offer(Request{ID: id, Account: "a", Rank: "digest", CostTokens: 500, Resumed: true}, now)
		}
		for _, id := range s.Next(now).Preempt {
			if preempted[id] || !strings.HasPrefix(id, "digest") {
				t.Fatalf("preempted %s (preempted before: %v), want a digest request that was not preempted before", id, preempted[id])
			}
			preempted[id] = true
			cancels[call+cancelDelay] = append(cancels[call+cancelDelay], id)
		}
		now = now.Add(10 * time.Millisecond)
	}
	digests := s.ranksByName["digest"].running.Len()
	if digests < 3 || digests > 4 || len(preempted) != slots-digests {
		t.Errorf("got %d running digest requests after %d preemptions, want 3 for their floor of 2.4 slots, or 4 with the margin", digests, len(preempted))
	}
}

// TestResumedGoesFirst verifies that a resumed request starts before requests
// that its account offered earlier.
func TestResumedGoesFirst(t *testing.T) {
	s := newSimScheduler(1, 1)
	offerAndStart(t, s, "digest", "a", 3, simStart)
	_ = s.Offer(Request{ID: "resumed", Account: "a", Rank: "digest", CostTokens: 500, Resumed: true}, simStart)
	s.Finish("digest-a-0", 500, simStart.Add(time.Second))
	d := s.Next(simStart.Add(time.Second))
	if len(d.Assign) != 1 || d.Assign[0].RequestID != "resumed" {
		t.Errorf("got assignments %v, want the resumed request first", d.Assign)
	}
}

// TestIdleAccountCreditIsBounded lets one account use the slot alone for long
// before another account offers requests. The second account goes first, but
// only for maxCreditRequests requests.
func TestIdleAccountCreditIsBounded(t *testing.T) {
	const calls = 40
	s := newSimScheduler(1, 1)
	now := simStart
	offerAndStart(t, s, "digest", "busy", 3*calls, now)
	served := map[string]int{}
	run := func() {
		for id, it := range s.running {
			served[it.Account]++
			s.Finish(id, 500, now)
		}
		now = now.Add(10 * time.Millisecond)
		s.Next(now)
	}
	for range calls {
		run()
	}
	offerAndStart(t, s, "digest", "new", calls, now)
	clear(served)
	for range calls + 1 {
		run()
	}
	if got := served["new"]; got < calls/2 || got > calls/2+maxCreditRequests {
		t.Errorf("the new account got %d of %d runs, want half and at most %d more", got, calls, maxCreditRequests)
	}
}

// TestFullQueueEvictsLargestAccount verifies that a full queue refuses the
// account with the most queued requests, and evicts its newest request for
// another account.
func TestFullQueueEvictsLargestAccount(t *testing.T) {
	s := New()
	s.SetRanks([]Rank{{Name: "digest", FirstTokenTarget: time.Minute, QueueBound: 5}}, simStart)
	offerAndStart(t, s, "digest", "large", 4, simStart)
	offerAndStart(t, s, "digest", "small", 1, simStart)
	if refused := s.Offer(Request{ID: "more", Account: "large", Rank: "digest"}, simStart); refused == nil || refused.Kind != refusal.KindOverloaded {
		t.Fatalf("offer of the large account: got %v, want a refusal of kind overloaded", refused)
	}
	if refused := s.Offer(Request{ID: "next", Account: "small", Rank: "digest"}, simStart); refused != nil {
		t.Fatalf("offer of the small account: got %v, want it queued", refused)
	}
	d := s.Next(simStart)
	if len(d.Refuse) != 1 || d.Refuse[0].RequestID != "digest-large-3" {
		t.Fatalf("got refusals %v, want the newest request of the large account", d.Refuse)
	}
	r := d.Refuse[0].Refusal
	if r.Kind != refusal.KindOverloaded || r.Ran != refusal.RanNo || r.RetryAfter <= 0 || !strings.Contains(r.Message, "account large holds the most with 4") {
		t.Errorf("got refusal %v, want overloaded, ran: no, a retry time and the queue length of the account", r)
	}
}

// TestOfferRefusesLateWork fills 8 slots with runs of 5 s and verifies that a
// request is refused once its predicted wait exceeds the first-token target of
// the rank or its deadline.
func TestOfferRefusesLateWork(t *testing.T) {
	s := newSimScheduler(1, 8)
	now := simStart
	for round := range 3 {
		offerAndStart(t, s, "urgent", fmt.Sprint(round), 8, now)
		now = now.Add(5 * time.Second)
		for id := range s.running {
			s.Finish(id, 500, now)
		}
	}
	offerAndStart(t, s, "urgent", "busy", 8, now)
	accepted := 0
	var refused *refusal.Error
	for refused == nil && accepted < 100 {
		accepted++
		refused = s.Offer(Request{ID: fmt.Sprint(accepted), Account: "busy", Rank: "urgent", CostTokens: 500}, now)
	}
	// A slot frees every 5 s / 8 = 625 ms on average.
	if accepted != 2 || refused.Kind != refusal.KindOverloaded || refused.RetryAfter < time.Second || !strings.Contains(refused.Message, "1.25s") {
		t.Errorf("offer %d got refusal %v, want the second one refused with a predicted wait of 1.25s", accepted, refused)
	}
	short := Request{ID: "short", Account: "other", Rank: "draft", CostTokens: 500, Deadline: now.Add(time.Second)}
	if refused := s.Offer(short, now); refused == nil || !strings.Contains(refused.Message, "deadline of 1s") {
		t.Errorf("offer that cannot start before its deadline: got %v, want a refusal that names the deadline of 1s", refused)
	}
}

// TestPrefersGroupWithPrefix verifies that a request starts in the group that has
// run the most of its leading blocks, if that group has a free slot.
func TestPrefersGroupWithPrefix(t *testing.T) {
	s := newSimScheduler(3, 2)
	offer := func(id string, prefix ...uint64) Assignment {
		_ = s.Offer(Request{ID: id, Account: "a", Rank: "draft", Prefix: prefix}, simStart)
		return s.Next(simStart).Assign[0]
	}
	first := offer("first", 1, 2, 3)
	if other := offer("other", 7, 8); other.Group == first.Group {
		t.Fatalf("an unrelated request got group %s, want an empty group", other.Group)
	}
	second := offer("second", 1, 2, 9)
	if second.Group != first.Group || second.PrefixHit != 2 {
		t.Errorf("got assignment %+v, want group %s with 2 blocks", second, first.Group)
	}
	if third := offer("third", 1, 2, 3); third.Group == first.Group {
		t.Errorf("got assignment %+v to a full group, want another group", third)
	}
}
