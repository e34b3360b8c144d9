package coordinate

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxTimeouts is the number of consecutive asks without an answer after which a node
	// is not asked for a time, which doubles from initialPause to maxPause.
	maxTimeouts  = 3
	initialPause = time.Second
	maxPause     = 8 * time.Second
	// reportedNodes is the number of nodes that get the reports, so that the second one
	// can choose as soon as the first fails.
	reportedNodes = 2
)

// Targets tells which nodes this one asks and reports to. It is safe for concurrent use.
type Targets struct {
	mu       sync.Mutex
	timeouts map[string]*timeouts
}

// timeouts are the consecutive asks that a node has not answered.
type timeouts struct {
	count       int
	pausedUntil time.Time
}

// NewTargets returns targets that have not failed.
func NewTargets() *Targets { return &Targets{timeouts: map[string]*timeouts{}} }

// Asked returns the node that is asked for choices, or "". order is from Order.
func (t *Targets) Asked(order []string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(order, func(name string) bool { return !t.paused(name, now) })
	if i < 0 {
		return ""
	}
	return order[i]
}

// Reported returns the nodes that get the reports: the first ones of the order, which
// may come back, and the first ones that may be asked.
func (t *Targets) Reported(order []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := slices.Clone(order[:min(len(order), reportedNodes)])
	live := 0
	for _, name := range order {
		if live == reportedNodes {
			break
		}
		if t.paused(name, now) {
			continue
		}
		live++
		if !slices.Contains(reported, name) {
			reported = append(reported, name)
		}
	}
	return reported
}

// paused reports whether a node is not asked. The caller holds mu.
func (t *Targets) paused(name string, now time.Time) bool {
	f := t.timeouts[name]
	return f != nil && now.Before(f.pausedUntil)
}

// Answered records an answer of a node.
func (t *Targets) Answered(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.timeouts, name)
}

// TimedOut records an ask without an answer. It reports whether the node is not asked
// for a time from now on.
func (t *Targets) TimedOut(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.timeouts[name]
	if f == nil {
		f = &timeouts{}
		t.timeouts[name] = f
	}
	f.count++
	if f.count < maxTimeouts || now.Before(f.pausedUntil) {
		return false
	}
	f.pausedUntil = now.Add(min(initialPause<<min(f.count-maxTimeouts, 8), maxPause))
	return true
}
