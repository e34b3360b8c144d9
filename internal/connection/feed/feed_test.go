package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
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

// TestApplyIgnoresOlderVersions verifies that neither a late batch nor a lagging
// source replaces a record by an older version.
func TestApplyIgnoresOlderVersions(t *testing.T) {
	table := NewTable()
	table.Apply(Batch{Records: []Record{record("a", 5)}, Version: 5, Complete: true})
	if changed := table.Apply(Batch{Records: []Record{record("a", 3)}, Version: 4}); len(changed) != 0 {
		t.Errorf("batch of version 4 changed %v in a table of version 5, want no change", changed)
	}
	if changed := table.Apply(Batch{Records: []Record{{Key: "a", Version: 4, Deleted: true}}, Version: 6}); len(changed) != 0 {
		t.Errorf("deletion at version 4 removed a record of version 5, want no change")
	}
	if version, loaded := table.Version(); version != 6 || !loaded {
		t.Errorf("got version %d and loaded %t, want 6 and true", version, loaded)
	}
}

// TestApplyReturnsLastChangeOfEachKey guards against a past failure: when one
// batch carried three revisions of a record, the first one stayed in force.
func TestApplyReturnsLastChangeOfEachKey(t *testing.T) {
	table := NewTable()
	table.Apply(Batch{Version: 1, Complete: true})
	changed := table.Apply(Batch{Records: []Record{record("a", 2), record("b", 3), record("a", 4), {Key: "b", Version: 5, Deleted: true}}, Version: 5})
	if len(changed) != 2 || changed[0].Key != "a" || changed[0].Version != 4 || changed[1].Key != "b" || !changed[1].Deleted {
		t.Errorf("got changes %+v, want a at version 4 and the deletion of b", changed)
	}
}

// TestApplyOfWholeTableRemovesAbsentRecords verifies that a whole table deletes
// the records it lacks, and that readers of older versions get these deletions.
func TestApplyOfWholeTableRemovesAbsentRecords(t *testing.T) {
	table := NewTable()
	table.Apply(Batch{Records: []Record{record("a", 1), record("b", 2)}, Version: 2, Complete: true})
	table.Apply(Batch{Records: []Record{record("b", 2)}, Version: 9, Complete: true})
	if got := keys(table.Records()); len(got) != 1 || got[0] != "b" {
		t.Fatalf("got records %v, want b", got)
	}
	batch, err := table.Changes(context.Background(), position.Position{Version: 2}, time.Millisecond)
	if err != nil || len(batch.Records) != 1 || !batch.Records[0].Deleted || batch.Records[0].Key != "a" {
		t.Errorf("changes since version 2: got %v, %v; want the deletion of a", batch.Records, err)
	}
}

// TestChangesBeforeOldestTombstoneAreCompacted verifies that a reader whose
// version precedes the kept tombstones must read the whole table.
func TestChangesBeforeOldestTombstoneAreCompacted(t *testing.T) {
	table := NewTable()
	for i := range int64(maxTombstones + 10) {
		table.Apply(Batch{Records: []Record{record("a", 2*i+1)}, Version: 2*i + 1})
		table.Apply(Batch{Records: []Record{{Key: "a", Version: 2*i + 2, Deleted: true}}, Version: 2*i + 2})
	}
	if _, err := table.Changes(context.Background(), position.Position{Version: 1}, 0); !errors.Is(err, ErrCompacted) {
		t.Errorf("changes since version 1: got error %v, want ErrCompacted", err)
	}
}

// fakeSource answers from a table, and fails or reports compaction on demand.
type fakeSource struct {
	mu        sync.Mutex
	table     *Table
	down      bool
	compacted bool
}

func (s *fakeSource) set(down, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.compacted = down, compacted
}

func (s *fakeSource) state() (down, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.compacted
}

func (s *fakeSource) Snapshot(context.Context, Topic) (Batch, error) {
	if down, _ := s.state(); down {
		return Batch{}, errors.New("down")
	}
	s.set(false, false)
	batch, _ := s.table.Snapshot()
	return batch, nil
}

