package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// departureFixture is a view of groups of the model "m", each of three hosts.
type departureFixture struct {
	builder *viewBuilder
	view    *fleet.ViewHolder
	version int64
	now     time.Time
}

func newDepartureFixture() *departureFixture {
	f := &departureFixture{view: &fleet.ViewHolder{}, now: time.Unix(1000, 0)}
	f.builder = newViewBuilder(jsonDecoder(), f.view, eventlog.Discard(), func() {})
	f.builder.configuration = &fleet.Configuration{Services: map[string]*fleet.Service{
		"s": {Name: "s", Engine: &fleet.Engine{Models: []fleet.Model{{Name: "m", Size: 3}}}},
	}}
	return f
}

// register writes a host's membership; a name of "" is none.
func (f *departureFixture) register(id, group string, rank int, state fleet.MemberState) {
	host := fleet.Host{ID: id, Service: "s", Started: time.UnixMilli(1), LoadedModel: "m"}
	if group != "" {
		host.Group = fleet.Membership{Name: group, Epoch: 7, Rank: rank, State: state}
	}
	value, err := json.Marshal(host)
	if err != nil {
		panic(err)
	}
	f.apply(feed.Record{Key: id, Value: value})
}

func (f *departureFixture) remove(id string) { f.apply(feed.Record{Key: id, Deleted: true}) }

func (f *departureFixture) apply(r feed.Record) {
	f.version++
	r.Version = f.version
	f.builder.applyHosts([]feed.Record{r}, f.version, time.Time{}, f.now)
}

func (f *departureFixture) takesRequests(head string) bool {
	host := f.view.Load().Host(head)
	return host != nil && host.IsOpenHead()
}

// TestGroupThatAMemberLeftTakesNoRequests guards against requests to a head that goes on
// after the leader could not reach it and has made its members leave: they stalled there.
func TestGroupThatAMemberLeftTakesNoRequests(t *testing.T) {
	for name, test := range map[string]struct {
		change func(f *departureFixture)
		want   bool
	}{
		"complete":                 {func(*departureFixture) {}, true},
		"member left":              {func(f *departureFixture) { f.register("b", "", 0, "") }, false},
		"member in another group":  {func(f *departureFixture) { f.register("b", "g2", 1, fleet.MemberJoining) }, false},
		"member registered again":  {func(f *departureFixture) { f.register("b", "g", 1, fleet.MemberReady) }, true},
		"registration lapsed":      {func(f *departureFixture) { f.remove("b") }, true},
		"member outside after it":  {func(f *departureFixture) { f.remove("b"); f.register("b", "", 0, "") }, false},
		"member back after it":     {func(f *departureFixture) { f.register("b", "", 0, ""); f.register("b", "g", 1, fleet.MemberReady) }, true},
		"place is held by another": {func(f *departureFixture) { f.register("x", "g", 1, fleet.MemberReady); f.register("x", "", 0, "") }, true},
		"no place of the group":    {func(f *departureFixture) { f.register("x", "g", 9, fleet.MemberReady); f.register("x", "", 0, "") }, true},
		"member left and is gone":  {func(f *departureFixture) { f.register("b", "", 0, ""); f.remove("b") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newDepartureFixture()
			f.register("a", "g", 0, fleet.MemberOpen)
			f.register("b", "g", 1, fleet.MemberReady)
			f.register("c", "g", 2, fleet.MemberReady)
			test.change(f)
			if got := f.takesRequests("a"); got != test.want {
				t.Errorf("the head takes requests: got %t, want %t", got, test.want)
			}
		})
	}
}

// TestOnlyHeadsWithoutDeparturesTakeRequests guards against groups that lack a member and
// take requests, and against complete ones that take none, after any registrations.
func TestOnlyHeadsWithoutDeparturesTakeRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newDepartureFixture()
		type place struct {
			group string
			rank  int
		}
		last, lost := map[string]place{}, map[place]bool{}
		registered := map[string]place{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("h", rapid.IntRange(0, 7).Draw(t, "host"))
			if rapid.IntRange(0, 4).Draw(t, "action") == 0 {
				f.remove(id)
				delete(registered, id)
			} else {
				to := place{rapid.SampledFrom([]string{"", "g1", "g2"}).Draw(t, "group"), rapid.IntRange(0, 2).Draw(t, "rank")}
				if to.group == "" {
					to.rank = 0
				}
				f.register(id, to.group, to.rank, fleet.MemberOpen)
				if from := last[id]; from.group != "" && from != to {
					lost[from] = true
				}
				last[id], registered[id] = to, to
			}
			held, groups := map[place]bool{}, map[string]bool{}
			for _, p := range registered {
				held[p], groups[p.group] = true, true
			}
			for p := range lost {
				if !groups[p.group] {
					delete(lost, p)
				}
			}
			for id, p := range last {
				if !groups[p.group] {
					delete(last, id)
				}
			}
			for id, p := range registered {
				want := p.group != "" && p.rank == 0
				for rank := 1; rank < 3; rank++ {
					other := place{p.group, rank}
					want = want && (held[other] || !lost[other])
				}
				if got := f.takesRequests(id); got != want {
					t.Fatalf("host %s at %v takes requests: got %t, want %t; registered %v, left %v", id, p, got, want, registered, lost)
				}
			}
		}
	})
}
