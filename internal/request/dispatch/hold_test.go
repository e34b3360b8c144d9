package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/queue"
	"currantladder.example/currantladder/internal/request/suspect"
	"currantladder.example/currantladder/internal/standin/memnet"
)

const (
	holdGroups = 8
	// copyFingerprint and copyPrompt are those of the requests that are copies of each
	// other.
	copyFingerprint = 7
	copyPrompt      = "copy"
)

// trackedSuspects refuses and isolates as a tracker decides.
type trackedSuspects struct{ *suspect.Tracker }

func (s trackedSuspects) Check(fingerprint uint64, now time.Time) (refuse, isolate bool) {
	v := s.Verdict(fingerprint, now)
	return v.Refuse, v.Isolate
}

// holdTest is a home in virtual time with one idle engine for each of holdGroups groups.
type holdTest struct {
	home    *Home
	tracker *suspect.Tracker
	// runs is the number of runs that began, running the number of those at work.
	runs, running, mostRunning atomic.Int32
	crashed                    atomic.Int32
	// used lists the groups of the earlier copies.
	mu   sync.Mutex
	used []string
}

// inHold runs body with a home whose engines work for runTime on each run, also after
// its caller left. Then they answer, or crash if crash is true and the run is a copy.
func inHold(t *testing.T, runTime time.Duration, crash bool, body func(*holdTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &holdTest{tracker: suspect.New()}
		var network memnet.Network
		var targets []Target
		for g := range holdGroups {
			address := fmt.Sprintf("e%d:80", g)
			server := network.Serve(address, d.engine(runTime, crash))
			defer server.Close()
			targets = append(targets, Target{Group: fmt.Sprintf("g%d", g), Address: address, Slots: 4})
		}
		ctx, cancel := context.WithCancel(context.Background())
		client := endpoint.NewClientOver(network.Dial)
		d.home = NewHome(ctx, client, trackedSuspects{d.tracker}, func(group string, fingerprints []uint64) {
			d.tracker.Lost(suspect.Loss{Endpoint: group, InFlight: fingerprints}, time.Now())
		})
		d.home.Configure([]queue.Rank{{Name: "urgent", Priority: 1, QueueBound: 64}}, map[string][]Target{"m": targets})
		body(d)
		time.Sleep(maxHold + runTime + 2*departedWindow)
		cancel()
		d.home.Wait()
		client.Close()
	})
}

// engine returns the handler of one engine.
func (d *holdTest) engine(runTime time.Duration, crash bool) http.Handler {
	var gone atomic.Bool
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", func(w http.ResponseWriter, r *http.Request) {
		var request endpoint.GenerateRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil || gone.Load() {
			panic(http.ErrAbortHandler)
		}
		readBody(r)
		d.runs.Add(1)
		running := d.running.Add(1)
		for most := d.mostRunning.Load(); running > most && !d.mostRunning.CompareAndSwap(most, running); most = d.mostRunning.Load() {
		}
		time.Sleep(runTime)
		d.running.Add(-1)
		if crash && request.Prompt == copyPrompt && gone.CompareAndSwap(false, true) {
			d.crashed.Add(1)
		}
		if gone.Load() {
			panic(http.ErrAbortHandler)
		}
		data, err := json.Marshal(endpoint.Chunk{RequestID: request.RequestID, Finish: endpoint.FinishLength})
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(w, "data: %s\n\ndata: %s\n\n", data, endpoint.DoneMarker)
	})
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		if gone.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("{}"))
	})
	return mux
}

// send sends one copy and waits for its end, at most timeout. The copy avoids the groups
// of earlier ones, as if other work had taken their slots. It returns the refusal, if any.
func (d *holdTest) send(t *testing.T, id string, timeout time.Duration) *peer.End {
	t.Helper()
	request := peer.HomeRequest{RequestID: id, Model: "m", Rank: "urgent", Prompt: copyPrompt, MaxTokens: 8, Fingerprint: copyFingerprint}
	d.mu.Lock()
	request.Avoid = slices.Clone(d.used)
	d.mu.Unlock()
	return d.serve(t, request, timeout)
}

// serve is send for any request, which avoids no group.
func (d *holdTest) serve(t *testing.T, request peer.HomeRequest, timeout time.Duration) *peer.End {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var end *peer.End
	err := d.home.Serve(ctx, request, func(f peer.Frame) error {
		if f.Assigned != nil {
			d.mu.Lock()
			d.used = append(d.used, f.Assigned.Group)
			d.mu.Unlock()
		}
		if f.End != nil {
			end = f.End
		}
		return nil
	})
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("request %s: got error %v, want none or that the caller left", request.RequestID, err)
	}
	return end
}

