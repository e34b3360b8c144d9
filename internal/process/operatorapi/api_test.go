package operatorapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

const testToken = "token-of-anna"

type noPeers struct{}

func (noPeers) Log(context.Context, int64) ([]object.Record, error) {
	return nil, errors.New("no peer")
}

func (noPeers) Snapshot(context.Context) (*snapshot.Snapshot, error) {
	return nil, errors.New("no peer")
}

// fakeFleet implements Nodes, Explainer and BurnReporter.
type fakeFleet struct{ nodes []Node }

func (f *fakeFleet) Nodes() []Node { return f.nodes }

func (f *fakeFleet) ExplainObject(_ context.Context, key object.Key) ([]peer.Step, error) {
	return []peer.Step{{Reason: "Placed", Message: key.String()}}, nil
}

func (f *fakeFleet) ExplainRequest(context.Context, string) ([]peer.Step, error) { return nil, nil }

func (f *fakeFleet) WriteBurn(_ context.Context, w io.Writer, format BurnFormat) error {
	_, err := fmt.Fprintf(w, "burn as %s", format)
	return err
}

// testAPI is the API of one node on a stand-in platform, called without sockets.
type testAPI struct {
	t        testing.TB
	platform *platform.Platform
	follower *configlog.Follower
	fleet    *fakeFleet
	handler  http.Handler
}

// newTestAPI starts the API of a node, which runs until ctx ends.
func newTestAPI(ctx context.Context, t testing.TB) *testAPI {
	p := platform.New(platform.Options{})
	acceptor := configlog.NewAcceptor(p.Table, eventlog.Discard())
	follower := configlog.NewFollower(p.Table, noPeers{}, time.Second, eventlog.Discard())
	go follower.Run(ctx)
	fleet := &fakeFleet{}
	sum := sha256.Sum256([]byte(testToken))
	handler, err := New(Deps{
		Users: map[string]string{"anna": hex.EncodeToString(sum[:])}, MaxBodyBytes: 1 << 20, Log: acceptor,
		Config: follower, Audit: acceptor, Nodes: fleet, Explain: fleet, Burn: fleet, Events: eventlog.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return &testAPI{t: t, platform: p, follower: follower, fleet: fleet, handler: handler}
}

// do sends a request. It decodes a successful answer into reply and returns any
// other one as an Error.
func (node *testAPI) do(method, path, body string, reply any) *Error {
	node.t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testToken)
	recorder := httptest.NewRecorder()
	node.handler.ServeHTTP(recorder, request)
	if recorder.Code == http.StatusOK {
		if reply == nil {
			return nil
		}
		if err := json.Unmarshal(recorder.Body.Bytes(), reply); err != nil {
			node.t.Errorf("%s %s: %v in %s", method, path, err, recorder.Body)
		}
		return nil
	}
	var failure ErrorBody
	if err := json.Unmarshal(recorder.Body.Bytes(), &failure); err != nil || failure.Error == nil || failure.Error.Message == "" {
		node.t.Fatalf("%s %s: answer %d without an error body: %s", method, path, recorder.Code, recorder.Body)
	}
	failure.Error.Status = recorder.Code
	return failure.Error
}

// must is like do, but a failure ends the test.
func (node *testAPI) must(method, path, body string, reply any) {
	node.t.Helper()
	if failure := node.do(method, path, body, reply); failure != nil {
		node.t.Fatalf("%s %s: %v", method, path, failure)
	}
}

func rankJSON(name string, version int64, queueBound int) string {
	return fmt.Sprintf(`{"kind":"Rank","metadata":{"name":%q,"resourceVersion":%d},"spec":{"firstTokenTargetMillis":670,
		"interTokenTargetMillis":27,"queueBound":%d,"maxAttempts":%d,"objective":0.9}}`, name, version, queueBound, queueBound)
}

// inBubble runs the test against one node in the virtual time of a synctest
// bubble.
func inBubble(t *testing.T, test func(t *testing.T, node *testAPI)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		node := newTestAPI(ctx, t)
		synctest.Wait()
		test(t, node)
		cancel()
		synctest.Wait()
	})
}

