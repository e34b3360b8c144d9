package feed

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
)

// TestNodeThatAvoidsTheStoreReadsFromDeputies guards against a start of all nodes in
// which each reads the whole table from the store: a node without a copy waits for that
// of a deputy, which starts too, and goes on as usual with one or when the time is over.
func TestNodeThatAvoidsTheStoreReadsFromDeputies(t *testing.T) {
	for name, deputyStarts := range map[string]bool{"deputy starts": true, "deputy is lost": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				origin := NewTable()
				origin.Apply(Batch{Records: []Record{record("a", 1)}, Version: 1, Complete: true})
				store := &countingSource{fakeSource: fakeSource{table: origin}}
				deputy := &fakeSource{table: origin, down: true}
				begin := time.Now()
				follower := NewFollower(TopicHosts, store, func() Upstream {
					return Upstream{Deputies: []Source{deputy}, AvoidsStore: time.Since(begin) < 3*time.Second}
				}, eventlog.Discard(), func([]Record, bool) {})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go follower.Run(ctx)
				time.Sleep(time.Second)
				if follower.isLoaded() {
					t.Fatal("the node has a copy while only the store answers, want none yet")
				}
				deputy.set(!deputyStarts, false)
				time.Sleep(500 * time.Millisecond)
				if got := follower.isLoaded(); got != deputyStarts {
					t.Errorf("the node has a copy: %t, want %t", got, deputyStarts)
				}
				time.Sleep(2 * time.Second)
				if got := store.count() > 0; got == deputyStarts || !follower.isLoaded() {
					t.Errorf("the node reads the store: %t, and has a copy: %t; want %t and true", got, follower.isLoaded(), !deputyStarts)
				}
			})
		})
	}
}

// TestStoreCallsOfADomainAreBounded guards against store calls that grow with the nodes of
// a failure domain: its hub and deputies have failed, and the store refuses all nodes.
// Each node follows another one. A node without any follows the store as soon as it
// answers.
func TestStoreCallsOfADomainAreBounded(t *testing.T) {
	calls := func(t *testing.T, nodes int) (calls, lagging int) {
		synctest.Test(t, func(t *testing.T) {
			origin := NewTable()
			origin.Apply(Batch{Records: []Record{record("a", 1)}, Version: 1, Complete: true})
			store := &countingSource{fakeSource: fakeSource{table: origin}}
			hub, peer := &fakeSource{table: origin}, &fakeSource{table: origin}
			ctx, cancel := context.WithCancel(context.Background())
			var members []*Follower
			for range nodes {
				f := NewFollower(TopicHosts, store, func() Upstream {
					return Upstream{Hub: hub, Deputies: []Source{hub}, Peers: []Source{peer}, DomainNodes: nodes}
				}, eventlog.Discard(), func([]Record, bool) {})
				members = append(members, f)
				go f.Run(ctx)
			}
			time.Sleep(time.Second)
			hub.set(true, false)
			store.set(true, false)
			time.Sleep(15 * time.Second)
			calls = store.count()
			origin.Apply(Batch{Records: []Record{record("b", 2)}, Version: 2})
			time.Sleep(time.Second)
			for _, f := range members {
				if version, _ := f.table.Version(); version != 2 {
					lagging++
				}
			}
			cancel()
			synctest.Wait()
		})
		return calls, lagging
	}
	const rounds = int(15 * time.Second / memberStoreInterval)
	for _, nodes := range []int{10, 100} {
		got, lagging := calls(t, nodes)
		t.Logf("%d nodes made %d calls in 15 s", nodes, got)
		if got > (rounds+2)*membersPerStoreInterval || lagging > 0 {
			t.Errorf("%d nodes made %d calls in 15 s, and %d lack a change; want at most %d and none", nodes, got, lagging, (rounds+2)*membersPerStoreInterval)
		}
	}
}

// slowReader returns a byte at each interval.
type slowReader struct {
	ctx      context.Context
	interval time.Duration
}

func (r slowReader) Read(b []byte) (int, error) {
	select {
	case <-r.ctx.Done():
		return 0, context.Cause(r.ctx)
	case <-time.After(r.interval):
		return copy(b, "x"), nil
	}
}

// TestSilenceLimit verifies that a whole table may take long on a slow link, and that a
// read from a source that is silent fails as early as before.
func TestSilenceLimit(t *testing.T) {
	for interval, want := range map[time.Duration]error{SilenceTimeout / 2: nil, SilenceTimeout + 1: errSilent} {
		synctest.Test(t, func(t *testing.T) {
			ctx, limit := WithSilenceLimit(context.Background())
			defer limit.Stop()
			begin := time.Now()
			_, err := io.ReadFull(limit.Reader(slowReader{ctx, interval}), make([]byte, 6))
			if !errors.Is(err, want) || want != nil && time.Since(begin) != SilenceTimeout {
				t.Errorf("a byte each %v: got error %v after %v, want %v", interval, err, time.Since(begin), want)
			}
		})
	}
}
