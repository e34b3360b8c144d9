package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/queue"
)

const (
	// isolationWait is how long a crash suspect waits for a group that is idle
	// by itself, before one is reserved and runs empty for it.
	isolationWait = 500 * time.Millisecond
	// isolatedShare is the share of the open groups, as a divisor, that may be
	// taken from other work at a time; it is at least one group.
	isolatedShare = 4
	// isolatedCapacity bounds the crash suspects that wait at one pool. New
	// ones beyond it are refused.
	isolatedCapacity = 256
)

// isolated is a crash suspect that waits for a group of its own.
type isolated struct {
	id       string
	priority int
	avoid    []string
	since    time.Time
	// group is reserved for the request; empty until there is one.
	group string
}

// start binds a request to a group.
type start struct{ id, group string }

// isolation gives crash suspects a group that runs nothing else. It is a state
// machine without I/O or clock, and not safe for concurrent use.
type isolation struct {
	groups  []queue.Group
	waiting []*isolated
	// running counts all requests in each group, isolated or not.
	running map[string]int
	// reserved names the request that holds a group, waiting or running.
	reserved map[string]string
	// changed is true while the scheduler does not know what shared returns.
	changed bool
}

func newIsolation() *isolation {
	return &isolation{running: make(map[string]int), reserved: make(map[string]string)}
}

// setGroups replaces the groups. A reservation of a group that has closed is
// given up, unless its request runs there.
func (s *isolation) setGroups(groups []queue.Group) {
	s.groups = groups
	s.changed = true
	for _, w := range s.waiting {
		if w.group != "" && !hasGroup(s.only(w.group), nil) {
			delete(s.reserved, w.group)
			w.group = ""
		}
	}
}

func (s *isolation) only(name string) []queue.Group {
	i := slices.IndexFunc(s.groups, func(g queue.Group) bool { return g.Name == name })
	if i < 0 {
		return nil
	}
	return s.groups[i : i+1]
}

// shared returns the groups with the slots that are left to other work, and
// whether they changed since the last call.
func (s *isolation) shared() (left []queue.Group, changed bool) {
	if !s.changed {
		return nil, false
	}
	s.changed = false
	left = slices.Clone(s.groups)
	for i := range left {
		if s.reserved[left[i].Name] != "" {
			left[i].Slots = 0
		}
	}
	return left, true
}

// offer adds a waiting request; it reports false where too many wait.
func (s *isolation) offer(w *isolated, resumed bool) bool {
	if len(s.waiting) >= isolatedCapacity && !resumed {
		return false
	}
	after := func(other *isolated) bool { return cmp.Less(w.priority, other.priority) }
	at := slices.IndexFunc(s.waiting, after)
	if at < 0 {
		at = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	return true
}

// cancel removes a waiting request and reports whether it waited.
func (s *isolation) cancel(id string) bool {
	at := slices.IndexFunc(s.waiting, func(w *isolated) bool { return w.id == id })
	if at < 0 {
		return false
	}
	delete(s.reserved, s.waiting[at].group)
	s.changed = true
	s.waiting = slices.Delete(s.waiting, at, at+1)
	return true
}

// started counts a request that the scheduler has put into a group.
func (s *isolation) started(group string) { s.running[group]++ }

// ended counts the end of a request in a group and gives its reservation up.
func (s *isolation) ended(id, group string) {
	s.running[group]--
	if s.running[group] <= 0 {
		delete(s.running, group)
	}
	if s.reserved[group] == id {
		delete(s.reserved, group)
		s.changed = true
	}
}

// next returns the requests that start now; they count as running.
func (s *isolation) next(now time.Time) []start {
	var starts []start
	s.waiting = slices.DeleteFunc(s.waiting, func(w *isolated) bool {
		s.reserve(w, now)
		if w.group == "" || s.running[w.group] > 0 {
			return false
		}
		s.running[w.group]++
		starts = append(starts, start{w.id, w.group})
		return true
	})
	return starts
}

// reserve chooses a group for a waiting request: one that is idle, or after
// isolationWait the one with the fewest requests.
func (s *isolation) reserve(w *isolated, now time.Time) {
	if w.group != "" || len(s.reserved) >= s.limit() {
		return
	}
	best := ""
	for _, g := range s.groups {
		if g.Slots == 0 || s.reserved[g.Name] != "" || slices.Contains(w.avoid, g.Name) {
			continue
		}
		if best == "" || s.running[g.Name] < s.running[best] {
			best = g.Name
		}
	}
	if best == "" || (s.running[best] > 0 && now.Sub(w.since) < isolationWait) {
		return
	}
	w.group = best
	s.reserved[best] = w.id
	s.changed = true
}

// limit returns how many groups may be reserved at a time.
func (s *isolation) limit() int {
	open := 0
	for _, g := range s.groups {
		if g.Slots > 0 {
			open++
		}
	}
	return max(1, open/isolatedShare)
}

// nextWake returns when a waiting request may reserve a busy group; zero means
// never.
func (s *isolation) nextWake() time.Time {
	var wake time.Time
	for _, w := range s.waiting {
		at := w.since.Add(isolationWait)
		if w.group == "" && len(s.reserved) < s.limit() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}
