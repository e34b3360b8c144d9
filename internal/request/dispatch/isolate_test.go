package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/request/queue"
)

const (
	poolGroups    = 5
	slotsPerGroup = 3
	// stepInterval is the time between two steps of the test, and maxRunSteps
	// the length of the longest run in steps.
	stepInterval = 100 * time.Millisecond
	maxRunSteps  = 8
)

// poolModel is a reference model of one pool under full load: other work takes
// every slot that the scheduler may use.
type poolModel struct {
	t     *rapid.T
	s     *isolation
	now   time.Time
	step  int
	runs  map[string]map[string]int // group -> request -> step of its end
	alone map[string]string         // group -> isolated request
	ids   int
}

// fill starts other work in every slot that the scheduler may use.
func (m *poolModel) fill(groups []queue.Group) {
	for _, g := range groups {
		for len(m.runs[g.Name]) < g.Slots {
			if m.alone[g.Name] != "" {
				m.t.Fatalf("%s takes other work beside the isolated %s, want none", g.Name, m.alone[g.Name])
			}
			m.ids++
			m.start(fmt.Sprintf("other-%d", m.ids), g.Name)
			m.s.started(g.Name)
		}
	}
}

func (m *poolModel) start(id, group string) {
	if m.runs[group] == nil {
		m.runs[group] = map[string]int{}
	}
	m.runs[group][id] = m.step + rapid.IntRange(1, maxRunSteps).Draw(m.t, "length")
}

// end finishes the requests whose last step has passed.
func (m *poolModel) end() {
	for group, runs := range m.runs {
		for id, endStep := range runs {
			if endStep > m.step {
				continue
			}
			delete(runs, id)
			if m.alone[group] == id {
				delete(m.alone, group)
			}
			m.s.ended(id, group)
		}
	}
}

// TestIsolatedRunsAlone verifies under full load that a crash suspect runs on a
// group without other work, that at most 1/reservedGroupsDivisor of the groups
// is reserved, and that every suspect starts within a bounded time.
func TestIsolatedRunsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &poolModel{t: t, s: newIsolation(), runs: map[string]map[string]int{}, alone: map[string]string{}}
		var groups []queue.Group
		for g := range poolGroups {
			groups = append(groups, queue.Group{Name: fmt.Sprintf("g%d", g), Slots: slotsPerGroup})
		}
		m.s.setGroups(groups)
		shared, _ := m.s.sharedGroups()
		m.fill(shared)
		suspects := rapid.IntRange(1, 6).Draw(t, "suspects")
		for i := range suspects {
			m.s.offer(&isolatedRequest{id: fmt.Sprintf("suspect-%d", i), avoid: []string{"g0"}, since: m.now}, true)
		}
		started := 0
		// Each suspect may wait for a whole run of another suspect and for a
		// group to drain; idleGroupTimeout passes once for all of them.
		bound := suspects*2*maxRunSteps + int(idleGroupTimeout/stepInterval) + 1
		for m.step = 1; started < suspects && m.step <= bound; m.step++ {
			m.now = m.now.Add(stepInterval)
			m.end()
			for _, s := range m.s.next(m.now) {
				started++
				if len(m.runs[s.group]) > 0 || s.group == "g0" {
					t.Fatalf("%s starts on %s, which runs %v; want an idle group other than g0", s.id, s.group, m.runs[s.group])
				}
				m.start(s.id, s.group)
				m.alone[s.group] = s.id
			}
			if n := len(m.s.reservedBy); n > poolGroups/reservedGroupsDivisor {
				t.Fatalf("%d groups are reserved, want at most poolGroups/reservedGroupsDivisor", n)
			}
			if current, changed := m.s.sharedGroups(); changed {
				shared = current
			}
			m.fill(shared)
		}
		if started < suspects {
			t.Fatalf("%d of %d suspects started within %d steps, want all", started, suspects, bound)
		}
	})
}
