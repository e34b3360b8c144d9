package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
)

func record(key string, version int64) Record {
	return Record{Key: key, Version: version, Value: []byte(key)}
}

func keys(records []Record) []string {
	var out []string
	for _, r := range records {
		out = append(out, r.Key)
	}
	return out
}

// TestTableNeverGoesBack holds that neither a late batch nor a lagging source
// takes a record back to an older version.
func TestTableNeverGoesBack(t *testing.T) {
	table := NewTable()
	table.Apply(Batch{Records: []Record{record("a", 5)}, Version: 5, Whole: true})
	if changed := table.Apply(Batch{Records: []Record{record("a", 3)}, Version: 4}); len(changed) != 0 {
		t.Errorf("a batch of version 4 changed %v in a table of version 5", changed)
	}
	if changed := table.Apply(Batch{Records: []Record{{Key: "a", Version: 4, Deleted: true}}, Version: 6}); len(changed) != 0 {
		t.Errorf("a deletion at version 4 removed a record of version 5")
	}
	if version, loaded := table.Version(); version != 6 || !loaded {
		t.Errorf("version %d loaded %t, want 6 true", version, loaded)
	}
}

// TestTableReportsTheLastChangeOfAKey holds the fault found on the bench: a
// feed that tells three revisions of one record at once left the first one in
// force.
func TestTableReportsTheLastChangeOfAKey(t *testing.T) {
	table := NewTable()
	table.Apply(Batch{Version: 1, Whole: true})
	changed := table.Apply(Batch{Records: []Record{record("a", 2), record("b", 3), record("a", 4), {Key: "b", Version: 5, Deleted: true}}, Version: 5})
	if len(changed) != 2 || changed[0].Key != "a" || changed[0].Version != 4 || changed[1].Key != "b" || !changed[1].Deleted {
		t.Errorf("changes %+v, want a at 4 and the deletion of b", changed)
	}
}

// TestTableWholeRemovesAbsentRecords holds that a whole read deletes what it
// does not hold, and that readers behind learn of it.
func TestTableWholeRemovesAbsentRecords(t *testing.T) {
	table := NewTable()
	table.Apply(Batch{Records: []Record{record("a", 1), record("b", 2)}, Version: 2, Whole: true})
	table.Apply(Batch{Records: []Record{record("b", 2)}, Version: 9, Whole: true})
	if got := keys(table.Records()); len(got) != 1 || got[0] != "b" {
		t.Fatalf("records %v, want b", got)
	}
	batch, err := table.Changes(context.Background(), 2, time.Millisecond)
	if err != nil || len(batch.Records) != 1 || !batch.Records[0].Deleted || batch.Records[0].Key != "a" {
		t.Errorf("changes since 2 are %v, %v; want the deletion of a", batch.Records, err)
	}
}

// TestTableForgetsOldDeletions holds that a reader behind the remembered
// deletions is told to read the whole table.
func TestTableForgetsOldDeletions(t *testing.T) {
	table := NewTable()
	for i := range int64(maxTombstones + 10) {
		table.Apply(Batch{Records: []Record{record("a", 2*i+1)}, Version: 2*i + 1})
		table.Apply(Batch{Records: []Record{{Key: "a", Version: 2*i + 2, Deleted: true}}, Version: 2*i + 2})
	}
	if _, err := table.Changes(context.Background(), 1, 0); !errors.Is(err, ErrCompacted) {
		t.Errorf("changes since 1 gave %v, want ErrCompacted", err)
	}
}

// scriptedSource answers from a table and fails on demand.
type scriptedSource struct {
	mu        sync.Mutex
	table     *Table
	down      bool
	compacted bool
}

func (s *scriptedSource) set(down, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.compacted = down, compacted
}

func (s *scriptedSource) state() (down, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.compacted
}

func (s *scriptedSource) Snapshot(context.Context, Topic) (Batch, error) {
	if down, _ := s.state(); down {
		return Batch{}, errors.New("down")
	}
	s.set(false, false)
	batch, _ := s.table.Snapshot()
	return batch, nil
}

func (s *scriptedSource) Changes(ctx context.Context, _ Topic, since int64, wait time.Duration) (Batch, error) {
	down, compacted := s.state()
	if down {
		return Batch{}, errors.New("down")
	}
	if compacted {
		return Batch{}, ErrCompacted
	}
	return s.table.Changes(ctx, since, wait)
}

