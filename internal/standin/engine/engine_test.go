package engine

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/platform"
)

func TestResumeSendsRemainingTokens(t *testing.T) {
	withFleet(t, Options{}, []string{"a:1", "b:1"}, func(f *fleet) {
		f.formGroup(1, "a:1")
		f.formGroup(1, "b:1")
		const prompt, tokens = "which lane is free", 12
		for _, from := range []int{0, 1, 5, tokens} {
			for address := range f.engines {
				r := request("r", prompt, tokens)
				r.ResumeIndex, r.Delivered = from, expectedText(prompt, 0, from)
				a := f.generate(address, r)
				if !a.complete() || a.text() != expectedText(prompt, from, tokens) {
					t.Errorf("%s from %d: got %q, error %v; want the remaining tokens and io.EOF", address, from, a.text(), a.err)
				}
				if a.chunks[0].Index != from || a.chunks[len(a.chunks)-1].Index != tokens {
					t.Errorf("%s from %d: got chunks %+v, want indices from there to the last token", address, from, a.chunks)
				}
			}
		}
	})
}

func TestMemberLossFailsGroup(t *testing.T) {
	withFleet(t, Options{}, []string{"a:1", "b:1", "c:1"}, func(f *fleet) {
		members := []string{"a:1", "b:1", "c:1"}
		f.formGroup(1, members...)
		if a := f.generate("a:1", request("before", "p", 5)); !a.complete() {
			t.Fatalf("before the loss: got %+v, want a complete answer", a)
		}
		if a := f.generate("b:1", request("follower", "p", 5)); a.status != http.StatusConflict {
			t.Errorf("request to a member that is not the leader: got status %d, want 409", a.status)
		}
		running := f.generateAsync("a:1", request("running", "p", 1000))
		time.Sleep(time.Second)
		f.engines["c:1"].Crash()
		a := <-running
		if a.complete() || a.duration > 2*time.Second {
			t.Errorf("stream during the loss: got duration %v, complete=%t; want an abort within 2s", a.duration, a.complete())
		}
		if a := f.generate("a:1", request("after", "p", 5)); a.status != http.StatusConflict {
			t.Errorf("request after the loss: got status %d, want 409", a.status)
		}
		f.engines["c:1"].Restart()
		f.formGroup(1, members...)
		if a := f.generate("a:1", request("again", "p", 5)); !a.complete() {
			t.Errorf("after the member has rejoined: got %+v, want a complete answer", a)
		}
	})
}

func TestRequestsForOtherGenerationsAreRefused(t *testing.T) {
	withFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
		if a := f.generate("a:1", request("idle", "p", 1)); a.status != http.StatusConflict {
			t.Errorf("request to an idle engine: got status %d, want 409", a.status)
		}
		f.formGroup(2, "a:1")
		if a := f.generate("a:1", request("old", "p", 1)); a.status != http.StatusConflict {
			t.Errorf("request for generation 1 at generation 2: got status %d, want 409", a.status)
		}
	})
}

func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		withFleet(t, Options{ChecksFencing: checks}, []string{"a:1"}, func(f *fleet) {
			staleStatus, wantGeneration := http.StatusOK, int64(1)
			if checks {
				staleStatus, wantGeneration = http.StatusConflict, 2
			}
			for _, c := range []struct {
				epoch, generation int64
				want              int
			}{{5, 1, http.StatusOK}, {6, 2, http.StatusOK}, {6, 2, http.StatusOK}, {5, 1, staleStatus}} {
				if got := f.sendOrder("a:1", loadOrder(c.epoch, c.generation, "a:1")); got != c.want {
					t.Errorf("checks=%t, epoch %d: got status %d, want %d", checks, c.epoch, got, c.want)
				}
			}
			if s := f.engines["a:1"].State(); s.Epoch != 6 || s.Generation != wantGeneration {
				t.Errorf("checks=%t: got epoch %d, generation %d; want epoch 6 and generation 2, or 1 without checks", checks, s.Epoch, s.Generation)
			}
		})
	}
}

func TestRepeatedOrderKeepsStreams(t *testing.T) {
	withFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
		f.formGroup(1, "a:1")
		running := f.generateAsync("a:1", request("r", "p", 100))
		time.Sleep(time.Second)
		f.sendOrder("a:1", loadOrder(2, 1, "a:1"))
		if a := <-running; !a.complete() {
			t.Errorf("stream after a repeated order: got error %v, want a complete answer", a.err)
		}
	})
}

