package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
)

var (
	_ table.Store           = (*Table)(nil)
	_ table.SingleCallStore = (*Table)(nil)
)

func TestCommitWithLostReplyIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		p.SetFaults(Faults{LoseNext: 1})
		txn := table.Txn{Nonce: "n1", Writes: []table.Write{{Key: "a", Value: []byte("1")}}}
		if err := p.Table.Commit(context.Background(), txn); err != nil {
			t.Fatal(err)
		}
		if got := p.Table.Commits(); got != 1 {
			t.Errorf("got %d commits, want 1", got)
		}
	})
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, attemptsPerSecond = 10, 5000
		p := New(Options{})
		ctx := context.Background()
		var writes, reads int
		for i := range seconds * attemptsPerSecond {
			txn := table.Txn{Nonce: fmt.Sprint(i), Writes: []table.Write{{Key: fmt.Sprint(i)}}}
			if p.Table.Commit(ctx, txn) == nil {
				writes++
			}
			if _, err := p.Table.Get(ctx, "a"); err == nil {
				reads++
			}
			time.Sleep(time.Second / attemptsPerSecond)
		}
		checkThroughput(t, "writes", writes, seconds, DefaultWritesPerSecond)
		checkThroughput(t, "reads", reads, seconds, DefaultReadsPerSecond)
	})
}

// checkThroughput checks that a saturated rate limit admitted its rate over the
// time, plus a burst of at most one second's worth of calls.
func checkThroughput(t *testing.T, what string, admitted, seconds, perSecond int) {
	t.Helper()
	if admitted < seconds*perSecond || admitted > (seconds+1)*perSecond {
		t.Errorf("%s: got %d admitted calls in %d s, want %d per second", what, admitted, seconds, perSecond)
	}
}

func TestRateLimitReturns429(t *testing.T) {
	p := New(Options{ReadsPerSecond: 1})
	statuses := make([]int, 2)
	for i := range statuses {
		recorder := httptest.NewRecorder()
		p.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/table/row?key=a", nil))
		statuses[i] = recorder.Code
	}
	if diff := cmp.Diff([]int{200, 429}, statuses); diff != "" {
		t.Error(diff)
	}
}

func TestHostListLagsAndDropsExpiredHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{HostListLag: 2 * time.Second})
		p.ChangeHost(HostChange{Host: &hostlist.Host{Name: "stays", State: hostlist.StateLive}})
		p.ChangeHost(HostChange{Host: &hostlist.Host{Name: "silent", State: hostlist.StateLive}, TTLMillis: 3000})
		time.Sleep(3 * time.Second)
		p.ChangeHost(HostChange{Host: &hostlist.Host{Name: "stays", State: hostlist.StateLeaving}})
		for _, c := range []struct {
			wait time.Duration
			want string
		}{
			{0, "silent=live stays=live"},
			{1900 * time.Millisecond, "silent=live stays=live"},
			{200 * time.Millisecond, "stays=leaving"},
		} {
			time.Sleep(c.wait)
			var got []string
			for _, h := range p.Hosts().Hosts {
				got = append(got, h.Name+"="+string(h.State))
			}
			if joined := strings.Join(got, " "); joined != c.want {
				t.Errorf("got hosts %q, want %q", joined, c.want)
			}
		}
	})
}

// TestRenewalKeepsLeavingState verifies that a host that was marked as leaving
// does not become live again by its own renewals.
func TestRenewalKeepsLeavingState(t *testing.T) {
	p := New(Options{})
	renewal := HostChange{Host: &hostlist.Host{Name: "h", State: hostlist.StateLive}, TTLMillis: 1000, KeepState: true}
	p.ChangeHost(renewal)
	p.ChangeHost(HostChange{Host: &hostlist.Host{Name: "h", State: hostlist.StateLeaving}})
	p.ChangeHost(renewal)
	if got := p.Hosts().Hosts[0].State; got != hostlist.StateLeaving {
		t.Errorf("after a renewal: got state %s, want leaving", got)
	}
}

func TestWeightReadersShareBandwidth(t *testing.T) {
	for readers, want := range map[int]time.Duration{1: time.Second, 4: 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			p := New(Options{WeightBytes: 1 << 20, WeightBytesPerSecond: 1 << 20})
			start := time.Now()
			var wg sync.WaitGroup
			for range readers {
				wg.Go(func() {
					p.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/weights/m/1", nil))
				})
			}
			wg.Wait()
			if got := time.Since(start).Round(transferStep); got < want-transferStep || got > want+transferStep {
				t.Errorf("%d readers: got duration %v, want %v", readers, got, want)
			}
		})
	}
}

// TestVersionsContinueAfterDeletion verifies that a late transaction cannot
// match the version of a row that was deleted and created again.
func TestVersionsContinueAfterDeletion(t *testing.T) {
	ctx := context.Background()
	p := New(Options{})
	for i, w := range []table.Write{{Key: "a"}, {Key: "a", Expect: 1, Delete: true}, {Key: "a"}} {
		if err := p.Table.Commit(ctx, table.Txn{Nonce: fmt.Sprint(i), Writes: []table.Write{w}}); err != nil {
			t.Fatal(err)
		}
	}
	var conflict *table.ConflictError
	err := p.Table.Commit(ctx, table.Txn{Nonce: "late", Writes: []table.Write{{Key: "a", Expect: 1}}})
	if !errors.As(err, &conflict) {
		t.Errorf("got error %v, want a ConflictError", err)
	}
}

func TestListReadsAllPages(t *testing.T) {
	ctx := context.Background()
	p := New(Options{PageLimit: 3})
	for i := range 10 {
		key := fmt.Sprintf("p/%d", i)
		if err := p.Table.Commit(ctx, table.Txn{Nonce: key, Writes: []table.Write{{Key: key}}}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		r    table.Range
		want int
	}{
		{table.Range{Prefix: "p/"}, 10},
		{table.Range{Prefix: "p/", From: "p/2", To: "p/7"}, 5},
		{table.Range{Prefix: "p/", Limit: 4}, 4},
		{table.Range{Prefix: "q/"}, 0},
	} {
		rows, err := p.Table.List(ctx, c.r)
		if err != nil || len(rows) != c.want {
			t.Errorf("%+v: got %d rows and error %v, want %d rows", c.r, len(rows), err, c.want)
		}
	}
}

func TestObjectStore(t *testing.T) {
	p := New(Options{})
	call := func(method, body string) (status int, answer string) {
		defer func() {
			if recover() != nil {
				status = 0 // the connection was cut
			}
		}()
		recorder := httptest.NewRecorder()
		p.Handler().ServeHTTP(recorder, httptest.NewRequest(method, "/objects/digests/2026-12", strings.NewReader(body)))
		return recorder.Code, recorder.Body.String()
	}
	for _, c := range []struct {
		faults       Faults
		method, body string
		status       int
		answer       string
	}{
		{Faults{}, "PUT", "one", 204, ""},
		{Faults{}, "GET", "", 200, "one"},
		{Faults{LoseNext: 1}, "PUT", "two", 0, ""},
		{Faults{}, "GET", "", 200, "two"},
	} {
		p.SetFaults(c.faults)
		if status, answer := call(c.method, c.body); status != c.status || answer != c.answer {
			t.Errorf("%s %q: got %d %q, want %d %q", c.method, c.body, status, answer, c.status, c.answer)
		}
	}
	p.SetFaults(Faults{Outage: true})
	if status, _ := call("GET", ""); status != 503 {
		t.Errorf("GET during an outage: got status %d, want 503", status)
	}
}
