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
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

// script is what a fake host does with an attempt.
type script func(ctx context.Context, r *Request, a Attempt) (*Reply, error)

// fakeEndpoint plays one script for each host and records the attempts.
type fakeEndpoint struct {
	mu       sync.Mutex
	scripts  map[string]script
	attempts []Attempt
}

func (f *fakeEndpoint) Send(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
	f.mu.Lock()
	f.attempts = append(f.attempts, a)
	play := f.scripts[a.HostID]
	f.mu.Unlock()
	return play(ctx, r, a)
}

func (f *fakeEndpoint) sent() []Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Attempt(nil), f.attempts...)
}

func genuine(status int, body io.ReadCloser) *Reply {
	return &Reply{Status: status, Header: http.Header{"X-Proof": {"yes"}}, Genuine: true, Body: body}
}

func whole(status int, text string) script {
	return func(context.Context, *Request, Attempt) (*Reply, error) {
		return genuine(status, io.NopCloser(strings.NewReader(text))), nil
	}
}

func unreachable(_ context.Context, _ *Request, a Attempt) (*Reply, error) {
	return nil, &endpoint.CallError{Address: a.Address, Err: errors.New("connection refused")}
}

func lost(_ context.Context, _ *Request, a Attempt) (*Reply, error) {
	return nil, &endpoint.CallError{Address: a.Address, Handed: true, Err: io.EOF}
}

func notRun(context.Context, *Request, Attempt) (*Reply, error) {
	return &Reply{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func silent(ctx context.Context, _ *Request, a Attempt) (*Reply, error) {
	<-ctx.Done()
	return nil, &endpoint.CallError{Address: a.Address, Handed: true, Err: ctx.Err()}
}

// events streams pieces from after the resumed event up to last, one each
// period, and then does end.
func events(last int, period time.Duration, end func(w *io.PipeWriter)) script {
	return func(ctx context.Context, _ *Request, a Attempt) (*Reply, error) {
		reader, writer := io.Pipe()
		from, _ := strconv.Atoi(a.ResumeAfter)
		context.AfterFunc(ctx, func() { reader.CloseWithError(ctx.Err()) })
		go func() {
			for n := from + 1; n <= last; n++ {
				time.Sleep(period)
				if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
					return
				}
			}
			end(writer)
		}()
		return genuine(http.StatusOK, reader), nil
	}
}

func finish(w *io.PipeWriter)     { w.Close() }
func breakOff(w *io.PipeWriter)   { w.CloseWithError(errors.New("connection reset")) }
func tearEvent(w *io.PipeWriter)  { fmt.Fprint(w, "id: 99\nda"); w.Close() }
func standStill(w *io.PipeWriter) { _ = w }

// bench is a core over fake hosts.
type bench struct {
	core     *Core
	endpoint *fakeEndpoint
	route    fleet.Route
	hosts    []string
}

func newBench(kind fleet.Kind, attempts int, scripts map[string]script) *bench {
	b := &bench{endpoint: &fakeEndpoint{scripts: scripts}}
	b.route = fleet.Route{
		Name: "route", Host: "example", Prefix: "/", Kind: kind, Timeout: 6 * time.Second, Target: 250 * time.Millisecond, PauseTarget: 200 * time.Millisecond,
		MaxAttempts: attempts, Resumable: kind == fleet.KindStream, Targets: []fleet.WeightedService{{Service: "service", Weight: 1}},
	}
	for id := range scripts {
		b.hosts = append(b.hosts, id)
	}
	return b
}

func (b *bench) start() {
	service := &fleet.Service{Name: "service"}
	if b.route.Kind == fleet.KindStream {
		service.Engine = &fleet.Engine{
			Slots: 10, StepsPerPass: 5, ChunkTokens: 2048, StepTime: 6 * time.Millisecond, StepTimePerRequest: 240 * time.Microsecond,
			ReadTokensPerSecond: 46000, Models: []fleet.Model{{Name: "m", Size: 1, Pace: 0.6}},
		}
	}
	configuration := &fleet.Configuration{
		Revision: 1, Routes: []fleet.Route{b.route}, Services: map[string]*fleet.Service{"service": service},
		Accounts: []fleet.Account{{Name: "account", Keys: []string{"key"}}},
	}
	configuration.Index()
	var hosts []*fleet.Host
	for _, id := range b.hosts {
		hosts = append(hosts, &fleet.Host{ID: id, Service: "service", Address: "10.0.0.1:1", State: fleet.HostReady, Slots: 10, LoadedModel: "m",
			Group: fleet.Membership{Name: "m." + id, Epoch: 1, State: fleet.MemberOpen}})
	}
	holder := &fleet.Holder{}
	holder.Store(fleet.NewView(configuration, hosts, 1, time.Now(), true))
	b.core = New(Options{
		View: holder, Board: place.NewBoard(), Endpoint: b.endpoint, Budget: Budget{Ratio: 0.2, Slack: 100}, Log: eventlog.Discard(),
		Metrics: tally.NoopScope, Refuse: func(w http.ResponseWriter, e *refusal.Error) { w.WriteHeader(e.Status) },
	})
}

// outcome is what the caller saw.
type outcome struct {
	status  int
	header  http.Header
	body    string
	aborted bool
	took    time.Duration
}

func (b *bench) serve(ctx context.Context) (o outcome) {
	recorder := httptest.NewRecorder()
	request := &Request{
		ID: "id", Method: http.MethodPost, Target: "/x", Path: "/x", Host: "example", Header: http.Header{}, Key: "key",
		Received: time.Now(), TimeLimit: 5 * time.Second, Model: "m", PromptTokens: 100, MaxOutputTokens: 50,
	}
	started := time.Now()
	defer func() {
		if recovered := recover(); recovered != nil {
			if recovered != http.ErrAbortHandler {
				panic(recovered)
			}
			o.aborted = true
		}
		o.status, o.header, o.body, o.took = recorder.Code, recorder.Header(), recorder.Body.String(), time.Since(started)
	}()
	b.core.Serve(recorder, httptest.NewRequest(http.MethodPost, "/x", nil).WithContext(ctx), request)
	return o
}

// run plays one request in virtual time.
func run(t *testing.T, b *bench, check func(t *testing.T, o outcome)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b.start()
		ctx, cancel := context.WithCancel(context.Background())
		o := b.serve(ctx)
		cancel()
		time.Sleep(time.Second) // fake hosts notice at their next piece
		check(t, o)
	})
}

