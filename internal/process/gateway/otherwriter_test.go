package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/version/fleet"
	"currantladder.example/currantladder/internal/version/formation"
)

// TestEpochOfAnotherWriterRaisesNoTerm guards against terms without usable epochs, because a registration with an epoch
// at the limit raises the term of the next leader.
func TestEpochOfAnotherWriterRaisesNoTerm(t *testing.T) {
	if got := formation.TermOf(formation.MaxEpoch); got <= leader.MaxTerm {
		t.Errorf("got the term %d of the highest epoch, want room above %d", got, int64(leader.MaxTerm))
	}
	for _, epoch := range []int64{formation.MaxEpoch, math.MaxInt64, -1} {
		hosts := []*fleet.Host{{ID: "a", Group: fleet.Membership{Name: "m.1", Epoch: epoch}}, {ID: "b", Group: fleet.Membership{Name: "m.7000002", Epoch: 7_000_002}}}
		if got := highestTermOf(hosts); got != 7 {
			t.Errorf("epoch %d: got the highest term %d, want 7", epoch, got)
		}
	}
}

// rosterStore is a store that contains only the nodes' rows.
type rosterStore struct {
	table.Store
	rows []table.Row
}

func (s *rosterStore) List(context.Context, table.Range) ([]table.Row, error) { return s.rows, nil }

// TestOddNodeRowsNameNoPeer guards against nodes that look up names, or choose hubs that do not exist, because another
// writer has stored the row of a node.
func TestOddNodeRowsNameNoPeer(t *testing.T) {
	own := `{"address":"10.0.0.0:1","domain":"d0","share":0.8}`
	store := &rosterStore{rows: []table.Row{{Key: "node/n000", Version: 1, Value: []byte(own)}, {Key: "node/good", Version: 2, Value: []byte(`{"address":"10.0.0.7:1","domain":"d0","share":0.5}`)}}}
	odd := map[string]string{"node/": `{"address":"10.0.0.8:1","domain":"d0","share":0.9}`, "node/" + strings.Repeat("x", 201): `{"address":"10.0.0.8:1"}`}
	for i, value := range []string{
		"", "null", "[]", "{}", `{"address":7}`, `{"address":"host.example:80"}`, `{"address":"10.0.0.8"}`, `{"address":"10.0.0.8:0"}`, `{"address":"10.0.0.8:70000"}`,
		`{"address":"10.0.0.8:-5"}`, `{"address":"0.0.0.0:80"}`, `{"address":"224.0.0.1:80"}`, `{"address":"10.0.0.8:1","share":1e308}`, `{"address":"10.0.0.8:1","share":1e400}`,
		`{"address":"10.0.0.8:1","share":-1}`, `{"address":"10.0.0.8:1","domain":"` + strings.Repeat("x", 201) + `"}`,
	} {
		odd[fmt.Sprint("node/odd-", i)] = value
	}
	for key, value := range odd {
		store.rows = append(store.rows, table.Row{Key: key, Version: 3, Value: []byte(value)})
	}
	node := newTestFleet(1).nodes["n000"]
	node.store = store
	var log bytes.Buffer
	node.log = eventlog.New(&log, logrus.InfoLevel, "n000")
	for range 3 {
		if ownRow, err := node.readRoster(context.Background()); err != nil || !ownRow {
			t.Fatalf("got own row %t and error %v, want the own row", ownRow, err)
		}
	}
	for name := range node.byName {
		if name != "good" {
			t.Errorf("the row of %.40q names a peer, want none", name)
		}
	}
	if node.byName["good"] == nil {
		t.Error("the row of the other node names no peer")
	}
	if got := strings.Count(log.String(), `"event":1314`); got != len(odd) {
		t.Errorf("got %d log lines for %d odd rows that were read three times, want one for each", got, len(odd))
	}
	store.rows = store.rows[1:]
	if ownRow, err := node.readRoster(context.Background()); err != nil || ownRow {
		t.Errorf("got own row %t and error %v, want it missing, so that the node registers again", ownRow, err)
	}
}