// TestOperatorRace changes one object concurrently at the same version. Exactly
// one operator succeeds, the others get the current version in a conflict, and the
// stored spec is never a mix of two changes.
func TestOperatorRace(t *testing.T) {
	const operators, rounds = 8, 20
	inBubble(t, func(t *testing.T, node *testAPI) {
		node.must("PUT", "/api/Rank/urgent", rankJSON("urgent", 0, 1000), nil)
		for round := range rounds {
			var before object.Object
			node.must("GET", "/api/Rank/urgent", "", &before)
			version := before.Metadata.ResourceVersion
			failures := make([]*Error, operators)
			var writers sync.WaitGroup
			for i := range operators {
				writers.Go(func() {
					failures[i] = node.do("PUT", "/api/Rank/urgent", rankJSON("urgent", version, 1+round*operators+i), nil)
				})
			}
			writers.Wait()
			var after object.Object
			node.must("GET", "/api/Rank/urgent", "", &after)
			winner := slices.Index(failures, nil)
			if winner < 0 {
				t.Fatalf("round %d: got failures %v, want one operator to succeed", round, failures)
			}
			for i, failure := range failures {
				if i == winner {
					continue
				}
				if failure == nil || failure.Kind != ErrorConflict || failure.Current != after.Metadata.ResourceVersion || failure.Accepted != AcceptedNo {
					t.Fatalf("round %d: operator %d (winner %d): got %+v, want a conflict at version %d", round, i, winner, failure, after.Metadata.ResourceVersion)
				}
			}
			spec := after.Spec.(*object.RankSpec)
			if want := 1 + round*operators + winner; spec.QueueBound != want || spec.MaxAttempts != want {
				t.Fatalf("round %d: got %+v, want the winner's spec with %d", round, spec, want)
			}
		}
	})
}

func TestApplyIsAllOrNothingAndIdempotent(t *testing.T) {
	inBubble(t, func(t *testing.T, node *testAPI) {
		failure := node.do("POST", "/api/apply", "["+rankJSON("urgent", 0, 5)+","+rankJSON("Bad", 0, 0)+"]", nil)
		if failure == nil || failure.Status != http.StatusUnprocessableEntity || len(failure.FieldErrors) != 3 {
			t.Fatalf("got %v, want status 422 with three field errors", failure)
		}
		failure = node.do("POST", "/api/apply", `{"kind":"Rank","metadata":{},"spec":{"hue":1}} {"kind":"Rock"}`, nil)
		if failure == nil || len(failure.FieldErrors) != 2 {
			t.Fatalf("got %v, want one field error for each object", failure)
		}
		body := rankJSON("urgent", 0, 5) + rankJSON("digest", 0, 6)
		var dry, first, second ApplyReply
		node.must("POST", "/api/apply?dryRun=true", body, &dry)
		node.must("POST", "/api/apply", body, &first)
		node.must("POST", "/api/apply", body, &second)
		if len(dry.Changed) != 2 || first.Revision != 1 || len(first.Changed) != 2 {
			t.Errorf("got %+v after dry run %+v, want both objects at revision 1", first, dry)
		}
		if second.Revision != 1 || len(second.Changed) != 0 || len(second.Unchanged) != 2 {
			t.Errorf("repeated: got %+v, want revision 1 without changes", second)
		}
		if failure := node.do("DELETE", "/api/Rank/urgent?resourceVersion=9", "", nil); failure == nil || failure.Current != 1 {
			t.Errorf("deletion at another version: got %v, want a conflict at version 1", failure)
		}
		node.must("DELETE", "/api/Rank/urgent?resourceVersion=1", "", nil)
		if failure := node.do("DELETE", "/api/Rank/urgent", "", nil); failure == nil || failure.Kind != ErrorNotFound {
			t.Errorf("second deletion: got %v, want not found", failure)
		}
		var audit AuditReply
		node.must("GET", "/api/audit?after=1", "", &audit)
		if len(audit.Entries) != 1 || audit.Entries[0].Author != "anna" || audit.Entries[0].Deleted[0] != "Rank/urgent" {
			t.Errorf("got audit %+v, want anna's deletion", audit)
		}
	})
}

