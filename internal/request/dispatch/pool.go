// Package dispatch runs requests at the home node of a set of replica groups:
// it queues them, binds each to a free slot of a group and relays the engine's
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

// eventCapacity bounds the events waiting for a pool's loop. Senders block
// when it is full, which slows requests down and loses nothing.
const eventCapacity = 1024

// signalCapacity holds every signal that a request can get: an assignment and
// a preemption.
const signalCapacity = 2

// signal tells a request's goroutine what the scheduler decided.
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
	running  int
	slots    int
	stats    chan chan Stats
}

// waiter is a request that is queued or running.
type waiter struct {
	signals chan signal
	avoid   []string
}

// Stats is the load of one pool.
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

// run is the pool's duty. It ends with ctx.
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
		p.carryOut(time.Now())
		p.rearm(timer)
	}
}

func (p *pool) rearm(timer *time.Timer) {
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

func (p *pool) carryOut(now time.Time) {
	for _, s := range p.isolation.next(now) {
		p.assign(s.id, s.group)
	}
	if groups, changed := p.isolation.shared(); changed {
		p.scheduler.SetGroups(groups, now)
	}
	decisions := p.scheduler.Next(now)
	for _, expiry := range decisions.Expire {
		p.notify(expiry.RequestID, signal{refusal: expiry.Refusal})
		delete(p.waiters, expiry.RequestID)
	}
	for _, assignment := range decisions.Assign {
		p.isolation.started(assignment.Group)
		p.assign(assignment.RequestID, assignment.Group)
	}
	for _, id := range decisions.Preempt {
		p.notify(id, signal{preempt: true})
	}
}

// assign tells a request that it runs now.
func (p *pool) assign(id, group string) {
	p.running++
	p.assigned[id] = group
	p.notify(id, signal{group: group})
}

// release takes a request that ran out of the books.
func (p *pool) release(id string, tokens int64, now time.Time) {
	p.running--
	p.isolation.ended(id, p.assigned[id])
	delete(p.assigned, id)
	p.scheduler.Finish(id, tokens, now)
}

// notify never blocks: a request gets at most signalCapacity signals.
func (p *pool) notify(id string, s signal) {
	select {
	case p.waiters[id].signals <- s:
	default:
	}
}

// send hands an event to the loop, or gives up when ctx ends.
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

// cancel withdraws a request that was not assigned yet, or frees its slot
// where the assignment raced with the cancellation.
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

// withdraw removes a request that waits and reports whether it did.
func (p *pool) withdraw(id string, now time.Time) bool {
	return p.isolation.cancel(id) || p.scheduler.Cancel(id, now)
}

// isolate queues the request for a group that runs nothing else.
func (p *pool) isolate(ctx context.Context, r queue.Request, priority int) (<-chan signal, bool) {
	signals := make(chan signal, signalCapacity)
	ok := p.send(ctx, func(now time.Time) {
		w := &isolated{id: r.ID, priority: priority, avoid: r.Avoid, since: now}
		if !p.isolation.offer(w, r.Resumed) {
			refused := refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, "too many requests that may have crashed endpoints wait to run apart; send the request again later")
			signals <- signal{refusal: refused.After(openRetryAfter)}
			return
		}
		p.waiters[r.ID] = waiter{signals, r.Avoid}
	})
	return signals, ok
}

func (p *pool) configure(ctx context.Context, ranks []queue.Rank, groups []queue.Group) {
	p.send(ctx, func(now time.Time) { p.scheduler.SetRanks(ranks, now) })
	p.regroup(ctx, groups)
}

// regroup replaces the groups and their slots.
func (p *pool) regroup(ctx context.Context, groups []queue.Group) {
	p.send(ctx, func(now time.Time) {
		p.slots = 0
		for _, group := range groups {
			p.slots += group.Slots
		}
		p.isolation.setGroups(groups)
		p.sendBack(groups, now)
	})
}

// sendBack returns queued requests to their entry nodes, which choose another
// home: this one has no group left that may take them.
func (p *pool) sendBack(groups []queue.Group, now time.Time) {
	for id, w := range p.waiters {
		if hasGroup(groups, w.avoid) || !p.withdraw(id, now) {
			continue
		}
		refused := refusal.New(refusal.KindNoEndpoint, http.StatusServiceUnavailable, "the home node has no open group for the request any more; send the request again later")
		p.notify(id, signal{refusal: refused.After(openRetryAfter)})
		delete(p.waiters, id)
	}
}

// hasGroup reports whether an open group is not avoided.
func hasGroup(groups []queue.Group, avoid []string) bool {
	return slices.ContainsFunc(groups, func(g queue.Group) bool {
		return g.Slots > 0 && !slices.Contains(avoid, g.Name)
	})
}
