package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/version/position"
)

// maxPeerAnswerBytes limits a peer's copy of a table.
const maxPeerAnswerBytes = 16 << 20

// peerSource reads the feeds from the copies of a peer.
type peerSource struct {
	base string
	http *http.Client
}

// Names of the packed form of a batch. A reader that understands it names it in the
// header Accept; others get JSON, as from nodes of the previous version. The ages of the
// copy are in headers, in nanoseconds.
const (
	typePacked         = "application/x-currantladder-packed"
	headerConfirmedAgo = "Copy-Confirmed-Ago"
	headerFailedAgo    = "Copy-Failed-Ago"
)

// Paths of the peer listener.
const (
	pathTable   = "/peer/table"
	pathChanges = "/peer/changes"
)

// Snapshot implements feed.Source.
func (s *peerSource) Snapshot(ctx context.Context, topic feed.Topic) (feed.Batch, error) {
	ctx, limit := feed.WithSilenceLimit(ctx)
	defer limit.Stop()
	return s.get(ctx, pathTable+"?topic="+url.QueryEscape(string(topic)), limit)
}

// Changes implements feed.Source.
func (s *peerSource) Changes(ctx context.Context, topic feed.Topic, since position.Position, wait time.Duration) (feed.Batch, error) {
	query := url.Values{"topic": {string(topic)}, "since": {strconv.FormatInt(since.Version, 10)}, "era": {strconv.FormatInt(since.Era, 10)}, "wait": {wait.String()}}
	return s.get(ctx, pathChanges+"?"+query.Encode(), nil)
}

func (s *peerSource) get(ctx context.Context, path string, silence *feed.SilenceLimit) (feed.Batch, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+path, nil)
	if err != nil {
		return feed.Batch{}, fmt.Errorf("build the request to the peer: %w", err)
	}
	request.Header.Set("Accept", typePacked)
	response, err := s.http.Do(request)
	if err != nil {
		return feed.Batch{}, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusGone {
		return feed.Batch{}, feed.ErrCompacted
	}
	if response.StatusCode != http.StatusOK {
		return feed.Batch{}, fmt.Errorf("peer returned HTTP status %d", response.StatusCode)
	}
	body := io.LimitReader(silence.Reader(response.Body), maxPeerAnswerBytes)
	if response.Header.Get("Content-Type") == typePacked {
		return readPacked(response, body)
	}
	var batch feed.Batch
	if err := json.NewDecoder(body).Decode(&batch); err != nil {
		return feed.Batch{}, fmt.Errorf("decode the answer of the peer: %w", err)
	}
	return batch, nil
}

func readPacked(response *http.Response, body io.Reader) (feed.Batch, error) {
	batch, err := feed.Unpack(body)
	if err != nil {
		return feed.Batch{}, fmt.Errorf("decode the answer of the peer: %w", err)
	}
	confirmed, confirmedErr := strconv.ParseInt(response.Header.Get(headerConfirmedAgo), 10, 64)
	failed, failedErr := strconv.ParseInt(response.Header.Get(headerFailedAgo), 10, 64)
	if confirmedErr != nil || failedErr != nil {
		return feed.Batch{}, errors.New("the answer of the peer does not tell the age of its copy")
	}
	batch.ConfirmedAgo, batch.FailedAgo = time.Duration(confirmed), time.Duration(failed)
	return batch, nil
}

// feedHandler serves this node's copies of the feeds to peers.
func feedHandler(followers map[feed.Topic]*feed.Follower) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathTable, func(w http.ResponseWriter, r *http.Request) {
		follower := followers[feed.Topic(r.URL.Query().Get("topic"))]
		if follower == nil {
			http.Error(w, "unknown topic", http.StatusNotFound)
			return
		}
		snapshot, write := follower.PlainSnapshot, writePlain
		if acceptsPacked(r) {
			snapshot, write = follower.PackedSnapshot, writePacked
		}
		table, loaded, err := snapshot()
		switch {
		case !loaded:
			http.Error(w, "nothing was read yet", http.StatusServiceUnavailable)
		case err != nil:
			http.Error(w, err.Error(), http.StatusInternalServerError)
		default:
			write(w, table)
		}
	})
	mux.HandleFunc("GET "+pathChanges, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		follower := followers[feed.Topic(query.Get("topic"))]
		since, sinceErr := parsePosition(query)
		wait, waitErr := time.ParseDuration(query.Get("wait"))
		if follower == nil || sinceErr != nil || waitErr != nil {
			http.Error(w, "send a known topic, since and wait", http.StatusBadRequest)
			return
		}
		var batch feed.Batch
		var packed feed.Packed
		var err error
		if acceptsPacked(r) {
			packed, err = follower.PackedChanges(r.Context(), since, wait)
		} else {
			batch, err = follower.Changes(r.Context(), since, wait)
		}
		switch {
		case errors.Is(err, feed.ErrCompacted):
			http.Error(w, err.Error(), http.StatusGone)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		case acceptsPacked(r):
			writePacked(w, packed)
		default:
			writeBatch(w, batch)
		}
	})
	return mux
}

// acceptsPacked reports whether the reader understands the packed form.
func acceptsPacked(r *http.Request) bool { return r.Header.Get("Accept") == typePacked }

// parsePosition decodes the parameters since and era. A node of an earlier version
// sends no era, which is that of a store that never came back from a copy.
func parsePosition(query url.Values) (position.Position, error) {
	version, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil || !query.Has("era") {
		return position.Position{Version: version}, err
	}
	era, err := strconv.ParseInt(query.Get("era"), 10, 64)
	return position.Position{Era: era, Version: version}, err
}

func writeBatch(w http.ResponseWriter, batch feed.Batch) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the peer has closed the connection.
	_ = json.NewEncoder(w).Encode(batch)
}

// writePlain writes a batch that is encoded as JSON without its ages.
func writePlain(w http.ResponseWriter, plain feed.Packed) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the peer has closed the connection.
	_, _ = fmt.Fprintf(w, `{"confirmedAgo":%d,"failedAgo":%d,`, int64(plain.ConfirmedAgo), int64(plain.FailedAgo))
	_, _ = w.Write(bytes.TrimPrefix(plain.Body, []byte("{")))
}

func writePacked(w http.ResponseWriter, packed feed.Packed) {
	w.Header().Set("Content-Type", typePacked)
	w.Header().Set("Content-Length", strconv.Itoa(len(packed.Body)))
	w.Header().Set(headerConfirmedAgo, strconv.FormatInt(int64(packed.ConfirmedAgo), 10))
	w.Header().Set(headerFailedAgo, strconv.FormatInt(int64(packed.FailedAgo), 10))
	// A failed write means that the peer has closed the connection.
	_, _ = w.Write(packed.Body)
}
