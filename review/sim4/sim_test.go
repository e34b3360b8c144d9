//go:build review

// Package sim4 plays forward.Core in virtual time with hosts that fail in random ways, and looks for
// breaks of TWICE, REFUSED, MIXED and ORDER. SEED and COUNT choose the plays.
package sim4

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/forward"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

const last = 12

type world struct {
	mu   sync.Mutex
	r    *rand.Rand
	runs map[string]int
	log  map[string][]string
}

func (w *world) chance(p float64) bool { w.mu.Lock(); defer w.mu.Unlock(); return w.r.Float64() < p }
func (w *world) upTo(ms int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.r.Intn(ms)) * time.Millisecond
}
func (w *world) ran(id, host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
	w.log[id] = append(w.log[id], "ran at "+host)
}
func (w *world) note(id, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log[id] = append(w.log[id], text)
}

func (w *world) Gone(context.Context, string) bool {
	time.Sleep(time.Millisecond)
	return w.chance(0.3)
}

func (w *world) Send(ctx context.Context, r *forward.Request, a forward.Attempt) (*forward.Reply, error) {
	w.mu.Lock()
	kind := w.r.Intn(14)
	w.mu.Unlock()
	lost := func(err error, sent bool) (*forward.Reply, error) {
		return nil, &endpoint.CallError{Address: a.Address, MaybeSent: sent, Err: err}
	}
	wait := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := wait(w.upTo(20)); err != nil {
		return lost(err, false)
	}
	w.note(r.ID, fmt.Sprintf("attempt at %s kind %d after %q", a.HostID, kind, a.ResumeAfter))
	plain := !strings.HasPrefix(r.Target, "/stream") && !strings.HasPrefix(r.Target, "/once")
	switch kind {
	case 0:
		return lost(errors.New("refused"), false)
	case 1: // runs, and its answer is lost
		w.ran(r.ID, a.HostID)
		_ = wait(w.upTo(800))
		return lost(io.EOF, true)
	case 2: // never runs, and no answer
		<-ctx.Done()
		return lost(ctx.Err(), true)
	case 3:
		_ = wait(w.upTo(300))
		return &forward.Reply{Status: 503, NotRun: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
	case 4:
		return &forward.Reply{Status: 421, NotRun: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
	case 5: // bytes of another request
		w.ran(r.ID, a.HostID)
		return &forward.Reply{Status: 200, WrongRequest: true, NotRun: w.chance(0.5), Header: http.Header{}, Body: io.NopCloser(strings.NewReader("other"))}, nil
	case 6:
		w.ran(r.ID, a.HostID)
		if err := wait(w.upTo(500)); err != nil {
			return lost(err, true)
		}
		return &forward.Reply{Status: 500, Verified: true, Header: http.Header{"Seal": {"x"}}, Body: io.NopCloser(strings.NewReader("failed"))}, nil
	}
	w.ran(r.ID, a.HostID)
	if plain {
		if err := wait(w.upTo(700)); err != nil {
			return lost(err, true)
		}
		reader, writer := io.Pipe()
		context.AfterFunc(ctx, func() { reader.CloseWithError(ctx.Err()) })
		cut := kind == 7
		go func() {
			_, _ = io.WriteString(writer, "answer ")
			time.Sleep(w.upTo(200))
			if cut {
				writer.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			_, _ = io.WriteString(writer, r.ID)
			writer.Close()
		}()
		return &forward.Reply{Status: 200, Verified: true, Header: http.Header{"Seal": {"x"}}, Body: reader}, nil
	}
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { reader.CloseWithError(ctx.Err()) })
	from, _ := strconv.Atoi(a.ResumeAfter)
	w.mu.Lock()
	cutAt, silentAt, silence, step := last+1, last+1, time.Duration(0), time.Duration(10+w.r.Intn(120))*time.Millisecond
	if kind <= 9 {
		cutAt = from + w.r.Intn(last+1-from+1)
	}
	if kind == 9 || kind >= 10 && w.r.Intn(2) == 0 {
		silentAt, silence = from+1+w.r.Intn(last-min(from, last-1)), time.Duration(200+w.r.Intn(3000))*time.Millisecond
	}
	first := time.Duration(w.r.Intn(600)) * time.Millisecond
	inEvent := w.r.Intn(2) == 0
	w.mu.Unlock()
	go func() {
		time.Sleep(first)
		for n := from + 1; n <= last; n++ {
			if n == silentAt {
				time.Sleep(silence)
			}
			if n >= cutAt {
				if inEvent {
					_, _ = fmt.Fprintf(writer, "id: %d\ndat", n)
				}
				writer.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			time.Sleep(step)
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s piece %d\n\n", n, r.ID, n); err != nil {
				return
			}
		}
		writer.Close()
	}()
	return &forward.Reply{Status: 200, Verified: true, Header: http.Header{"Seal": {"x"}}, Body: reader}, nil
}

type result struct {
	status  int
	body    string
	aborted bool
	took    time.Duration
	at      time.Time
	seal    bool
}

func play(t *testing.T, seed int64) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{r: rand.New(rand.NewSource(seed)), runs: map[string]int{}, log: map[string][]string{}}
		engine := &fleet.Engine{Slots: 10, StepsPerPass: 5, ChunkTokens: 2048, StepTime: 6 * time.Millisecond, PrefillTokensPerSecond: 46000, Models: []fleet.Model{{Name: "m", Size: 1, TimeFactor: 0.6}}}
		attempts := 1 + w.r.Intn(3)
		route := func(name string, kind fleet.Kind, service string, resumable bool) fleet.Route {
			return fleet.Route{Name: name, Host: "example", Prefix: "/" + name + "/", Kind: kind, Timeout: 6 * time.Second, LatencyTarget: 250 * time.Millisecond, PauseTarget: 200 * time.Millisecond, SilenceTimeout: 2 * time.Second,
				MaxAttempts: attempts, Resumable: resumable, Targets: []fleet.WeightedService{{Service: service, Weight: 1}}}
		}
		configuration := &fleet.Configuration{Revision: 1, Routes: []fleet.Route{route("stream", fleet.KindStream, "models", true), route("once", fleet.KindStream, "models", false), route("safe", fleet.KindIdempotent, "desk", false), route("unsafe", fleet.KindNonIdempotent, "desk", false)},
			Services: map[string]*fleet.Service{"models": {Name: "models", Engine: engine}, "desk": {Name: "desk"}}}
		configuration.Index()
		var hosts []*fleet.Host
		for i := range 2 + w.r.Intn(4) {
			hosts = append(hosts, &fleet.Host{ID: fmt.Sprintf("m%d", i), Service: "models", Address: fmt.Sprintf("a%d", i), Slots: 10, LoadedModel: "m", Group: fleet.Membership{Name: fmt.Sprintf("m.%d", i), Epoch: 1, State: fleet.MemberOpen}},
				&fleet.Host{ID: fmt.Sprintf("p%d", i), Service: "desk", Address: fmt.Sprintf("b%d", i), Slots: 10})
		}
		holder := &fleet.ViewHolder{}
		holder.Store(fleet.NewView(configuration, hosts, 1, time.Now(), true))
		var ends time.Time
		var endsMu sync.Mutex
		core := forward.New(forward.Options{View: holder, Board: place.NewBoard(), Endpoint: w, Budget: forward.Budget{Ratio: 0.5, Slack: 100}, Log: eventlog.Discard(), Metrics: tally.NoopScope, Poison: poison.New(),
			MayTryPoison: func() bool { return false }, ShareEvidence: func() {}, Refuse: func(rw http.ResponseWriter, e *refusal.Error) { rw.WriteHeader(e.Status) },
			RequestsEnd: func() time.Time { endsMu.Lock(); defer endsMu.Unlock(); return ends }})
		ctx, cancel := context.WithCancelCause(context.Background())
		bg, stopChecks := context.WithCancel(context.Background())
		go core.RunCrashChecks(bg)
		var group sync.WaitGroup
		results := map[string]result{}
		var mu sync.Mutex
		kinds := []string{"stream", "once", "safe", "unsafe"}
		for i := range 24 {
			kind := kinds[w.r.Intn(4)]
			id := fmt.Sprintf("%s%d", kind, i)
			delay, limit := w.upTo(4000), 1500*time.Millisecond+w.upTo(5000)
			leaves := w.chance(0.1)
			group.Go(func() {
				time.Sleep(delay)
				rctx, left := context.WithCancel(ctx)
				defer left()
				if leaves {
					time.AfterFunc(w.upTo(1500), left)
				}
				recorder := httptest.NewRecorder()
				started := time.Now()
				got := result{}
				func() {
					defer func() {
						if r := recover(); r != nil {
							if r != http.ErrAbortHandler {
								panic(r)
							}
							got.aborted = true
						}
					}()
					request := &forward.Request{ID: id, Method: http.MethodPost, Target: "/" + kind + "/x", Path: "/" + kind + "/x", Host: "example", Header: http.Header{}, Received: time.Now(), TimeLimit: limit, PromptTokens: 100, MaxOutputTokens: 50, Body: []byte(id)}
					if kind == "stream" || kind == "once" {
						request.Model = "m"
					}
					core.Serve(recorder, httptest.NewRequest(http.MethodPost, "/x", nil).WithContext(rctx), request)
				}()
				got.status, got.body, got.took, got.seal = recorder.Code, recorder.Body.String(), time.Since(started), recorder.Header().Get("Seal") != ""
				if rctx.Err() != nil && ctx.Err() == nil {
					got.aborted = true // the caller left
				}
				if got.took > limit+600*time.Millisecond {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("LATE %s after %v of %v", id, got.took, limit))
					mu.Unlock()
				}
				mu.Lock()
				results[id] = got
				mu.Unlock()
			})
		}
		if w.chance(0.3) {
			at := w.upTo(6000)
			endsMu.Lock()
			ends = time.Now().Add(at)
			endsMu.Unlock()
			time.AfterFunc(at, func() { cancel(refusal.New(refusal.KindNodeStopping, 503, "stops")) })
		}
		group.Wait()
		time.Sleep(10 * time.Second)
		cancel(nil)
		stopChecks()
		time.Sleep(5 * time.Second)
		var whole strings.Builder
		for id, got := range results {
			once := strings.HasPrefix(id, "once") || strings.HasPrefix(id, "unsafe")
			isStream := strings.HasPrefix(id, "once") || strings.HasPrefix(id, "stream")
			fail := func(text string) {
				broken = append(broken, fmt.Sprintf("%s %s: status %d aborted %t body %q: %v", text, id, got.status, got.aborted, got.body, w.log[id]))
			}
			if once && w.runs[id] > 1 {
				fail("TWICE")
			}
			if once && !got.aborted && (got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421) && w.runs[id] > 0 {
				fail("REFUSED")
			}
			if got.status != 200 || got.body == "" && got.aborted {
				continue
			}
			if !isStream {
				if !got.aborted && (got.body != "answer "+id || !got.seal) {
					fail("MIXED")
				}
				continue
			}
			whole.Reset()
			for n := 1; n <= last; n++ {
				fmt.Fprintf(&whole, "id: %d\ndata: %s piece %d\n\n", n, id, n)
			}
			if !strings.HasPrefix(whole.String(), got.body) || !got.aborted && got.body != whole.String() {
				fail("ORDER")
			}
		}
	})
	return broken
}

func TestPlays(t *testing.T) {
	first, count := int64(1), 50
	if n, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64); err == nil {
		first = n
	}
	if n, err := strconv.Atoi(os.Getenv("COUNT")); err == nil {
		count = n
	}
	for i := range count {
		if broken := play(t, first+int64(i)); len(broken) > 0 {
			fmt.Printf("seed %d: %d %.900v\n", first+int64(i), len(broken), broken[0])
		}
	}
}
