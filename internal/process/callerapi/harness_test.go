package callerapi_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/intake"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/claim"
	"currantladder.example/currantladder/internal/request/dispatch"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/request/queue"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/request/relay"
	"currantladder.example/currantladder/internal/request/share"
	"currantladder.example/currantladder/internal/request/suspect"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

const (
	testKey      = "caller-key"
	testModel    = "m"
	testGroup    = "g"
	maxBodyBytes = 64 << 10
)

// testNode has the request handling of one node that is its own home, with one
// engine and one service endpoint.
type testNode struct {
	handler http.Handler
	home    *dispatch.Home
	// downstreamCalls counts requests that were admitted, claimed or passed to
	// the home.
	downstreamCalls atomic.Int64
}

// newTestNode returns a node whose goroutines end with ctx.
func newTestNode(ctx context.Context, client *endpoint.Client, engine, service string, slots int) *testNode {
	return newTestNodeWithBodies(ctx, client, engine, service, slots, maxBodyBytes)
}

// newTestNodeWithBodies is newTestNode with another limit of the bodies of requests.
func newTestNodeWithBodies(ctx context.Context, client *endpoint.Client, engine, service string, slots int, maxBodyBytes int64) *testNode {
	n := &testNode{}
	tracker := suspects{suspect.New()}
	n.home = dispatch.NewHome(ctx, client, tracker, nil)
	n.home.Configure(
		[]queue.Rank{{Name: "urgent", FirstTokenTarget: time.Minute, QueueBound: 1000}},
		map[string][]dispatch.Target{testModel: {{Group: testGroup, Generation: 1, Address: engine, Slots: slots}}},
	)
	n.handler = callerapi.New(callerapi.Deps{
		View:         fixedView{newSnapshot()},
		Gate:         openGate{},
		Limiter:      n,
		Claims:       n,
		Relay:        &relay.Relay{Homes: n, Router: ownHome{}, Budget: noRetries{}, Suspects: tracker, Recorder: noRecorder{}},
		Suspects:     tracker,
		Services:     singleEndpoint{service},
		Client:       client,
		Observer:     noObserver{},
		Bodies:       intake.New(intake.Options{Pool: heldmemory.NewPool(32<<20, intake.ReserveBytes(maxBodyBytes, callerapi.BodyCopies), heldmemory.CallerPace), Timeout: time.Minute}),
		MaxBodyBytes: maxBodyBytes,
		UntakenBytes: 8 << 20,
		Events:       eventlog.Discard(),
	})
	return n
}

// callServiceAt sends a call through a node to the service at an address. An empty key is not
// sent.
func callServiceAt(t *testing.T, service, method, key string, content []byte) (status int, body string) {
	t.Helper()
	client := endpoint.NewClient()
	defer client.Close()
	server := httptest.NewServer(newTestNodeWithBodies(t.Context(), client, "", service, 1, max(maxBodyBytes, int64(len(content)))).handler)
	defer server.Close()
	header := http.Header{}
	if key != "" {
		header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	return sendUrgent(t, method, server.URL+"/services/booking/1", header, bytes.NewReader(content))
}

// sendUrgent sends a request of the test account with the rank "urgent" and returns the whole
// answer.
func sendUrgent(t *testing.T, method, url string, header http.Header, content io.Reader) (status int, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, content)
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set(callerapi.HeaderRank, "urgent")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("got error %v, want an answer", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("got error %v in the answer", err)
	}
	return response.StatusCode, string(answer)
}

