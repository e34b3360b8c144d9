package queue

import (
	"container/list"
	"slices"
)

const (
	// maxAffinityBlocks limits the blocks in the affinity table.
	maxAffinityBlocks = 32768
	// maxGroupsPerBlock limits the groups recorded for one block.
	maxGroupsPerBlock = 4
)

// affinity records which groups have run which prompt blocks. The table is
// bounded and evicts the least recently used block.
type affinity struct {
	blocks    map[uint64]*list.Element
	byRecency list.List // of *affinityEntry, most recently used first
}

type affinityEntry struct {
	block uint64
	// groups holds group names, most recent first.
	groups []string
}

func newAffinity() *affinity { return &affinity{blocks: map[uint64]*list.Element{}} }

// record stores that the group runs a request with these blocks.
func (a *affinity) record(prefix []uint64, group string) {
	for _, block := range prefix {
		e := a.blocks[block]
		if e == nil {
			e = a.insert(block)
		}
		a.byRecency.MoveToFront(e)
		e.Value.(*affinityEntry).moveToFront(group)
	}
}

// insert adds a block. A full table reuses the least recently used entry.
func (a *affinity) insert(block uint64) *list.Element {
	if len(a.blocks) < maxAffinityBlocks {
		e := a.byRecency.PushFront(&affinityEntry{block: block, groups: make([]string, 0, 1)})
		a.blocks[block] = e
		return e
	}
	e := a.byRecency.Back()
	entry := e.Value.(*affinityEntry)
	delete(a.blocks, entry.block)
	entry.block = block
	entry.groups = entry.groups[:0]
	a.blocks[block] = e
	return e
}

// moveToFront adds the group if needed and makes it the most recent. The least
// recent group drops out when there are maxGroupsPerBlock.
func (e *affinityEntry) moveToFront(group string) {
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

// groups returns the groups that have run the block, most recent first.
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

// bestGroup returns the usable group that has run the most leading blocks, and
// their number. The name is empty if no usable group has run any.
func (a *affinity) bestGroup(prefix []uint64, usable func(group string) bool) (string, int) {
	if len(prefix) == 0 {
		return "", 0
	}
	best, bestHits := "", 0
	for _, group := range a.groups(prefix[0]) {
		if !usable(group) {
			continue
		}
		if hits := a.hits(prefix, group); hits > bestHits {
			best, bestHits = group, hits
		}
	}
	return best, bestHits
}
