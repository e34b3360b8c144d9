package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/version/position"
)

// Table is a node's copy of a followed table, from which it also serves other
// nodes. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[string]Record
	history history
	// position is the state of the store that the table reflects. The versions of
	// the records and of the history belong to its era.
	position position.Position
	loaded   bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]Record), changed: make(chan struct{})}
}

// Version returns the version that the table reflects, and whether the whole
// table was ever loaded.
func (t *Table) Version() (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position.Version, t.loaded
}

// Position returns the state of the store that the table reflects.
func (t *Table) Position() position.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// Apply merges a batch and returns the records that changed. A batch older than
// the table changes nothing: sources may lag. A whole table of a later era replaces
// this one, and all its records count as changed; changes of a later era alone are not
// applied.
func (t *Table) Apply(b Batch) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Position().Before(t.position) {
		return nil
	}
	var changed []Record
	switch {
	case b.Complete && (!t.loaded || b.Era != t.position.Era):
		changed = t.replace(b)
	case !t.loaded || b.Era == t.position.Era:
		changed = t.merge(b)
	default:
		return nil
	}
	t.position = b.Position()
	t.loaded = t.loaded || b.Complete
	if len(b.Records) > 0 || b.Complete {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// merge applies the records of b and returns the last change of each key. The
// caller must hold mu.
func (t *Table) merge(b Batch) []Record {
	indexByKey := map[string]int{}
	var changed []Record
	report := func(r Record) {
		if at, seen := indexByKey[r.Key]; seen {
			changed[at] = r
			return
		}
		indexByKey[r.Key] = len(changed)
		changed = append(changed, r)
	}
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = !r.Deleted
		old, exists := t.records[r.Key]
		if exists && old.Version >= r.Version {
			continue
		}
		switch {
		case !r.Deleted:
			t.records[r.Key] = r
			report(r)
		case exists:
			report(t.remove(r.Key, r.Version))
		default:
			// A reader may hold a record that was added and deleted since the batch
			// before. After a restore of the store, the deletion of a record that the
			// older copy lacks withdraws what a node has kept.
			t.history.addTombstone(r)
			report(r)
		}
	}
	if !b.Complete {
		for _, gap := range b.Gaps {
			t.history.addGap(gap)
		}
		return changed
	}
	t.history.addGap(Gap{After: t.position.Version, Until: b.Version})
	for key := range t.records {
		if !present[key] {
			report(t.remove(key, b.Version))
		}
	}
	return changed
}

// replace puts a whole table, the first one or that of a later era, in place of this
// one. The caller must hold mu.
func (t *Table) replace(b Batch) []Record {
	former := t.records
	t.records = make(map[string]Record, len(b.Records))
	// What was deleted before is not known.
	t.history = history{horizon: b.Version}
	changed := slices.Clone(b.Records)
	for _, r := range b.Records {
		t.records[r.Key] = r
	}
	for key := range former {
		if _, exists := t.records[key]; !exists {
			changed = append(changed, Record{Key: key, Version: b.Version, Deleted: true})
		}
	}
	return changed
}

// remove deletes a record and keeps a tombstone. The caller must hold mu.
func (t *Table) remove(key string, version int64) Record {
	delete(t.records, key)
	tombstone := Record{Key: key, Version: version, Deleted: true}
	t.history.addTombstone(tombstone)
	return tombstone
}

// Records returns the current records, sorted by key.
func (t *Table) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sorted()
}

func (t *Table) sorted() []Record {
	records := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return records
}

// Snapshot returns the whole table, and whether it was ever loaded.
func (t *Table) Snapshot() (Batch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Batch{Records: t.sorted(), Version: t.position.Version, Era: t.position.Era, Complete: true}, t.loaded
}

// Changes returns what changed after since. Without a change it blocks for at most
// wait, and not at all if since is of a later era than the table. It returns
// ErrCompacted if since is of an earlier one or the history does not reach back to it.
func (t *Table) Changes(ctx context.Context, since position.Position, wait time.Duration) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		batch, compacted := t.changesSince(since)
		signal := t.changed
		t.mu.Unlock()
		if compacted {
			return Batch{}, ErrCompacted
		}
		if len(batch.Records) > 0 || batch.Era < since.Era {
			return batch, nil
		}
		select {
		case <-signal:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// changesSince returns the records newer than a state, or true if the history does
// not reach back to it. The caller must hold mu.
func (t *Table) changesSince(since position.Position) (Batch, bool) {
	if since.Era > t.position.Era {
		return Batch{Version: t.position.Version, Era: t.position.Era}, false
	}
	version := since.Version
	if since.Era < t.position.Era || !t.history.reaches(version) {
		return Batch{}, true
	}
	batch := Batch{Version: max(t.position.Version, version), Era: t.position.Era, Gaps: t.history.gapsAfter(version)}
	for _, r := range t.records {
		if r.Version > version {
			batch.Records = append(batch.Records, r)
		}
	}
	for _, r := range t.history.tombstones {
		if _, exists := t.records[r.Key]; r.Version > version && !exists {
			batch.Records = append(batch.Records, r)
		}
	}
	slices.SortFunc(batch.Records, func(a, b Record) int { return int(a.Version - b.Version) })
	return batch, false
}
