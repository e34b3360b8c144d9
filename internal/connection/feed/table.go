package feed

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantladder.example/currantladder/internal/version/position"
)

// Table is a node's copy of a followed table, from which it also serves other
// nodes. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[string]Record
	// valueSince is the version from which the record of a key has had its value.
	valueSince map[string]int64
	history    history
	// lastChange is the highest version of a record or a deletion of this era.
	lastChange int64
	// position is the state of the store that the table reflects. The versions of
	// the records and of the history belong to its era.
	position position.Position
	loaded   bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]Record), valueSince: make(map[string]int64), changed: make(chan struct{})}
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
			t.put(r)
			report(r)
		case exists:
			report(t.remove(r.Key, r.Version))
		default:
			// A reader may hold a record that was added and deleted since the batch
			// before. After a restore of the store, the deletion of a record that the
			// older copy lacks withdraws what a node has kept.
			t.addTombstone(r)
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
	t.valueSince = make(map[string]int64, len(b.Records))
	t.lastChange = 0
	// What was deleted before is not known.
	t.history = history{horizon: b.Version}
	changed := slices.Clone(b.Records)
	for _, r := range b.Records {
		t.put(r)
	}
	for key := range former {
		if _, exists := t.records[key]; !exists {
			changed = append(changed, Record{Key: key, Version: b.Version, Deleted: true})
		}
	}
	return changed
}

// put adds or replaces a record. The caller must hold mu.
func (t *Table) put(r Record) {
	if old, exists := t.records[r.Key]; !exists || !bytes.Equal(old.Value, r.Value) {
		t.valueSince[r.Key] = r.Version
	} else {
		r.Value = old.Value // keeps one copy
	}
	t.records[r.Key] = r
	t.lastChange = max(t.lastChange, r.Version)
}

// remove deletes a record and keeps a tombstone. The caller must hold mu.
func (t *Table) remove(key string, version int64) Record {
	delete(t.records, key)
	delete(t.valueSince, key)
	tombstone := Record{Key: key, Version: version, Deleted: true}
	t.addTombstone(tombstone)
	return tombstone
}

// addTombstone keeps a deletion for readers. The caller must hold mu.
func (t *Table) addTombstone(r Record) {
	t.history.addTombstone(r)
	t.lastChange = max(t.lastChange, r.Version)
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
	if err := t.await(ctx, since, wait); err != nil {
		return Batch{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	batch, compacted := t.changesSince(since)
	if compacted {
		return Batch{}, ErrCompacted
	}
	return batch, nil
}

// await blocks like Changes until there is something to return.
func (t *Table) await(ctx context.Context, since position.Position, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		later := since.Era > t.position.Era
		compacted := !later && !t.reaches(since)
		hasChanges := t.lastChange > since.Version
		signal := t.changed
		t.mu.Unlock()
		if compacted {
			return ErrCompacted
		}
		if later || hasChanges {
			return nil
		}
		select {
		case <-signal:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reaches reports whether every change after a state of the same or an earlier era is
// known. The caller must hold mu.
func (t *Table) reaches(since position.Position) bool {
	return since.Era == t.position.Era && t.history.reaches(since.Version)
}

// followsFrom reports whether a reader of the whole table as of a state needs only
// changes to follow, and no reader that must read the whole table is at a later one.
func (t *Table) followsFrom(at position.Position) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reaches(at) && len(t.history.gapsAfter(at.Version)) == 0
}

// shortChanges returns what changed after since, without the values that a reader at
// that state holds.
func (t *Table) shortChanges(since position.Position) (Batch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	batch, compacted := t.changesSince(since)
	if compacted {
		return Batch{}, ErrCompacted
	}
	for i := range batch.Records {
		r := &batch.Records[i]
		if !r.Deleted && t.valueSince[r.Key] <= since.Version {
			r.Value, r.Unchanged, r.Checksum = nil, true, checksum(r.Value)
		}
	}
	return batch, nil
}

// Complete puts the values into changes that leave out those which the reader holds. It
// returns an error if the table does not hold one of them: the node that sent the
// changes may not know of a value between two equal ones.
func (t *Table) Complete(b Batch) (Batch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range b.Records {
		r := &b.Records[i]
		if !r.Unchanged {
			continue
		}
		held, exists := t.records[r.Key]
		if b.Era != t.position.Era || !exists || checksum(held.Value) != r.Checksum {
			return Batch{}, errValueMissing
		}
		r.Value, r.Unchanged, r.Checksum = held.Value, false, 0
	}
	return b, nil
}

// checksum returns a checksum of a value.
func checksum(value []byte) uint32 { return uint32(xxhash.Sum64(value)) }

// changesSince returns the records newer than a state, or true if the history does
// not reach back to it. The caller must hold mu.
func (t *Table) changesSince(since position.Position) (Batch, bool) {
	if since.Era > t.position.Era {
		return Batch{Version: t.position.Version, Era: t.position.Era}, false
	}
	version := since.Version
	if !t.reaches(since) {
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
