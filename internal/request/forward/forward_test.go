package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

// hostBehavior is how a fake host answers an attempt.
type hostBehavior func(ctx context.Context, r *Request, a Attempt) (*Reply, error)

// fakeEndpoint answers attempts by the behavior of each host and records them.
type fakeEndpoint struct {
	mu        sync.Mutex
	behaviors map[string]hostBehavior
	attempts  []Attempt
	// firstGone is true if the host of the first attempt has crashed by the time that
	// it is asked for.
	firstGone bool
	// asked is the number of calls of Gone, and aliveFor how many of them find the host
	// of the first attempt alive although it has crashed.
	asked, aliveFor int
}

func (f *fakeEndpoint) Send(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
	f.mu.Lock()
	f.attempts = append(f.attempts, a)
	behavior := f.behaviors[a.HostID]
	f.mu.Unlock()
	return behavior(ctx, r, a)
}

// Gone implements Endpoint.
func (f *fakeEndpoint) Gone(_ context.Context, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	return f.firstGone && f.asked > f.aliveFor && len(f.attempts) > 0 && f.attempts[0].Address == address
}

func (f *fakeEndpoint) sent() []Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Attempt(nil), f.attempts...)
}

func verifiedReply(status int, body io.ReadCloser) *Reply {
	return &Reply{Status: status, Header: http.Header{"X-Proof": {"yes"}}, Verified: true, Body: body}
}

func answerWith(status int, text string) hostBehavior {
	return func(context.Context, *Request, Attempt) (*Reply, error) {
		return verifiedReply(status, io.NopCloser(strings.NewReader(text))), nil
	}
}

func refuseConnection(_ context.Context, _ *Request, a Attempt) (*Reply, error) {
	return nil, &endpoint.CallError{Address: a.Address, Err: errors.New("connection refused")}
}

func loseAnswer(_ context.Context, _ *Request, a Attempt) (*Reply, error) {
	return nil, &endpoint.CallError{Address: a.Address, MaybeSent: true, Err: io.EOF}
}

