package feed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

// modelKeys are the keys of a modelStore, in the order of its pages.
var modelKeys = []string{"a", "b", "c", "d", "e", "f"}

// modelStore is a Source of one table that remembers its rows at each version. It is
// not safe for concurrent use.
type modelStore struct {
	random *rand.Rand
	// paged makes Snapshot read a page for each key, with writes between them, and then
	// the changes since the first page.
	paged    bool
	position position.Position
	rows     map[string]Record
	// versions are the rows at each version of this era, deletions included, and
	// oldest is the version from which the history is kept.
	versions map[int64]map[string]Record
	oldest   int64
}

func newModelStore(random *rand.Rand, paged bool) *modelStore {
	s := &modelStore{random: random, paged: paged, rows: map[string]Record{}, versions: map[int64]map[string]Record{}}
	s.versions[0] = map[string]Record{}
	return s
}

// write puts or removes a random key, or takes a version for a row of another table.
func (s *modelStore) write() {
	s.position.Version++
	key := modelKeys[s.random.IntN(len(modelKeys))]
	switch old, exists := s.rows[key]; {
	case s.random.IntN(4) == 0:
	case exists && !old.Deleted && s.random.IntN(2) == 0:
		s.rows[key] = Record{Key: key, Version: s.position.Version, Deleted: true}
	default:
		s.rows[key] = Record{Key: key, Version: s.position.Version, Value: []byte{'0' + byte(s.random.IntN(2))}}
	}
	s.versions[s.position.Version] = maps.Clone(s.rows)
}

func (s *modelStore) writeSome() {
	for range s.random.IntN(3) {
		s.write()
	}
}

// restore brings back the rows of an earlier version, from which versions are given
// out again.
func (s *modelStore) restore() {
	version := s.oldest + s.random.Int64N(s.position.Version-s.oldest+1)
	s.rows = maps.Clone(s.versions[version])
	s.versions = map[int64]map[string]Record{version: maps.Clone(s.rows)}
	s.position, s.oldest = position.Position{Era: s.position.Era + 1, Version: version}, version
}

// Snapshot implements Source.
func (s *modelStore) Snapshot(context.Context, Topic) (Batch, error) {
	batch := Batch{Version: s.position.Version, Era: s.position.Era, Complete: true}
	for _, key := range modelKeys {
		if row, exists := s.rows[key]; exists && !row.Deleted {
			batch.Records = append(batch.Records, row)
		}
		if s.paged {
			s.writeSome()
		}
	}
	if !s.paged {
		return batch, nil
	}
	changes, err := s.Changes(context.Background(), TopicHosts, batch.Position(), 0)
	return batch.Updated(changes), err
}

// Changes implements Source.
func (s *modelStore) Changes(_ context.Context, _ Topic, since position.Position, _ time.Duration) (Batch, error) {
	if since.Era != s.position.Era || since.Version < s.oldest {
		s.writeSome() // before the whole table is read
		return Batch{}, ErrCompacted
	}
	batch := Batch{Version: s.position.Version, Era: s.position.Era}
	for version := since.Version + 1; version <= s.position.Version; version++ {
		for _, key := range modelKeys {
			if row := s.rows[key]; row.Version == version {
				batch.Records = append(batch.Records, row)
			}
		}
	}
	return batch, nil
}

// live returns the versions and values of the rows that are not deleted, by key.
func live(rows map[string]Record) map[string]string {
	contents := map[string]string{}
	for key, row := range rows {
		if !row.Deleted {
			contents[key] = fmt.Sprint(row.Version, row.Value)
		}
	}
	return contents
}

// tableSource serves a copy without waiting.
type tableSource struct{ *Follower }

// Snapshot implements Source.
func (s tableSource) Snapshot(context.Context, Topic) (Batch, error) {
	batch, loaded := s.Follower.Snapshot()
	if !loaded {
		return Batch{}, errors.New("nothing was read yet")
	}
	return batch, nil
}

// Changes implements Source.
func (s tableSource) Changes(ctx context.Context, _ Topic, since position.Position, _ time.Duration) (Batch, error) {
	return s.Follower.Changes(ctx, since, 0)
}

