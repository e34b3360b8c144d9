package engine

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/platform"
)

func TestResumeYieldsTheRest(t *testing.T) {
	inFleet(t, Options{}, []string{"a:1", "b:1"}, func(f *fleet) {
		f.form(1, "a:1")
		f.form(1, "b:1")
		const prompt, tokens = "which lane is free", 12
		for _, from := range []int{0, 1, 5, tokens} {
			for address := range f.engines {
				r := request("r", prompt, tokens)
				r.ResumeIndex, r.Delivered = from, expected(prompt, 0, from)
				a := f.generate(address, r)
				if !a.whole() || a.text() != expected(prompt, from, tokens) {
					t.Errorf("%s from %d: got %q, %v", address, from, a.text(), a.err)
				}
				if a.chunks[0].Index != from || a.chunks[len(a.chunks)-1].Index != tokens {
					t.Errorf("%s from %d: indices are wrong: %+v", address, from, a.chunks)
				}
			}
		}
	})
}

func TestLossOfAMemberKillsTheReplica(t *testing.T) {
	inFleet(t, Options{}, []string{"a:1", "b:1", "c:1"}, func(f *fleet) {
		members := []string{"a:1", "b:1", "c:1"}
		f.form(1, members...)
		if a := f.generate("a:1", request("before", "p", 5)); !a.whole() {
			t.Fatalf("the whole group does not serve: %+v", a)
		}
		if a := f.generate("b:1", request("follower", "p", 5)); a.status != http.StatusConflict {
			t.Errorf("a follower answered %d", a.status)
		}
		running := f.generateAsync("a:1", request("running", "p", 1000))
		time.Sleep(time.Second)
		f.engines["c:1"].Crash()
		a := <-running
		if a.whole() || a.took > 2*time.Second {
			t.Errorf("the stream survived the loss for %v, whole=%t", a.took, a.whole())
		}
		if a := f.generate("a:1", request("after", "p", 5)); a.status != http.StatusConflict {
			t.Errorf("a broken group answered %d", a.status)
		}
		f.engines["c:1"].Restart()
		f.form(1, members...)
		if a := f.generate("a:1", request("again", "p", 5)); !a.whole() {
			t.Errorf("the mended group does not serve: %+v", a)
		}
	})
}

func TestOrdersOfOtherGenerationsAreNotServed(t *testing.T) {
	inFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
		if a := f.generate("a:1", request("idle", "p", 1)); a.status != http.StatusConflict {
			t.Errorf("an idle engine answered %d", a.status)
		}
		f.form(2, "a:1")
		if a := f.generate("a:1", request("old", "p", 1)); a.status != http.StatusConflict {
			t.Errorf("another generation answered %d", a.status)
		}
	})
}

func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		inFleet(t, Options{ChecksFencing: checks}, []string{"a:1"}, func(f *fleet) {
			stale, loaded := http.StatusOK, int64(1)
			if checks {
				stale, loaded = http.StatusConflict, 2
			}
			for _, c := range []struct {
				epoch, generation int64
				want              int
			}{{5, 1, http.StatusOK}, {6, 2, http.StatusOK}, {6, 2, http.StatusOK}, {5, 1, stale}} {
				if got := f.order("a:1", loadOrder(c.epoch, c.generation, "a:1")); got != c.want {
					t.Errorf("checks=%t epoch %d: status %d, want %d", checks, c.epoch, got, c.want)
				}
			}
			if s := f.engines["a:1"].State(); s.Epoch != 6 || s.Generation != loaded {
				t.Errorf("checks=%t: epoch %d, generation %d", checks, s.Epoch, s.Generation)
			}
		})
	}
}

func TestRepeatedOrderChangesNothing(t *testing.T) {
	inFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
		f.form(1, "a:1")
		running := f.generateAsync("a:1", request("r", "p", 100))
		time.Sleep(time.Second)
		f.order("a:1", loadOrder(2, 1, "a:1"))
		if a := <-running; !a.whole() {
			t.Errorf("a repeated order cut the stream: %v", a.err)
		}
	})
}

func TestCrashMarker(t *testing.T) {
	inFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
		f.form(1, "a:1")
		e := f.engines["a:1"]
		boot := e.State().BootID
		e.SetFaults(Faults{CrashMarker: "poison"})
		innocent := f.generateAsync("a:1", request("innocent", "p", 1000))
		time.Sleep(time.Second)
		if a := f.generate("a:1", request("guilty", "some poison here", 5)); a.whole() {
			t.Error("the marked request was answered")
		}
		if a := <-innocent; a.whole() {
			t.Error("the crash left another stream alive")
		}
		if _, err := f.client.Get("http://a:1/v1/state"); err == nil {
			t.Error("a crashed engine answers")
		}
		e.Restart()
		if s := e.State(); s.State != endpoint.EngineIdle || s.BootID == boot {
			t.Errorf("came back as %+v", s)
		}
	})
}

func TestWaitingStreamsRunByPriority(t *testing.T) {
	inFleet(t, Options{Slots: 1}, []string{"a:1"}, func(f *fleet) {
		f.form(1, "a:1")
		first := f.generateAsync("a:1", request("first", "p", 50))
		time.Sleep(100 * time.Millisecond)
		late := request("late", "p", 50)
		late.Priority = 2
		digest := f.generateAsync("a:1", late)
		time.Sleep(100 * time.Millisecond)
		urgent := f.generateAsync("a:1", request("urgent", "p", 50))
		time.Sleep(100 * time.Millisecond)
		f.cancel("a:1", "first")
		if a := <-first; a.whole() {
			t.Error("the cancelled stream was answered whole")
		}
		if a := <-urgent; !a.whole() || a.took > 1500*time.Millisecond {
			t.Errorf("the urgent stream took %v, whole=%t", a.took, a.whole())
		}
		if a := <-digest; !a.whole() || a.took < 2*time.Second {
			t.Errorf("the other stream took %v, whole=%t", a.took, a.whole())
		}
	})
}

