package leader

import (
	"encoding/json"
	"math"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
)

// overwrite replaces the value of the leader's row as another writer does.
func (f *fakeRows) overwrite(value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.row = table.Row{Key: rowKey, Version: f.version, Value: json.RawMessage(value)}
}

// TestUnusableRowIsReplaced guards against fleets that never get a leader again, because another writer has written the
// leader's row.
func TestUnusableRowIsReplaced(t *testing.T) {
	term := func(n int64) string { return `{"holder":"other","term":` + strconv.FormatInt(n, 10) + `,"renewals":1}` }
	for name, value := range map[string]string{
		"empty": "", "not JSON": "\xff\x00", "list": "[]", "null": "null", "text for number": `{"holder":"other","term":"5"}`, "number too large": `{"holder":"other","term":1e400}`,
		"no fields": "{}", "term 0": term(0), "largest term": term(math.MaxInt64), "term at the limit": term(MaxTerm), "largest usable term": term(MaxTerm - 2), "negative term": term(-7), "lowest term": term(math.MinInt64), "other holder": term(40),
	} {
		for _, when := range []string{"before the start", "as a node begins to lead", "while a node leads"} {
			t.Run(name+" "+when, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rows := newFakeRows()
					if when == "before the start" {
						rows.overwrite(value)
					}
					e := newElectionOver(rows, nil, "a", "b", "c")
					defer e.stop()
					former := int64(0)
					switch when {
					case "as a node begins to lead":
						var first string
						first, former, _ = e.waitForLeader(t, 0, 10*time.Second)
						rows.overwrite(value)
						rows.setUnreachable(first, true)
					case "while a node leads":
						_, former, _ = e.waitForLeader(t, 0, 10*time.Second)
						time.Sleep(time.Second)
						rows.overwrite(value)
						time.Sleep(renewInterval + 100*time.Millisecond)
					}
					leader, got, _ := e.waitForLeader(t, former, 10*time.Second)
					if got > MaxTerm {
						t.Errorf("got term %d, want at most %d", got, int64(MaxTerm))
					}
					e.rows.setUnreachable(leader, true)
					if _, next, _ := e.waitForLeader(t, got, 10*time.Second); next <= got {
						t.Errorf("got term %d after term %d, want a higher one", next, got)
					}
				})
			})
		}
	}
}

// TestUnusableRowIsNoReleasedLease guards against two leaders: a row without fields looked like that of a released lease.
func TestUnusableRowIsNoReleasedLease(t *testing.T) {
	for _, value := range []string{"", "null", "{}", `{"holder":""}`} {
		t.Run(value, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newElection("a", "b")
				defer e.stop()
				for name := range e.candidates {
					e.silence(name) // the nodes know of each other's leases from the row only
				}
				leader, _, _ := e.waitForLeader(t, 0, 10*time.Second)
				time.Sleep(time.Second)
				e.rows.setUnreachable(leader, true)
				e.rows.overwrite(value)
				for range 1000 {
					if leaders := e.leaders(); len(leaders) > 1 {
						t.Fatalf("got leaders %v, want at most one", leaders)
					}
					time.Sleep(10 * time.Millisecond)
				}
				if len(e.leaders()) != 1 {
					t.Error("got no leader after 10 s, want one")
				}
			})
		})
	}
}