func (s *fakeSource) Changes(ctx context.Context, _ Topic, since position.Position, wait time.Duration) (Batch, error) {
	down, compacted := s.state()
	if down {
		return Batch{}, errors.New("down")
	}
	if compacted {
		return Batch{}, ErrCompacted
	}
	return s.table.Changes(ctx, since, wait)
}

// TestFollowerReadsFromPeersWhileStoreFails verifies that a node gets changes from
// a peer while the store refuses its calls, and from the store again afterwards.
func TestFollowerReadsFromPeersWhileStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := NewTable()
		origin.Apply(Batch{Records: []Record{record("a", 1)}, Version: 1, Complete: true})
		store := &fakeSource{table: origin}
		peer := &fakeSource{table: origin}
		follower := NewFollower(TopicHosts, store, func() Upstream { return Upstream{Peers: []Source{peer}} }, eventlog.Discard(), func([]Record, bool) {})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go follower.Run(ctx)
		time.Sleep(time.Second)
		store.set(true, false)
		time.Sleep(3 * time.Second)
		origin.Apply(Batch{Records: []Record{record("b", 2)}, Version: 2})
		time.Sleep(time.Second)
		if version, _ := follower.Table().Version(); version != 2 {
			t.Errorf("got version %d one second after the change, want 2 from the peer", version)
		}
		if _, lastFailure := follower.LastContact(); lastFailure.IsZero() {
			t.Error("got no time of a failed store call, want one")
		}
		store.set(false, true)
		origin.Apply(Batch{Records: []Record{record("c", 3)}, Version: 3})
		time.Sleep(2 * time.Second)
		if got := keys(follower.Table().Records()); len(got) != 3 {
			t.Errorf("got records %v after the store dropped its history, want a b c", got)
		}
	})
}

// agedSource is a fake hub whose copy has a given age.
type agedSource struct {
	*fakeSource
	age time.Duration
}

// freezeCopy sets the age of the copy and disconnects it from later changes.
func (s *agedSource) freezeCopy(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table, s.age = NewTable(), age
}

// follow connects the copy to the given table again.
func (s *agedSource) follow(table *Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table, s.age = table, 0
}

func (s *agedSource) Changes(ctx context.Context, _ Topic, since position.Position, wait time.Duration) (Batch, error) {
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

// TestFollowerReplacesFailedHub verifies that a follower gets a change within two
// seconds, the limit for configuration, although its hub stopped answering, or
// lost the store without noticing and serves a stale copy. While the hub works,
// the follower does not call the store.
func TestFollowerReplacesFailedHub(t *testing.T) {
	for name, breakHub := range map[string]func(hub *agedSource){
		"unreachable": func(hub *agedSource) { hub.set(true, false) },
		"stale":       func(hub *agedSource) { hub.freezeCopy(maxCopyAge + time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origin := NewTable()
				origin.Apply(Batch{Records: []Record{record("a", 1)}, Version: 1, Complete: true})
				store := &countingSource{fakeSource: fakeSource{table: origin}}
				hub := &agedSource{fakeSource: &fakeSource{table: origin}}
				follower := NewFollower(TopicHosts, store, func() Upstream { return Upstream{Hub: hub} }, eventlog.Discard(), func([]Record, bool) {})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go follower.Run(ctx)
				time.Sleep(5 * time.Second)
				if store.count() != 0 {
					t.Errorf("got %d calls to the store while the hub worked, want 0", store.count())
				}
				breakHub(hub)
				origin.Apply(Batch{Records: []Record{record("b", 2)}, Version: 2})
				time.Sleep(2 * time.Second)
				if version, _ := follower.Table().Version(); version != 2 {
					t.Errorf("got version %d two seconds after the change, want 2", version)
				}
			})
		})
	}
}

// countingSource counts calls to Changes.
type countingSource struct {
	fakeSource
	calls int
}

func (s *countingSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *countingSource) Changes(ctx context.Context, topic Topic, since position.Position, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	return s.fakeSource.Changes(ctx, topic, since, wait)
}