func declareNotRun(context.Context, *Request, Attempt) (*Reply, error) {
	return &Reply{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func neverAnswer(ctx context.Context, _ *Request, a Attempt) (*Reply, error) {
	<-ctx.Done()
	return nil, &endpoint.CallError{Address: a.Address, MaybeSent: true, Err: ctx.Err()}
}

// streamEvents sends one event per interval, from the one after ResumeAfter up to
// last, and then calls end.
func streamEvents(last int, interval time.Duration, end func(w *io.PipeWriter)) hostBehavior {
	return func(ctx context.Context, _ *Request, a Attempt) (*Reply, error) {
		reader, writer := io.Pipe()
		from, _ := strconv.Atoi(a.ResumeAfter)
		context.AfterFunc(ctx, func() { reader.CloseWithError(ctx.Err()) })
		go func() {
			for n := from + 1; n <= last; n++ {
				time.Sleep(interval)
				if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
					return
				}
			}
			end(writer)
		}()
		return verifiedReply(http.StatusOK, reader), nil
	}
}

func closeStream(w *io.PipeWriter)     { w.Close() }
func resetConnection(w *io.PipeWriter) { w.CloseWithError(errors.New("connection reset")) }
func truncateEvent(w *io.PipeWriter)   { fmt.Fprint(w, "id: 99\nda"); w.Close() }
func stall(w *io.PipeWriter)           { _ = w }

// testSetup is a Core with fake hosts.
type testSetup struct {
	core     *Core
	endpoint *fakeEndpoint
	route    fleet.Route
	hosts    []string
	// leaving makes the hosts leave once the first request has been placed, and
	// unregistered drops them from the host list then. firstLeaves makes only the host of
	// the first attempt leave.
	leaving, unregistered, firstLeaves bool
}

func newTestSetup(kind fleet.Kind, attempts int, behaviors map[string]hostBehavior) *testSetup {
	setup := &testSetup{endpoint: &fakeEndpoint{behaviors: behaviors}}
	setup.route = fleet.Route{
		Name: "route", Host: "example", Prefix: "/", Kind: kind, Timeout: 6 * time.Second, LatencyTarget: 250 * time.Millisecond, PauseTarget: 200 * time.Millisecond,
		MaxAttempts: attempts, Resumable: kind == fleet.KindStream, Targets: []fleet.WeightedService{{Service: "service", Weight: 1}},
	}
	for id := range behaviors {
		setup.hosts = append(setup.hosts, id)
	}
	return setup
}

func (setup *testSetup) start() {
	service := &fleet.Service{Name: "service"}
	if setup.route.Kind == fleet.KindStream {
		service.Engine = &fleet.Engine{
			Slots: 10, StepsPerPass: 5, ChunkTokens: 2048, StepTime: 6 * time.Millisecond, StepTimePerRequest: 240 * time.Microsecond,
			PrefillTokensPerSecond: 46000, Models: []fleet.Model{{Name: "m", Size: 1, TimeFactor: 0.6}},
		}
	}
	configuration := &fleet.Configuration{
		Revision: 1, Routes: []fleet.Route{setup.route}, Services: map[string]*fleet.Service{"service": service},
		Accounts: []fleet.Account{{Name: "account", Keys: []string{"key"}}},
	}
	configuration.Index()
	var hosts []*fleet.Host
	for _, id := range setup.hosts {
		hosts = append(hosts, &fleet.Host{ID: id, Service: "service", Address: "10.0.0." + id, State: fleet.HostReady, Slots: 10, LoadedModel: "m",
			Group: fleet.Membership{Name: "m." + id, Epoch: 1, State: fleet.MemberOpen}})
	}
	holder := &fleet.ViewHolder{}
	holder.Store(fleet.NewView(configuration, hosts, 1, time.Now(), true))
	if setup.leaving || setup.unregistered || setup.firstLeaves {
		time.AfterFunc(100*time.Millisecond, func() {
			holder.Store(fleet.NewView(configuration, setup.afterLeaving(hosts), 2, time.Now(), true))
		})
	}
	setup.core = New(Options{
		View: holder, Board: place.NewBoard(), Endpoint: setup.endpoint, Budget: Budget{Ratio: 0.2, Slack: 100}, Log: eventlog.Discard(),
		Metrics: tally.NoopScope, Poison: poison.New(), MayTryPoison: func() bool { return false }, ShareEvidence: func() {}, Refuse: func(w http.ResponseWriter, e *refusal.Error) { w.WriteHeader(e.Status) },
	})
}

// afterLeaving returns the registered hosts once some have left or are about to.
func (setup *testSetup) afterLeaving(hosts []*fleet.Host) []*fleet.Host {
	var registered []*fleet.Host
	for _, h := range hosts {
		leaving := *h
		leaving.State = fleet.HostLeaving
		switch {
		case setup.firstLeaves && h.ID != setup.endpoint.sent()[0].HostID:
			registered = append(registered, h)
		case !setup.unregistered:
			registered = append(registered, &leaving)
		}
	}
	return registered
}

// callerResult is what the caller received.
type callerResult struct {
	status  int
	header  http.Header
	body    string
	aborted bool
	took    time.Duration
}

func (setup *testSetup) serve(ctx context.Context) callerResult {
	recorder := httptest.NewRecorder()
	got := setup.serveTo(ctx, recorder)
	got.status, got.header, got.body = recorder.Code, recorder.Header(), recorder.Body.String()
	return got
}

// serveTo serves one request and writes the answer to w. The result says only whether
// the answer was aborted and how long it took.
func (setup *testSetup) serveTo(ctx context.Context, w http.ResponseWriter) (got callerResult) {
	request := &Request{
		ID: "id", Method: http.MethodPost, Target: "/x", Path: "/x", Host: "example", Header: http.Header{}, APIKey: "key",
		Received: time.Now(), TimeLimit: 5 * time.Second, Model: "m", PromptTokens: 100, MaxOutputTokens: 50,
	}
	started := time.Now()
	defer func() {
		if recovered := recover(); recovered != nil {
			if recovered != http.ErrAbortHandler {
				panic(recovered)
			}
			got.aborted = true
		}
		got.took = time.Since(started)
	}()
	setup.core.Serve(w, httptest.NewRequest(http.MethodPost, "/x", nil).WithContext(ctx), request)
	return got
}

// serveOnce serves one request in virtual time and passes the result to check.
func serveOnce(t *testing.T, setup *testSetup, check func(t *testing.T, got callerResult)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		setup.start()
		ctx, cancel := context.WithCancel(context.Background())
		got := setup.serve(ctx)
		cancel()
		time.Sleep(time.Second) // fake hosts end at their next event
		check(t, got)
	})
}

// eventsText returns the events that streamEvents sends with these numbers.
func eventsText(from, to int) string {
	var out bytes.Buffer
	for n := from; n <= to; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return out.String()
}