func TestCrashMarker(t *testing.T) {
	withFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
		f.formGroup(1, "a:1")
		e := f.engines["a:1"]
		bootID := e.State().BootID
		e.SetFaults(Faults{CrashMarker: "poison"})
		unmarked := f.generateAsync("a:1", request("unmarked", "p", 1000))
		time.Sleep(time.Second)
		if a := f.generate("a:1", request("marked", "some poison here", 5)); a.complete() {
			t.Error("marked request: got a complete answer, want a crash")
		}
		if a := <-unmarked; a.complete() {
			t.Error("other stream during the crash: got a complete answer, want an abort")
		}
		if _, err := f.client.Get("http://a:1/v1/state"); err == nil {
			t.Error("call to a crashed engine: got a response, want an error")
		}
		e.Restart()
		if s := e.State(); s.State != endpoint.EngineIdle || s.BootID == bootID {
			t.Errorf("after the restart: got %+v, want state idle and a new boot ID", s)
		}
	})
}

func TestWaitingStreamsRunByPriority(t *testing.T) {
	withFleet(t, Options{Slots: 1}, []string{"a:1"}, func(f *fleet) {
		f.formGroup(1, "a:1")
		first := f.generateAsync("a:1", request("first", "p", 50))
		time.Sleep(100 * time.Millisecond)
		lowPriority := request("digest", "p", 50)
		lowPriority.Priority = 2
		digest := f.generateAsync("a:1", lowPriority)
		time.Sleep(100 * time.Millisecond)
		urgent := f.generateAsync("a:1", request("urgent", "p", 50))
		time.Sleep(100 * time.Millisecond)
		f.cancel("a:1", "first")
		if a := <-first; a.complete() {
			t.Error("cancelled stream: got a complete answer, want an abort")
		}
		if a := <-urgent; !a.complete() || a.duration > 1500*time.Millisecond {
			t.Errorf("urgent stream: got duration %v, complete=%t; want a complete answer within 1.5s", a.duration, a.complete())
		}
		if a := <-digest; !a.complete() || a.duration < 2*time.Second {
			t.Errorf("stream of lower priority: got duration %v, complete=%t; want a complete answer after at least 2s", a.duration, a.complete())
		}
	})
}

func TestPrefixCacheShortensPrefill(t *testing.T) {
	options := Options{PrefillPerToken: 10 * time.Millisecond, CacheBlocks: 8}
	withFleet(t, options, []string{"a:1", "b:1"}, func(f *fleet) {
		f.formGroup(1, "a:1")
		f.formGroup(1, "b:1")
		prompt := strings.Repeat("word of the prompt ", 20)
		cold := f.generate("a:1", request("cold", prompt, 1))
		warm := f.generate("a:1", request("warm", prompt, 1))
		cached := warm.chunks[1].Usage.CachedTokens
		if cached == 0 || cold.duration-warm.duration < 300*time.Millisecond {
			t.Errorf("got %v without and %v with %d cached tokens, want cached tokens and a difference of at least 300ms", cold.duration, warm.duration, cached)
		}
		other := strings.Repeat("quite another text ", 30)
		f.generate("a:1", request("other", other, 1))
		if a := f.generate("a:1", request("evicted", prompt, 1)); a.chunks[1].Usage.CachedTokens != 0 {
			t.Error("after eviction: got cached tokens, want none")
		}
		export, ok := f.engines["a:1"].Export("warm")
		if !ok {
			t.Fatal("finished stream: got no export, want one")
		}
		response, err := f.post("b:1", "/v1/kv", export)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if a := f.generate("b:1", request("imported", prompt, 1)); a.chunks[1].Usage.CachedTokens != cached {
			t.Error("after the import: got another number of cached tokens than at the exporter, want the same")
		}
	})
}

func TestChunkFaultsTakeEffect(t *testing.T) {
	const prompt, tokens = "p", 10
	for name, faults := range map[string]Faults{
		"swap":    {SwapEvery: 4},
		"reorder": {ReorderEvery: 4},
		"cut":     {CutAfter: 4},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
				f.formGroup(1, "a:1")
				f.engines["a:1"].SetFaults(faults)
				a := f.generate("a:1", request("r", prompt, tokens))
				if a.complete() && a.text() == expectedText(prompt, 0, tokens) {
					t.Error("got a complete and correct answer, want an effect of the fault")
				}
			})
		})
	}
}

