package dispatch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/queue"
)

// Target is one replica group that this node is home for.
type Target struct {
	Group      string
	Generation int64
	// Address is the leading engine's host:port.
	Address string
	// Slots is the number of concurrent streams; 0 while the gate is closed.
	Slots int
	// Draining is true while a member is leaving: what runs may end, and
	// nothing new starts.
	Draining bool
	// Why tells why the group takes no new work.
	Why string
}

// key names the group and its generation to the scheduler, so that a request
// which avoids a failed group may run on its next generation.
func (t Target) key() string { return fmt.Sprintf("%s@%d", t.Group, t.Generation) }

// usable returns the slots for new work.
func (t Target) usable() int {
	if t.Draining {
		return 0
	}
	return t.Slots
}

// Sink receives the frames of one answer, in order. It may block.
type Sink func(peer.Frame) error

// CrashReporter learns when the endpoint of a group died, with the
// fingerprints of all requests that were in flight there.
type CrashReporter func(group string, fingerprints []uint64)

// Home runs requests on the groups that this node is home for. It is safe for
// concurrent use.
type Home struct {
	ctx      context.Context
	client   *endpoint.Client
	suspects Suspects
	crash    CrashReporter

	mu       sync.Mutex
	pools    map[string]*pool
	targets  map[string]map[string]Target // model -> key -> target
	inFlight map[string]map[string]*run   // key -> request ID -> run
	// crashed holds when the endpoint of a group last broke a stream.
	crashed  map[string]time.Time
	priority map[string]int
	duties   sync.WaitGroup
}

// run is one request in flight at a group.
type run struct {
	group       string
	fingerprint uint64
	cancel      context.CancelCauseFunc
}

// errGateClosed cancels the streams of a group whose gate closed.
var errGateClosed = errors.New("a member of the replica group is missing")

// NewHome returns a home whose duties end with ctx.
func NewHome(ctx context.Context, client *endpoint.Client, suspects Suspects, crash CrashReporter) *Home {
	return &Home{
		ctx:      ctx,
		client:   client,
		suspects: suspects,
		crash:    crash,
		crashed:  make(map[string]time.Time),
		pools:    make(map[string]*pool),
		targets:  make(map[string]map[string]Target),
		inFlight: make(map[string]map[string]*run),
		priority: make(map[string]int),
	}
}

// Wait blocks until all duties have ended.
func (h *Home) Wait() { h.duties.Wait() }

// Configure sets ranks and targets by model. Streams of groups whose gate is
// closed, or whose generation changed, are cancelled; their entry nodes
// resume them elsewhere.
func (h *Home) Configure(ranks []queue.Rank, targets map[string][]Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, rank := range ranks {
		h.priority[rank.Name] = rank.Priority
	}
	for model := range targets {
		h.poolLocked(model)
	}
	now := time.Now()
	maps.DeleteFunc(h.crashed, func(_ string, at time.Time) bool { return now.Sub(at) >= crashPause })
	for model, p := range h.pools {
		h.targets[model] = indexTargets(targets[model])
		p.configure(h.ctx, ranks, h.slotsLocked(targets[model]))
	}
	h.cancelClosedLocked()
}

func indexTargets(targets []Target) map[string]Target {
	byKey := make(map[string]Target, len(targets))
	for _, target := range targets {
		byKey[target.key()] = target
	}
	return byKey
}

// slotsLocked returns the groups with their slots for new work.
func (h *Home) slotsLocked(targets []Target) []queue.Group {
	groups := make([]queue.Group, 0, len(targets))
	for _, target := range targets {
		groups = append(groups, queue.Group{Name: target.key(), Slots: h.usableLocked(target)})
	}
	return groups
}

// usableLocked returns the slots of a group for new work; none while its
// endpoint may be dead.
func (h *Home) usableLocked(target Target) int {
	if at, crashed := h.crashed[target.key()]; crashed && time.Since(at) < crashPause {
		return 0
	}
	return target.usable()
}

// cancelClosedLocked cancels the runs of groups whose gate closed or whose
// generation changed. Groups that moved to another home run to their end.
func (h *Home) cancelClosedLocked() {
	current := make(map[string]Target)
	for _, targets := range h.targets {
		for _, target := range targets {
			current[target.Group] = target
		}
	}
	for key, runs := range h.inFlight {
		for _, r := range runs {
			target, known := current[r.group]
			if known && (target.Slots == 0 || target.key() != key) {
				r.cancel(errGateClosed)
			}
		}
	}
}

func (h *Home) poolLocked(model string) *pool {
	p := h.pools[model]
	if p == nil {
		p = newPool()
		h.pools[model] = p
		h.duties.Go(func() { p.run(h.ctx) })
	}
	return p
}

// Stats returns the load of each model's pool.
func (h *Home) Stats() map[string]Stats {
	h.mu.Lock()
	pools := make(map[string]*pool, len(h.pools))
	for model, p := range h.pools {
		pools[model] = p
	}
	h.mu.Unlock()
	all := make(map[string]Stats, len(pools))
	for model, p := range pools {
		reply := make(chan Stats, 1)
		select {
		case p.stats <- reply:
			all[model] = <-reply
		case <-h.ctx.Done():
			return all
		}
	}
	return all
}
