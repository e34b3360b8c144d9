package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/standin/service"
)

// cutPoints lists every moment at which a connection may break.
var cutPoints = []cutPoint{cutDial, cutDialled, cutInHeader, cutAfterHeader, cutInBody, cutAfterBody, cutInAnswer}

// book calls the plain service and returns the refusal, or nil.
func (f *fleet) book(node, method, path, key string) (refused *refusal.Error, replayed bool) {
	f.t.Helper()
	request, _ := http.NewRequest(method, "http://"+callerAddress(node)+"/services/"+testService+path, struct{ io.Reader }{strings.NewReader(`{"lane":4}`)})
	request.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		request.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	response, err := f.callers.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var body refusal.Body
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		f.t.Fatal(err)
	}
	return body.Error, response.Header.Get(callerapi.HeaderReplayed) != ""
}

// runs returns how often the call with the key ran at any desk.
func (f *fleet) runs(key string) int {
	total := 0
	for _, desk := range f.desks {
		total += desk.Ledger().Runs[key]
	}
	return total
}

// checkRan checks a refusal against what was handed over since the call began.
func checkRan(t *testing.T, point cutPoint, refused *refusal.Error, handed int64) {
	t.Helper()
	switch {
	case refused == nil:
		t.Errorf("%s: no refusal", cutNames[point])
	case refused.Ran == refusal.RanNo && handed > 0:
		t.Errorf("%s: %d requests were handed over and the caller is told %v", cutNames[point], handed, refused)
	case refused.Ran != refusal.RanNo && point == cutDial:
		t.Errorf("%s: the caller is told %v", cutNames[point], refused)
	}
}

// TestInvariantDidNotRun breaks the connection of a call at every point, on
// new and on kept connections.
func TestInvariantDidNotRun(t *testing.T) {
	t.Run("completion", func(t *testing.T) {
		testCutCompletions(t, 1, "POST /v1/generate", func(address string) bool { return strings.HasPrefix(address, "e") })
	})
	t.Run("completion at another home", func(t *testing.T) {
		testCutCompletions(t, 2, "POST /peer/generate", func(address string) bool { return strings.HasSuffix(address, "-peers") })
	})
	t.Run("non-idempotent call", testCutBookings)
	t.Run("idempotent call", testCutLookups)
	t.Run("after the answer", testStoreLost)
}

func testCutCompletions(t *testing.T, nodes int, match string, addresses func(string) bool) {
	inFleet(t, nodes, 3, func(f *fleet) {
		f.cutter.rule.Store(&cutRule{match: match, answerBytes: 600, addresses: addresses})
		entry := nodeName(0)
		for name := range f.nodes {
			if name != f.home() {
				entry = name
			}
		}
		for _, kept := range []bool{false, true} {
			for _, point := range cutPoints {
				if kept {
					warm := f.call(context.Background(), completion{node: entry, rank: "urgent", prompt: "warm " + cutNames[point], tokens: 3})
					warm.check(t)
				} else {
					f.closeIdle()
				}
				f.setCut(point)
				before := f.cutter.handed.Load()
				a := f.call(context.Background(), completion{node: entry, rank: "urgent", prompt: fmt.Sprintf("%s %t", cutNames[point], kept), tokens: 40})
				f.cutter.set(cutNever)
				// A home that no connection reaches is replaced by the entry.
				if whole := a.check(t); !whole || nodes == 1 {
					checkRan(t, point, a.refused, f.cutter.handed.Load()-before)
				}
				time.Sleep(5 * time.Second)
			}
		}
	})
}

// setCut sets the cut point; where it refuses connections, none is kept.
func (f *fleet) setCut(point cutPoint) {
	f.cutter.set(point)
	if point != cutDial {
		return
	}
	for _, address := range f.dialled() {
		if f.cutter.rule.Load().addresses(address) {
			f.cut(address)
		}
	}
	time.Sleep(10 * time.Millisecond)
}

// closeIdle closes the nodes' kept connections to endpoints and peers.
func (f *fleet) closeIdle() {
	for _, n := range f.nodes {
		n.node.closeConnections()
	}
}

func isDesk(address string) bool { return strings.HasPrefix(address, "desk") }

