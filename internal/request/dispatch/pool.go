// Package dispatch runs requests at the home node of a set of replica groups:
// it queues them, assigns each to a free slot of a group and relays the engine's
// chunks to the entry node.
package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/queue"
	"currantladder.example/currantladder/internal/request/refusal"
)

// eventCapacity is the number of events that may wait for a pool's loop. When
// it is reached, senders block: requests slow down and no event is lost.
const eventCapacity = 1024

// signalCapacity is the largest number of signals that a request gets: an
// assignment and a preemption.
const signalCapacity = 2

// signal is a decision of the scheduler that a request's goroutine receives.
type signal struct {
	// group is the scheduler's name of the group, see Target.key.
	group   string
	preempt bool
	refusal *refusal.Error
}

// pool owns the scheduler of one model's groups. Its loop goroutine is the
// only one that touches the scheduler.
type pool struct {
	events    chan func(now time.Time)
	scheduler *queue.Scheduler
	isolation *isolation
	waiters   map[string]waiter
	// assigned is the group of each running request.
	assigned map[string]string
	// running is the number of running requests, slots the number of streams
	// that the groups can run.
	running int
	slots   int
	stats   chan chan Stats
}

// waiter is a request that is queued or running.
type waiter struct {
	signals chan signal
	avoid   []string
}

// Stats is the load of one pool: its slots, and its running and queued requests.
type Stats struct {
	Slots   int
	Running int
	Queued  int
}

func newPool() *pool {
	return &pool{
		events:    make(chan func(time.Time), eventCapacity),
		scheduler: queue.New(),
		isolation: newIsolation(),
		assigned:  make(map[string]string),
		waiters:   make(map[string]waiter),
		stats:     make(chan chan Stats),
	}
}

// run is the pool's loop. It stops when ctx ends.
func (p *pool) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-p.events:
			event(time.Now())
		case reply := <-p.stats:
			reply <- Stats{Slots: p.slots, Running: p.running, Queued: p.scheduler.Queued() + len(p.isolation.waiting)}
			continue
		case <-timer.C:
		}
		p.applyDecisions(time.Now())
		p.resetTimer(timer)
	}
}

// resetTimer sets the timer to the next deadline, preemption or reservation of a
// busy group, and stops it if there is none.
func (p *pool) resetTimer(timer *time.Timer) {
	now := time.Now()
	wake := p.scheduler.NextWake(now)
	if at := p.isolation.nextWake(); !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
		wake = at
	}
	if wake.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(wake.Sub(now), time.Millisecond))
}

// applyDecisions assigns, refuses and preempts requests as the isolation and
// the scheduler decide.
func (p *pool) applyDecisions(now time.Time) {
	for _, s := range p.isolation.next(now) {
		p.assign(s.id, s.group)
	}
	if groups, changed := p.isolation.sharedGroups(); changed {
		p.scheduler.SetGroups(groups, now)
	}
	decisions := p.scheduler.Next(now)
	for _, refused := range decisions.Refuse {
		p.notify(refused.RequestID, signal{refusal: refused.Refusal})
		delete(p.waiters, refused.RequestID)
	}
	for _, assignment := range decisions.Assign {
		p.isolation.started(assignment.Group)
		p.assign(assignment.RequestID, assignment.Group)
	}
	for _, id := range decisions.Preempt {
		p.notify(id, signal{preempt: true})
	}
}

// assign counts a request as running and notifies it.
func (p *pool) assign(id, group string) {
	p.running++
	p.assigned[id] = group
	p.notify(id, signal{group: group})
}

// release frees the slot of a request that was running.
func (p *pool) release(id string, tokens int64, now time.Time) {
	p.running--
	p.isolation.ended(id, p.assigned[id])
	delete(p.assigned, id)
	p.scheduler.Finish(id, tokens, now)
}

// notify sends a signal to a request. It never blocks: a request gets at most
// signalCapacity signals.
func (p *pool) notify(id string, s signal) {
	select {
	case p.waiters[id].signals <- s:
	default:
	}
}