func TestInForceNamesNodesThatLag(t *testing.T) {
	inBubble(t, func(t *testing.T, node *testAPI) {
		node.must("PUT", "/api/Rank/urgent", rankJSON("urgent", 0, 5), nil)
		status := func(live bool, applied int64) object.NodeStatus {
			return object.NodeStatus{Live: live, AppliedRevision: applied}
		}
		condition := func() object.Condition {
			var o object.Object
			node.must("GET", "/api/Rank/urgent?revision=1", "", &o)
			return *o.Status.Condition(object.ConditionInForce)
		}
		if got := condition(); got.Status {
			t.Errorf("without nodes: got %+v, want false", got)
		}
		node.fleet.nodes = []Node{{"utr-1", status(true, 1)}, {"utr-2", status(true, 0)}, {"amf-1", status(false, 0)}}
		if got := condition(); got.Status || !strings.Contains(got.Message, "utr-2") || strings.Contains(got.Message, "amf-1") {
			t.Errorf("got %+v, want false and a message that names only utr-2 as lagging", got)
		}
		node.fleet.nodes[1].Status.AppliedRevision = 2
		if got := condition(); !got.Status {
			t.Errorf("all live nodes up to date: got %+v, want true", got)
		}
		var nodes ObjectList
		node.must("GET", "/api/Node", "", &nodes)
		if len(nodes.Items) != 3 || nodes.Items[0].Metadata.Name != "amf-1" {
			t.Errorf("got nodes %+v, want three sorted by name", nodes.Items)
		}
	})
}

// TestStoreOutage verifies that during an outage of the table service a change is
// reported as not accepted and the configuration in force can still be read, that
// a change whose answer is lost is accepted once, and that a paused store leads
// to status 503.
func TestStoreOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, node *testAPI) {
		node.must("PUT", "/api/Rank/urgent", rankJSON("urgent", 0, 5), nil)
		node.platform.SetFaults(platform.Faults{Outage: true})
		failure := node.do("PUT", "/api/Rank/urgent", rankJSON("urgent", 0, 6), nil)
		if failure == nil || failure.Status != http.StatusServiceUnavailable || failure.Accepted != AcceptedNo {
			t.Errorf("outage: got %v, want status 503 and accepted \"no\"", failure)
		}
		node.must("GET", "/api/Rank/urgent", "", nil)
		node.platform.SetFaults(platform.Faults{LoseEvery: 1})
		var reply ApplyReply
		node.must("PUT", "/api/Rank/urgent", rankJSON("urgent", 0, 7), &reply)
		if reply.Revision != 2 {
			t.Errorf("lost answer of the store: got revision %d, want 2", reply.Revision)
		}
		go func() {
			time.Sleep(time.Millisecond)
			node.platform.SetFaults(platform.Faults{Pause: true})
		}()
		node.platform.SetFaults(platform.Faults{DelayMillis: 10})
		failure = node.do("PUT", "/api/Rank/urgent", rankJSON("urgent", 0, 8), nil)
		if failure == nil || failure.Status != http.StatusServiceUnavailable {
			t.Errorf("paused store: got %v, want status 503", failure)
		}
	})
}

func TestWatch(t *testing.T) {
	inBubble(t, func(t *testing.T, node *testAPI) {
		var reply WatchReply
		var watcher sync.WaitGroup
		watcher.Go(func() { node.must("GET", "/api/watch?after=0&timeout=30s", "", &reply) })
		synctest.Wait()
		node.must("PUT", "/api/Rank/urgent", rankJSON("urgent", 0, 5), nil)
		watcher.Wait()
		if reply.Revision != 1 || len(reply.Records) != 1 || reply.Records[0].Changes[0].Object.Metadata.Name != "urgent" {
			t.Errorf("got %+v, want the change of urgent", reply)
		}
		start := time.Now()
		node.must("GET", "/api/watch?after=1&timeout=5s", "", &reply)
		if reply.Revision != 1 || time.Since(start) != 5*time.Second {
			t.Errorf("got revision %d after %s, want an empty answer after 5s", reply.Revision, time.Since(start))
		}
		for version := range int64(1100) {
			node.must("PUT", "/api/Rank/urgent", rankJSON("urgent", 0, 10+int(version)), nil)
			time.Sleep(10 * time.Millisecond)
		}
		if failure := node.do("GET", "/api/watch?after=1", "", nil); failure == nil || failure.Status != http.StatusGone {
			t.Errorf("compacted history: got %v, want status 410", failure)
		}
	})
}