func pieces(from, to int) string {
	var out bytes.Buffer
	for n := from; n <= to; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return out.String()
}

func TestPlainAnswerPassesUnchanged(t *testing.T) {
	run(t, newBench(fleet.KindNonIdempotent, 1, map[string]script{"a": whole(http.StatusTeapot, "tea")}), func(t *testing.T, o outcome) {
		if o.status != http.StatusTeapot || o.body != "tea" {
			t.Errorf("%d %q, want 418 tea", o.status, o.body)
		}
	})
}

// TestNonIdempotentStatusTellsWhetherItRan holds that 503 is only said where
// no endpoint can have run the request.
func TestNonIdempotentStatusTellsWhetherItRan(t *testing.T) {
	for name, test := range map[string]struct {
		play script
		want int
	}{
		"no connection": {unreachable, http.StatusServiceUnavailable},
		"refused":       {notRun, http.StatusServiceUnavailable},
		"answer lost":   {lost, http.StatusBadGateway},
		"silent":        {silent, http.StatusGatewayTimeout},
		"no proof": {func(context.Context, *Request, Attempt) (*Reply, error) {
			return &Reply{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("forged"))}, nil
		}, http.StatusBadGateway},
		"other's refusal": {func(context.Context, *Request, Attempt) (*Reply, error) {
			return &Reply{Status: http.StatusServiceUnavailable, NotRun: true, Other: true, Body: io.NopCloser(strings.NewReader(""))}, nil
		}, http.StatusBadGateway},
	} {
		b := newBench(fleet.KindNonIdempotent, 1, map[string]script{"a": test.play})
		run(t, b, func(t *testing.T, o outcome) {
			if o.status != test.want {
				t.Errorf("%s: status %d, want %d", name, o.status, test.want)
			}
			if o.body == "forged" {
				t.Errorf("%s: an answer without proof was delivered", name)
			}
			if n := len(b.endpoint.sent()); n != 1 {
				t.Errorf("%s: sent %d times, want 1", name, n)
			}
		})
	}
}

// TestNonIdempotentUsesAFreshConnection holds the reason why no request meets
// a connection that the endpoint is closing.
func TestNonIdempotentUsesAFreshConnection(t *testing.T) {
	b := newBench(fleet.KindNonIdempotent, 1, map[string]script{"a": whole(http.StatusOK, "")})
	run(t, b, func(t *testing.T, _ outcome) {
		if !b.endpoint.sent()[0].FreshConnection {
			t.Error("a non-idempotent request was sent on a kept connection")
		}
	})
}

