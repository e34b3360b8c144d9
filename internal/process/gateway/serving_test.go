package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/version/fleet"
)

// registerHost writes a registration of the host at the fixture's time.
func (f *evacuationFixture) registerHost(h fleet.Host) *fleet.Host {
	value, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	f.builder.applyHosts([]feed.Record{{Key: h.ID, Version: 1, Value: value}}, 1, time.Time{}, f.now)
	return f.view.Load().Host(h.ID)
}

// TestHostsAreColdUntilTheirTime guards against cold hosts that count as warm: by the age of
// a copy that was confirmed late, or because a health answer is not heeded.
func TestHostsAreColdUntilTheirTime(t *testing.T) {
	f := newEvacuationFixture()
	f.builder.copyConfirmed(f.now.Add(-2 * time.Second))
	host := f.registerHost(fleet.Host{ID: "a", ColdLeft: 5 * time.Second})
	if want := f.now.Add(3 * time.Second); !host.WarmAt.Equal(want) {
		t.Errorf("registration in a copy that is 2 s old: got warm at %v, want %v", host.WarmAt, want)
	}
	f.builder.hostSaysCold("a", 8*time.Second, f.now)
	f.builder.hostSaysCold("a", time.Second, f.now)
	f.builder.hostSaysCold("gone", time.Second, f.now)
	if got, want := f.view.Load().Host("a").WarmAt, f.now.Add(8*time.Second); !got.Equal(want) {
		t.Errorf("after health answers: got warm at %v, want %v", got, want)
	}
	if host := f.registerHost(fleet.Host{ID: "a"}); !host.WarmAt.IsZero() {
		t.Errorf("registered as warm: got warm at %v, want at once", host.WarmAt)
	}
}

// TestHostsThatHaveJustBegunToServeAreKnown guards against groups that all nodes fill at once
// because they have just opened or are not evacuated any more, and against limits for groups
// that have served all along.
func TestHostsThatHaveJustBegunToServeAreKnown(t *testing.T) {
	const ready, open = fleet.MemberReady, fleet.MemberOpen
	head := func(group string, state fleet.MemberState, started int64) fleet.Host {
		return fleet.Host{ID: "a", FailureDomain: "z", Started: time.UnixMilli(started), Group: fleet.Membership{Name: group, Epoch: 1, State: state}}
	}
	for name, test := range map[string]struct {
		before, after fleet.Host
		between       func(f *evacuationFixture)
		want          bool
	}{
		"opens":                   {head("g", ready, 1), head("g", open, 1), nil, true},
		"was open":                {head("g", open, 1), head("g", open, 1), nil, false},
		"another group":           {head("g", open, 1), head("h", open, 1), nil, true},
		"another life":            {head("g", open, 1), head("g", open, 2), nil, true},
		"lapsed and came back":    {head("g", open, 1), head("g", open, 1), func(f *evacuationFixture) { f.remove("a") }, false},
		"lapsed, back as another": {head("g", open, 1), head("g", open, 2), func(f *evacuationFixture) { f.remove("a") }, true},
		"evacuation has ended":    {head("g", open, 1), head("g", open, 1), func(f *evacuationFixture) { f.write("z"); f.delete("z") }, true},
		"evacuation of another":   {head("g", open, 1), head("g", open, 1), func(f *evacuationFixture) { f.write("y"); f.delete("y") }, false},
		"another writer in between": {head("g", open, 1), head("g", open, 1), func(f *evacuationFixture) {
			f.builder.applyHosts([]feed.Record{{Key: "a", Version: 1, Value: []byte("{")}}, 1, time.Time{}, f.now)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newEvacuationFixture()
			if host := f.registerHost(test.before); !host.ServingSince.IsZero() {
				t.Fatalf("in the first view: got serving since %v, want that it is not known", host.ServingSince)
			}
			f.now = f.now.Add(time.Second)
			if test.between != nil {
				test.between(f)
			}
			if got := f.registerHost(test.after).ServingSince.Equal(f.now); got != test.want {
				t.Errorf("got just serving %t, want %t", got, test.want)
			}
		})
	}
}

// remove removes the registration of a host.
func (f *evacuationFixture) remove(id string) {
	f.builder.applyHosts([]feed.Record{{Key: id, Version: 1, Deleted: true}}, 1, time.Time{}, f.now)
}