// TestFollowerBacksOffFromFailingStore verifies that a node with fresh peers makes
// few calls to a store that keeps refusing them, and still gets changes in time
// once the store answers again.
func TestFollowerBacksOffFromFailingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := NewTable()
		origin.Apply(Batch{Records: []Record{record("a", 1)}, Version: 1, Complete: true})
		store := &countingSource{fakeSource: fakeSource{table: origin}}
		peer := &fakeSource{table: origin}
		follower := NewFollower(TopicHosts, store, func() Upstream { return Upstream{Peers: []Source{peer}} }, eventlog.Discard(), func([]Record, bool) {})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go follower.Run(ctx)
		time.Sleep(time.Second)
		store.set(true, false)
		before := store.count()
		time.Sleep(20 * time.Second)
		if calls := store.count() - before; calls > 16 {
			t.Errorf("got %d calls in 20 s to a store that refuses this node, want at most 16", calls)
		}
		store.set(false, false)
		origin.Apply(Batch{Records: []Record{record("b", 2)}, Version: 2})
		time.Sleep(time.Second)
		if version, _ := follower.Table().Version(); version != 2 {
			t.Errorf("got version %d one second after the change, want 2", version)
		}
	})
}

// member is a running follower with a hub and a deputy, which both follow origin.
type member struct {
	follower    *Follower
	origin      *Table
	store       *countingSource
	hub, deputy *agedSource
	stop        context.CancelFunc
}

// startMember returns a member that has followed its hub for a second.
func startMember() *member {
	m := &member{origin: NewTable()}
	m.origin.Apply(Batch{Records: []Record{record("a", 1)}, Version: 1, Complete: true})
	m.store = &countingSource{fakeSource: fakeSource{table: m.origin}}
	m.hub, m.deputy = &agedSource{fakeSource: &fakeSource{table: m.origin}}, &agedSource{fakeSource: &fakeSource{table: m.origin}}
	up := Upstream{Hub: m.hub, Deputies: []Source{m.deputy}}
	m.follower = NewFollower(TopicHosts, m.store, func() Upstream { return up }, eventlog.Discard(), func([]Record, bool) {})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go m.follower.Run(ctx)
	time.Sleep(time.Second)
	return m
}

// TestMembersReadFromDeputies verifies that a node whose hub serves a stale copy
// reads from a deputy, which notices the same a moment later, and does not call the
// m.store. It guards against a past failure: all 295 nodes of a fleet called the store
// at once whenever their hubs had lost it for a moment.
func TestMembersReadFromDeputies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startMember()
		defer m.stop()
		m.hub.freezeCopy(maxCopyAge + time.Millisecond)
		m.deputy.freezeCopy(maxCopyAge + time.Millisecond)
		m.origin.Apply(Batch{Records: []Record{record("b", 2)}, Version: 2})
		time.Sleep(300 * time.Millisecond)
		m.deputy.follow(m.origin)
		time.Sleep(5 * time.Second)
		if version, _ := m.follower.Table().Version(); version != 2 {
			t.Errorf("got version %d, want 2", version)
		}
		if calls := m.store.count(); calls != 0 {
			t.Errorf("got %d calls to the store while a deputy was fresh, want none", calls)
		}
	})
}

// TestMembersSpareAFailingStore verifies that a node whose hub and deputies have
// lost the store, too, calls it rarely, and has the change two seconds after the hub
// has it.
func TestMembersSpareAFailingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startMember()
		defer m.stop()
		m.store.set(true, false)
		m.hub.freezeCopy(maxCopyAge + time.Millisecond)
		m.deputy.freezeCopy(maxCopyAge + time.Millisecond)
		time.Sleep(9 * time.Second)
		if calls := m.store.count(); calls > 6 {
			t.Errorf("got %d calls in 9 s to a store that has failed, want at most 6", calls)
		}
		m.hub.follow(m.origin)
		m.origin.Apply(Batch{Records: []Record{record("b", 2)}, Version: 2})
		time.Sleep(2 * time.Second)
		if version, _ := m.follower.Table().Version(); version != 2 {
			t.Errorf("got version %d two seconds after the hub has a fresh copy, want 2", version)
		}
	})
}
