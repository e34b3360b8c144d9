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

// modelRequest is what the caller of the scheduler knows of a request.
type modelRequest struct {
	Request
	group     string // empty while queued
	preempted bool
}

// machine drives a Scheduler by random events beside a model of what must be
// queued and running.
type machine struct {
	s     *Scheduler
	now   time.Time
	next  int
	live  map[string]*modelRequest
	slots map[string]int
}

var machineGroups = []string{"a", "b", "c"}

func newMachine() *machine {
	m := &machine{s: New(), now: simStart, live: map[string]*modelRequest{}, slots: map[string]int{}}
	ranks := slices.Clone(simRanks)
	for i := range ranks {
		ranks[i].QueueBound = 6
	}
	m.s.SetRanks(ranks, m.now)
	return m
}

// ids returns the sorted IDs of live requests that run, or that are queued.
func (m *machine) ids(running bool) []string {
	ids := []string{}
	for id, r := range m.live {
		if (r.group != "") == running {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (m *machine) used(group string) int {
	used := 0
	for _, r := range m.live {
		if r.group == group {
			used++
		}
	}
	return used
}

// SetGroups changes slots, and adds and removes groups.
func (m *machine) SetGroups(t *rapid.T) {
	var groups []Group
	m.slots = map[string]int{}
	for _, name := range machineGroups {
		if rapid.IntRange(0, 3).Draw(t, "declared") > 0 {
			m.slots[name] = rapid.IntRange(0, 3).Draw(t, "slots")
			groups = append(groups, Group{Name: name, Slots: m.slots[name]})
		}
	}
	m.s.SetGroups(groups, m.now)
}

// Offer offers a new or a resumed request.
func (m *machine) Offer(t *rapid.T) {
	m.next++
	r := Request{
		ID:         fmt.Sprint(m.next),
		Account:    rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"),
		Rank:       rapid.SampledFrom(simRanks).Draw(t, "rank").Name,
		CostTokens: rapid.Int64Range(0, 2000).Draw(t, "cost"),
		Resumed:    rapid.IntRange(0, 3).Draw(t, "resumed") == 0,
		Avoid:      rapid.SliceOfNDistinct(rapid.SampledFrom(machineGroups), 0, 3, rapid.ID).Draw(t, "avoid"),
		Prefix:     []uint64{1, rapid.Uint64Range(2, 4).Draw(t, "block")},
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		r.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
	}
	m.offer(t, r)
}

func (m *machine) offer(t *rapid.T, r Request) {
	refused := m.s.Offer(r, m.now)
	switch {
	case refused == nil:
		m.live[r.ID] = &modelRequest{Request: r}
	case r.Resumed:
		t.Fatalf("a resumed request was refused: %v", refused)
	case refused.Ran != refusal.RanNo:
		t.Fatalf("a request that never ran was refused with %v", refused)
	}
}

// OfferAgain offers a request ID that is in use.
func (m *machine) OfferAgain(t *rapid.T) {
	if len(m.live) == 0 {
		t.Skip("nothing is live")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.live))).Draw(t, "id")
	if refused := m.s.Offer(m.live[id].Request, m.now); refused == nil {
		t.Fatalf("request %s was accepted twice", id)
	}
}

// Next carries out decisions.
func (m *machine) Next(t *rapid.T) {
	d := m.s.Next(m.now)
	for _, expiry := range d.Expire {
		m.expire(t, expiry)
	}
	for _, a := range d.Assign {
		r := m.live[a.RequestID]
		if r == nil || r.group != "" {
			t.Fatalf("request %s was assigned without being queued", a.RequestID)
		}
		if slices.Contains(r.Avoid, a.Group) {
			t.Fatalf("request %s was assigned to group %s, which it avoids", r.ID, a.Group)
		}
		r.group = a.Group
		if used := m.used(a.Group); used > m.slots[a.Group] {
			t.Fatalf("group %s runs %d requests in %d slots", a.Group, used, m.slots[a.Group])
		}
	}
	for _, id := range d.Preempt {
		r := m.live[id]
		if r == nil || r.group == "" || r.preempted || r.Rank == "urgent" {
			t.Fatalf("request %s cannot be preempted: %+v", id, r)
		}
		r.preempted = true
	}
	m.checkConservation(t)
}

func (m *machine) expire(t *rapid.T, expiry Expiry) {
	r := m.live[expiry.RequestID]
	if r == nil || r.group != "" {
		t.Fatalf("request %s expired without being queued", expiry.RequestID)
	}
	late := !r.Deadline.IsZero() && !m.now.Before(r.Deadline)
	if (expiry.Refusal.Kind == refusal.KindDeadline) != late && !(late && expiry.Refusal.Kind == refusal.KindOverloaded) {
		t.Fatalf("request %s expired with %v, its deadline has passed: %v", r.ID, expiry.Refusal, late)
	}
	if r.Resumed != (expiry.Refusal.Ran == refusal.RanUnknown) {
		t.Fatalf("request %s, resumed: %v, expired with %v", r.ID, r.Resumed, expiry.Refusal)
	}
	delete(m.live, r.ID)
}

// checkConservation fails when a slot is free that a queued request may use.
func (m *machine) checkConservation(t *rapid.T) {
	for group, slots := range m.slots {
		if m.used(group) >= slots {
			continue
		}
		for _, id := range m.ids(false) {
			if !slices.Contains(m.live[id].Avoid, group) {
				t.Fatalf("group %s has a free slot while request %s may use it", group, id)
			}
		}
	}
}

// Progress reports tokens of a running request.
func (m *machine) Progress(t *rapid.T) {
	ids := m.ids(true)
	if len(ids) == 0 {
		t.Skip("nothing runs")
	}
	m.s.Progress(rapid.SampledFrom(ids).Draw(t, "id"), rapid.Int64Range(0, 1000).Draw(t, "tokens"), m.now)
}

// Finish ends a running request; a preempted one is offered again.
func (m *machine) Finish(t *rapid.T) {
	ids := m.ids(true)
	if len(ids) == 0 {
		t.Skip("nothing runs")
	}
	r := m.live[rapid.SampledFrom(ids).Draw(t, "id")]
	m.s.Finish(r.ID, rapid.Int64Range(0, 3000).Draw(t, "tokens"), m.now)
	delete(m.live, r.ID)
	if r.preempted {
		r.Resumed = true
		m.offer(t, r.Request)
	}
}

// Cancel cancels any live request.
func (m *machine) Cancel(t *rapid.T) {
	if len(m.live) == 0 {
		t.Skip("nothing is live")
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.live))).Draw(t, "id")
	queued := m.live[id].group == ""
	cancelled := m.s.Cancel(id, m.now)
	if cancelled && !queued {
		t.Fatalf("request %s was cancelled while it ran", id)
	}
	if cancelled {
		delete(m.live, id)
	}
}

