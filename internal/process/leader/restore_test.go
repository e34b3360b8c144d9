package leader

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
)

// restore replaces the leader's row by one of an older copy.
func (f *fakeRows) restore(r row, version table.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	value, _ := json.Marshal(r)
	f.row, f.version, f.era = table.Row{Key: rowKey, Version: version, Value: value}, version, f.era+1
	if r == (row{}) {
		f.row = table.Row{Key: rowKey}
	}
}

// TestTermRisesAfterRestore guards against terms, and so group epochs, that are given
// out twice because the store came back from a copy with an older row.
func TestTermRisesAfterRestore(t *testing.T) {
	for name, test := range map[string]struct {
		copied      func(leader string) row
		highestTerm int64
	}{
		"row of a former leader":       {func(string) row { return row{Holder: "gone/1", Term: 1} }, 0},
		"no row":                       {func(string) row { return row{} }, 0},
		"released row":                 {func(string) row { return row{Term: 1} }, 0},
		"row of this node, older term": {func(leader string) row { return row{Holder: leader, Term: 1} }, 0},
		"hosts know a higher term":     {func(string) row { return row{Holder: "gone/1", Term: 1} }, 40},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newElection("a", "b", "c")
				defer e.stop()
				_, term, _ := e.waitForLeader(t, 0, 10*time.Second)
				for range 2 { // the term rises to 3
					for name := range e.leaders() {
						e.rows.setUnreachable(name, true)
						_, term, _ = e.waitForLeader(t, term, 20*time.Second)
						e.rows.setUnreachable(name, false)
					}
				}
				time.Sleep(time.Second)
				var holder string
				for name := range e.leaders() {
					holder = e.candidates[name].holder
				}
				e.highestTerm = test.highestTerm
				e.rows.restore(test.copied(holder), 2)
				restored := time.Now()
				for time.Since(restored) < 15*time.Second {
					time.Sleep(50 * time.Millisecond)
					leaders := e.leaders()
					if len(leaders) > 1 {
						t.Fatalf("%v after the restore several nodes lead: %v", time.Since(restored), leaders)
					}
				}
				leaders := e.leaders()
				if len(leaders) != 1 {
					t.Fatalf("got leaders %v 15 s after the restore, want one", leaders)
				}
				for name, got := range leaders {
					if got <= max(term, test.highestTerm) {
						t.Errorf("%s leads with term %d, want one above %d", name, got, max(term, test.highestTerm))
					}
				}
			})
		})
	}
}

// TestLeaderGoesOnAfterRestoreOfItsOwnRow verifies that a leader whose row is in the
// copy keeps its lease.
func TestLeaderGoesOnAfterRestoreOfItsOwnRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection("a", "b")
		defer e.stop()
		name, term, _ := e.waitForLeader(t, 0, 10*time.Second)
		time.Sleep(5 * time.Second)
		e.rows.restore(row{Holder: e.candidates[name].holder, Term: term, Renewals: 1}, 3)
		time.Sleep(10 * time.Second)
		if leaders := e.leaders(); len(leaders) != 1 || leaders[name] != term {
			t.Errorf("got leaders %v, want %s with term %d", leaders, name, term)
		}
	})
}

// TestWriteOnAnotherEraIsNoLease guards against two leaders: a version that was given
// out twice lets a write replace the row of another leader.
func TestWriteOnAnotherEraIsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection("a", "b")
		defer e.stop()
		name, term, _ := e.waitForLeader(t, 0, 10*time.Second)
		time.Sleep(3 * time.Second)
		e.rows.mu.Lock()
		version := e.rows.version
		e.rows.mu.Unlock()
		e.rows.restore(row{Holder: "other/1", Term: term + 5}, version)
		time.Sleep(700 * time.Millisecond)
		if leaders := e.leaders(); len(leaders) > 0 {
			t.Errorf("%v lead after a write on the row of another leader, want none", leaders)
		}
		time.Sleep(15 * time.Second)
		for holder, got := range e.leaders() {
			if got <= term {
				t.Errorf("%s leads with term %d, want one above %d", holder, got, term)
			}
		}
		if !strings.HasPrefix(e.candidates[name].holder, name) || len(e.leaders()) != 1 {
			t.Errorf("got leaders %v, want one", e.leaders())
		}
	})
}
