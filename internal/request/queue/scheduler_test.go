package queue

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/request/refusal"
)

// modelRequest is the state of a request as the scheduler's caller sees it.
type modelRequest struct {
	Request
	group     string // empty while queued
	preempted bool
}

// stateMachine drives a Scheduler with random events and keeps a reference model
// of the requests that must be queued or running. Rapid calls its exported
// methods: Check after every action, the others as random actions.
type stateMachine struct {
	s      *Scheduler
	now    time.Time
	lastID int
	active map[string]*modelRequest
	slots  map[string]int
}

var modelGroups = []string{"a", "b", "c"}

func newStateMachine() *stateMachine {
	m := &stateMachine{s: New(), now: simStart, active: map[string]*modelRequest{}, slots: map[string]int{}}
	ranks := slices.Clone(simRanks)
	for i := range ranks {
		ranks[i].QueueBound = 6
	}
	m.s.SetRanks(ranks, m.now)
	return m
}

// activeIDs returns the sorted IDs of the running requests, or else of the queued
// ones.
func (m *stateMachine) activeIDs(running bool) []string {
	ids := []string{}
	for id, r := range m.active {
		if (r.group != "") == running {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// usedSlots returns the number of requests that run in the group.
func (m *stateMachine) usedSlots(group string) int {
	used := 0
	for _, r := range m.active {
		if r.group == group {
			used++
		}
	}
	return used
}

// SetGroups changes slots, and adds and removes groups.
func (m *stateMachine) SetGroups(t *rapid.T) {
	var groups []Group
	m.slots = map[string]int{}
	for _, name := range modelGroups {
		if rapid.IntRange(0, 3).Draw(t, "declared") > 0 {
			m.slots[name] = rapid.IntRange(0, 3).Draw(t, "slots")
			groups = append(groups, Group{Name: name, Slots: m.slots[name]})
		}
	}
	m.s.SetGroups(groups, m.now)
}

// Offer offers a new or a resumed request.
func (m *stateMachine) Offer(t *rapid.T) {
	m.lastID++
	r := Request{
		ID:         fmt.Sprint(m.lastID),
		Account:    rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"),
		Rank:       rapid.SampledFrom(simRanks).Draw(t, "rank").Name,
		CostTokens: rapid.Int64Range(0, 2000).Draw(t, "cost"),
		Resumed:    rapid.IntRange(0, 3).Draw(t, "resumed") == 0,
		Avoid:      rapid.SliceOfNDistinct(rapid.SampledFrom(modelGroups), 0, 3, rapid.ID).Draw(t, "avoid"),
		Prefix:     []uint64{1, rapid.Uint64Range(2, 4).Draw(t, "block")},
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		r.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
	}
	m.offer(t, r)
}

func (m *stateMachine) offer(t *rapid.T, r Request) {
	refused := m.s.Offer(r, m.now)
	switch {
	case refused == nil:
		m.active[r.ID] = &modelRequest{Request: r}
	case r.Resumed:
		t.Fatalf("offer of a resumed request: got %v, want it queued", refused)
	case refused.Ran != refusal.RanNo:
		t.Fatalf("offer of a new request: got %v, want a refusal with ran: no", refused)
	}
}

// OfferAgain offers a request ID that is in use.
func (m *stateMachine) OfferAgain(t *rapid.T) {
	if len(m.active) == 0 {
		t.Skip("no request is active")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.active))).Draw(t, "id")
	if refused := m.s.Offer(m.active[id].Request, m.now); refused == nil {
		t.Fatalf("second offer of request %s was queued, want a refusal", id)
	}
}

// Next checks the scheduler's decisions and carries them out.
func (m *stateMachine) Next(t *rapid.T) {
	d := m.s.Next(m.now)
	for _, refused := range d.Refuse {
		m.checkRefusedRequest(t, refused)
	}
	for _, a := range d.Assign {
		r := m.active[a.RequestID]
		if r == nil || r.group != "" {
			t.Fatalf("got an assignment of request %s, which is not queued", a.RequestID)
		}
		if slices.Contains(r.Avoid, a.Group) {
			t.Fatalf("got an assignment of request %s to group %s, which it avoids", r.ID, a.Group)
		}
		r.group = a.Group
		if used := m.usedSlots(a.Group); used > m.slots[a.Group] {
			t.Fatalf("group %s: got %d running requests, want at most its %d slots", a.Group, used, m.slots[a.Group])
		}
	}
	for _, id := range d.Preempt {
		r := m.active[id]
		if r == nil || r.group == "" || r.preempted || r.Rank == "urgent" {
			t.Fatalf("got a preemption of request %s, which cannot be preempted: %+v", id, r)
		}
		r.preempted = true
	}
	m.checkConservation(t)
}

// checkRefusedRequest checks that the refused request was queued and that its
// refusal matches its deadline and says whether it may have run.
func (m *stateMachine) checkRefusedRequest(t *rapid.T, refused RefusedRequest) {
	r := m.active[refused.RequestID]
	if r == nil || r.group != "" {
		t.Fatalf("got a refusal of request %s, which is not queued", refused.RequestID)
	}
	late := !r.Deadline.IsZero() && !m.now.Before(r.Deadline)
	if (refused.Refusal.Kind == refusal.KindDeadline) != late && !(late && refused.Refusal.Kind == refusal.KindOverloaded) {
		t.Fatalf("request %s: got refusal with %v, want one that fits deadline passed: %v", r.ID, refused.Refusal, late)
	}
	if r.Resumed != (refused.Refusal.Ran == refusal.RanUnknown) {
		t.Fatalf("request %s (resumed: %v): got refusal with %v, want ran: unknown only if resumed", r.ID, r.Resumed, refused.Refusal)
	}
	delete(m.active, r.ID)
}

// checkConservation fails if a slot is free that a queued request may use.
func (m *stateMachine) checkConservation(t *rapid.T) {
	for group, slots := range m.slots {
		if m.usedSlots(group) >= slots {
			continue
		}
		for _, id := range m.activeIDs(false) {
			if !slices.Contains(m.active[id].Avoid, group) {
				t.Fatalf("group %s has a free slot, want it used by queued request %s", group, id)
			}
		}
	}
}

// Progress reports tokens of a running request.
func (m *stateMachine) Progress(t *rapid.T) {
	ids := m.activeIDs(true)
	if len(ids) == 0 {
		t.Skip("no request is running")
	}
	m.s.Progress(rapid.SampledFrom(ids).Draw(t, "id"), rapid.Int64Range(0, 1000).Draw(t, "tokens"), m.now)
}

// Finish ends a running request; a preempted one is offered again.
func (m *stateMachine) Finish(t *rapid.T) {
	ids := m.activeIDs(true)
	if len(ids) == 0 {
		t.Skip("no request is running")
	}
	r := m.active[rapid.SampledFrom(ids).Draw(t, "id")]
	m.s.Finish(r.ID, rapid.Int64Range(0, 3000).Draw(t, "tokens"), m.now)
	delete(m.active, r.ID)
	if r.preempted {
		r.Resumed = true
		m.offer(t, r.Request)
	}
}

// Cancel cancels any active request.
func (m *stateMachine) Cancel(t *rapid.T) {
	if len(m.active) == 0 {
		t.Skip("no request is active")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.active))).Draw(t, "id")
	queued := m.active[id].group == ""
	cancelled := m.s.Cancel(id, m.now)
	if cancelled && !queued {
		t.Fatalf("Cancel of running request %s: got true, want false", id)
	}
	if cancelled {
		delete(m.active, id)
	}
}