// TestIdempotentRequestGoesToASecondEndpoint plays each failure of the first
// endpoint; the second one answers in time.
func TestIdempotentRequestGoesToASecondEndpoint(t *testing.T) {
	for name, play := range map[string]script{
		"lost": lost, "silent": silent, "refused": notRun, "unreachable": unreachable, "failure": whole(http.StatusInternalServerError, "no"),
	} {
		var once sync.Once
		first := func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
			chosen := whole(http.StatusOK, "yes")
			once.Do(func() { chosen = play })
			return chosen(ctx, r, a)
		}
		b := newBench(fleet.KindIdempotent, 2, map[string]script{"a": first, "b": first})
		run(t, b, func(t *testing.T, o outcome) {
			if o.status != http.StatusOK || o.body != "yes" || o.took > 250*time.Millisecond {
				t.Errorf("%s: %d %q after %v, want 200 yes within the target", name, o.status, o.body, o.took)
			}
			if sent := b.endpoint.sent(); len(sent) != 2 || sent[0].HostID == sent[1].HostID {
				t.Errorf("%s: attempts %+v, want one at each endpoint", name, sent)
			}
		})
	}
}

// TestDeadlineShrinksWithEachAttempt holds that an endpoint never gets more
// time than is left.
func TestDeadlineShrinksWithEachAttempt(t *testing.T) {
	b := newBench(fleet.KindIdempotent, 2, map[string]script{"a": silent, "b": silent})
	run(t, b, func(t *testing.T, o outcome) {
		sent := b.endpoint.sent()
		if len(sent) != 2 || sent[0].TimeLeft > 5*time.Second || sent[1].TimeLeft >= sent[0].TimeLeft {
			t.Errorf("time left %+v, want at most 5s and falling", sent)
		}
		if o.status != http.StatusGatewayTimeout || o.took != 5*time.Second {
			t.Errorf("%d after %v, want 504 after the caller's 5s", o.status, o.took)
		}
	})
}

func TestStreamIsWholeAndInOrder(t *testing.T) {
	run(t, newBench(fleet.KindStream, 2, map[string]script{"a": events(8, 40*time.Millisecond, finish)}), func(t *testing.T, o outcome) {
		if o.body != pieces(1, 8) || o.aborted {
			t.Errorf("aborted %t, body:\n%s", o.aborted, o.body)
		}
	})
}

// TestStreamGoesOnElsewhere plays each way in which the first endpoint fails
// in its stream: no piece is missing, twice, or torn.
func TestStreamGoesOnElsewhere(t *testing.T) {
	for name, end := range map[string]func(*io.PipeWriter){"broken off": breakOff, "torn event": tearEvent, "stalled": standStill} {
		var once sync.Once
		play := func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
			chosen := events(8, 40*time.Millisecond, finish)
			once.Do(func() { chosen = events(3, 40*time.Millisecond, end) })
			return chosen(ctx, r, a)
		}
		b := newBench(fleet.KindStream, 2, map[string]script{"a": play, "b": play})
		run(t, b, func(t *testing.T, o outcome) {
			if o.body != pieces(1, 8) || o.aborted {
				t.Errorf("%s: aborted %t, body:\n%s", name, o.aborted, o.body)
			}
			if sent := b.endpoint.sent(); len(sent) != 2 || sent[1].ResumeAfter != "3" {
				t.Errorf("%s: attempts %+v, want a second one after event 3", name, sent)
			}
			if o.took > 2*time.Second {
				t.Errorf("%s: took %v; a caller leaves after two seconds of silence", name, o.took)
			}
		})
	}
}

// TestLostConnectionBeforeTheAnswerIsNoEmptyStream holds the fault found on
// the bench: a connection that closed before any answer counted as the clean
// end of a stream.
func TestLostConnectionBeforeTheAnswerIsNoEmptyStream(t *testing.T) {
	run(t, newBench(fleet.KindStream, 1, map[string]script{"a": lost}), func(t *testing.T, o outcome) {
		if o.status != http.StatusBadGateway {
			t.Errorf("status %d, want 502", o.status)
		}
	})
}

// TestFailureCarriesNoProof holds the fault found on the bench: a stream that
// broke off before its first event left the endpoint's proof on the refusal.
func TestFailureCarriesNoProof(t *testing.T) {
	run(t, newBench(fleet.KindStream, 1, map[string]script{"a": events(0, 0, breakOff)}), func(t *testing.T, o outcome) {
		if o.status != http.StatusBadGateway || o.header.Get("X-Proof") != "" {
			t.Errorf("status %d with proof %q, want 502 without", o.status, o.header.Get("X-Proof"))
		}
	})
	run(t, newBench(fleet.KindStream, 1, map[string]script{"a": events(2, time.Millisecond, finish)}), func(t *testing.T, o outcome) {
		if o.header.Get("X-Proof") == "" {
			t.Error("a whole answer lacks the endpoint's proof")
		}
	})
}

