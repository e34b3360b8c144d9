package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
)

// TestStartingNodesAwaitTheirHub verifies that at the first start of a large fleet
// only the hubs follow the store, and any other node if no hub answers it for
// firstStartWait. After a kill of all nodes only the hubs and the deputies read the
// store at once. The others ask them, and the store only when they had time to start: a
// past failure was that all of 300 nodes read the table of 3,000 hosts from the store,
// and the fleet served again after 30 s. A small fleet reads it at once.
func TestStartingNodesAwaitTheirHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		following := func(f *testFleet, firstStart bool) (count int) {
			for _, node := range f.nodes {
				node.rosterRead, node.rosterTried, node.firstStart = true, true, firstStart
				up := node.upstream()
				if !up.AwaitsHub && !up.AvoidsStore && up.Hub == nil {
					count++
				}
				if up.AvoidsStore && (firstStart || len(up.Deputies) != 1+maxDeputies) {
					t.Errorf("a node that avoids the store, first start %t, asks %d others, want the hub and %d deputies", firstStart, len(up.Deputies), maxDeputies)
				}
			}
			return count
		}
		f, small := newTestFleet(30), newTestFleet(maxFullMeshNodes)
		if got := following(f, true); got != 3 {
			t.Errorf("%d of 30 starting nodes follow the store, want the 3 hubs", got)
		}
		if got, want := following(f, false), 3*(1+maxDeputies); got != want {
			t.Errorf("%d of 30 nodes that start again follow the store, want the hubs and deputies, %d", got, want)
		}
		if got := following(small, false); got != maxFullMeshNodes {
			t.Errorf("%d of %d nodes that start again follow the store, want all", got, maxFullMeshNodes)
		}
		time.Sleep(firstStartWait)
		if got := following(f, true); got != 30 {
			t.Errorf("%d of 30 nodes follow the store after %v without a digest, want all", got, firstStartWait)
		}
		time.Sleep(restartWait + restartWaitSpread - firstStartWait)
		if got := following(f, false); got != 30 {
			t.Errorf("%d of 30 nodes that start again follow the store after %v without a digest, want all", got, restartWait+restartWaitSpread)
		}
	})
}

// TestNodeThatStartsAgainReadsTheRowsFirst verifies that a node whose row is in the store
// does not write it again, that it does if the row differs, and that it reads the feeds
// at once when the read of the rows has failed.
func TestNodeThatStartsAgainReadsTheRowsFirst(t *testing.T) {
	for name, test := range map[string]struct {
		row                   string
		fails                 bool
		wantReads, wantWrites int
	}{
		"same row":    {row: `{"address":"10.0.0.0:1","domain":"d0","share":0.8}`, wantReads: 1},
		"other row":   {row: `{"address":"10.0.0.9:1","domain":"d0","share":0.8}`, wantReads: 2, wantWrites: 1},
		"no row":      {wantReads: 2, wantWrites: 1},
		"store fails": {fails: true, wantReads: 3, wantWrites: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := newTestFleet(3).nodes["n000"]
				store := &oneRowStore{row: test.row, fails: test.fails}
				node.store = store
				if up := node.upstream(); !up.AwaitsHub {
					t.Error("the node reads the feeds before it knows the size of the fleet")
				}
				ctx, cancel := context.WithCancel(context.Background())
				go node.runRoster(ctx)
				time.Sleep(rosterBackoff + time.Millisecond)
				cancel()
				synctest.Wait()
				if up := node.upstream(); up.AwaitsHub || up.AvoidsStore {
					t.Error("the node does not read the feeds from the store after it has read the rows")
				}
				if store.reads != test.wantReads || store.writes != test.wantWrites {
					t.Errorf("got %d reads and %d writes, want %d and %d", store.reads, store.writes, test.wantReads, test.wantWrites)
				}
			})
		})
	}
}

// oneRowStore holds the row of node n000.
type oneRowStore struct {
	table.Store
	row           string
	fails         bool
	reads, writes int
}

// List implements table.Store.
func (s *oneRowStore) List(context.Context, table.Range) ([]table.Row, error) {
	s.reads++
	if s.fails {
		return nil, table.ErrUnavailable
	}
	if s.row == "" {
		return nil, nil
	}
	return []table.Row{{Key: nodePrefix + "n000", Version: 1, Value: []byte(s.row)}}, nil
}

// Commit implements table.Store.
func (s *oneRowStore) Commit(_ context.Context, txn table.Txn) error {
	s.writes++
	if s.fails {
		return table.ErrUnavailable
	}
	s.row = string(txn.Writes[0].Value)
	return nil
}

// TestRosterCallsDuringAnOutage guards against calls that grow with the nodes while the
// store is down: no node has a live hub then, and each read the rows twice a second.
// Nodes of small fleets go on as before.
func TestRosterCallsDuringAnOutage(t *testing.T) {
	for nodes, want := range map[int][2]int{maxStoreReaders: {38, 42}, 30: {2, 8}} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(nodes)
			node := f.nodes["n000"]
			store := &oneRowStore{fails: true}
			node.store, node.hasFreshFeeds = store, func() bool { return false }
			ctx, cancel := context.WithCancel(context.Background())
			go node.runRoster(ctx)
			time.Sleep(20 * time.Second)
			cancel()
			synctest.Wait()
			if store.reads < want[0] || store.reads > want[1] {
				t.Errorf("a node of %d read the rows %d times in 20 s, want %d to %d", nodes, store.reads, want[0], want[1])
			}
		})
	}
}
