package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

func jsonDecoder() Decoder {
	return Decoder{
		Configuration: func([]feed.Record) (*fleet.Configuration, error) { return nil, nil },
		Host: func(r feed.Record) (*fleet.Host, error) {
			host := &fleet.Host{}
			return host, json.Unmarshal(r.Value, host)
		},
	}
}

// TestHostThatSaidItLeavesGetsNothingNew guards against a host that is used again after
// it said in an answer that it leaves, because its registration says otherwise.
func TestHostThatSaidItLeavesGetsNothingNew(t *testing.T) {
	now := time.Unix(1000, 0)
	changes := 0
	view := &fleet.ViewHolder{}
	b := newViewBuilder(jsonDecoder(), view, eventlog.Discard(), func() { changes++ })
	state := func() string {
		switch host := view.Load().Host("a"); {
		case host == nil:
			return "none"
		case host.State == fleet.HostLeaving:
			return "leaving"
		default:
			return "ready"
		}
	}
	check := func(step, want string) {
		t.Helper()
		if got := state(); got != want {
			t.Errorf("%s: got %s, want %s", step, got, want)
		}
	}
	b.applyHosts([]feed.Record{stateRecord("a", 1, 1, fleet.HostReady)}, 1, time.Time{}, now)
	life := view.Load().Host("a")
	check("registered", "ready")

	before := changes
	b.hostSaysLeaving(life, "r1", now)
	check("said so", "leaving")
	if changes != before+1 {
		t.Errorf("the planner was told %d times, want once", changes-before)
	}
	b.hostSaysLeaving(life, "r2", now)
	b.hostSaysLeaving(life, "r3", now)
	if changes != before+1 {
		t.Errorf("the planner was told %d times after two more answers, want once", changes-before)
	}

	b.applyHosts([]feed.Record{stateRecord("a", 2, 1, fleet.HostReady)}, 2, time.Time{}, now.Add(time.Second))
	check("registered again in the same life", "leaving")
	b.applyHosts([]feed.Record{{Key: "a", Version: 3, Deleted: true}}, 3, time.Time{}, now.Add(2*time.Second))
	b.applyHosts([]feed.Record{stateRecord("a", 4, 1, fleet.HostReady)}, 4, time.Time{}, now.Add(3*time.Second))
	check("lapsed and back", "leaving")
	b.applyRestoredHosts([]feed.Record{stateRecord("a", 1, 1, fleet.HostReady)}, 1, now.Add(4*time.Second))
	b.applyDeferredHosts(now.Add(20 * time.Second))
	check("the store came back from an older copy", "leaving")

	b.applyHosts([]feed.Record{stateRecord("a", 9, 2, fleet.HostReady)}, 9, time.Time{}, now.Add(30*time.Second))
	check("new life", "ready")
	b.hostSaysLeaving(life, "r4", now.Add(31*time.Second))
	check("late answer of the former life", "ready")
}

// TestWordOfUnregisteredHostIsKept verifies that an answer counts also if it comes before
// the host's registration.
func TestWordOfUnregisteredHostIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	view := &fleet.ViewHolder{}
	b := newViewBuilder(jsonDecoder(), view, eventlog.Discard(), func() {})
	b.hostSaysLeaving(&fleet.Host{ID: "a", Started: time.UnixMilli(1)}, "r", now)
	for i := range 2 * maxSaidLeaving {
		b.hostSaysLeaving(&fleet.Host{ID: "other" + time.Duration(i).String(), Started: time.UnixMilli(1)}, "r", now.Add(-time.Second))
	}
	if len(b.said) > maxSaidLeaving {
		t.Errorf("%d hosts are remembered, want at most %d", len(b.said), maxSaidLeaving)
	}
	b.applyHosts([]feed.Record{stateRecord("a", 1, 1, fleet.HostReady)}, 1, time.Time{}, now)
	if host := view.Load().Host("a"); host == nil || host.State != fleet.HostLeaving {
		t.Errorf("got host %+v, want it leaving", host)
	}
}
