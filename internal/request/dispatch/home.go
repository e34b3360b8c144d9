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
	"currantladder.example/currantladder/internal/request/route"
)

// Target is one replica group that this node is home for.
type Target struct {
	Group      string
	Generation int64
	// Address is the leading engine's host:port, Host its name, and BootID its process.
	Address string
	Host    string
	BootID  string
	// Slots is the number of concurrent streams; 0 while the gate is closed.
	Slots int
	// Draining is true while a member is leaving: running requests may finish,
	// and no new ones start.
	Draining bool
	// ClosedReason is the reason that the group takes no new work.
	ClosedReason string
}

// key is the scheduler's name of the group. It contains the generation, so that
// a request that avoids a failed group may run on its next generation.
func (t Target) key() string { return fmt.Sprintf("%s@%d", t.Group, t.Generation) }

// usableSlots returns the number of slots that may take new work.
func (t Target) usableSlots() int {
	if t.Draining {
		return 0
	}
	return t.Slots
}

// Sink receives the frames of one answer, in order. It may block.
type Sink func(peer.Frame) error

// CrashReporter is called when the endpoint of a group crashed, with the
// fingerprints of all requests that were in flight there.
type CrashReporter func(group string, fingerprints []uint64)

// Home runs requests on the groups that this node is home for. It is safe for
// concurrent use.
type Home struct {
	ctx      context.Context
	client   *endpoint.Client
	suspects Suspects
	onCrash  CrashReporter

	mu       sync.Mutex
	pools    map[string]*pool
	targets  map[string]map[string]Target           // model -> key -> target
	inFlight map[string]map[string]*inFlightRequest // key -> request ID -> request
	// crashedAt is the time of each group's last crash, by key.
	crashedAt map[string]time.Time
	// waits are the times for which engines want no requests from this node.
	waits *route.HostWaits
	// leaving are the engines that have said in an answer that they leave.
	leaving   *route.LeavingHosts
	onWait    WaitReporter
	onLeaving LeavingReporter
	// unverified counts the runs by fingerprint whose caller left and whose engine
	// is being checked.
	unverified map[uint64]int
	// departed contains the runs by group whose caller left within departedWindow
	// while the engine was at work.
	departed map[string][]departedRun
	// copies counts the requests in flight by fingerprint.
	copies map[uint64]int
	// held is the number of copies that are held, and changed has a channel by
	// fingerprint that wakes them.
	held     int
	changed  map[uint64]chan struct{}
	priority map[string]int
	loops    sync.WaitGroup
	// engineChecks has an element for each engine that is being checked.
	engineChecks chan struct{}
}

// inFlightRequest is a request that runs on a group.
type inFlightRequest struct {
	group       string
	fingerprint uint64
	cancel      context.CancelCauseFunc
}

// errGateClosed cancels the streams of a group whose gate closed.
var errGateClosed = errors.New("a member of the replica group is missing")

// NewHome returns a home whose goroutines stop when ctx ends. onCrash may be
// nil.
func NewHome(ctx context.Context, client *endpoint.Client, suspects Suspects, onCrash CrashReporter) *Home {
	return &Home{
		ctx:          ctx,
		client:       client,
		suspects:     suspects,
		onCrash:      onCrash,
		crashedAt:    make(map[string]time.Time),
		waits:        route.NewHostWaits(),
		leaving:      route.NewLeavingHosts(),
		unverified:   make(map[uint64]int),
		departed:     make(map[string][]departedRun),
		copies:       make(map[uint64]int),
		changed:      make(map[uint64]chan struct{}),
		engineChecks: make(chan struct{}, maxEngineChecks),
		pools:        make(map[string]*pool),
		targets:      make(map[string]map[string]Target),
		inFlight:     make(map[string]map[string]*inFlightRequest),
		priority:     make(map[string]int),
	}
}

// Wait blocks until all goroutines of the home have stopped.
func (h *Home) Wait() { h.loops.Wait() }

// Configure sets the ranks, and the targets by model. It cancels the streams of
// groups whose gate is closed or whose generation changed; their entry nodes
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
	maps.DeleteFunc(h.crashedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= crashQuarantine })
	for model, p := range h.pools {
		h.targets[model] = indexTargets(targets[model])
		p.configure(h.ctx, ranks, h.slotsLocked(targets[model]), h.retryAfterLocked(model, now))
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

// slotsLocked returns the groups with their usable slots. The caller holds mu.
func (h *Home) slotsLocked(targets []Target) []queue.Group {
	groups := make([]queue.Group, 0, len(targets))
	for _, target := range targets {
		groups = append(groups, queue.Group{Name: target.key(), Slots: h.usableSlotsLocked(target)})
	}
	return groups
}

// usableSlotsLocked returns the number of slots of a group that may take new
// work: 0 while the group is in quarantine after a crash or its engine waits, and a
// growing part of them after a wait. The caller holds mu.
func (h *Home) usableSlotsLocked(target Target) int {
	if at, crashed := h.crashedAt[target.key()]; crashed && time.Since(at) < crashQuarantine {
		return 0
	}
	return h.slotsAfterWaitLocked(target, time.Now())
}

// cancelClosedLocked cancels the requests in flight at groups whose gate closed
// or whose generation changed. Requests of groups that moved to another home
// run to their end. The caller holds mu.
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

// poolLocked returns the pool of a model and starts it where there is none yet.
// The caller holds mu.
func (h *Home) poolLocked(model string) *pool {
	p := h.pools[model]
	if p == nil {
		p = newPool()
		h.pools[model] = p
		h.loops.Go(func() { p.run(h.ctx) })
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