// Advance moves the time forward.
func (m *stateMachine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "millis")) * time.Millisecond)
}

// Check compares the scheduler with the model.
func (m *stateMachine) Check(t *rapid.T) {
	queued := m.activeIDs(false)
	if got := m.s.Queued() + len(m.s.evicted); got != len(queued) {
		t.Fatalf("got %d queued or evicted requests, want %d", got, len(queued))
	}
	if got := len(m.s.running); got != len(m.activeIDs(true)) {
		t.Fatalf("got %d running requests, want %d", got, len(m.activeIDs(true)))
	}
	if wake := m.s.NextWake(m.now); len(queued) == 0 && !wake.IsZero() {
		t.Fatalf("NextWake of an empty queue: got %v, want zero", wake)
	}
	for _, id := range queued {
		if e := m.s.Explain(id); e.Reason == ReasonUnknown && len(m.s.evicted) == 0 {
			t.Fatalf("Explain of queued request %s: got reason Unknown", id)
		}
	}
}

// finishAll ends all requests and checks that the scheduler keeps no state of them.
func (m *stateMachine) finishAll(t *rapid.T) {
	for _, id := range m.activeIDs(true) {
		m.s.Finish(id, 100, m.now)
	}
	for _, id := range m.activeIDs(false) {
		m.s.Cancel(id, m.now)
	}
	m.s.Next(m.now)
	if m.s.Queued() != 0 || len(m.s.running) != 0 || len(m.s.parked) != 0 || len(m.s.deadlines) != 0 || len(m.s.preempting) != 0 || m.s.groups.used != 0 {
		t.Fatalf("got scheduler state %+v after the last request, want it empty", m.s)
	}
	for _, r := range m.s.ranks {
		if r.queuedTokens != 0 || r.parked != 0 || r.preempting != 0 || len(r.fairQueue.byStart) != 0 {
			t.Fatalf("rank %s: got state %+v after the last request, want it empty", r.Name, r)
		}
	}
}

