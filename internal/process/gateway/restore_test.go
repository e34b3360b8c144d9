package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/version/fleet"
)

func stateRecord(id string, version int64, started int64, state fleet.HostState) feed.Record {
	value, _ := json.Marshal(fleet.Host{ID: id, Service: "s", Started: time.UnixMilli(started), State: state})
	return feed.Record{Key: id, Version: version, Value: value}
}

// TestOlderCopyUndoesNothing guards against hosts that come back into use, or leave it,
// because the store came back from a copy that is older than what was seen of them.
func TestOlderCopyUndoesNothing(t *testing.T) {
	const ready, leaving = fleet.HostReady, fleet.HostLeaving
	deletion := func(version int64) feed.Record { return feed.Record{Key: "a", Version: version, Deleted: true} }
	for name, test := range map[string]struct {
		// before is what the node sees first, copied what the older copy contains,
		// and after what is written after the restore, if anything.
		before []feed.Record
		copied feed.Record
		after  *feed.Record
		// want is what is known of the host at times after the restore.
		want map[time.Duration]string
	}{
		"left by its own word": {
			[]feed.Record{stateRecord("a", 1, 1, ready), stateRecord("a", 2, 1, leaving)}, stateRecord("a", 1, 1, ready), nil,
			map[time.Duration]string{0: "leaving", 2 * time.Second: "leaving"},
		},
		"left and removed": {
			[]feed.Record{stateRecord("a", 1, 1, leaving), deletion(3)}, stateRecord("a", 1, 1, ready), nil,
			map[time.Duration]string{0: "none", 2 * time.Second: "none", 5 * time.Second: "none"},
		},
		"removed, then registered again": {
			[]feed.Record{stateRecord("a", 1, 1, ready), deletion(3)}, stateRecord("a", 1, 1, ready), new(stateRecord("a", 5, 1, ready)),
			map[time.Duration]string{0: "none", time.Second: "ready"},
		},
		"new life at the same name": {
			[]feed.Record{stateRecord("a", 1, 1, leaving), deletion(3)}, stateRecord("a", 1, 2, ready), nil,
			map[time.Duration]string{0: "ready"},
		},
		"not in the copy, written again": {
			[]feed.Record{stateRecord("a", 1, 1, ready)}, deletion(1), new(stateRecord("a", 5, 1, ready)),
			map[time.Duration]string{0: "ready", 3 * time.Second: "ready"},
		},
		"not in the copy, gone": {
			[]feed.Record{stateRecord("a", 1, 1, ready)}, deletion(1), nil,
			map[time.Duration]string{0: "ready", 3 * time.Second: "none"},
		},
		"leaves after the restore": {
			[]feed.Record{stateRecord("a", 1, 1, ready)}, stateRecord("a", 1, 1, ready), new(stateRecord("a", 5, 1, leaving)),
			map[time.Duration]string{0: "ready", time.Second: "leaving", 3 * time.Second: "leaving"},
		},
		"leaves in the copy": {
			[]feed.Record{stateRecord("a", 1, 1, ready)}, stateRecord("a", 1, 1, leaving), nil,
			map[time.Duration]string{0: "leaving"},
		},
		"older life in the copy": {
			[]feed.Record{stateRecord("a", 1, 2, ready)}, stateRecord("a", 1, 1, leaving), nil,
			map[time.Duration]string{0: "ready"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, view := newTestBuilder()
			now := time.Unix(1e9, 0)
			for _, r := range test.before {
				b.applyHosts([]feed.Record{r}, r.Version, time.Time{}, now)
			}
			restored := now.Add(time.Second)
			b.applyRestoredHosts([]feed.Record{test.copied}, test.copied.Version, restored)
			for after := time.Duration(0); after <= 6*time.Second; after += 100 * time.Millisecond {
				now = restored.Add(after)
				if after == 500*time.Millisecond && test.after != nil {
					b.applyHosts([]feed.Record{*test.after}, test.after.Version, time.Time{}, now)
				}
				b.removeLapsedHosts(now)
				b.applyDeferredHosts(now)
				got := "none"
				if h := view.Load().Host("a"); h != nil && h.State == fleet.HostLeaving {
					got = "leaving"
				} else if h != nil {
					got = "ready"
				}
				if want, checked := test.want[after]; checked && got != want {
					t.Errorf("%v after the restore: got %s, want %s", after, got, want)
				}
			}
		})
	}
}

// TestOlderCopyRevertsNoConfiguration verifies that the configuration in force stays
// until a newer one is written.
func TestOlderCopyRevertsNoConfiguration(t *testing.T) {
	b, view := newTestBuilder()
	for _, revision := range []int64{5, 3, 5, 6} {
		b.applyConfiguration(configurationRecord(revision))
		if got, want := view.Load().Configuration.Revision, max(revision, 5); got != want {
			t.Errorf("after revision %d: got revision %d in force, want %d", revision, got, want)
		}
	}
}
