package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/request/queue"
)

const (
	isolateGroups = 5
	isolateSlots  = 3
	// isolateStep is the time between two events, and runLength the longest
	// run in steps.
	isolateStep = 100 * time.Millisecond
	runLength   = 8
)

// load is a model of one pool whose free slots are always taken by other work.
type load struct {
	t     *rapid.T
	s     *isolation
	now   time.Time
	step  int
	runs  map[string]map[string]int // group -> request -> last step
	alone map[string]string         // group -> isolated request
	ids   int
}

// fill starts other work in every slot that the scheduler may use.
func (l *load) fill(groups []queue.Group) {
	for _, g := range groups {
		for len(l.runs[g.Name]) < g.Slots {
			if l.alone[g.Name] != "" {
				l.t.Fatalf("%s takes work beside the isolated %s", g.Name, l.alone[g.Name])
			}
			l.ids++
			l.start(fmt.Sprintf("other-%d", l.ids), g.Name)
			l.s.started(g.Name)
		}
	}
}

func (l *load) start(id, group string) {
	if l.runs[group] == nil {
		l.runs[group] = map[string]int{}
	}
	l.runs[group][id] = l.step + rapid.IntRange(1, runLength).Draw(l.t, "length")
}

// end finishes what has run its length.
func (l *load) end() {
	for group, runs := range l.runs {
		for id, last := range runs {
			if last > l.step {
				continue
			}
			delete(runs, id)
			if l.alone[group] == id {
				delete(l.alone, group)
			}
			l.s.ended(id, group)
		}
	}
}

// TestIsolatedRunsAlone checks under full load that a crash suspect runs
// beside nothing, that at most the named share of groups is taken from other
// work, and that each suspect starts within a bounded time.
func TestIsolatedRunsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &load{t: t, s: newIsolation(), runs: map[string]map[string]int{}, alone: map[string]string{}}
		var groups []queue.Group
		for g := range isolateGroups {
			groups = append(groups, queue.Group{Name: fmt.Sprintf("g%d", g), Slots: isolateSlots})
		}
		l.s.setGroups(groups)
		shared, _ := l.s.shared()
		l.fill(shared)
		suspects := rapid.IntRange(1, 6).Draw(t, "suspects")
		for i := range suspects {
			l.s.offer(&isolated{id: fmt.Sprintf("suspect-%d", i), avoid: []string{"g0"}, since: l.now}, true)
		}
		started := 0
		// Each suspect waits for one to end, for a group to run empty, and for
		// the wait before a group is reserved.
		bound := suspects*2*runLength + int(isolationWait/isolateStep) + 1
		for l.step = 1; started < suspects && l.step <= bound; l.step++ {
			l.now = l.now.Add(isolateStep)
			l.end()
			for _, s := range l.s.next(l.now) {
				started++
				if len(l.runs[s.group]) > 0 || s.group == "g0" {
					t.Fatalf("%s starts on %s, which runs %v", s.id, s.group, l.runs[s.group])
				}
				l.start(s.id, s.group)
				l.alone[s.group] = s.id
			}
			if n := len(l.s.reserved); n > isolateGroups/isolatedShare {
				t.Fatalf("%d groups are taken from other work", n)
			}
			if left, changed := l.s.shared(); changed {
				shared = left
			}
			l.fill(shared)
		}
		if started < suspects {
			t.Fatalf("%d of %d suspects started within %d steps", started, suspects, bound)
		}
	})
}