// send passes an event to the loop. It blocks while too many events wait, and
// reports false if ctx ends first.
func (p *pool) send(ctx context.Context, event func(now time.Time)) bool {
	select {
	case p.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// offer queues the request. The refusal, if any, arrives as a signal.
func (p *pool) offer(ctx context.Context, r queue.Request) (<-chan signal, bool) {
	signals := make(chan signal, signalCapacity)
	ok := p.send(ctx, func(now time.Time) {
		if refused := p.scheduler.Offer(r, now); refused != nil {
			signals <- signal{refusal: refused}
			return
		}
		p.waiters[r.ID] = waiter{signals, r.Avoid}
	})
	return signals, ok
}

func (p *pool) progress(ctx context.Context, id string, tokens int64) {
	p.send(ctx, func(now time.Time) { p.scheduler.Progress(id, tokens, now) })
}

func (p *pool) finish(ctx context.Context, id string, tokens int64) {
	p.send(ctx, func(now time.Time) {
		delete(p.waiters, id)
		p.release(id, tokens, now)
	})
}

// cancel withdraws a request that is still queued. If it was assigned at the
// same moment, cancel frees its slot.
func (p *pool) cancel(ctx context.Context, id string) {
	p.send(ctx, func(now time.Time) {
		if _, waiting := p.waiters[id]; !waiting {
			return
		}
		delete(p.waiters, id)
		if !p.withdraw(id, now) {
			p.release(id, 0, now)
		}
	})
}

// withdraw removes a queued request and reports whether it was queued.
func (p *pool) withdraw(id string, now time.Time) bool {
	return p.isolation.cancel(id) || p.scheduler.Cancel(id, now)
}

// offerIsolated queues the request for a group that runs nothing else.
func (p *pool) offerIsolated(ctx context.Context, r queue.Request, priority int) (<-chan signal, bool) {
	signals := make(chan signal, signalCapacity)
	ok := p.send(ctx, func(now time.Time) {
		w := &isolatedRequest{id: r.ID, priority: priority, avoid: r.Avoid, since: now}
		if !p.isolation.offer(w, r.Resumed) {
			refused := refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, "too many requests that may have crashed endpoints wait to run apart; send the request again later")
			signals <- signal{refusal: refused.WithRetryAfter(noOpenGroupRetryAfter)}
			return
		}
		p.waiters[r.ID] = waiter{signals, r.Avoid}
	})
	return signals, ok
}

func (p *pool) configure(ctx context.Context, ranks []queue.Rank, groups []queue.Group, retryAfter time.Duration) {
	p.send(ctx, func(now time.Time) { p.scheduler.SetRanks(ranks, now) })
	p.setGroups(ctx, groups, retryAfter)
}

// setGroups replaces the groups and their slots. retryAfter is the Retry-After of queued
// requests that none of them takes any more.
func (p *pool) setGroups(ctx context.Context, groups []queue.Group, retryAfter time.Duration) {
	p.send(ctx, func(now time.Time) {
		p.slots = 0
		for _, group := range groups {
			p.slots += group.Slots
		}
		p.isolation.setGroups(groups)
		p.returnUnservable(groups, now, retryAfter)
	})
}

// returnUnservable refuses the queued requests for which this home has no open
// group left. Their entry nodes choose another home.
func (p *pool) returnUnservable(groups []queue.Group, now time.Time, retryAfter time.Duration) {
	for id, w := range p.waiters {
		if hasOpenGroup(groups, w.avoid) || !p.withdraw(id, now) {
			continue
		}
		refused := refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "the home node has no open group for the request any more; send the request again later")
		p.notify(id, signal{refusal: refused.WithRetryAfter(retryAfter)})
		delete(p.waiters, id)
	}
}

// hasOpenGroup reports whether there is an open group that is not in avoid.
func hasOpenGroup(groups []queue.Group, avoid []string) bool {
	return slices.ContainsFunc(groups, func(g queue.Group) bool {
		return g.Slots > 0 && !slices.Contains(avoid, g.Name)
	})
}
