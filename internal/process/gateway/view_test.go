package gateway

import (
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
)

// TestRenewalKeepsTheView guards against a cost at every node that grows with renewals
// times hosts: a view was built again for registrations that did not change.
func TestRenewalKeepsTheView(t *testing.T) {
	b, view := newTestBuilder()
	now := time.Now()
	b.applyHosts([]feed.Record{hostRecord("a", 1), hostRecord("b", 1)}, 1, time.Time{}, now)
	before := view.Load()
	b.applyHosts([]feed.Record{hostRecord("a", 2), hostRecord("b", 3)}, 3, time.Time{}, now)
	if view.Load() != before {
		t.Error("renewals made a new view, want the former one")
	}
	b.applyHosts([]feed.Record{hostRecord("a", 4), {Key: "b", Version: 5, Deleted: true}}, 5, time.Time{}, now)
	if got := view.Load(); got.Host("a") == nil || got.Host("b") != nil || got.HostsVersion != 5 {
		t.Error("a removal beside a renewal did not reach the view")
	}
}

// BenchmarkRenewals measures what a node spends on the renewals of a fifth of a second in
// a fleet of 3,000 hosts.
func BenchmarkRenewals(b *testing.B) {
	builder, _ := newTestBuilder()
	var all []feed.Record
	for host := range tracedHosts {
		all = append(all, hostRecord(fmt.Sprintf("host-%04d", host), 1))
	}
	builder.applyHosts(all, 1, time.Time{}, time.Now())
	b.ReportAllocs()
	for b.Loop() {
		builder.applyHosts(all[:tracedRenewals/5], 2, time.Time{}, time.Now())
	}
}