// TestHostWithUnusableRegistrationIsKeptForAHeartbeat guards against groups that end because another writer has replaced
// the registration of a member, and against hosts that are used although nothing they wrote can be read.
func TestHostWithUnusableRegistrationIsKeptForAHeartbeat(t *testing.T) {
	odd := func(version int64) feed.Record { return feed.Record{Key: "a", Version: version, Value: []byte("{")} }
	started := time.Unix(1e9, 0)
	for name, test := range map[string]struct {
		// records are applied one second after the other.
		records []feed.Record
		want    []string
	}{
		"odd":                       {[]feed.Record{hostRecord("a", 1), odd(2)}, []string{"ready", "unconfirmed", "unconfirmed", "unconfirmed", "none"}},
		"odd again and again":       {[]feed.Record{hostRecord("a", 1), odd(2), odd(3), odd(4), odd(5)}, []string{"ready", "unconfirmed", "unconfirmed", "unconfirmed", "none"}},
		"written again by the host": {[]feed.Record{hostRecord("a", 1), odd(2), hostRecord("a", 3)}, []string{"ready", "unconfirmed", "ready", "ready", "ready", "ready"}},
		"removed":                   {[]feed.Record{hostRecord("a", 1), odd(2), {Key: "a", Version: 3, Deleted: true}}, []string{"ready", "unconfirmed", "none"}},
		"leaves":                    {[]feed.Record{stateRecord("a", 1, 1, fleet.HostLeaving), odd(2)}, []string{"leaving", "leaving", "leaving", "leaving", "none"}},
		"never known":               {[]feed.Record{odd(1), odd(2)}, []string{"none", "none"}},
		"earlier start":             {[]feed.Record{stateRecord("a", 1, 5, fleet.HostReady), stateRecord("a", 2, 0, fleet.HostReady), stateRecord("a", 3, 5, fleet.HostReady)}, []string{"ready", "unconfirmed", "ready"}},
		"earlier start for long":    {[]feed.Record{stateRecord("a", 1, 5, fleet.HostReady), stateRecord("a", 2, 4, fleet.HostReady), {}, {}, {}, stateRecord("a", 5, 4, fleet.HostReady)}, []string{"ready", "unconfirmed", "unconfirmed", "unconfirmed", "none", "ready"}},
		"known later":               {[]feed.Record{odd(1), hostRecord("a", 2)}, []string{"none", "ready"}},
	} {
		b, view := newTestBuilder()
		for second, want := range test.want {
			now := started.Add(time.Duration(second) * time.Second)
			if second < len(test.records) {
				b.applyHosts(test.records[second:second+1], int64(second+1), time.Time{}, now)
			}
			b.removeLapsedHosts(now)
			got := "none"
			if host := view.Load().Host("a"); host != nil {
				got = map[fleet.HostState]string{fleet.HostReady: "ready", fleet.HostLeaving: "leaving", fleet.HostUnconfirmed: "unconfirmed"}[host.State]
			}
			if got != want {
				t.Errorf("%s: got %s after %d s, want %s", name, got, second, want)
			}
		}
	}
}

// TestUnusableRegistrationIsLoggedOnce guards against a log line at each heartbeat of a registration that stays unusable.
func TestUnusableRegistrationIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	b, _ := newTestBuilder()
	b.log = eventlog.New(&log, logrus.InfoLevel, "n")
	b.decode.Host = func(r feed.Record) (*fleet.Host, error) { return nil, errors.New(string(r.Value)) }
	version := int64(0)
	apply := func(r feed.Record) {
		version++
		r.Key, r.Version = "a", version
		b.applyHosts([]feed.Record{r}, version, time.Time{}, time.Unix(1e9, 0))
	}
	count := func() int { return strings.Count(log.String(), `"event":1307`) }
	for i := range 100 {
		apply(feed.Record{Value: []byte(fmt.Sprint("odd ", i))})
	}
	if got := count(); got != 1 {
		t.Errorf("got %d lines for a registration that stays unusable, want 1", got)
	}
	apply(feed.Record{Deleted: true})
	apply(feed.Record{Value: bytes.Repeat([]byte("x"), 64<<10)})
	if got := count(); got != 2 {
		t.Errorf("got %d lines after the registration was removed and is unusable again, want 2", got)
	}
	b.decode.Host = testDecoder().Host
	apply(hostRecord("a", 0))
	apply(feed.Record{Value: []byte("{")})
	if got := count(); got != 3 {
		t.Errorf("got %d lines after the registration was usable and is not any more, want 3", got)
	}
	if log.Len() > 8<<10 {
		t.Errorf("got %d bytes of log lines, want the registration cut", log.Len())
	}
}
