package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

// TestNodesOfThePreviousVersionReadFeeds verifies that a rolling restart may mix versions:
// a reader that does not name the packed form gets JSON with the ages, and a reader that
// does understands a node that ignores this.
func TestNodesOfThePreviousVersionReadFeeds(t *testing.T) {
	follower := feed.NewFollower(feed.TopicHosts, nil, nil, eventlog.Discard(), func([]feed.Record, bool) {})
	follower.Table().Apply(feed.Batch{Records: []feed.Record{{Key: "a", Version: 1, Value: []byte("x")}}, Version: 1, Complete: true})
	follower.Table().Apply(feed.Batch{Records: []feed.Record{{Key: "a", Version: 2, Value: []byte("x")}}, Version: 2})
	handler := feedHandler(map[feed.Topic]*feed.Follower{feed.TopicHosts: follower})
	want := []feed.Record{{Key: "a", Version: 2, Value: []byte("x")}}
	for _, path := range []string{pathTable + "?topic=hosts", pathChanges + "?topic=hosts&since=1&wait=0s"} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		var batch feed.Batch
		err := json.Unmarshal(recorder.Body.Bytes(), &batch)
		if diff := cmp.Diff(want, batch.Records); err != nil || diff != "" || batch.ConfirmedAgo <= 0 || batch.Version != 2 {
			t.Errorf("a reader of the previous version got %s and error %v from %s, want record a at version 2 and an age", recorder.Body, err, path)
		}
	}
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("Accept")
		handler.ServeHTTP(w, r)
	}))
	defer old.Close()
	source := &peerSource{old.URL, old.Client()}
	if batch, err := source.Changes(context.Background(), feed.TopicHosts, position.Position{Version: 1}, 0); err != nil || cmp.Diff(want, batch.Records) != "" {
		t.Errorf("got %+v and error %v from a node of the previous version, want record a", batch, err)
	}
	if batch, err := source.Snapshot(context.Background(), feed.TopicHosts); err != nil || !batch.Complete || batch.ConfirmedAgo <= 0 {
		t.Errorf("got %+v and error %v from a node of the previous version, want the whole table", batch, err)
	}
}

// TestPeerMetricsTellTheCause verifies that the bytes of answers are counted by what the
// reader asked for.
func TestPeerMetricsTellTheCause(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	handler := newPeerMetrics(scope).countAnswers(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, len(r.URL.Path)))
	}))
	for _, path := range []string{pathTable, pathChanges, pathChanges} {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
	}
	counters := scope.Snapshot().Counters()
	if tables, changes := counters["peer_bytes+cause=tables"].Value(), counters["peer_bytes+cause=changes"].Value(); tables != int64(len(pathTable)) || changes != 2*int64(len(pathChanges)) {
		t.Errorf("got %d bytes of tables and %d of changes, want %d and %d", tables, changes, len(pathTable), 2*len(pathChanges))
	}
}

// TestMalformedFeedsOfPeersAreErrors guards against a table that a node takes over from
// another one although the answer is not well-formed.
func TestMalformedFeedsOfPeersAreErrors(t *testing.T) {
	content, err := json.Marshal(feed.Batch{Records: []feed.Record{{Key: "a", Version: 1, Value: []byte("x")}}, Version: 1, Complete: true})
	if err != nil {
		t.Fatal(err)
	}
	for head, wantErr := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n":   false,
		"HTTP/1.1 410 Gone\r\nContent-Type: application/json\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nContent Type: application/json\r\n\r\n":   true,
		"HTTP/1.1 200 OK\r\nContent-Type : application/json\r\n\r\n":  true,
		"HTTP/1.1 200 OK\nContent-Type: application/json\r\n\r\n":     true,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":       true,
		"HTTP/1.1 410 Gone\r\nContent Type: application/json\r\n\r\n": true,
	} {
		p := newPeers(&Settings{}, peersOptions{log: eventlog.Discard()})
		source := &peerSource{"http://" + serveBytes(t, head+string(content)), p.http}
		batch, err := source.Snapshot(t.Context(), feed.TopicHosts)
		if (err != nil) != wantErr {
			t.Errorf("%q: got %+v and error %v, want an error: %t", head, batch, err, wantErr)
		}
		if wantCompacted := strings.HasPrefix(head, "HTTP/1.1 410 Gone\r\nContent-Type:"); errors.Is(err, feed.ErrCompacted) != wantCompacted {
			t.Errorf("%q: got error %v, want ErrCompacted: %t", head, err, wantCompacted)
		}
	}
}
