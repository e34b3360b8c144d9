package route

import (
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
)

var waitStart = time.Date(2026, 12, 5, 17, 0, 0, 0, time.UTC)

// TestLatestEndOfWaitsCounts verifies that of several waits the latest end counts, and
// that no wait is longer than the bound.
func TestLatestEndOfWaitsCounts(t *testing.T) {
	host := hostlist.Host{Name: "a", Address: "a:1", BootID: "1"}
	w := NewHostWaits()
	for _, step := range []struct {
		after, asked, end time.Duration
		changed           bool
	}{
		{0, 3 * time.Second, 3 * time.Second, true},
		{time.Second, time.Second, 3 * time.Second, false},
		{2 * time.Second, 2 * time.Second, 4 * time.Second, true},
		{3 * time.Second, 1 << 62, 3*time.Second + endpoint.MaxWait, true},
	} {
		until, changed := w.Observe(host, step.asked, waitStart.Add(step.after))
		if until.Sub(waitStart) != step.end || changed != step.changed || !w.End(host).Equal(until) {
			t.Errorf("after %v: got end %v and %t, want %v and %t", step.after, until.Sub(waitStart), changed, step.end, step.changed)
		}
	}
}

// TestWaitBelongsToOneLife guards against a restarted host that gets no calls because of
// what its former process said.
func TestWaitBelongsToOneLife(t *testing.T) {
	host := hostlist.Host{Name: "a", Address: "a:1", BootID: "1", State: hostlist.StateLive}
	w := NewHostWaits()
	w.Observe(host, 10*time.Second, waitStart)
	same := host
	same.Region = "moved in the list"
	if w.End(same).IsZero() {
		t.Error("the wait ended with a change of the list, want it to stay with the process")
	}
	for _, restarted := range []hostlist.Host{{Name: "a", Address: "a:1", BootID: "2"}, {Name: "a", Address: "a:2", BootID: "1"}} {
		if end := w.End(restarted); !end.IsZero() {
			t.Errorf("host %+v waits until %v, want no wait", restarted, end)
		}
		if !w.TakesTurn(restarted, waitStart) {
			t.Errorf("host %+v takes no calls, want all", restarted)
		}
	}
}

// TestHostIsFilledGraduallyAfterWait verifies the share of its turns that a host takes
// after its wait.
func TestHostIsFilledGraduallyAfterWait(t *testing.T) {
	host := hostlist.Host{Name: "a", Address: "a:1"}
	w := NewHostWaits()
	end, _ := w.Observe(host, time.Second, waitStart)
	last := 0
	for _, quarter := range []struct{ from, low, high int }{{0, 28, 31}, {500, 48, 51}, {1000, 68, 71}, {1500, 88, 91}, {2000, 100, 100}} {
		taken := 0
		for i := range 100 {
			if w.TakesTurn(host, end.Add(time.Duration(quarter.from+5*i)*time.Millisecond)) {
				taken++
			}
		}
		if taken < quarter.low || taken > quarter.high || taken <= last {
			t.Errorf("%d ms after the wait: took %d of 100 turns, want %d to %d", quarter.from, taken, quarter.low, quarter.high)
		}
		last = taken
	}
}