func TestPlainAnswerPassesUnchanged(t *testing.T) {
	serveOnce(t, newTestSetup(fleet.KindNonIdempotent, 1, map[string]hostBehavior{"a": answerWith(http.StatusTeapot, "tea")}), func(t *testing.T, got callerResult) {
		if got.status != http.StatusTeapot || got.body != "tea" {
			t.Errorf("got %d %q, want 418 tea", got.status, got.body)
		}
	})
}

// TestNonIdempotentStatusShowsWhetherRequestRan verifies that the status is 503
// only if no endpoint can have run the request.
func TestNonIdempotentStatusShowsWhetherRequestRan(t *testing.T) {
	for name, test := range map[string]struct {
		behavior hostBehavior
		want     int
	}{
		"no connection": {refuseConnection, http.StatusServiceUnavailable},
		"refused":       {declareNotRun, http.StatusServiceUnavailable},
		"answer lost":   {loseAnswer, http.StatusBadGateway},
		"silent":        {neverAnswer, http.StatusGatewayTimeout},
		"no proof": {func(context.Context, *Request, Attempt) (*Reply, error) {
			return &Reply{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("forged"))}, nil
		}, http.StatusBadGateway},
		"refusal of another request": {func(context.Context, *Request, Attempt) (*Reply, error) {
			return &Reply{Status: http.StatusServiceUnavailable, NotRun: true, WrongRequest: true, Body: io.NopCloser(strings.NewReader(""))}, nil
		}, http.StatusBadGateway},
	} {
		setup := newTestSetup(fleet.KindNonIdempotent, 1, map[string]hostBehavior{"a": test.behavior})
		serveOnce(t, setup, func(t *testing.T, got callerResult) {
			if got.status != test.want {
				t.Errorf("%s: got status %d, want %d", name, got.status, test.want)
			}
			if got.body == "forged" {
				t.Errorf("%s: an answer without proof was delivered", name)
			}
			if n := len(setup.endpoint.sent()); n != 1 {
				t.Errorf("%s: sent %d times, want 1", name, n)
			}
		})
	}
}

// TestNonIdempotentUsesAFreshConnection verifies that a non-idempotent request is
// never sent on an idle connection, which the endpoint may be closing.
func TestNonIdempotentUsesAFreshConnection(t *testing.T) {
	setup := newTestSetup(fleet.KindNonIdempotent, 1, map[string]hostBehavior{"a": answerWith(http.StatusOK, "")})
	serveOnce(t, setup, func(t *testing.T, _ callerResult) {
		if !setup.endpoint.sent()[0].FreshConnection {
			t.Error("a non-idempotent request was sent without FreshConnection, want it set")
		}
	})
}

// TestIdempotentRequestGoesToASecondEndpoint verifies that for each failure of the
// first endpoint, the second one answers within the latency target.
func TestIdempotentRequestGoesToASecondEndpoint(t *testing.T) {
	for name, behavior := range map[string]hostBehavior{
		"lost": loseAnswer, "silent": neverAnswer, "refused": declareNotRun, "unreachable": refuseConnection, "failure": answerWith(http.StatusInternalServerError, "no"),
	} {
		var once sync.Once
		failOnce := func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
			chosen := answerWith(http.StatusOK, "yes")
			once.Do(func() { chosen = behavior })
			return chosen(ctx, r, a)
		}
		setup := newTestSetup(fleet.KindIdempotent, 2, map[string]hostBehavior{"a": failOnce, "b": failOnce})
		serveOnce(t, setup, func(t *testing.T, got callerResult) {
			if got.status != http.StatusOK || got.body != "yes" || got.took > 250*time.Millisecond {
				t.Errorf("%s: got %d %q after %v, want 200 yes within the target", name, got.status, got.body, got.took)
			}
			if sent := setup.endpoint.sent(); len(sent) != 2 || sent[0].HostID == sent[1].HostID {
				t.Errorf("%s: got attempts %+v, want one at each endpoint", name, sent)
			}
		})
	}
}

// TestDeadlineShrinksWithEachAttempt verifies that an endpoint never gets more
// time than remains of the caller's limit.
func TestDeadlineShrinksWithEachAttempt(t *testing.T) {
	setup := newTestSetup(fleet.KindIdempotent, 2, map[string]hostBehavior{"a": neverAnswer, "b": neverAnswer})
	serveOnce(t, setup, func(t *testing.T, got callerResult) {
		sent := setup.endpoint.sent()
		if len(sent) != 2 || sent[0].TimeLeft > 5*time.Second || sent[1].TimeLeft >= sent[0].TimeLeft {
			t.Errorf("got attempts %+v, want two with at most 5s left and less in the second", sent)
		}
		if got.status != http.StatusGatewayTimeout || got.took != 5*time.Second {
			t.Errorf("got %d after %v, want 504 after the caller's 5s", got.status, got.took)
		}
	})
}

