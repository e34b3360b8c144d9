package leader

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

// fakeRows is an in-memory row store with fault injection.
type fakeRows struct {
	mu      sync.Mutex
	row     table.Row
	version table.Version
	era     int64
	// unreachable holds the names of the nodes whose calls fail.
	unreachable map[string]bool
	// lostReplies is the number of next writes that are done but return an error.
	lostReplies int
	calls       int
}

func newFakeRows() *fakeRows { return &fakeRows{unreachable: map[string]bool{}} }

// client is one node's connection to the rows.
type client struct {
	*fakeRows
	name string
}

var errUnreachable = errors.New("table service is unreachable")

func (c client) Get(context.Context, string) (table.Row, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.unreachable[c.name] {
		return table.Row{}, errUnreachable
	}
	current := c.row
	current.Era = c.era
	return current, nil
}

func (c client) Put(_ context.Context, key string, expect position.Position, value json.RawMessage) (position.Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.unreachable[c.name] {
		return position.Position{}, errUnreachable
	}
	if int64(c.row.Version) != expect.Version {
		return position.Position{}, ErrConflict
	}
	c.version++
	c.row = table.Row{Key: key, Version: c.version, Value: value}
	if c.lostReplies > 0 {
		c.lostReplies--
		return position.Position{}, errUnreachable
	}
	if c.era != expect.Era && expect.Version > 0 {
		return position.Position{}, ErrEraChanged
	}
	return position.Position{Era: c.era, Version: int64(c.version)}, nil
}

func (f *fakeRows) setUnreachable(name string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[name] = unreachable
}

func (f *fakeRows) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// election runs candidates that send each other notices every 100 ms unless
// silenced.
type election struct {
	rows       *fakeRows
	candidates map[string]*Candidate
	cancel     map[string]context.CancelFunc
	mu         sync.Mutex
	silenced   map[string]bool
	// deference is how long nodes defer to the others; it is not changed after the
	// start.
	deference map[string]time.Duration
	// highestTerm is the highest term that the nodes know from their hosts; it is not
	// changed after the start.
	highestTerm int64
}

func newElection(names ...string) *election { return newElectionWith(nil, names...) }

// newElectionWith returns an election in which the nodes with a deference wait for
// the others.
func newElectionWith(deference map[string]time.Duration, names ...string) *election {
	return newElectionOver(newFakeRows(), deference, names...)
}

// newElectionOver returns an election over rows that may hold one already.
func newElectionOver(rows *fakeRows, deference map[string]time.Duration, names ...string) *election {
	e := &election{deference: deference, rows: rows, candidates: map[string]*Candidate{}, cancel: map[string]context.CancelFunc{}, silenced: map[string]bool{}}
	started := time.Now()
	for _, name := range names {
		e.candidates[name] = New(client{e.rows, name}, name, func() time.Duration { return time.Since(started) + time.Second }, eventlog.Discard())
	}
	for _, name := range names {
		ctx, cancel := context.WithCancel(context.Background())
		e.cancel[name] = cancel
		go e.candidates[name].Run(ctx, Eligibility{
			MayLead:   func() bool { return true },
			Deference: func() time.Duration { return e.deference[name] },

			HighestTerm: func() int64 { return e.highestTerm },
		})
		go e.sendNotices(ctx, name)
	}
	return e
}