func TestPrefixCacheShortensPrefill(t *testing.T) {
	options := Options{PrefillPerToken: 10 * time.Millisecond, CacheBlocks: 8}
	inFleet(t, options, []string{"a:1", "b:1"}, func(f *fleet) {
		f.form(1, "a:1")
		f.form(1, "b:1")
		prompt := strings.Repeat("word of the prompt ", 20)
		cold := f.generate("a:1", request("cold", prompt, 1))
		warm := f.generate("a:1", request("warm", prompt, 1))
		cached := warm.chunks[1].Usage.CachedTokens
		if cached == 0 || cold.took-warm.took < 300*time.Millisecond {
			t.Errorf("cold %v, warm %v, %d tokens cached", cold.took, warm.took, cached)
		}
		other := strings.Repeat("quite another text ", 30)
		f.generate("a:1", request("other", other, 1))
		if a := f.generate("a:1", request("evicted", prompt, 1)); a.chunks[1].Usage.CachedTokens != 0 {
			t.Error("the cache outgrew its memory")
		}
		export, ok := f.engines["a:1"].Export("warm")
		if !ok {
			t.Fatal("no export of a finished stream")
		}
		response, err := f.post("b:1", "/v1/kv", export)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if a := f.generate("b:1", request("imported", prompt, 1)); a.chunks[1].Usage.CachedTokens != cached {
			t.Error("the imported cache was not used")
		}
	})
}

func TestChunkFaultsAreVisible(t *testing.T) {
	const prompt, tokens = "p", 10
	for name, faults := range map[string]Faults{
		"swap":    {SwapEvery: 4},
		"reorder": {ReorderEvery: 4},
		"cut":     {CutAfter: 4},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
				f.form(1, "a:1")
				f.engines["a:1"].SetFaults(faults)
				a := f.generate("a:1", request("r", prompt, tokens))
				if a.whole() && a.text() == expected(prompt, 0, tokens) {
					t.Error("the fault had no effect")
				}
			})
		})
	}
}

func TestPauseAndSlowFactor(t *testing.T) {
	inFleet(t, Options{}, []string{"a:1"}, func(f *fleet) {
		f.form(1, "a:1")
		e := f.engines["a:1"]
		usual := f.generate("a:1", request("usual", "p", 50)).took
		e.SetFaults(Faults{SlowFactor: 4})
		if slow := f.generate("a:1", request("slow", "p", 50)).took; slow < 3*usual {
			t.Errorf("the straggler took %v, usual is %v", slow, usual)
		}
		e.SetFaults(Faults{})
		running := f.generateAsync("a:1", request("paused", "p", 50))
		time.Sleep(200 * time.Millisecond)
		e.SetFaults(Faults{Pause: true})
		time.Sleep(time.Minute)
		e.SetFaults(Faults{})
		if a := <-running; !a.whole() || a.took < time.Minute {
			t.Errorf("the paused stream took %v, whole=%t", a.took, a.whole())
		}
	})
}

func TestReportsLagAndLoseEvents(t *testing.T) {
	inFleet(t, Options{EventLossEvery: 4, ReportLag: time.Second}, []string{"a:1"}, func(f *fleet) {
		f.form(1, "a:1")
		e := f.engines["a:1"]
		f.generateAsync("a:1", request("r", strings.Repeat("x", 10*endpoint.BlockChars), 10000))
		time.Sleep(500 * time.Millisecond)
		if n := e.Load().Active; n != 0 {
			t.Errorf("the report shows %d active at once", n)
		}
		if page := e.CacheEvents(0); len(page.Events) != 0 {
			t.Error("cache events are visible at once")
		}
		time.Sleep(time.Second)
		if n := e.Load().Active; n != 1 {
			t.Errorf("the late report shows %d active", n)
		}
		first := e.CacheEvents(0)
		second := e.CacheEvents(first.Next)
		if first.Gap || len(first.Events) != 3 || !second.Gap {
			t.Errorf("pages are %+v and %+v", first, second)
		}
	})
}

func TestStalledStreamEndsWithItsConnection(t *testing.T) {
	inFleet(t, Options{Slots: 1}, []string{"a:1"}, func(f *fleet) {
		f.form(1, "a:1")
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
			t.Errorf("%d streams are active while one is stalled", n)
		}
		_ = response.Body.Close()
		f.engines["a:1"].SetFaults(Faults{})
		if a := f.generate("a:1", request("next", "p", 10)); !a.whole() || a.took > time.Second {
			t.Errorf("the closed connection kept its slot: took %v, whole=%t", a.took, a.whole())
		}
	})
}

// TestLoadTakesWeights checks that engines share the rate of the weight store,
// come back after its refusals and keep weights that they have.
func TestLoadTakesWeights(t *testing.T) {
	const store = "platform:1"
	options := Options{PlatformURL: "http://" + store}
	inFleet(t, options, []string{"a:1", "b:1", "c:1"}, func(f *fleet) {
		p := platform.New(platform.Options{WeightBytes: 1 << 20, WeightBytesPerSecond: 1 << 20, WeightReaders: 2})
		f.servers = append(f.servers, f.network.Serve(store, p.Handler()))
		for address := range f.engines {
			f.order(address, loadOrder(1, 1, address))
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
				t.Errorf("%d engines are ready, want %d", ready, c.ready)
			}
		}
		f.order("a:1", loadOrder(1, 2, "a:1"))
		if s := f.engines["a:1"].State(); s.State != endpoint.EngineReady || s.Generation != 2 {
			t.Errorf("weights in memory were loaded again: %+v", s)
		}
	})
}
