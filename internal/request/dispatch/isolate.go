package dispatch

import (
	"cmp"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/queue"
)

const (
	// idleGroupTimeout is how long a crash suspect waits for an idle group before
	// a busy one is reserved, which then drains for it.
	idleGroupTimeout = 500 * time.Millisecond
	// reservedGroupsDivisor limits the groups that are reserved for crash
	// suspects at a time to this fraction of the open groups (4 means a
	// quarter), but at least one.
	reservedGroupsDivisor = 4
	// maxWaitingSuspects is the number of crash suspects that may wait at one
	// pool. Further ones are refused unless they are resumed requests.
	maxWaitingSuspects = 256
)

// isolatedRequest is a crash suspect that waits for a group without other work.
type isolatedRequest struct {
	id       string
	priority int
	avoid    []string
	since    time.Time
	// group is the group that is reserved for the request; empty if none is.
	group string
}

// assignment binds a request to a group.
type assignment struct{ id, group string }

// isolation assigns each crash suspect to a group that runs nothing else. It is
// a state machine without I/O or clock, and not safe for concurrent use.
type isolation struct {
	groups  []queue.Group
	waiting []*isolatedRequest
	// running counts all requests in each group, isolated or not.
	running map[string]int
	// reservedBy maps a group to the waiting or running request that it is
	// reserved for.
	reservedBy map[string]string
	// changed is true if the shared groups may have changed since the last call
	// of sharedGroups.
	changed bool
}

func newIsolation() *isolation {
	return &isolation{running: make(map[string]int), reservedBy: make(map[string]string)}
}

// setGroups replaces the groups. It cancels the reservation of a closed group,
// unless the request already runs there.
func (s *isolation) setGroups(groups []queue.Group) {
	s.groups = groups
	s.changed = true
	for _, w := range s.waiting {
		if w.group != "" && !hasOpenGroup(s.groupNamed(w.group), nil) {
			delete(s.reservedBy, w.group)
			w.group = ""
		}
	}
}

// groupNamed returns a slice of the one group of that name, or nil.
func (s *isolation) groupNamed(name string) []queue.Group {
	i := slices.IndexFunc(s.groups, func(g queue.Group) bool { return g.Name == name })
	if i < 0 {
		return nil
	}
	return s.groups[i : i+1]
}

// sharedGroups returns the groups with the slots that other requests may use: 0
// for reserved groups. It returns nil and false if nothing changed since the
// last call.
func (s *isolation) sharedGroups() (shared []queue.Group, changed bool) {
	if !s.changed {
		return nil, false
	}
	s.changed = false
	shared = slices.Clone(s.groups)
	for i := range shared {
		if s.reservedBy[shared[i].Name] != "" {
			shared[i].Slots = 0
		}
	}
	return shared, true
}

// offer adds a waiting request behind those of the same or a higher priority.
// It reports false if too many requests wait already.
func (s *isolation) offer(w *isolatedRequest, resumed bool) bool {
	if len(s.waiting) >= maxWaitingSuspects && !resumed {
		return false
	}
	after := func(other *isolatedRequest) bool { return cmp.Less(w.priority, other.priority) }
	at := slices.IndexFunc(s.waiting, after)
	if at < 0 {
		at = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	return true
}

// cancel removes a waiting request and reports whether it was waiting.
func (s *isolation) cancel(id string) bool {
	at := slices.IndexFunc(s.waiting, func(w *isolatedRequest) bool { return w.id == id })
	if at < 0 {
		return false
	}
	delete(s.reservedBy, s.waiting[at].group)
	s.changed = true
	s.waiting = slices.Delete(s.waiting, at, at+1)
	return true
}

// started counts a request that the scheduler has assigned to a group.
func (s *isolation) started(group string) { s.running[group]++ }

// ended counts the end of a request in a group and releases its reservation.
func (s *isolation) ended(id, group string) {
	s.running[group]--
	if s.running[group] <= 0 {
		delete(s.running, group)
	}
	if s.reservedBy[group] == id {
		delete(s.reservedBy, group)
		s.changed = true
	}
}

// next returns the requests that start now, and counts them as running.
func (s *isolation) next(now time.Time) []assignment {
	var assignments []assignment
	s.waiting = slices.DeleteFunc(s.waiting, func(w *isolatedRequest) bool {
		s.reserve(w, now)
		if w.group == "" || s.running[w.group] > 0 {
			return false
		}
		s.running[w.group]++
		assignments = append(assignments, assignment{w.id, w.group})
		return true
	})
	return assignments
}

// reserve reserves a group for a waiting request: an idle one, or after
// idleGroupTimeout the one with the fewest requests.
func (s *isolation) reserve(w *isolatedRequest, now time.Time) {
	if w.group != "" || len(s.reservedBy) >= s.maxReserved() {
		return
	}
	best := ""
	for _, g := range s.groups {
		if g.Slots == 0 || s.reservedBy[g.Name] != "" || slices.Contains(w.avoid, g.Name) {
			continue
		}
		if best == "" || s.running[g.Name] < s.running[best] {
			best = g.Name
		}
	}
	if best == "" || (s.running[best] > 0 && now.Sub(w.since) < idleGroupTimeout) {
		return
	}
	w.group = best
	s.reservedBy[best] = w.id
	s.changed = true
}

// maxReserved returns how many groups may be reserved at a time.
func (s *isolation) maxReserved() int {
	open := 0
	for _, g := range s.groups {
		if g.Slots > 0 {
			open++
		}
	}
	return max(1, open/reservedGroupsDivisor)
}

// nextWake returns the next time at which a waiting request may reserve a busy
// group; zero means never.
func (s *isolation) nextWake() time.Time {
	var wake time.Time
	for _, w := range s.waiting {
		at := w.since.Add(idleGroupTimeout)
		if w.group == "" && len(s.reservedBy) < s.maxReserved() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}