// Advance lets time pass.
func (m *machine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "millis")) * time.Millisecond)
}

// Check compares the scheduler with the model.
func (m *machine) Check(t *rapid.T) {
	queued := m.ids(false)
	if got := m.s.Queued() + len(m.s.evicted); got != len(queued) {
		t.Fatalf("%d requests are queued or evicted, want %d", got, len(queued))
	}
	if got := len(m.s.running); got != len(m.ids(true)) {
		t.Fatalf("%d requests run, want %d", got, len(m.ids(true)))
	}
	if wake := m.s.NextWake(m.now); len(queued) == 0 && !wake.IsZero() {
		t.Fatalf("an empty queue asks to be woken at %v", wake)
	}
	for _, id := range queued {
		if e := m.s.Explain(id); e.Reason == ReasonUnknown && len(m.s.evicted) == 0 {
			t.Fatalf("queued request %s is unknown to Explain", id)
		}
	}
}

// drain ends everything and checks that nothing is left behind.
func (m *machine) drain(t *rapid.T) {
	for _, id := range m.ids(true) {
		m.s.Finish(id, 100, m.now)
	}
	for _, id := range m.ids(false) {
		m.s.Cancel(id, m.now)
	}
	m.s.Next(m.now)
	if m.s.Queued() != 0 || len(m.s.running) != 0 || len(m.s.parked) != 0 || len(m.s.deadlines) != 0 || len(m.s.preempting) != 0 || m.s.groups.used != 0 {
		t.Fatalf("something is left after the last request: %+v", m.s)
	}
	for _, r := range m.s.ranks {
		if r.queuedTokens != 0 || r.parked != 0 || r.preempting != 0 || len(r.turns.order) != 0 {
			t.Fatalf("rank %s keeps %+v", r.Name, r)
		}
	}
}

// TestSchedulerKeepsEveryRequest drives random sequences of events: no request
// is lost or duplicated, no slot stays free while a queued request may use
// it, groups that are avoided stay unused, and refusals tell truly whether
// the request has run.
func TestSchedulerKeepsEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.SetGroups(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.drain(t)
	})
}

// TestAccountsShareByTokens keeps several accounts of one rank in backlog on
// one slot: the tokens that any two of them used differ at most by the bound of
// start-time fair queueing, whatever they asked for and estimated.
func TestAccountsShareByTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost, maxPercent, accounts, rounds = 1500, 200, 3, 200
		s := newSimScheduler(1, 1)
		rank := s.byName["digest"]
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
			bound := 2*maxCost*maxPercent/100 + maxCreditRequests*rank.cost.value
			if spread := slices.Max(used) - slices.Min(used); float64(spread) > bound {
				t.Fatalf("accounts in backlog differ by %d tokens, want at most %.0f", spread, bound)
			}
		}
	})
}