// TestSchedulerConservesRequests verifies for random sequences of events that no
// request is lost or duplicated, that no slot stays free while a queued request
// may use it, that no request runs in a group that it avoids, and that refusals
// state correctly whether the request may have run.
func TestSchedulerConservesRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		m.SetGroups(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.finishAll(t)
	})
}

// TestAccountsShareByTokens keeps several accounts of one rank backlogged on one
// slot. The tokens that any two of them used must differ by at most the bound of
// start-time fair queueing, for any request costs and estimates.
func TestAccountsShareByTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost, maxPercent, accounts, rounds = 1500, 200, 3, 200
		s := newSimScheduler(1, 1)
		rank := s.ranksByName["digest"]
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		means := rapid.SliceOfN(rapid.Int64Range(2, maxCost/2), accounts, accounts).Draw(t, "mean costs")
		percents := rapid.SliceOfN(rapid.SampledFrom([]int64{50, 100, maxPercent}), accounts, accounts).Draw(t, "estimates in percent")
		now, offered, costs := simStart, 0, map[string]int64{}
		offer := func(account int) {
			offered++
			cost := 1 + rng.Int64N(2*means[account]-1)
			costs[fmt.Sprint(offered)] = cost
			_ = s.Offer(Request{ID: fmt.Sprint(offered), Account: fmt.Sprint(account), Rank: "digest", CostTokens: cost * percents[account] / 100, Resumed: true}, now)
		}
		for i := range 2 * accounts {
			offer(i % accounts)
		}
		used := make([]int64, accounts)
		for range rounds {
			it := s.running[s.Next(now).Assign[0].RequestID]
			now = now.Add(time.Second)
			account, _ := strconv.Atoi(it.Account)
			offer(account)
			used[account] += costs[it.ID]
			s.Finish(it.ID, costs[it.ID], now)
			bound := 2*maxCost*maxPercent/100 + maxCreditRequests*rank.meanCost.value
			if spread := slices.Max(used) - slices.Min(used); float64(spread) > bound {
				t.Fatalf("token use of backlogged accounts: got a difference of %d, want at most %.0f", spread, bound)
			}
		}
	})
}
