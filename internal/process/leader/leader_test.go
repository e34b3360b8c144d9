package leader

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
)

// fakeRows is a row store with faults.
type fakeRows struct {
	mu      sync.Mutex
	row     table.Row
	version table.Version
	down    map[string]bool
	lose    int
	calls   int
}

// client is one node's access to the rows.
type client struct {
	*fakeRows
	name string
}

var errDown = errors.New("down")

func (c client) Get(context.Context, string) (table.Row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.down[c.name] {
		return table.Row{}, errDown
	}
	return c.row, nil
}

func (c client) Put(_ context.Context, key string, expect table.Version, value json.RawMessage) (table.Version, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.down[c.name] {
		return 0, errDown
	}
	if c.row.Version != expect {
		return 0, ErrConflict
	}
	c.version++
	c.row = table.Row{Key: key, Version: c.version, Value: value}
	if c.lose > 0 {
		c.lose--
		return 0, errDown
	}
	return c.version, nil
}

func (f *fakeRows) setDown(name string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[name] = down
}

func (f *fakeRows) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// election runs candidates that exchange signs every 100 ms unless cut.
type election struct {
	rows       *fakeRows
	candidates map[string]*Candidate
	cancel     map[string]context.CancelFunc
	mu         sync.Mutex
	cut        map[string]bool
}

func newElection(names ...string) *election {
	e := &election{rows: &fakeRows{down: map[string]bool{}}, candidates: map[string]*Candidate{}, cancel: map[string]context.CancelFunc{}, cut: map[string]bool{}}
	started := time.Now()
	for _, name := range names {
		e.candidates[name] = New(client{e.rows, name}, name, func() time.Duration { return time.Since(started) + time.Second }, eventlog.Discard())
	}
	for _, name := range names {
		ctx, cancel := context.WithCancel(context.Background())
		e.cancel[name] = cancel
		go e.candidates[name].Run(ctx, func() bool { return true })
		go e.exchange(ctx, name)
	}
	return e
}

func (e *election) exchange(ctx context.Context, from string) {
	for ctx.Err() == nil {
		e.mu.Lock()
		cut := e.cut[from]
		e.mu.Unlock()
		if sign := e.candidates[from].Sign(); sign != nil && !cut {
			for name, c := range e.candidates {
				if name != from {
					c.Heard(*sign)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (e *election) stop() {
	for _, cancel := range e.cancel {
		cancel()
	}
}

// leaders returns who leads, with the terms.
func (e *election) leaders() map[string]int64 {
	out := map[string]int64{}
	for name, c := range e.candidates {
		if term, leads := c.Leads(); leads {
			out[name] = term
		}
	}
	return out
}

// watch checks at every 10 ms that at most one node leads and returns when
// somebody leads with a term over the given one.
func (e *election) watch(t *testing.T, over int64, limit time.Duration) (string, int64, time.Duration) {
	t.Helper()
	started := time.Now()
	for time.Since(started) < limit {
		leaders := e.leaders()
		if len(leaders) > 1 {
			t.Fatalf("two leaders: %v", leaders)
		}
		for name, term := range leaders {
			if term > over {
				return name, term, time.Since(started)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("nobody leads with a term over %d after %v", over, limit)
	return "", 0, 0
}

func TestOneLeaderAndNextToNoCallsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection("a", "b", "c", "d", "e")
		defer e.stop()
		e.watch(t, 0, 2*time.Second)
		time.Sleep(time.Second)
		before := e.rows.count()
		time.Sleep(30 * time.Second)
		// A renewal each 600 ms, whatever the number of nodes.
		if calls := e.rows.count() - before; calls > 30*1000/600+2 {
			t.Errorf("%d calls in 30 s with five nodes", calls)
		}
	})
}

// TestFailover plays each way in which a leader goes away. A new one follows
// within the validity and a second, and never beside the old one.
func TestFailover(t *testing.T) {
	for name, harm := range map[string]func(e *election, leader string){
		"killed":             func(e *election, leader string) { e.cancel[leader]() },
		"cut from the store": func(e *election, leader string) { e.rows.setDown(leader, true) },
		"cut from all":       func(e *election, leader string) { e.rows.setDown(leader, true); e.silence(leader) },
		"released by a stop": func(e *election, leader string) { _ = e.candidates[leader].Release(context.Background()) },
		"stopped and silent": func(e *election, leader string) { e.cancel[leader](); e.silence(leader) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newElection("a", "b", "c")
				defer e.stop()
				leader, term, _ := e.watch(t, 0, 2*time.Second)
				time.Sleep(5 * time.Second)
				harm(e, leader)
				next, _, took := e.watch(t, term, 10*time.Second)
				if next == leader {
					t.Errorf("%s leads again", leader)
				}
				if most := validity + takeoverMargin + time.Second; took > most {
					t.Errorf("failover took %v, want at most %v", took, most)
				}
			})
		})
	}
}

func (e *election) silence(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut[name] = true
}

// TestSilentLeaderThatRenewsKeepsItsLease holds that a cut between nodes
// alone takes nothing from a leader that the store knows.
func TestSilentLeaderThatRenewsKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection("a", "b", "c")
		defer e.stop()
		leader, term, _ := e.watch(t, 0, 2*time.Second)
		e.silence(leader)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if got := e.leaders(); len(got) > 1 {
				t.Fatalf("two leaders: %v", got)
			}
		}
		if got := e.leaders(); got[leader] != term {
			t.Errorf("leaders %v after a cut between nodes, want %s with term %d", got, leader, term)
		}
	})
}

// TestLostAnswersOfRenewalsDoNotEndALease holds that a leader whose renewal
// was done without an answer goes on.
func TestLostAnswersOfRenewalsDoNotEndALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection("a", "b")
		defer e.stop()
		leader, term, _ := e.watch(t, 0, 2*time.Second)
		for range 5 {
			e.rows.mu.Lock()
			e.rows.lose = 1
			e.rows.mu.Unlock()
			time.Sleep(3 * time.Second)
		}
		if got := e.leaders(); got[leader] != term {
			t.Errorf("leaders %v, want %s with term %d", got, leader, term)
		}
	})
}
