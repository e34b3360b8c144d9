package leader

import (
	"context"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
)

// TestLeaseTakenSinceTheReadIsLeftAlone guards against two leaders of the same term: a
// node overwrote the lease of another one whose notice came after it had read the row.
func TestLeaseTakenSinceTheReadIsLeftAlone(t *testing.T) {
	rows := newFakeRows()
	clock := func() time.Duration { return 10 * time.Second }
	first := New(client{rows, "a"}, "a", clock, eventlog.Discard())
	second := New(client{rows, "b"}, "b", clock, eventlog.Discard())
	eligible := func(mayLead func() bool) Eligibility {
		return Eligibility{MayLead: mayLead, Deference: func() time.Duration { return 0 }, HighestTerm: func() int64 { return 0 }}
	}
	// The second node asks whether it may lead between its read and its write.
	_, err := second.step(context.Background(), eligible(func() bool {
		if _, err := first.step(context.Background(), eligible(func() bool { return true })); err != nil {
			t.Fatal(err)
		}
		second.ObserveLease(*first.Notice())
		return true
	}))
	if err != nil {
		t.Fatal(err)
	}
	if _, leads := first.Leads(); !leads {
		t.Error("the first node does not lead, want it to")
	}
	if term, leads := second.Leads(); leads {
		t.Errorf("the second node leads with term %d, want only the first one", term)
	}
	if stored, err := decodeRow(rows.row); err != nil || stored.Holder != first.holder {
		t.Errorf("got row of %q and error %v, want the first node's", stored.Holder, err)
	}
}
