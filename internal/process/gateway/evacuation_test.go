package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// evacuationFixture is a view builder whose configuration feed is a table, so that it gets
// the same changes as a node.
type evacuationFixture struct {
	builder *viewBuilder
	view    *fleet.ViewHolder
	table   *feed.Table
	era     int64
	version int64
	now     time.Time
}

func newEvacuationFixture() *evacuationFixture {
	f := &evacuationFixture{view: &fleet.ViewHolder{}, table: feed.NewTable(), now: time.Unix(1000, 0)}
	decode := jsonDecoder()
	decode.Evacuation = func(r feed.Record) (string, bool) { return r.Key, r.Key != "config" }
	f.builder = newViewBuilder(decode, f.view, eventlog.Discard(), func() {})
	f.apply(feed.Batch{Complete: true})
	return f
}

// apply applies a batch of the configuration feed like a follower.
func (f *evacuationFixture) apply(batch feed.Batch) {
	f.version++
	before, loaded := f.table.Version()
	batch.Version, batch.Era = f.version, f.era
	for i := range batch.Records {
		batch.Records[i].Version = f.version
	}
	former := f.table.Position()
	changed := f.table.Apply(batch)
	f.builder.applyConfigurationFeed(changed, loaded && before >= 0 && f.table.Position().Era > former.Era, f.now)
}

func (f *evacuationFixture) write(domain string) {
	f.apply(feed.Batch{Records: []feed.Record{{Key: domain}}})
}

func (f *evacuationFixture) delete(domain string) {
	f.apply(feed.Batch{Records: []feed.Record{{Key: domain, Deleted: true}}})
}

// restore lets the store come back from a copy with the given requests.
func (f *evacuationFixture) restore(domains ...string) {
	f.era++
	var records []feed.Record
	for _, domain := range domains {
		records = append(records, feed.Record{Key: domain})
	}
	f.apply(feed.Batch{Records: records, Complete: true})
}

func (f *evacuationFixture) register(id, domain string, state fleet.HostState) {
	value, err := json.Marshal(fleet.Host{ID: id, Service: "s", FailureDomain: domain, Started: time.UnixMilli(1), State: state})
	if err != nil {
		panic(err)
	}
	f.builder.applyHosts([]feed.Record{{Key: id, Version: 1, Value: value}}, 1, time.Time{}, f.now)
}

// usable returns the IDs of the hosts that take requests.
func (f *evacuationFixture) usable() []string {
	var ids []string
	for _, h := range f.view.Load().Hosts {
		if h.TakesRequests() {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// TestEvacuationWithoutAConfiguration guards against evacuations that wait for a
// configuration, for a new revision of one, or for the registration of a host.
func TestEvacuationWithoutAConfiguration(t *testing.T) {
	f := newEvacuationFixture()
	f.register("a", "z1", fleet.HostReady)
	f.register("b", "z2", fleet.HostReady)
	f.write("z1")
	f.register("c", "z1", fleet.HostReady)
	if got := f.usable(); !slices.Equal(got, []string{"b"}) {
		t.Errorf("during the evacuation of z1: got hosts %v in use, want b", got)
	}
	f.delete("z1")
	if got := f.usable(); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("after the evacuation: got hosts %v in use, want all", got)
	}
}

// TestEvacuationOutlivesAnOlderCopy guards against requests to an evacuated failure domain
// because the store came back from a copy that lacks the row, and against an evacuation
// that goes on after its deletion there.
func TestEvacuationOutlivesAnOlderCopy(t *testing.T) {
	for name, test := range map[string]struct {
		after func(f *evacuationFixture)
		// want is whether the domain is evacuated at times after the restore.
		want map[time.Duration]bool
	}{
		"nothing follows":           {func(*evacuationFixture) {}, map[time.Duration]bool{0: true, 29 * time.Second: true, 31 * time.Second: false}},
		"written again":             {func(f *evacuationFixture) { f.write("z1") }, map[time.Duration]bool{0: true, 60 * time.Second: true}},
		"deleted":                   {func(f *evacuationFixture) { f.delete("z1") }, map[time.Duration]bool{0: true, time.Second: false}},
		"written again and deleted": {func(f *evacuationFixture) { f.write("z1"); f.delete("z1") }, map[time.Duration]bool{0: true, time.Second: false}},
		"another older copy":        {func(f *evacuationFixture) { f.restore() }, map[time.Duration]bool{0: true, 30 * time.Second: true, 32 * time.Second: false}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newEvacuationFixture()
			f.register("a", "z1", fleet.HostReady)
			f.write("z1")
			f.restore()
			restored := f.now
			for after := time.Duration(0); after <= time.Minute; after += time.Second {
				f.now = restored.Add(after)
				if after == time.Second {
					test.after(f)
				}
				f.builder.expireEvacuations(f.now)
				got := len(f.usable()) == 0
				if want, checked := test.want[after]; checked && got != want {
					t.Errorf("%v after the restore: got evacuated %t, want %t", after, got, want)
				}
			}
		})
	}
}

// TestUnknownDomainIsLoggedOnce guards against a line for each change of the feeds about
// the same row.
func TestUnknownDomainIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	f := newEvacuationFixture()
	f.builder.log = eventlog.New(&log, logrus.InfoLevel, "n")
	f.write("nowhere")
	f.register("a", "z1", fleet.HostReady)
	f.register("b", "z1", fleet.HostReady)
	f.write("nowhere")
	if got := strings.Count(log.String(), fmt.Sprintf(`"event":%d`, eventlog.EvacuationUnknown.Number)); got != 1 {
		t.Errorf("got %d lines about an unknown failure domain, want 1", got)
	}
	if got := f.usable(); len(got) != 2 {
		t.Errorf("got hosts %v in use, want both", got)
	}
}

// TestEvacuatedHostsTakeNoRequests guards against hosts that take requests during an
// evacuation, and idle ones after it, whatever else is registered and restored.
func TestEvacuatedHostsTakeNoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newEvacuationFixture()
		requested, lostUntil := map[string]bool{}, map[string]time.Time{}
		domains := map[string]string{}
		domain := rapid.SampledFrom([]string{"z1", "z2", "z3"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch d := domain.Draw(t, "domain"); rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				f.write(d)
				requested[d] = true
				delete(lostUntil, d)
			case 1:
				f.delete(d)
				delete(requested, d)
				delete(lostUntil, d)
			case 2:
				copied := rapid.SliceOfNDistinct(domain, 0, 3, rapid.ID).Draw(t, "copied")
				for other := range requested {
					lostUntil[other] = f.now
				}
				for other := range lostUntil {
					lostUntil[other] = f.now.Add(30 * time.Second)
				}
				clear(requested)
				for _, other := range copied {
					requested[other] = true
					delete(lostUntil, other)
				}
				f.restore(copied...)
			case 3:
				id := fmt.Sprint("h", rapid.IntRange(0, 9).Draw(t, "host"))
				domains[id] = d
				f.register(id, d, fleet.HostReady)
			case 4:
				f.builder.applyConfiguration(configurationRecord(f.version))
			default:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				f.builder.expireEvacuations(f.now)
				maps.DeleteFunc(lostUntil, func(_ string, until time.Time) bool { return !f.now.Before(until) })
			}
			var want []string
			for _, id := range slices.Sorted(maps.Keys(domains)) {
				if _, lost := lostUntil[domains[id]]; !lost && !requested[domains[id]] {
					want = append(want, id)
				}
			}
			if got := f.usable(); !slices.Equal(got, want) {
				t.Fatalf("got hosts %v in use, want %v; requested %v, lost %v", got, want, requested, lostUntil)
			}
		}
	})
}