// sendNotices passes the notices of a node to all other nodes.
func (e *election) sendNotices(ctx context.Context, from string) {
	for ctx.Err() == nil {
		e.mu.Lock()
		silenced := e.silenced[from]
		e.mu.Unlock()
		if notice := e.candidates[from].Notice(); notice != nil && !silenced {
			for name, c := range e.candidates {
				if name != from {
					c.ObserveLease(*notice)
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

// leaders returns the terms of the leading nodes by name.
func (e *election) leaders() map[string]int64 {
	out := map[string]int64{}
	for name, c := range e.candidates {
		if term, leads := c.Leads(); leads {
			out[name] = term
		}
	}
	return out
}

// waitForLeader waits until a node leads with a term above afterTerm, and returns
// its name, its term and the time waited. It checks every 10 ms that at most one
// node leads.
func (e *election) waitForLeader(t *testing.T, afterTerm int64, timeout time.Duration) (string, int64, time.Duration) {
	t.Helper()
	started := time.Now()
	for time.Since(started) < timeout {
		leaders := e.leaders()
		if len(leaders) > 1 {
			t.Fatalf("got leaders %v, want at most one", leaders)
		}
		for name, term := range leaders {
			if term > afterTerm {
				return name, term, time.Since(started)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("got no leader with a term above %d within %v, want one", afterTerm, timeout)
	return "", 0, 0
}

// TestOnlyLeaderCallsTableService verifies that the number of calls does not grow
// with the number of nodes.
func TestOnlyLeaderCallsTableService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection("a", "b", "c", "d", "e")
		defer e.stop()
		e.waitForLeader(t, 0, 2*time.Second)
		time.Sleep(time.Second)
		before := e.rows.callCount()
		time.Sleep(30 * time.Second)
		// One renewal every 600 ms by the leader alone.
		if calls := e.rows.callCount() - before; calls > 30*1000/600+2 {
			t.Errorf("got %d calls in 30 s with five nodes, want at most one every 600 ms and 2 more", calls)
		}
	})
}

// TestFailover verifies for each way in which a leader can fail or stop that a
// new one follows within the sum of leaseTTL, takeoverMargin and one second, and
// that two nodes never lead at the same time.
func TestFailover(t *testing.T) {
	for name, fault := range map[string]func(e *election, leader string){
		"killed":                               func(e *election, leader string) { e.cancel[leader]() },
		"cut off from the table service":       func(e *election, leader string) { e.rows.setUnreachable(leader, true) },
		"cut off from table service and nodes": func(e *election, leader string) { e.rows.setUnreachable(leader, true); e.silence(leader) },
		"lease released for a stop":            func(e *election, leader string) { _ = e.candidates[leader].Release(context.Background()) },
		"killed and silenced":                  func(e *election, leader string) { e.cancel[leader](); e.silence(leader) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newElection("a", "b", "c")
				defer e.stop()
				leader, term, _ := e.waitForLeader(t, 0, 2*time.Second)
				time.Sleep(5 * time.Second)
				fault(e, leader)
				next, _, elapsed := e.waitForLeader(t, term, 10*time.Second)
				if next == leader {
					t.Errorf("got %s as leader again, want another node", leader)
				}
				if limit := leaseTTL + takeoverMargin + time.Second; elapsed > limit {
					t.Errorf("failover took %v, want at most %v", elapsed, limit)
				}
			})
		})
	}
}

// silence stops the notices of a node.
func (e *election) silence(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silenced[name] = true
}

// TestSilentLeaderThatRenewsKeepsItsLease verifies that a leader whose notices
// reach no other node keeps its lease as long as it renews it in the table service.
func TestSilentLeaderThatRenewsKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection("a", "b", "c")
		defer e.stop()
		leader, term, _ := e.waitForLeader(t, 0, 2*time.Second)
		e.silence(leader)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if got := e.leaders(); len(got) > 1 {
				t.Fatalf("got leaders %v, want at most one", got)
			}
		}
		if got := e.leaders(); got[leader] != term {
			t.Errorf("got leaders %v after silencing the leader, want %s with term %d", got, leader, term)
		}
	})
}

// TestLostRenewalRepliesDoNotEndLease verifies that a leader keeps its lease if
// renewals succeed but their replies are lost.
func TestLostRenewalRepliesDoNotEndLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection("a", "b")
		defer e.stop()
		leader, term, _ := e.waitForLeader(t, 0, 2*time.Second)
		for range 5 {
			e.rows.mu.Lock()
			e.rows.lostReplies = 1
			e.rows.mu.Unlock()
			time.Sleep(3 * time.Second)
		}
		if got := e.leaders(); got[leader] != term {
			t.Errorf("got leaders %v, want %s with term %d", got, leader, term)
		}
	})
}

// TestBetterSuitedNodeLeads verifies that a node which defers takes the lease only
// once no other node has taken it for its deference, and until then makes no call
// to the table service. It guards against a past failure: in a fleet of 295 nodes
// the smallest ones led, too slow for the orders of 925 hosts, and all of them read
// the row whenever the lease was free.
func TestBetterSuitedNodeLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deference = 1500 * time.Millisecond
		e := newElectionWith(map[string]time.Duration{"small-1": deference, "small-2": deference}, "small-1", "small-2", "large-1", "large-2")
		defer e.stop()
		first, term, _ := e.waitForLeader(t, 0, 2*time.Second)
		if !strings.HasPrefix(first, "large") {
			t.Fatalf("%s leads at first, want a large node", first)
		}
		e.cancel[first]()
		second, term, waited := e.waitForLeader(t, term, 5*time.Second)
		if !strings.HasPrefix(second, "large") || waited > leaseTTL+time.Second {
			t.Fatalf("%s leads after %v, want the other large node within %v", second, waited, leaseTTL+time.Second)
		}
		e.cancel[second]()
		third, _, waited := e.waitForLeader(t, term, 10*time.Second)
		if !strings.HasPrefix(third, "small") || waited > leaseTTL+deference+time.Second {
			t.Errorf("%s leads after %v, want a small node within %v", third, waited, leaseTTL+deference+time.Second)
		}
	})
}