func TestStreamIsWholeAndInOrder(t *testing.T) {
	serveOnce(t, newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": streamEvents(8, 40*time.Millisecond, closeStream)}), func(t *testing.T, got callerResult) {
		if got.body != eventsText(1, 8) || got.aborted {
			t.Errorf("got aborted %t, want false; body:\n%s", got.aborted, got.body)
		}
	})
}

// TestStreamResumesAtAnotherEndpoint verifies that for each failure of the first
// endpoint within its stream, no event is missing, duplicated or truncated.
func TestStreamResumesAtAnotherEndpoint(t *testing.T) {
	for name, end := range map[string]func(*io.PipeWriter){"connection reset": resetConnection, "truncated event": truncateEvent, "stalled": stall} {
		var once sync.Once
		behavior := func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
			chosen := streamEvents(8, 40*time.Millisecond, closeStream)
			once.Do(func() { chosen = streamEvents(3, 40*time.Millisecond, end) })
			return chosen(ctx, r, a)
		}
		setup := newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": behavior, "b": behavior})
		serveOnce(t, setup, func(t *testing.T, got callerResult) {
			if got.body != eventsText(1, 8) || got.aborted {
				t.Errorf("%s: got aborted %t, want false; body:\n%s", name, got.aborted, got.body)
			}
			if sent := setup.endpoint.sent(); len(sent) != 2 || sent[1].ResumeAfter != "3" {
				t.Errorf("%s: got attempts %+v, want a second one after event 3", name, sent)
			}
			if got.took > 2*time.Second {
				t.Errorf("%s: took %v, want at most 2s, after which callers leave a silent stream", name, got.took)
			}
		})
	}
}

// TestLostConnectionBeforeAnswerIsNotAnEmptyStream guards against a connection
// that closes before any answer being taken for the clean end of a stream.
func TestLostConnectionBeforeAnswerIsNotAnEmptyStream(t *testing.T) {
	serveOnce(t, newTestSetup(fleet.KindStream, 1, map[string]hostBehavior{"a": loseAnswer}), func(t *testing.T, got callerResult) {
		if got.status != http.StatusBadGateway {
			t.Errorf("got status %d, want 502", got.status)
		}
	})
}

// TestRefusalCarriesNoEndpointProof guards against a stream that fails before its
// first event leaving the endpoint's proof in the headers of the refusal.
func TestRefusalCarriesNoEndpointProof(t *testing.T) {
	serveOnce(t, newTestSetup(fleet.KindStream, 1, map[string]hostBehavior{"a": streamEvents(0, 0, resetConnection)}), func(t *testing.T, got callerResult) {
		if got.status != http.StatusBadGateway || got.header.Get("X-Proof") != "" {
			t.Errorf("got status %d with proof %q, want 502 without proof", got.status, got.header.Get("X-Proof"))
		}
	})
	serveOnce(t, newTestSetup(fleet.KindStream, 1, map[string]hostBehavior{"a": streamEvents(2, time.Millisecond, closeStream)}), func(t *testing.T, got callerResult) {
		if got.header.Get("X-Proof") == "" {
			t.Error("a complete answer has no endpoint proof, want it")
		}
	})
}

// TestNonResumableStreamIsAborted verifies that a stream that may not be resumed
// neither runs twice nor appears complete.
func TestNonResumableStreamIsAborted(t *testing.T) {
	setup := newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": streamEvents(3, 40*time.Millisecond, resetConnection), "b": streamEvents(3, 40*time.Millisecond, resetConnection)})
	setup.route.Resumable = false
	serveOnce(t, setup, func(t *testing.T, got callerResult) {
		if !got.aborted || got.body != eventsText(1, 3) || len(setup.endpoint.sent()) != 1 {
			t.Errorf("got aborted %t after %d attempts, want true after 1; body:\n%s", got.aborted, len(setup.endpoint.sent()), got.body)
		}
	})
}

