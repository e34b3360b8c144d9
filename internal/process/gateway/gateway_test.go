package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

const exampleSettings = `[node]
name = n1
region = r
failure_domain = d1
first_start = true
memory_mb = 284
stop_time = 8s

[listen]
callers = 10.0.0.1:8227
ready = 10.0.0.1:8220
peers = 10.0.0.1:7340
metrics = 10.0.0.1:9464

[store]
address = 10.0.0.2:8223

[retry]
ratio = 0.2
slack = 130
`

func writeSettings(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadSettings(t *testing.T) {
	path := writeSettings(t, exampleSettings)
	s, err := LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	if s.Node != "n1" || !s.FirstStart || s.MemoryMB != 284 || s.StopTime != 8*time.Second || s.RetryRatio != 0.2 || s.RetrySlack != 130 || s.LogLevel != "info" {
		t.Errorf("got unexpected settings %+v", s)
	}
	if !IsManagedSettings(path) {
		t.Error("IsManagedSettings returned false for the settings of a managed node, want true")
	}
}

// TestLoadSettingsListsEveryFault verifies that an operator sees all faults at
// once, each with its section and key.
func TestLoadSettingsListsEveryFault(t *testing.T) {
	broken := strings.NewReplacer("name = n1", "name =", "10.0.0.1:8227", "front:8227", "ratio = 0.2", "ratio = -1", "memory_mb = 284", "memory_mb = 1",
		"stop_time = 8s", "stop_time = soon", "slack = 130", "slak = 130").Replace(exampleSettings)
	_, err := LoadSettings(writeSettings(t, broken))
	if err == nil {
		t.Fatal("got no error for a faulty file, want one")
	}
	for _, key := range []string{"[node] name", "[listen] callers", "[retry] ratio", "[node] memory_mb", "[node] stop_time", "[retry] slak"} {
		if !strings.Contains(err.Error(), key) {
			t.Errorf("got faults without %s:\n%v", key, err)
		}
	}
}

// testDecoder decodes records whose values are JSON of the types of package
// fleet.
func testDecoder() Decoder {
	return Decoder{
		Configuration: func(records []feed.Record) (*fleet.Configuration, error) {
			c := &fleet.Configuration{}
			if err := json.Unmarshal(records[0].Value, c); err != nil {
				return nil, err
			}
			c.Index()
			return c, nil
		},
		Host: func(r feed.Record) (*fleet.Host, error) {
			h := &fleet.Host{}
			if err := json.Unmarshal(r.Value, h); err != nil {
				return nil, err
			}
			return h, nil
		},
	}
}

func configurationRecord(revision int64) []feed.Record {
	value, _ := json.Marshal(fleet.Configuration{Revision: revision})
	return []feed.Record{{Key: "c", Version: revision, Value: value}}
}

func hostRecord(id string, version int64) feed.Record {
	value, _ := json.Marshal(fleet.Host{ID: id, Service: "s"})
	return feed.Record{Key: id, Version: version, Value: value}
}

func newTestBuilder() (*viewBuilder, *fleet.ViewHolder) {
	view := &fleet.ViewHolder{}
	return newViewBuilder(testDecoder(), view, eventlog.Discard(), func() {}), view
}

// TestApplyConfigurationIgnoresOlderRevisions verifies that neither a lagging
// source nor an undecodable record replaces the configuration in force.
func TestApplyConfigurationIgnoresOlderRevisions(t *testing.T) {
	b, view := newTestBuilder()
	b.applyConfiguration(configurationRecord(5))
	b.applyConfiguration(configurationRecord(3))
	b.applyConfiguration([]feed.Record{{Key: "c", Version: 9, Value: []byte("{")}})
	if got := view.Load().Configuration.Revision; got != 5 {
		t.Errorf("got revision %d in force, want 5", got)
	}
}

// TestHostsLapsedAroundOutageAreKept verifies that a host whose registration lapses
// is removed at once, except around an outage of the store, where it is kept for
// the grace period.
func TestHostsLapsedAroundOutageAreKept(t *testing.T) {
	now := time.Now()
	deletion := []feed.Record{{Key: "a", Version: 5, Deleted: true}}
	for name, test := range map[string]struct {
		lastStoreFailure time.Time
		kept             bool
	}{"no outage": {time.Time{}, false}, "long after an outage": {now.Add(-outageWindow), false}, "after an outage": {now.Add(-time.Second), true}} {
		b, view := newTestBuilder()
		b.applyHosts([]feed.Record{hostRecord("a", 1), hostRecord("b", 2)}, 2, time.Time{}, now)
		b.applyHosts(deletion, 5, test.lastStoreFailure, now)
		if got := view.Load().Host("a") != nil; got != test.kept {
			t.Errorf("%s: got host kept %t, want %t", name, got, test.kept)
		}
		b.removeLapsedHosts(now.Add(lapseGracePeriod))
		if view.Load().Host("a") != nil || view.Load().Host("b") == nil {
			t.Errorf("%s: after the grace period the lapsed host must be removed and the other one kept", name)
		}
	}
}

// TestHostThatRegistersAgainIsKept verifies that a registration within the grace
// period cancels the removal.
func TestHostThatRegistersAgainIsKept(t *testing.T) {
	now := time.Now()
	b, view := newTestBuilder()
	b.applyHosts([]feed.Record{hostRecord("a", 1)}, 1, time.Time{}, now)
	b.applyHosts([]feed.Record{{Key: "a", Version: 5, Deleted: true}}, 5, now, now)
	b.applyHosts([]feed.Record{hostRecord("a", 6)}, 6, now, now)
	b.removeLapsedHosts(now.Add(time.Hour))
	if view.Load().Host("a") == nil {
		t.Error("host that registered again was removed, want it kept")
	}
}

// TestPeerServesFeeds verifies that a node can read feeds from a peer.
func TestPeerServesFeeds(t *testing.T) {
	follower := feed.NewFollower(feed.TopicHosts, nil, nil, eventlog.Discard(), nil)
	table := follower.Table()
	server := httptest.NewServer(feedHandler(map[feed.Topic]*feed.Follower{feed.TopicHosts: follower}))
	defer server.Close()
	source := &peerSource{server.URL, http.DefaultClient}
	ctx := context.Background()
	if _, err := source.Snapshot(ctx, feed.TopicHosts); err == nil {
		t.Error("got a table from a peer that has loaded none, want an error")
	}
	table.Apply(feed.Batch{Records: []feed.Record{hostRecord("a", 1)}, Version: 1, Complete: true})
	whole, err := source.Snapshot(ctx, feed.TopicHosts)
	if err != nil || len(whole.Records) != 1 || !whole.Complete {
		t.Fatalf("got snapshot %+v, %v; want one record of the whole table", whole, err)
	}
	table.Apply(feed.Batch{Records: []feed.Record{hostRecord("b", 2)}, Version: 2})
	changes, err := source.Changes(ctx, feed.TopicHosts, whole.Position(), time.Second)
	if err != nil || len(changes.Records) != 1 || changes.Records[0].Key != "b" || changes.Version != 2 {
		t.Errorf("got changes %+v, %v; want record b at version 2", changes, err)
	}
	if _, err := source.Snapshot(ctx, feed.TopicConfiguration); err == nil {
		t.Error("got a topic that the peer does not follow, want an error")
	}
}

// TestSettingsPageListsEveryKey verifies that docs/SETTINGS-GATEWAY.md lists the
// keys, defaults and descriptions of the code.
func TestSettingsPageListsEveryKey(t *testing.T) {
	content, err := os.ReadFile("../../../docs/SETTINGS-GATEWAY.md")
	if err != nil {
		t.Fatal(err)
	}
	var got, want []string
	section := ""
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "## ["); ok {
			section = strings.TrimSuffix(name, "]")
		}
		if strings.HasPrefix(line, "| `") {
			got = append(got, section+" "+line)
		}
	}
	for _, k := range settingsKeys() {
		value := "`" + k.defaultValue + "`"
		switch {
		case k.required:
			value = "required"
		case k.defaultValue == "":
			value = "none"
		}
		want = append(want, fmt.Sprintf("%s | `%s` | %s | %s |", k.section, k.name, value, k.description))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("docs/SETTINGS-GATEWAY.md differs from the code (-code +page):\n%s", diff)
	}
}