func TestPauseAndSlowFactor(t *testing.T) {
	withFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
		f.formGroup(1, "a:1")
		e := f.engines["a:1"]
		usualDuration := f.generate("a:1", request("usual", "p", 50)).duration
		e.SetFaults(Faults{SlowFactor: 4})
		if slow := f.generate("a:1", request("slow", "p", 50)).duration; slow < 3*usualDuration {
			t.Errorf("with slow factor 4: got %v, want at least 3 times %v", slow, usualDuration)
		}
		e.SetFaults(Faults{})
		running := f.generateAsync("a:1", request("paused", "p", 50))
		time.Sleep(200 * time.Millisecond)
		e.SetFaults(Faults{Pause: true})
		time.Sleep(time.Minute)
		e.SetFaults(Faults{})
		if a := <-running; !a.complete() || a.duration < time.Minute {
			t.Errorf("paused stream: got duration %v, complete=%t; want a complete answer after at least 1m", a.duration, a.complete())
		}
	})
}

func TestReportsLagAndCacheEventsAreLost(t *testing.T) {
	withFleet(t, Options{EventLossEvery: 4, ReportLag: time.Second}, []string{"a:1"}, func(f *fleet) {
		f.formGroup(1, "a:1")
		e := f.engines["a:1"]
		f.generateAsync("a:1", request("r", strings.Repeat("x", 10*endpoint.BlockBytes), 10000))
		time.Sleep(500 * time.Millisecond)
		if n := e.Load().Active; n != 0 {
			t.Errorf("load before the lag: got %d active streams, want 0", n)
		}
		if page := e.CacheEvents(0); len(page.Events) != 0 {
			t.Error("before the lag: got cache events, want none")
		}
		time.Sleep(time.Second)
		if n := e.Load().Active; n != 1 {
			t.Errorf("load after the lag: got %d active streams, want 1", n)
		}
		first := e.CacheEvents(0)
		second := e.CacheEvents(first.Next)
		if first.Gap || len(first.Events) != 3 || !second.Gap {
			t.Errorf("got pages %+v and %+v, want 3 events without a gap and then a gap", first, second)
		}
	})
}

func TestStalledStreamEndsWithItsConnection(t *testing.T) {
	withFleet(t, Options{Slots: 1}, []string{"a:1"}, func(f *fleet) {
		f.formGroup(1, "a:1")
		f.engines["a:1"].SetFaults(Faults{StallAfter: 2})
		response, err := f.post("a:1", "/v1/generate", request("stalled", "p", 10))
		if err != nil {
			t.Fatal(err)
		}
		stream := endpoint.NewStream(response.Body)
		for range 2 {
			if _, err := stream.Next(); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		if n := f.engines["a:1"].Load().Active; n != 1 {
			t.Errorf("active streams while one is stalled: got %d, want 1", n)
		}
		_ = response.Body.Close()
		f.engines["a:1"].SetFaults(Faults{})
		if a := f.generate("a:1", request("next", "p", 10)); !a.complete() || a.duration > time.Second {
			t.Errorf("stream after the connection is closed: got duration %v, complete=%t; want a complete answer within 1s", a.duration, a.complete())
		}
	})
}

// TestLoadReadsWeights verifies that engines share the bandwidth of the weight
// store, retry after a refusal and do not read weights again that are in memory.
func TestLoadReadsWeights(t *testing.T) {
	const store = "platform:1"
	options := Options{PlatformURL: "http://" + store}
	withFleet(t, options, []string{"a:1", "b:1", "c:1"}, func(f *fleet) {
		p := platform.New(platform.Options{WeightBytes: 1 << 20, WeightBytesPerSecond: 1 << 20, MaxWeightReaders: 2})
		f.servers = append(f.servers, f.network.Serve(store, p.Handler()))
		for address := range f.engines {
			f.sendOrder(address, loadOrder(1, 1, address))
		}
		for _, c := range []struct {
			wait  time.Duration
			ready int
		}{{1900 * time.Millisecond, 0}, {200 * time.Millisecond, 2}, {2 * time.Second, 3}} {
			time.Sleep(c.wait)
			ready := 0
			for _, e := range f.engines {
				if e.State().State == endpoint.EngineReady {
					ready++
				}
			}
			if ready != c.ready {
				t.Errorf("got %d ready engines, want %d", ready, c.ready)
			}
		}
		f.sendOrder("a:1", loadOrder(1, 2, "a:1"))
		if s := f.engines["a:1"].State(); s.State != endpoint.EngineReady || s.Generation != 2 {
			t.Errorf("order with weights in memory: got %+v, want state ready and generation 2", s)
		}
	})
}
