package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/membership"
)

// TestSnapshotSkipsSilentPeers reads the snapshot from three seeds. The first one
// never answers, the second lags behind the third.
func TestSnapshotSkipsSilentPeers(t *testing.T) {
	startPeer := func(revision int64) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if revision == 0 {
				<-r.Context().Done()
				return
			}
			_ = json.NewEncoder(w).Encode(peer.SnapshotBody{Revision: revision})
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	client := peer.NewClient("key", nil)
	defer client.Close()
	table := membership.NewTable(peer.Digest{Node: "self"}, time.Minute, 1)
	source := peerSource{
		members: membership.NewProber(table, client, func() peer.Digest { return peer.Digest{} }, time.Second),
		client:  client,
		seeds:   []string{startPeer(0), startPeer(3), startPeer(7)},
		self:    "self",
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	got, err := source.Snapshot(ctx)
	if err != nil || got.Revision != 7 {
		t.Fatalf("got %+v, %v, want revision 7", got, err)
	}
}
