package queue

import (
	"container/heap"
	"slices"
)

// groupState is the occupancy of one replica group.
type groupState struct {
	name  string
	slots int
	used  int
	// declared is false once SetGroups no longer names the group.
	declared  bool
	heapIndex int
}

func (g *groupState) free() int { return g.slots - g.used }

// groupHeap orders groups by free slots, most first.
type groupHeap []*groupState

func (h groupHeap) Len() int { return len(h) }
func (h groupHeap) Less(i, j int) bool {
	if h[i].free() != h[j].free() {
		return h[i].free() > h[j].free()
	}
	return h[i].name < h[j].name
}
func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*groupState)
	g.heapIndex = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return g
}

// mostFree returns the group with the most free slots among those not in
// avoid, or nil if none of them has a free slot.
func (h groupHeap) mostFree(avoid []string) *groupState { return h.mostFreeBelow(0, avoid) }

// mostFreeBelow is mostFree for the subtree at index i. It descends only below
// groups in avoid.
func (h groupHeap) mostFreeBelow(i int, avoid []string) *groupState {
	if i >= len(h) || h[i].free() <= 0 {
		return nil
	}
	if !slices.Contains(avoid, h[i].name) {
		return h[i]
	}
	left := h.mostFreeBelow(2*i+1, avoid)
	right := h.mostFreeBelow(2*i+2, avoid)
	if left == nil || (right != nil && h.Less(right.heapIndex, left.heapIndex)) {
		return right
	}
	return left
}

// groupSet indexes all groups by name and by free slots.
type groupSet struct {
	byName      map[string]*groupState
	byFreeSlots groupHeap
	// slots and used are totals over all groups.
	slots int
	used  int
}

// set replaces the declared groups. A group that is no longer declared stays
// without slots until its last request has finished.
func (s *groupSet) set(groups []Group) {
	for _, g := range s.byName {
		g.declared = false
		g.slots = 0
	}
	s.slots = 0
	for _, declared := range groups {
		g := s.byName[declared.Name]
		if g == nil {
			g = &groupState{name: declared.Name}
			s.byName[g.name] = g
			heap.Push(&s.byFreeSlots, g)
		}
		g.declared = true
		g.slots = declared.Slots
		s.slots += declared.Slots
	}
	for _, g := range s.byName {
		s.removeIfUnused(g)
	}
	heap.Init(&s.byFreeSlots)
}

// removeIfUnused removes an undeclared group without running requests.
func (s *groupSet) removeIfUnused(g *groupState) {
	if g.declared || g.used > 0 {
		return
	}
	heap.Remove(&s.byFreeSlots, g.heapIndex)
	delete(s.byName, g.name)
}

// hasFreeSlot reports whether any group has a free slot.
func (s *groupSet) hasFreeSlot() bool { return len(s.byFreeSlots) > 0 && s.byFreeSlots[0].free() > 0 }

func (s *groupSet) acquireSlot(g *groupState) {
	g.used++
	s.used++
	heap.Fix(&s.byFreeSlots, g.heapIndex)
}

func (s *groupSet) releaseSlot(g *groupState) {
	g.used--
	s.used--
	heap.Fix(&s.byFreeSlots, g.heapIndex)
	s.removeIfUnused(g)
}
