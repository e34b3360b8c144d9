package queue

import (
	"net/http"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// Scheduler orders requests over the groups of one home node. It is not safe
// for concurrent use.
type Scheduler struct {
	ranks   []Rank
	groups  map[string]*groupState
	waiting []Request
	running map[string]string // request ID -> group
}

type groupState struct {
	slots int
	used  int
}

// New returns a scheduler without ranks or groups.
func New() *Scheduler {
	return &Scheduler{groups: map[string]*groupState{}, running: map[string]string{}}
}

// SetRanks replaces the ranks. Queued requests of a removed rank keep waiting
// behind all others.
func (s *Scheduler) SetRanks(ranks []Rank, _ time.Time) {
	s.ranks = slices.Clone(ranks)
	slices.SortFunc(s.ranks, func(a, b Rank) int { return a.Priority - b.Priority })
}

// SetGroups replaces the set of groups and their slots. Requests that run in
// a removed group stay accounted until Finish.
func (s *Scheduler) SetGroups(groups []Group, _ time.Time) {
	for _, g := range s.groups {
		g.slots = 0
	}
	for _, g := range groups {
		if s.groups[g.Name] == nil {
			s.groups[g.Name] = &groupState{}
		}
		s.groups[g.Name].slots = g.Slots
	}
}

// Offer queues a request, or refuses it at once: nil means queued.
func (s *Scheduler) Offer(r Request, _ time.Time) *refusal.Error {
	if s.rank(r.Rank) == nil {
		return refusal.New(refusal.KindUnknownRank, http.StatusBadRequest, "rank "+r.Rank+" is not declared; use a declared rank")
	}
	s.waiting = append(s.waiting, r)
	return nil
}

// Next returns the decisions that follow from the present state. The caller
// carries them out; assignments count as running from now on.
func (s *Scheduler) Next(now time.Time) Decisions {
	var d Decisions
	slices.SortStableFunc(s.waiting, func(a, b Request) int { return s.priority(a.Rank) - s.priority(b.Rank) })
	var rest []Request
	for _, r := range s.waiting {
		if !r.Deadline.IsZero() && now.After(r.Deadline) {
			d.Expire = append(d.Expire, Expiry{r.ID, refusal.New(refusal.KindDeadline, http.StatusGatewayTimeout, "the deadline passed while the request was queued; allow more time or send it later")})
			continue
		}
		group := s.freeGroup(r.Avoid)
		if group == "" {
			rest = append(rest, r)
			continue
		}
		s.groups[group].used++
		s.running[r.ID] = group
		d.Assign = append(d.Assign, Assignment{RequestID: r.ID, Group: group})
	}
	s.waiting = rest
	return d
}

// Progress accounts tokens that a running request has used since its last
// Progress call.
func (s *Scheduler) Progress(id string, tokens int64, now time.Time) {}

// Finish frees the slot of a running request. tokens is the total that it
// used in this run, against which the estimate is settled.
func (s *Scheduler) Finish(id string, tokens int64, _ time.Time) {
	group, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	s.groups[group].used--
}

// Cancel removes a queued request whose caller has gone; it reports whether
// the request was still queued.
func (s *Scheduler) Cancel(id string, _ time.Time) bool {
	before := len(s.waiting)
	s.waiting = slices.DeleteFunc(s.waiting, func(r Request) bool { return r.ID == id })
	return len(s.waiting) < before
}

// NextWake returns when Next must be called even without an event, for
// deadlines and windows; zero means never.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	var wake time.Time
	for _, r := range s.waiting {
		if !r.Deadline.IsZero() && (wake.IsZero() || r.Deadline.Before(wake)) {
			wake = r.Deadline
		}
	}
	return wake
}

// Queued returns the number of queued requests.
func (s *Scheduler) Queued() int { return len(s.waiting) }

func (s *Scheduler) rank(name string) *Rank {
	for i := range s.ranks {
		if s.ranks[i].Name == name {
			return &s.ranks[i]
		}
	}
	return nil
}

func (s *Scheduler) priority(name string) int {
	if rank := s.rank(name); rank != nil {
		return rank.Priority
	}
	return int(^uint(0) >> 1)
}

func (s *Scheduler) freeGroup(avoid []string) string {
	best, bestFree := "", 0
	for name, g := range s.groups {
		if free := g.slots - g.used; free > bestFree && !slices.Contains(avoid, name) {
			best, bestFree = name, free
		}
	}
	return best
}