// TestCrashAfterTheCheckCostsTwoEngines covers copies whose callers leave 10 ms before
// the engine crashes, so that the check finds it alive, and are sent again at once.
func TestCrashAfterTheCheckCostsTwoEngines(t *testing.T) {
	const runTime, timeout = 40 * time.Millisecond, 30 * time.Millisecond
	inHold(t, runTime, true, func(d *holdTest) {
		var last *peer.End
		for i := range 40 {
			last = d.send(t, fmt.Sprint(i), timeout)
		}
		if n := d.crashed.Load(); n > 2 {
			t.Errorf("got %d crashed engines, want at most 2", n)
		}
		if last == nil || last.Cause != peer.EndRefused {
			t.Errorf("got the end %+v of the last copy, want a refusal", last)
		}
	})
}

// TestCopiesOfSuspectRunOneAtATime covers copies of a suspect that arrive together
// although more than one idle group may be reserved for suspects.
func TestCopiesOfSuspectRunOneAtATime(t *testing.T) {
	const runTime = 40 * time.Millisecond
	inHold(t, runTime, true, func(d *holdTest) {
		d.tracker.Lost(suspect.Loss{Endpoint: "before", InFlight: []uint64{copyFingerprint, 8, 9}}, time.Now())
		var copies sync.WaitGroup
		for i := range 6 {
			copies.Go(func() { d.send(t, fmt.Sprint(i), time.Second) })
		}
		copies.Wait()
		if n := d.crashed.Load(); n != 1 {
			t.Errorf("got %d crashed engines after an earlier one, want 1", n)
		}
	})
}

// TestHeldCopiesGoOn verifies that copies which wait for the verdict about a departed run
// start together when the engine proves sound, and run on shared groups.
func TestHeldCopiesGoOn(t *testing.T) {
	const runTime = 100 * time.Millisecond
	inHold(t, runTime, false, func(d *holdTest) {
		d.send(t, "first", runTime/2)
		began := time.Now()
		var copies sync.WaitGroup
		for i := range 2 * holdGroups {
			copies.Go(func() { d.send(t, fmt.Sprint(i), time.Minute) })
		}
		copies.Wait()
		if n := d.mostRunning.Load(); n != 2*holdGroups {
			t.Errorf("at most %d copies ran at the same time, want %d", n, 2*holdGroups)
		}
		if took, most := time.Since(began), departedWindow+departedCheckInterval+runTime; took > most {
			t.Errorf("the copies ended after %v, want at most %v", took, most)
		}
	})
}

// TestHeldCopyLeaves verifies that a held copy ends with its caller and never runs.
func TestHeldCopyLeaves(t *testing.T) {
	const runTime = 100 * time.Millisecond
	inHold(t, runTime, false, func(d *holdTest) {
		d.send(t, "first", runTime/2)
		d.send(t, "second", departedWindow/2)
		if n := d.runs.Load(); n != 1 {
			t.Errorf("got %d runs, want 1", n)
		}
	})
}

// TestHoldIsBounded verifies that a copy of a suspect starts after maxHold although the
// run before it goes on.
func TestHoldIsBounded(t *testing.T) {
	const runTime = 2 * maxHold
	inHold(t, runTime, false, func(d *holdTest) {
		d.tracker.Lost(suspect.Loss{Endpoint: "before", InFlight: []uint64{copyFingerprint, 8, 9}}, time.Now())
		began := time.Now()
		var copies sync.WaitGroup
		for i := range 2 {
			copies.Go(func() { d.send(t, fmt.Sprint(i), time.Minute) })
		}
		copies.Wait()
		if took := time.Since(began); took != maxHold+runTime {
			t.Errorf("the second copy ended after %v, want %v", took, maxHold+runTime)
		}
		if most := d.mostRunning.Load(); most != 2 {
			t.Errorf("at most %d copies ran at the same time, want 2", most)
		}
	})
}

// TestDepartedSuspectKeepsItsGroup covers other requests that arrive between the departure
// of a suspect's caller and the crash of its engine. None may share the blame.
func TestDepartedSuspectKeepsItsGroup(t *testing.T) {
	const (
		runTime, timeout = 40 * time.Millisecond, 30 * time.Millisecond
		others           = 4 * holdGroups
	)
	inHold(t, runTime, true, func(d *holdTest) {
		d.tracker.Lost(suspect.Loss{Endpoint: "before", InFlight: []uint64{copyFingerprint, 8, 9}}, time.Now())
		var calls sync.WaitGroup
		calls.Go(func() { d.send(t, "suspect", timeout) })
		time.Sleep(timeout + time.Millisecond)
		for i := range others {
			calls.Go(func() {
				request := peer.HomeRequest{RequestID: fmt.Sprint(i), Model: "m", Rank: "urgent", Prompt: "other", MaxTokens: 8, Fingerprint: uint64(100 + i)}
				if end := d.serve(t, request, time.Minute); end != nil {
					t.Errorf("other request %d: got the end %+v, want an answer", i, end)
				}
			})
		}
		calls.Wait()
		time.Sleep(departedWindow)
		if n := d.crashed.Load(); n != 1 {
			t.Fatalf("got %d crashed engines, want 1", n)
		}
		if v := d.tracker.Verdict(copyFingerprint, time.Now()); !v.Refuse {
			t.Errorf("the suspect has weight %v after its engine crashed, want at least %v", v.Weight, suspect.RefusalThreshold)
		}
	})
}