func testCutBookings(t *testing.T) {
	inFleet(t, 1, 1, func(f *fleet) {
		f.cutter.rule.Store(&cutRule{match: "POST /book", answerBytes: 40, addresses: isDesk})
		f.delayDesks(deskDelay)
		for _, kept := range []bool{false, true} {
			for _, point := range cutPoints {
				if kept {
					_, _ = f.book(nodeName(0), http.MethodPost, "/book", "warm "+cutNames[point])
					_, _ = f.book(nodeName(0), http.MethodPost, "/book", "warmer "+cutNames[point])
				} else {
					f.closeIdle()
				}
				key := fmt.Sprintf("%s %t", cutNames[point], kept)
				f.setCut(point)
				before := f.cutter.handed.Load()
				refused, _ := f.book(nodeName(0), http.MethodPost, "/book", key)
				f.cutter.set(cutNever)
				checkRan(t, point, refused, f.cutter.handed.Load()-before)
				f.checkRepeat(t, key, refused)
			}
		}
	})
}

// checkRepeat sends a refused call again with its key: it runs now where it
// did not run before, and never a second time.
func (f *fleet) checkRepeat(t *testing.T, key string, first *refusal.Error) {
	t.Helper()
	time.Sleep(5 * time.Second) // a call that was taken runs by then
	before := f.runs(key)
	refused, _ := f.book(nodeName(0), http.MethodPost, "/book", key)
	after := f.runs(key)
	switch {
	case before > 1 || after > 1:
		t.Errorf("%s: ran %d times, %d after the repeat", key, before, after)
	case first == nil:
		t.Errorf("%s: no refusal, ran %d times", key, before)
	case first.Ran == refusal.RanNo && (before != 0 || after != 1 || refused != nil):
		t.Errorf("%s: told ran: no, ran %d times before the repeat and %d after it (%v)", key, before, after, refused)
	case first.Ran != refusal.RanNo && (after != before || refused == nil || refused.Ran == refusal.RanNo):
		t.Errorf("%s: ran %d times before the repeat and %d after it (%v)", key, before, after, refused)
	}
}

// deskDelay is the time of a call before it runs; a cut comes first.
const deskDelay = 5 * time.Millisecond

func (f *fleet) delayDesks(delay time.Duration) {
	for _, desk := range f.desks {
		desk.SetFaults(service.Faults{DelayMillis: delay.Milliseconds()})
	}
}

func testCutLookups(t *testing.T) {
	inFleet(t, 1, 1, func(f *fleet) {
		f.cutter.rule.Store(&cutRule{match: "GET /lanes", answerBytes: 40, addresses: isDesk})
		f.delayDesks(deskDelay)
		for _, point := range cutPoints {
			f.setCut(point)
			before := f.cutter.handed.Load()
			refused, _ := f.book(nodeName(0), http.MethodGet, "/lanes", "")
			f.cutter.set(cutNever)
			checkRan(t, point, refused, f.cutter.handed.Load()-before)
			if refused, _ := f.book(nodeName(0), http.MethodGet, "/lanes", ""); refused != nil {
				t.Errorf("%s: the repeat is refused: %v", cutNames[point], refused)
			}
			time.Sleep(10 * time.Second)
		}
	})
}

// testStoreLost loses the store between the answer of a call and its record:
// the caller has its answer, and a repeat is never told that it did not run.
func testStoreLost(t *testing.T) {
	inFleet(t, 1, 1, func(f *fleet) {
		const delay = 400 * time.Millisecond
		f.delayDesks(delay)
		time.AfterFunc(delay/2, func() { f.platform.SetFaults(platform.Faults{Outage: true}) })
		if refused, _ := f.book(nodeName(0), http.MethodPost, "/book", "k"); refused != nil {
			t.Errorf("the answer is lost: %v", refused)
		}
		for _, wait := range []time.Duration{0, 2 * time.Second} {
			time.Sleep(wait)
			refused, _ := f.book(nodeName(0), http.MethodPost, "/book", "k")
			if wait > 0 && (refused == nil || refused.Ran == refusal.RanNo) {
				t.Errorf("a repeat after the outage got %v", refused)
			}
			f.platform.SetFaults(platform.Faults{})
		}
		if n := f.runs("k"); n != 1 {
			t.Errorf("ran %d times", n)
		}
	})
}
