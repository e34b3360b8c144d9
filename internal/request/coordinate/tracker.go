package coordinate

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Tracker counts what this node has in flight for each key. It is safe for concurrent
// use.
type Tracker struct {
	node string
	life int64

	mu     sync.Mutex
	usages map[Key]*trackedUsage
}

type trackedUsage struct {
	sequence uint64
	groups   map[string]Load
	// lastEvent is the time of the last event by head host.
	lastEvent map[string]time.Time
	lastAsk   uint64
	open      map[uint64]bool
	// changed is true if the usage has changed since it was last due.
	changed bool
	dueAt   time.Time
}

// NewTracker returns the tracker of a node that started at the given time.
func NewTracker(node string, started time.Time) *Tracker {
	return &Tracker{node: node, life: started.UnixMicro(), usages: map[Key]*trackedUsage{}}
}

// usage returns the counts of the key. The caller holds mu.
func (t *Tracker) usage(key Key) *trackedUsage {
	u := t.usages[key]
	if u == nil {
		u = &trackedUsage{groups: map[string]Load{}, lastEvent: map[string]time.Time{}, open: map[uint64]bool{}}
		t.usages[key] = u
	}
	return u
}

// Use is one attempt in flight. Its methods may be called on nil.
type Use struct {
	tracker *Tracker
	key     Key
	host    string
	load    Load
	ended   bool
}

// Begin counts an attempt that is sent to a group.
func (t *Tracker) Begin(key Key, host string, promptTokens, tokens int) *Use {
	u := &Use{tracker: t, key: key, host: host, load: Load{1, promptTokens, tokens}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(u, u.load, 1)
	return u
}

// add adds a load to the group of an attempt. The caller holds mu.
func (t *Tracker) add(use *Use, load Load, sign int) {
	u := t.usage(use.key)
	u.changed = true
	if sum := u.groups[use.host].plus(load, sign); sum.Requests > 0 {
		u.groups[use.host] = sum
	} else {
		delete(u.groups, use.host)
	}
}

// Event records an event of an attempt. By the first one its prompt has been prefilled.
func (u *Use) Event(now time.Time) {
	if u == nil {
		return
	}
	u.tracker.mu.Lock()
	defer u.tracker.mu.Unlock()
	u.tracker.usage(u.key).lastEvent[u.host] = now
	if prefill := u.load.PrefillTokens; prefill > 0 && !u.ended {
		u.load.PrefillTokens = 0
		u.tracker.add(u, Load{PrefillTokens: prefill}, -1)
	}
}

// End records the end of an attempt.
func (u *Use) End() {
	if u == nil {
		return
	}
	u.tracker.mu.Lock()
	defer u.tracker.mu.Unlock()
	if !u.ended {
		u.ended = true
		u.tracker.add(u, u.load, -1)
	}
}

// OpenAsk returns the ID of a new ask. CloseAsk ends the ask, after the Begin of an
// attempt that followed from its answer.
func (t *Tracker) OpenAsk(key Key) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.usage(key)
	u.lastAsk++
	u.open[u.lastAsk] = true
	return u.lastAsk
}

// CloseAsk ends an ask.
func (t *Tracker) CloseAsk(key Key, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.usage(key)
	delete(u.open, id)
	u.changed = true
}

// Usage returns the report of a key.
func (t *Tracker) Usage(key Key, now time.Time) Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.report(key, t.usage(key), now)
}

// report returns the next report. The caller holds mu.
func (t *Tracker) report(key Key, u *trackedUsage, now time.Time) Usage {
	u.sequence++
	quiet := make(map[string]int64, len(u.lastEvent))
	for host, at := range u.lastEvent {
		if since := now.Sub(at); since < maxQuiet {
			quiet[host] = since.Milliseconds()
		} else {
			delete(u.lastEvent, host)
		}
	}
	return Usage{Key: key, Node: t.node, Life: t.life, Sequence: u.sequence, Groups: maps.Clone(u.groups), Quiet: quiet, Open: slices.Sorted(maps.Keys(u.open))}
}

// Due returns the reports that the coordinators need: those that have changed, and
// those that would lapse. It is called every ReportInterval.
func (t *Tracker) Due(now time.Time) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Usage
	for key, u := range t.usages {
		if !u.changed && (len(u.groups) == 0 || now.Before(u.dueAt)) {
			continue
		}
		u.changed, u.dueAt = false, now.Add(refreshInterval)
		due = append(due, t.report(key, u, now))
	}
	slices.SortFunc(due, func(a, b Usage) int { return compareKeys(a.Key, b.Key) })
	return due
}