// TestFollowerAsksPeersWhileTheStoreRefuses holds that a node whom the store
// turns away learns of a change from a peer, and goes on with the store after.
func TestFollowerAsksPeersWhileTheStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := NewTable()
		origin.Apply(Batch{Records: []Record{record("a", 1)}, Version: 1, Whole: true})
		store := &scriptedSource{table: origin}
		peer := &scriptedSource{table: origin}
		follower := NewFollower(TopicHosts, store, func() Upstream { return Upstream{Peers: []Source{peer}} }, eventlog.Discard(), func([]Record) {})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go follower.Run(ctx)
		time.Sleep(time.Second)
		store.set(true, false)
		time.Sleep(3 * time.Second)
		origin.Apply(Batch{Records: []Record{record("b", 2)}, Version: 2})
		time.Sleep(time.Second)
		if version, _ := follower.Table().Version(); version != 2 {
			t.Errorf("version %d a second after the change, want 2 from the peer", version)
		}
		if _, disturbed := follower.Contact(); disturbed.IsZero() {
			t.Error("the failed calls of the store were not noted")
		}
		store.set(false, true)
		origin.Apply(Batch{Records: []Record{record("c", 3)}, Version: 3})
		time.Sleep(2 * time.Second)
		if got := keys(follower.Table().Records()); len(got) != 3 {
			t.Errorf("records %v after the store dropped its history, want a b c", got)
		}
	})
}

// datedSource is a reader's copy of a given age.
type datedSource struct {
	*scriptedSource
	age time.Duration
}

// grow makes the copy as old as age, and cuts it off from what follows.
func (s *datedSource) grow(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table, s.age = NewTable(), age
}

func (s *datedSource) Changes(ctx context.Context, _ Topic, since int64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	down, table, age := s.down, s.table, s.age
	s.mu.Unlock()
	if down {
		return Batch{}, errors.New("down")
	}
	batch, err := table.Changes(ctx, since, wait)
	batch.ConfirmedAgo = age
	return batch, err
}

// TestFollowerLeavesAReaderInTime plays a reader that dies, and one that has
// lost the store without noticing: a change is known within the two seconds
// that configuration has, and no store call is made while the reader is well.
func TestFollowerLeavesAReaderInTime(t *testing.T) {
	for name, harm := range map[string]func(reader *datedSource){
		"dead":  func(r *datedSource) { r.set(true, false) },
		"stale": func(r *datedSource) { r.grow(maxCopyAge + time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origin := NewTable()
				origin.Apply(Batch{Records: []Record{record("a", 1)}, Version: 1, Whole: true})
				store := &countingSource{scriptedSource: scriptedSource{table: origin}}
				reader := &datedSource{scriptedSource: &scriptedSource{table: origin}}
				follower := NewFollower(TopicHosts, store, func() Upstream { return Upstream{Reader: reader} }, eventlog.Discard(), func([]Record) {})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go follower.Run(ctx)
				time.Sleep(5 * time.Second)
				if store.count() != 0 {
					t.Errorf("%d calls of the store beside a good reader", store.count())
				}
				harm(reader)
				origin.Apply(Batch{Records: []Record{record("b", 2)}, Version: 2})
				time.Sleep(2 * time.Second)
				if version, _ := follower.Table().Version(); version != 2 {
					t.Errorf("version %d two seconds after the change, want 2", version)
				}
			})
		})
	}
}

// countingSource counts calls.
type countingSource struct {
	scriptedSource
	calls int
}

func (s *countingSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *countingSource) Changes(ctx context.Context, topic Topic, since int64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	return s.scriptedSource.Changes(ctx, topic, since, wait)
}

// TestFollowerSparesAStoreThatRefuses holds that a node whom the store turns
// away for long, beside peers with fresh copies, calls it seldom.
func TestFollowerSparesAStoreThatRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := NewTable()
		origin.Apply(Batch{Records: []Record{record("a", 1)}, Version: 1, Whole: true})
		store := &countingSource{scriptedSource: scriptedSource{table: origin}}
		peer := &scriptedSource{table: origin}
		follower := NewFollower(TopicHosts, store, func() Upstream { return Upstream{Peers: []Source{peer}} }, eventlog.Discard(), func([]Record) {})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go follower.Run(ctx)
		time.Sleep(time.Second)
		store.set(true, false)
		before := store.count()
		time.Sleep(20 * time.Second)
		if calls := store.count() - before; calls > 16 {
			t.Errorf("%d calls in 20 s of a store that refuses this node", calls)
		}
		store.set(false, false)
		origin.Apply(Batch{Records: []Record{record("b", 2)}, Version: 2})
		time.Sleep(time.Second)
		if version, _ := follower.Table().Version(); version != 2 {
			t.Errorf("version %d a second after a change, want 2", version)
		}
	})
}