func TestErrorsAreTyped(t *testing.T) {
	inBubble(t, func(t *testing.T, node *testAPI) {
		cases := []struct {
			method, path, body string
			want               ErrorKind
			status             int
		}{
			{"GET", "/api/Rock", "", ErrorNotFound, 404},
			{"GET", "/api/Rank/urgent", "", ErrorNotFound, 404},
			{"GET", "/elsewhere", "", ErrorNotFound, 404},
			{"POST", "/api/Rank/urgent", "", ErrorMethodNotAllowed, 405},
			{"DELETE", "/api/Node/utr-1", "", ErrorMethodNotAllowed, 405},
			{"PUT", "/api/Rank/other", rankJSON("urgent", 0, 1), ErrorBadRequest, 400},
			{"PUT", "/api/Node/n", `{"kind":"Node","metadata":{"name":"n"}}`, ErrorInvalid, 422},
			{"POST", "/api/apply", "{", ErrorBadRequest, 400},
			{"POST", "/api/apply", "", ErrorBadRequest, 400},
			{"POST", "/api/apply", strings.Repeat(" ", 2<<20), ErrorBodyTooLarge, 413},
			{"GET", "/api/watch?after=x", "", ErrorBadRequest, 400},
			{"GET", "/api/Rank?revision=9", "", ErrorNotReady, 503},
			{"GET", "/api/explain/request/r1", "", ErrorNotFound, 404},
			{"GET", "/burn?format=pdf", "", ErrorBadRequest, 400},
		}
		for _, c := range cases {
			failure := node.do(c.method, c.path, c.body, nil)
			if failure == nil || failure.Kind != c.want || failure.Status != c.status {
				t.Errorf("%s %s: got %v, want %s with status %d", c.method, c.path, failure, c.want, c.status)
			}
		}
		node.must("GET", "/api/explain/ReplicaGroup/g", "", nil)
		request := httptest.NewRequest("GET", "/api/Rank", nil)
		request.Header.Set("Authorization", "Bearer other")
		recorder := httptest.NewRecorder()
		node.handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusUnauthorized {
			t.Errorf("unknown token: got status %d, want 401", recorder.Code)
		}
	})
}

func FuzzDecodeObjects(f *testing.F) {
	f.Add(rankJSON("urgent", 1, 5))
	f.Add("[" + rankJSON("urgent", 0, 5) + "] " + rankJSON("digest", 0, 6))
	f.Add(`{"kind":"Rank","metadata":{"name":"a"},"spec":null}`)
	f.Add(`null [null] "x" {"kind":"Node"}`)
	f.Add(`{"kind":"ClientAccount","metadata":{"name":"a"},"spec":{"keyHashes":[""],"tokensPerSecond":1e400}}`)
	f.Fuzz(func(t *testing.T, body string) {
		objects, failure := decodeObjects(strings.NewReader(body))
		if failure != nil {
			if failure.Message == "" || failure.Status < 400 || failure.Status > 499 {
				t.Errorf("got %+v, want a status from 400 to 499 and a message", failure)
			}
			return
		}
		p := platform.New(platform.Options{})
		acceptor := configlog.NewAcceptor(p.Table, eventlog.Discard())
		_, err := acceptor.Propose(context.Background(), configlog.Proposal{Changes: objectChanges(objects)})
		var invalid *configlog.InvalidError
		var version *configlog.VersionError
		if err != nil && !errors.As(err, &invalid) && !errors.As(err, &version) {
			t.Errorf("%q: got %v, want success, an InvalidError or a VersionError", body, err)
		}
	})
}