// packedSource serves a copy in packed form.
type packedSource struct{ *Follower }

// Snapshot implements Source.
func (s packedSource) Snapshot(context.Context, Topic) (Batch, error) {
	packed, loaded, err := s.Follower.PackedSnapshot()
	if err != nil || !loaded {
		return Batch{}, errors.Join(err, errors.New("nothing was read yet"))
	}
	return Unpack(bytes.NewReader(packed.Body))
}

// Changes implements Source.
func (s packedSource) Changes(ctx context.Context, _ Topic, since position.Position, _ time.Duration) (Batch, error) {
	packed, err := s.Follower.PackedChanges(ctx, since, 0)
	if err != nil {
		return Batch{}, err
	}
	return Unpack(bytes.NewReader(packed.Body))
}

// check returns an error if a copy differs from the store at the copy's version.
func (s *modelStore) check(copies []*Follower) error {
	for i, f := range copies {
		at := f.table.Position()
		if _, loaded := f.table.Version(); !loaded || at.Era != s.position.Era {
			continue
		}
		got := map[string]string{}
		for _, r := range f.table.Records() {
			got[r.Key] = fmt.Sprint(r.Version, r.Value)
		}
		if want := live(s.versions[at.Version]); !maps.Equal(got, want) {
			return fmt.Errorf("copy %d at %v holds versions and values %v, the store %v", i, at, got, want)
		}
	}
	return nil
}

// playHistory plays random writes, reads and restarts and returns the first difference
// between a copy and the store.
func playHistory(seed uint64, paged, restores, packed bool) error {
	const copyCount, steps = 4, 400
	store := newModelStore(rand.New(rand.NewPCG(seed, 0)), paged)
	newCopy := func() *Follower {
		return NewFollower(TopicHosts, store, nil, eventlog.Discard(), func([]Record, bool) {})
	}
	copies := make([]*Follower, copyCount)
	for i := range copies {
		copies[i] = newCopy()
	}
	for step := range steps {
		reader := store.random.IntN(copyCount)
		switch choice := store.random.IntN(40); {
		case choice < 16:
			store.write()
		case choice == 16:
			copies[reader] = newCopy()
		case choice == 17:
			store.oldest = store.position.Version
		case choice == 18 && restores && store.random.IntN(4) == 0:
			store.restore()
		default:
			source := Source(store)
			if other := store.random.IntN(copyCount); other != reader && store.random.IntN(2) == 0 {
				source = tableSource{copies[other]}
				if packed && store.random.IntN(4) > 0 {
					source = packedSource{copies[other]}
				}
			}
			if batch, err := copies[reader].read(context.Background(), source, 0, time.Minute); err == nil {
				copies[reader].apply(batch)
			}
		}
		if err := store.check(copies); err != nil {
			return fmt.Errorf("step %d: %w", step, err)
		}
	}
	return nil
}

// TestCopiesHoldTheRowsOfTheirVersion guards against nodes that keep a removed row. A node
// without the history of a removal, because it had started, read the whole table, or never
// held the row, passed later versions on without the removal.
func TestCopiesHoldTheRowsOfTheirVersion(t *testing.T) {
	const histories = 250
	for name, test := range map[string]struct{ paged, restores, packed bool }{
		"whole tables in one answer": {},
		"whole tables in pages":      {paged: true},
		"a store that is restored":   {restores: true},
		"a restored store in pages":  {paged: true, restores: true},
		"packed copies":              {packed: true},
		"packed, restored, in pages": {paged: true, restores: true, packed: true},
	} {
		t.Run(name, func(t *testing.T) {
			broken := 0
			for seed := range uint64(histories) {
				if err := playHistory(seed, test.paged, test.restores, test.packed); err != nil {
					if broken++; broken <= 3 {
						t.Errorf("seed %d: %v", seed, err)
					}
				}
			}
			if broken > 0 {
				t.Errorf("%d of %d histories differ from the store, want none", broken, histories)
			}
		})
	}
}
