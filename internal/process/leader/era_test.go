package leader

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

// eraTest is a leader whose lease runs and another node, on a store that can be restored.
type eraTest struct {
	rows          *fakeRows
	now           time.Duration
	leader, other *Candidate
}

func newEraTest() *eraTest {
	e := &eraTest{rows: newFakeRows(), now: 10 * time.Second}
	e.leader = New(client{e.rows, "a"}, "a", e.clock, eventlog.Discard())
	e.other = New(client{e.rows, "b"}, "b", e.clock, eventlog.Discard())
	return e
}

func (e *eraTest) clock() time.Duration { return e.now }

func (e *eraTest) step(t *testing.T, c *Candidate, eligibility Eligibility) {
	t.Helper()
	if _, err := c.step(context.Background(), eligibility); err != nil {
		t.Fatal(err)
	}
}

// checkOneLeads verifies that the other node waits for the end of the lease that the store
// has forgotten, and takes it then.
func (e *eraTest) checkOneLeads(t *testing.T) {
	t.Helper()
	if _, leads := e.leader.Leads(); !leads {
		t.Fatal("the first node does not lead, want its lease to run")
	}
	if term, leads := e.other.Leads(); leads {
		t.Errorf("the other node leads with term %d beside the first one", term)
	}
	for range 2 {
		e.now += leaseTTL + 2*takeoverMargin
		e.step(t, e.other, eligible())
	}
	if _, leads := e.other.Leads(); !leads {
		t.Error("the other node does not lead after the lease's end, want it to")
	}
}

// TestAbsentRowOfAnotherEraIsNoLease guards against two leaders: a node that had read that
// there is no row wrote one after another node's lease, which the store had forgotten.
func TestAbsentRowOfAnotherEraIsNoLease(t *testing.T) {
	e := newEraTest()
	eligibility := eligible()
	eligibility.MayLead = func() bool { // between the read and the write
		e.step(t, e.leader, eligible())
		e.rows.restore(row{}, 0)
		return true
	}
	e.step(t, e.other, eligibility)
	e.checkOneLeads(t)
}

// TestNewNodeWaitsInAnotherEra guards against two leaders: a node that has just started
// took the lease that an older copy shows as free.
func TestNewNodeWaitsInAnotherEra(t *testing.T) {
	for name, copied := range map[string]row{"no row": {}, "released row": {Term: 1}} {
		t.Run(name, func(t *testing.T) {
			e := newEraTest()
			e.step(t, e.leader, eligible())
			e.rows.restore(copied, 1)
			e.step(t, e.other, eligible())
			e.checkOneLeads(t)
		})
	}
}

// TestLostWriteOnAnotherEraIsNoLease guards against a leader of a former era that goes on
// with its lower term, because the answer to its write over another leader's row was lost.
func TestLostWriteOnAnotherEraIsNoLease(t *testing.T) {
	e := newEraTest()
	e.step(t, e.leader, eligible())
	e.now += leaseTTL + takeoverMargin // it is cut off from the store meanwhile
	e.rows.restore(row{Holder: "other/1", Term: 5}, 1)
	e.rows.lostReplies = 1
	if _, err := e.leader.step(context.Background(), eligible()); err == nil {
		t.Fatal("got no error from a renewal whose answer was lost")
	}
	for range 3 {
		e.step(t, e.leader, eligible())
		if term, leads := e.leader.Leads(); leads {
			t.Fatalf("the node leads with term %d after a write over the row of another leader", term)
		}
	}
}

// lateWriter is a client whose next write is carried out only when late is called.
type lateWriter struct {
	client
	late func()
}

func (w *lateWriter) Put(ctx context.Context, key string, expect position.Position, value json.RawMessage) (position.Position, error) {
	if w.late != nil {
		return w.client.Put(ctx, key, expect, value)
	}
	w.late = func() { _, _ = w.client.Put(ctx, key, expect, value) } // nobody gets the answer
	return position.Position{}, errUnreachable
}

// TestLateWriteInAnotherEraIsNoLease guards against two leaders: a write without an answer
// was carried out after the store had come back from a copy, over the row of another
// leader, and the node believed its own row.
func TestLateWriteInAnotherEraIsNoLease(t *testing.T) {
	e := newEraTest()
	e.rows.overwrite(`{"holder":"","term":1}`)
	writer := &lateWriter{client: client{e.rows, "b"}}
	e.other = New(writer, "b", e.clock, eventlog.Discard())
	if _, err := e.other.step(context.Background(), eligible()); err == nil {
		t.Fatal("got no error from a write without an answer")
	}
	e.rows.restore(row{}, 0)
	e.step(t, e.leader, eligible())
	e.now += leaseTTL + 2*takeoverMargin
	e.step(t, e.leader, eligible())
	e.step(t, e.other, eligible()) // it learns of the era and of the leader
	writer.late()
	for range 3 {
		e.step(t, e.other, eligible())
	}
	e.checkOneLeads(t)
}
