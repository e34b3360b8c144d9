package queue

import (
	"container/list"
	"slices"
)

const (
	// maxAffinityBlocks bounds the blocks in the affinity table.
	maxAffinityBlocks = 32768
	// maxGroupsPerBlock bounds the groups remembered for one block.
	maxGroupsPerBlock = 4
)

// affinity remembers which groups have run which prompt blocks: a bounded
// table that drops the least recently used block.
type affinity struct {
	blocks map[uint64]*list.Element
	recent list.List // of *affinityEntry, the most recent first
}

type affinityEntry struct {
	block uint64
	// groups holds names, the most recent first.
	groups []string
}

func newAffinity() *affinity { return &affinity{blocks: map[uint64]*list.Element{}} }

// record notes that the group runs a request with these blocks.
func (a *affinity) record(prefix []uint64, group string) {
	for _, block := range prefix {
		e := a.blocks[block]
		if e == nil {
			e = a.insert(block)
		}
		a.recent.MoveToFront(e)
		e.Value.(*affinityEntry).add(group)
	}
}

// insert adds a block, reusing the oldest entry when the table is full.
func (a *affinity) insert(block uint64) *list.Element {
	if len(a.blocks) < maxAffinityBlocks {
		e := a.recent.PushFront(&affinityEntry{block: block, groups: make([]string, 0, 1)})
		a.blocks[block] = e
		return e
	}
	e := a.recent.Back()
	entry := e.Value.(*affinityEntry)
	delete(a.blocks, entry.block)
	entry.block = block
	entry.groups = entry.groups[:0]
	a.blocks[block] = e
	return e
}

// add puts the group first.
func (e *affinityEntry) add(group string) {
	if i := slices.Index(e.groups, group); i >= 0 {
		copy(e.groups[1:i+1], e.groups[:i])
		e.groups[0] = group
		return
	}
	if len(e.groups) < maxGroupsPerBlock {
		e.groups = append(e.groups, "")
	}
	copy(e.groups[1:], e.groups)
	e.groups[0] = group
}

// groups returns the groups that have run the block.
func (a *affinity) groups(block uint64) []string {
	if e := a.blocks[block]; e != nil {
		return e.Value.(*affinityEntry).groups
	}
	return nil
}

// hits returns the number of leading blocks that the group has run.
func (a *affinity) hits(prefix []uint64, group string) int {
	for i, block := range prefix {
		if !slices.Contains(a.groups(block), group) {
			return i
		}
	}
	return len(prefix)
}

// best returns the usable group with the most leading blocks, and their
// number; an empty name where no usable group has any.
func (a *affinity) best(prefix []uint64, usable func(group string) bool) (string, int) {
	if len(prefix) == 0 {
		return "", 0
	}
	name, most := "", 0
	for _, group := range a.groups(prefix[0]) {
		if !usable(group) {
			continue
		}
		if hits := a.hits(prefix, group); hits > most {
			name, most = group, hits
		}
	}
	return name, most
}
