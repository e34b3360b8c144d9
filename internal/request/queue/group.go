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
	declared bool
	index    int
}

func (g *groupState) free() int { return g.slots - g.used }

// groupHeap orders groups by free slots, the most first.
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
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*groupState)
	g.index = len(*h)
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

// mostFree returns the group with the most free slots that is not avoided,
// or nil where none has a free slot.
func (h groupHeap) mostFree(avoid []string) *groupState { return h.mostFreeBelow(0, avoid) }

// mostFreeBelow searches the subtree at index i. It descends only below
// avoided groups.
func (h groupHeap) mostFreeBelow(i int, avoid []string) *groupState {
	if i >= len(h) || h[i].free() <= 0 {
		return nil
	}
	if !slices.Contains(avoid, h[i].name) {
		return h[i]
	}
	left := h.mostFreeBelow(2*i+1, avoid)
	right := h.mostFreeBelow(2*i+2, avoid)
	if left == nil || (right != nil && h.Less(right.index, left.index)) {
		return right
	}
	return left
}

// groupSet holds all groups by name and by free slots.
type groupSet struct {
	byName map[string]*groupState
	order  groupHeap
	// slots is the total of all groups.
	slots int
	used  int
}

// set replaces the declared groups. Undeclared groups stay with no slots
// until their last request has finished.
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
			heap.Push(&s.order, g)
		}
		g.declared = true
		g.slots = declared.Slots
		s.slots += declared.Slots
	}
	for _, g := range s.byName {
		s.dropUnused(g)
	}
	heap.Init(&s.order)
}

func (s *groupSet) dropUnused(g *groupState) {
	if g.declared || g.used > 0 {
		return
	}
	heap.Remove(&s.order, g.index)
	delete(s.byName, g.name)
}

// hasFree reports whether any group has a free slot.
func (s *groupSet) hasFree() bool { return len(s.order) > 0 && s.order[0].free() > 0 }

func (s *groupSet) take(g *groupState) {
	g.used++
	s.used++
	heap.Fix(&s.order, g.index)
}

func (s *groupSet) giveBack(g *groupState) {
	g.used--
	s.used--
	heap.Fix(&s.order, g.index)
	s.dropUnused(g)
}
