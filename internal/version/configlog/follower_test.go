package configlog

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/standin/platform"
)

// countingStore counts the calls that read.
type countingStore struct {
	*platform.Table
	reads atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (table.Row, error) {
	s.reads.Add(1)
	return s.Table.Get(ctx, key)
}

func (s *countingStore) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	s.reads.Add(1)
	return s.Table.List(ctx, r)
}

// TestIdleFollowerReadsTheHeadOnly verifies that a node reads the store once per
// poll while nothing changes. At that rate 330 nodes that poll once per second
// take 330 of the store's 2000 reads per second.
func TestIdleFollowerReadsTheHeadOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{Table: platform.New(platform.Options{}).Table}
		mustPropose(t, NewAcceptor(store, eventlog.Discard()), proposalOf(newRank("urgent", 5)))
		follower := NewFollower(store, newFleet(0).isolatedNode(), time.Second, eventlog.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		time.Sleep(10 * time.Second)
		before := store.reads.Load()
		time.Sleep(1000 * time.Second)
		if reads := store.reads.Load() - before; reads > 1100 || reads < 900 {
			t.Errorf("got %d reads in 1000 poll intervals, want 900 to 1100", reads)
		}
		cancel()
		synctest.Wait()
	})
}