// TestStreamWithoutResumeIsCut holds that a stream that may not be resumed
// neither runs twice nor looks complete.
func TestStreamWithoutResumeIsCut(t *testing.T) {
	b := newBench(fleet.KindStream, 2, map[string]script{"a": events(3, 40*time.Millisecond, breakOff), "b": events(3, 40*time.Millisecond, breakOff)})
	b.route.Resumable = false
	run(t, b, func(t *testing.T, o outcome) {
		if !o.aborted || o.body != pieces(1, 3) || len(b.endpoint.sent()) != 1 {
			t.Errorf("aborted %t after %d attempts, body:\n%s", o.aborted, len(b.endpoint.sent()), o.body)
		}
	})
}

// TestSlowPassDoesNotMoveAStream holds that a group that reads several prompts
// within one pass keeps its streams.
func TestSlowPassDoesNotMoveAStream(t *testing.T) {
	play := events(5, 180*time.Millisecond, finish)
	b := newBench(fleet.KindStream, 2, map[string]script{"a": play, "b": play})
	run(t, b, func(t *testing.T, o outcome) {
		if n := len(b.endpoint.sent()); n != 1 || o.body != pieces(1, 5) {
			t.Errorf("%d attempts, want 1; body:\n%s", n, o.body)
		}
	})
}

// TestCallerThatLeavesEndsTheAttempt holds that the endpoint is let go at
// once.
func TestCallerThatLeavesEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		b := newBench(fleet.KindStream, 2, map[string]script{"a": func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
			context.AfterFunc(ctx, func() { ended <- time.Now() })
			return events(1000, 40*time.Millisecond, finish)(ctx, r, a)
		}})
		b.start()
		ctx, cancel := context.WithCancel(context.Background())
		var left time.Time
		time.AfterFunc(300*time.Millisecond, func() { left = time.Now(); cancel() })
		b.serve(ctx)
		if took := (<-ended).Sub(left); took > 500*time.Millisecond {
			t.Errorf("the attempt ended %v after the caller left", took)
		}
		time.Sleep(time.Second) // the fake host notices at its next piece
		if n := b.core.Board.InFlight()["a"]; n != 0 {
			t.Errorf("%d requests in flight after the end", n)
		}
	})
}

// TestAuthorization holds the order of checks and that a node without a
// configuration promises nothing but a later try.
func TestAuthorization(t *testing.T) {
	for name, test := range map[string]struct {
		spoil func(b *bench)
		want  int
	}{
		"known key":     {func(*bench) {}, http.StatusOK},
		"other host":    {func(b *bench) { b.route.Host = "elsewhere" }, http.StatusNotFound},
		"other path":    {func(b *bench) { b.route.Prefix = "/y/" }, http.StatusNotFound},
		"no such key":   {func(b *bench) { b.core.View.Load().Configuration.Accounts[0].Keys[0] = "else" }, http.StatusUnauthorized},
		"no configured": {func(b *bench) { b.core.View.Store(fleet.NewView(nil, nil, 0, time.Time{}, false)) }, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(fleet.KindNonIdempotent, 1, map[string]script{"a": whole(http.StatusOK, "")})
			if name == "other host" || name == "other path" {
				test.spoil(b)
			}
			b.start()
			test.spoil(b)
			if c := b.core.View.Load().Configuration; c != nil {
				c.Index()
			}
			if o := b.serve(context.Background()); o.status != test.want {
				t.Errorf("%s: status %d, want %d", name, o.status, test.want)
			}
		})
	}
}

// TestRetryBudgetIsSharedByTheNodes holds one node's part of the fleet's
// budget: with four nodes and a slack of 100 it makes at most its quarter.
func TestRetryBudgetIsSharedByTheNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(fleet.KindIdempotent, 2, map[string]script{"a": lost, "b": lost})
		b.start()
		for _, node := range []string{"n1", "n2", "n3"} {
			b.core.Board.Merge(node, nil, 1, nil, time.Now())
		}
		const requests = 100
		for range requests {
			b.serve(context.Background())
		}
		retries := len(b.endpoint.sent()) - requests
		if most := int(0.2*requests + 100.0/4); retries > most || retries == 0 {
			t.Errorf("%d retries of %d requests at one of four nodes, want 1 to %d", retries, requests, most)
		}
	})
}
