package feed

import "slices"

// Limits of a history. A reader that it does not reach reads the whole table.
const (
	// maxTombstones limits the deletions that a table keeps for its readers.
	maxTombstones = 4096
	// maxGaps limits the gaps of a history.
	maxGaps = 16
)

// Gap is a range of versions that a table went through without learning every
// deletion, because it read the whole table at the end of it. Readers at versions
// between After and Until, both excluded, cannot be told what was deleted since.
type Gap struct {
	After int64 `json:"after"`
	Until int64 `json:"until"`
}

// history is the part of a table's past from which readers are told what was
// deleted. All versions are of one era.
type history struct {
	// horizon is the lowest version that the history reaches back to.
	horizon int64
	// gaps are in order of version and above the horizon.
	gaps []Gap
	// tombstones are the kept deletions in order of version.
	tombstones []Record
}

// addTombstone adds a deletion that is not older than those before it.
func (h *history) addTombstone(r Record) {
	h.tombstones = append(h.tombstones, r)
	if excess := len(h.tombstones) - maxTombstones; excess > 0 {
		h.raiseHorizon(h.tombstones[excess-1].Version)
		h.tombstones = slices.Delete(h.tombstones, 0, excess)
	}
}

// addGap adds a gap that does not begin before the end of those before it.
func (h *history) addGap(g Gap) {
	if g.Until-g.After < 2 || g.Until <= h.horizon {
		return // no version lies in between
	}
	h.gaps = append(h.gaps, g)
	if excess := len(h.gaps) - maxGaps; excess > 0 {
		h.raiseHorizon(h.gaps[excess-1].Until)
	}
}

func (h *history) raiseHorizon(version int64) {
	h.horizon = max(h.horizon, version)
	h.gaps = slices.DeleteFunc(h.gaps, func(g Gap) bool { return g.Until <= h.horizon })
}

// reaches reports whether every deletion after a version is known.
func (h *history) reaches(version int64) bool {
	inGap := slices.ContainsFunc(h.gaps, func(g Gap) bool { return g.After < version && version < g.Until })
	return version >= h.horizon && !inGap
}

// gapsAfter returns the gaps that begin at a version or after it.
func (h *history) gapsAfter(version int64) []Gap {
	first, _ := slices.BinarySearchFunc(h.gaps, version, func(g Gap, v int64) int { return int(g.After - v) })
	return slices.Clone(h.gaps[first:])
}