// TestSlowPassDoesNotMoveAStream verifies that streams stay at a group that is slow
// because it processes several prompts within one pass.
func TestSlowPassDoesNotMoveAStream(t *testing.T) {
	behavior := streamEvents(5, 180*time.Millisecond, closeStream)
	setup := newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": behavior, "b": behavior})
	serveOnce(t, setup, func(t *testing.T, got callerResult) {
		if n := len(setup.endpoint.sent()); n != 1 || got.body != eventsText(1, 5) {
			t.Errorf("got %d attempts, want 1; body:\n%s", n, got.body)
		}
	})
}

// TestCallerDisconnectEndsTheAttempt verifies that the attempt at the endpoint is
// canceled when the caller leaves.
func TestCallerDisconnectEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		setup := newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
			context.AfterFunc(ctx, func() { ended <- time.Now() })
			return streamEvents(1000, 40*time.Millisecond, closeStream)(ctx, r, a)
		}})
		setup.start()
		ctx, cancel := context.WithCancel(context.Background())
		var left time.Time
		time.AfterFunc(300*time.Millisecond, func() { left = time.Now(); cancel() })
		setup.serve(ctx)
		if took := (<-ended).Sub(left); took > 500*time.Millisecond {
			t.Errorf("the attempt ended %v after the caller left, want at most 500ms", took)
		}
		time.Sleep(time.Second) // the fake host ends at its next event
		if n := setup.core.Board.InFlight()["a"]; n != 0 {
			t.Errorf("got %d requests in flight after the end, want 0", n)
		}
	})
}

// TestAuthorization checks the status for each failed lookup, also on a node
// without a configuration.
func TestAuthorization(t *testing.T) {
	for name, test := range map[string]struct {
		change func(setup *testSetup)
		want   int
	}{
		"known key":        {func(*testSetup) {}, http.StatusOK},
		"other host":       {func(setup *testSetup) { setup.route.Host = "elsewhere" }, http.StatusNotFound},
		"other path":       {func(setup *testSetup) { setup.route.Prefix = "/y/" }, http.StatusNotFound},
		"unknown key":      {func(setup *testSetup) { setup.core.View.Load().Configuration.Accounts[0].Keys[0] = "else" }, http.StatusUnauthorized},
		"no configuration": {func(setup *testSetup) { setup.core.View.Store(fleet.NewView(nil, nil, 0, time.Time{}, false)) }, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			setup := newTestSetup(fleet.KindNonIdempotent, 1, map[string]hostBehavior{"a": answerWith(http.StatusOK, "")})
			if name == "other host" || name == "other path" {
				test.change(setup)
			}
			setup.start()
			test.change(setup)
			if c := setup.core.View.Load().Configuration; c != nil {
				c.Index()
			}
			if got := setup.serve(context.Background()); got.status != test.want {
				t.Errorf("%s: got status %d, want %d", name, got.status, test.want)
			}
		})
	}
}

// TestRetryBudgetIsSharedByTheNodes verifies that one of four nodes makes at most
// 20% retries plus a quarter of the slack of 100.
func TestRetryBudgetIsSharedByTheNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setup := newTestSetup(fleet.KindIdempotent, 2, map[string]hostBehavior{"a": loseAnswer, "b": loseAnswer})
		setup.start()
		for _, node := range []string{"n1", "n2", "n3"} {
			setup.core.Board.Merge(node, nil, 1, nil, time.Now())
		}
		const requests = 100
		for range requests {
			setup.serve(context.Background())
		}
		retries := len(setup.endpoint.sent()) - requests
		if maxRetries := int(0.2*requests + 100.0/4); retries > maxRetries || retries == 0 {
			t.Errorf("got %d retries of %d requests at one of four nodes, want 1 to %d", retries, requests, maxRetries)
		}
	})
}

// TestPanicEndsOnlyItsRequest verifies that a panic while a request is handled ends
// that request without a success, and releases its place at the host.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	panics := func(context.Context, *Request, Attempt) (*Reply, error) { panic("unexpected") }
	for _, kind := range []fleet.Kind{fleet.KindNonIdempotent, fleet.KindIdempotent, fleet.KindStream} {
		t.Run(kind.String(), func(t *testing.T) {
			setup := newTestSetup(kind, 1, map[string]hostBehavior{"a": panics})
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if !got.aborted && got.status < http.StatusInternalServerError {
					t.Errorf("got status %d, want an aborted answer or a server error", got.status)
				}
				if inFlight := setup.core.Board.InFlight(); len(inFlight) != 0 {
					t.Errorf("got requests in flight %v after the panic, want none", inFlight)
				}
			})
		})
	}
}