func newSnapshot() *snapshot.Snapshot {
	sum := sha256.Sum256([]byte(testKey))
	rank := func(priority int) *object.RankSpec {
		return &object.RankSpec{Priority: priority, FirstTokenTargetMillis: 60_000, InterTokenTargetMillis: 27, QueueBound: 1000, MaxAttempts: 1, Objective: 0.9}
	}
	objects := []*object.Object{
		{Kind: object.KindRank, Metadata: object.Metadata{Name: "urgent"}, Spec: rank(0)},
		{Kind: object.KindRank, Metadata: object.Metadata{Name: "batch"}, Spec: rank(1)},
		{Kind: object.KindReplicaGroup, Metadata: object.Metadata{Name: testGroup}, Spec: &object.ReplicaGroupSpec{Model: testModel, Members: 1}},
		{Kind: object.KindService, Metadata: object.Metadata{Name: "booking"}, Spec: &object.ServiceSpec{Hosts: []string{"service-0"}, TimeoutMillis: 1000}},
		{Kind: object.KindClientAccount, Metadata: object.Metadata{Name: "district"}, Spec: &object.ClientAccountSpec{
			KeyHashes: []string{hex.EncodeToString(sum[:])}, Ranks: []string{"urgent"}, TokensPerSecond: 1, BurstTokens: 1, MaxInFlight: 1, Class: object.AccountSmall,
		}},
	}
	return snapshot.New(1, objects, nil)
}

// Run implements relay.Homes.
func (n *testNode) Run(ctx context.Context, _ string, r peer.HomeRequest, sink func(peer.Frame) error) error {
	n.downstreamCalls.Add(1)
	return n.home.Serve(ctx, r, sink)
}

// Admit implements share.Limiter.
func (n *testNode) Admit(string, int64, time.Time) (share.Admission, *refusal.Error) {
	n.downstreamCalls.Add(1)
	return noopAdmission{}, nil
}

// Begin implements claim.Claims.
func (n *testNode) Begin(_ context.Context, call claim.Call) (claim.Outcome, *refusal.Error) {
	n.downstreamCalls.Add(1)
	return claim.Outcome{Handle: &claim.Handle{Call: call}}, nil
}

// Record implements claim.Claims.
func (*testNode) Record(context.Context, *claim.Handle, claim.Answer) error { return nil }

// Abandon implements claim.Claims.
func (*testNode) Abandon(context.Context, *claim.Handle) error { return nil }

type noopAdmission struct{}

func (noopAdmission) Settle(int64) {}

type fixedView struct{ snapshot *snapshot.Snapshot }

func (v fixedView) Current() *snapshot.Snapshot { return v.snapshot }

func (fixedView) Changed() <-chan struct{} { return nil }

type openGate struct{}

func (openGate) Enter() (func(), *refusal.Error) { return func() {}, nil }

func (openGate) Ready() (bool, string) { return true, "" }

type ownHome struct{}

func (ownHome) ChooseHome(_ string, _ []uint64, avoid map[string]bool) (string, bool) {
	return "self", !avoid["self"]
}

type noRetries struct{}

func (noRetries) RecordFirstAttempt(string, time.Time) {}

func (noRetries) Retry(string, int, time.Time) bool { return false }

type noRecorder struct{}

func (noRecorder) Record(string, string, string) {}

type noObserver struct{}

func (noObserver) Observe(callerapi.Sample) {}

type singleEndpoint struct{ address string }

func (s singleEndpoint) Pick(string, map[string]bool) (host hostlist.Host, retryAfter time.Duration, ok bool) {
	return hostlist.Host{Name: "service-0", Address: s.address}, 0, true
}

func (singleEndpoint) Failed(string) {}

func (singleEndpoint) Said(hostlist.Host, endpoint.Facts, string) {}

type suspects struct{ tracker *suspect.Tracker }

func (s suspects) Check(fingerprint uint64, now time.Time) (refuse, isolate bool) {
	verdict := s.tracker.Verdict(fingerprint, now)
	return verdict.Refuse, verdict.Isolate
}

func (s suspects) DelayErrorsUntil(fingerprint uint64) time.Time {
	return s.tracker.DelayErrorsUntil(fingerprint)
}

func (s suspects) ClearSuspicion(fingerprint uint64) { s.tracker.ClearSuspicion(fingerprint) }

func (suspects) Fingerprint(model, prompt string, maxTokens int) uint64 {
	return suspect.Fingerprint(model, prompt, maxTokens)
}
