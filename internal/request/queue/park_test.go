package queue

import (
	"testing"
	"time"
)

// TestParkedRequestKeepsItsAccount guards against removing an account whose only
// request is parked because it avoids every free group. Unparking the request
// would then reorder the account heaps at a stale index and panic.
func TestParkedRequestKeepsItsAccount(t *testing.T) {
	now := time.Unix(0, 0)
	s := New()
	s.SetRanks([]Rank{{Name: "r", FirstTokenTarget: time.Minute, QueueBound: 10}}, now)
	s.SetGroups([]Group{{Name: "g1", Slots: 1}}, now)
	if refused := s.Offer(Request{ID: "a", Account: "x", Rank: "r", CostTokens: 10, Avoid: []string{"g1"}, Resumed: true}, now); refused != nil {
		t.Fatal(refused)
	}
	if d := s.Next(now); len(d.Assign) != 0 {
		t.Fatalf("got assignments %+v to an avoided group, want none", d.Assign)
	}
	if refused := s.Offer(Request{ID: "b", Account: "y", Rank: "r", CostTokens: 10}, now); refused != nil {
		t.Fatal(refused)
	}
	s.Next(now)
	s.SetGroups([]Group{{Name: "g1", Slots: 1}, {Name: "g2", Slots: 1}}, now)
	d := s.Next(now)
	if len(d.Assign) != 1 || d.Assign[0].Group != "g2" {
		t.Fatalf("got decisions %+v, want one assignment to g2", d)
	}
}
