package feed

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

// TestWholeTableOfLaterEraReplacesTable guards against a table that keeps its records
// because those of a restored store have lower versions.
func TestWholeTableOfLaterEraReplacesTable(t *testing.T) {
	table := NewTable()
	table.Apply(Batch{Records: []Record{record("a", 50), record("b", 60)}, Version: 60, Era: 1, Complete: true})
	if changed := table.Apply(Batch{Records: []Record{record("c", 40)}, Version: 40, Era: 2}); len(changed) != 0 {
		t.Errorf("changes of a later era without its whole table changed %v, want none", keys(changed))
	}
	changed := table.Apply(Batch{Records: []Record{record("a", 20)}, Version: 30, Era: 2, Complete: true})
	if len(changed) != 2 || changed[0].Version != 20 || changed[1].Key != "b" || !changed[1].Deleted {
		t.Errorf("got changes %+v, want a at version 20 and the deletion of b", changed)
	}
	if changed := table.Apply(Batch{Records: []Record{record("a", 90)}, Version: 90, Era: 1, Complete: true}); len(changed) != 0 {
		t.Errorf("a copy of the former era changed %v, want none", keys(changed))
	}
	if changed := table.Apply(Batch{Records: []Record{record("a", 31)}, Version: 31, Era: 2}); len(changed) != 1 {
		t.Errorf("a change of the later era changed %v, want a", keys(changed))
	}
	if got, want := table.Position(), (position.Position{Era: 2, Version: 31}); got != want {
		t.Errorf("got position %v, want %v", got, want)
	}
}

// TestReadersOfAnotherEra verifies what a node gets from the copy of another node that
// is in another era of the store.
func TestReadersOfAnotherEra(t *testing.T) {
	table := NewTable()
	table.Apply(Batch{Records: []Record{record("a", 5)}, Version: 30, Era: 2, Complete: true})
	if _, err := table.Changes(context.Background(), position.Position{Era: 1, Version: 30}, 0); !errors.Is(err, ErrCompacted) {
		t.Errorf("reader of an earlier era: got error %v, want ErrCompacted", err)
	}
	batch, err := table.Changes(context.Background(), position.Position{Era: 3, Version: 1}, time.Hour)
	if err != nil || len(batch.Records) != 0 || batch.Era != 2 {
		t.Errorf("reader of a later era: got %+v and error %v, want nothing of era 2 at once", batch, err)
	}
}

// TestFollowerTakesUpRestoredStore verifies that a node follows a store that gives out
// versions again, and reports it once.
func TestFollowerTakesUpRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeSource{table: NewTable()}
		store.table.Apply(Batch{Records: []Record{record("a", 90)}, Version: 90, Complete: true})
		restores := 0
		follower := NewFollower(TopicHosts, store, func() Upstream { return Upstream{} }, eventlog.Discard(), func(_ []Record, restored bool) {
			if restored {
				restores++
			}
		})
		ctx, cancel := context.WithCancel(context.Background())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		store.table.Apply(Batch{Records: []Record{record("a", 10)}, Version: 40, Era: 1, Complete: true})
		time.Sleep(3 * time.Second)
		store.table.Apply(Batch{Records: []Record{record("b", 41)}, Version: 41, Era: 1})
		time.Sleep(3 * time.Second)
		cancel()
		if got, want := follower.Table().Position(), (position.Position{Era: 1, Version: 41}); got != want {
			t.Errorf("got position %v, want %v", got, want)
		}
		if restores != 1 {
			t.Errorf("%d restores were reported, want 1", restores)
		}
		time.Sleep(time.Second)
	})
}

// TestFailuresOfACutNodeAreNoOutage guards against hosts that are kept although they have
// left, because only this node is cut from the store.
func TestFailuresOfACutNodeAreNoOutage(t *testing.T) {
	for name, test := range map[string]struct {
		peer       Batch
		wantOutage bool
	}{
		"the store answers the peer":  {Batch{ConfirmedAgo: 300 * time.Millisecond}, false},
		"it failed the peer long ago": {Batch{ConfirmedAgo: 300 * time.Millisecond, FailedAgo: time.Minute}, false},
		"it failed the peer just now": {Batch{ConfirmedAgo: 300 * time.Millisecond, FailedAgo: time.Second}, true},
		"the copy of the peer is old": {Batch{ConfirmedAgo: 2 * maxCopyAge}, true},
	} {
		follower := NewFollower(TopicHosts, nil, nil, eventlog.Discard(), nil)
		follower.recordStoreFailure(errors.New("no answer"))
		follower.recordPeerCopy(test.peer)
		if outage := time.Since(follower.LastOutage()) < 2500*time.Millisecond; outage != test.wantOutage {
			t.Errorf("%s: got outage %t, want %t", name, outage, test.wantOutage)
		}
	}
}
