package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// The fleet whose traffic is traced: the size at which the goals of a hub's traffic
// are set.
const (
	tracedNodes     = 300
	tracedDomains   = 3
	tracedMembers   = tracedNodes/tracedDomains - 1
	tracedHosts     = 3000
	tracedGroupSize = 4
	// tracedRenewals and tracedChanges are rows a second: each host writes its
	// registration again every 20 s, and a group is formed again every 0.1 s.
	tracedRenewals = 150
	tracedChanges  = 100
	tracedSeconds  = 2
	// startSeconds is the time in which all hosts become ready.
	startSeconds = 4
	// tracedRequests is the number of requests in flight at each node.
	tracedRequests = 15
	// maxTracedTraffic is the target for the busiest node, in kB a second.
	maxTracedTraffic = 2000
	// headerBytes is the size of the headers of one call, as docs/CAPACITY.md counts it.
	headerBytes = 330
)

// hubTraffic counts what one hub sends and receives.
type hubTraffic struct{ sent, received, calls int }

func (c hubTraffic) over(seconds int) string {
	return fmt.Sprintf("%6d kB/s sent, %4d kB/s received, %5d calls/s", c.sent/seconds/1000, c.received/seconds/1000, c.calls/seconds)
}

// handlerTransport sends requests to a handler without a network.
type handlerTransport struct {
	handler http.Handler
	traffic *hubTraffic
}

// RoundTrip implements http.RoundTripper.
func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, r)
	h.traffic.calls++
	h.traffic.sent += headerBytes/2 + recorder.Body.Len()
	h.traffic.received += headerBytes / 2
	return recorder.Result(), nil
}

// tracedHub is a hub whose members read its copy of the host list.
type tracedHub struct {
	follower *feed.Follower
	traffic  hubTraffic
	source   feed.Source
	members  []*feed.Table
	version  int64
	random   *rand.Rand
	// epochs are the epochs of the groups, and states the states of their members.
	epochs []int
	states []string
}

func newTracedHub(members int) *tracedHub {
	h := &tracedHub{
		follower: feed.NewFollower(feed.TopicHosts, nil, nil, eventlog.Discard(), func([]feed.Record, bool) {}),
		random:   rand.New(rand.NewPCG(1, 2)), epochs: make([]int, tracedHosts/tracedGroupSize), states: make([]string, tracedHosts/tracedGroupSize),
	}
	handler := feedHandler(map[feed.Topic]*feed.Follower{feed.TopicHosts: h.follower})
	h.source = &peerSource{"http://hub", &http.Client{Transport: handlerTransport{handler, &h.traffic}}}
	for range members {
		h.members = append(h.members, feed.NewTable())
	}
	return h
}

// registration returns the record of a host. Its value has the size and the variety of
// those of the users' platform.
func (h *tracedHub) registration(host int) feed.Record {
	h.version++
	group, rank := host/tracedGroupSize, host%tracedGroupSize
	member := `null`
	if state := h.states[group]; state != "" {
		member = fmt.Sprintf(`{"name":"model-%02d","epoch":%d,"rank":%d,"state":%q}`, group%5, 3_000_000+h.epochs[group], rank, state)
	}
	value := fmt.Sprintf(`{"service":"completions","address":"10.%d.%d.%d:8000","zone":"zone-%d","domain":"fabric-%d","version":"2026.11.3","state":"ready","cold_left_ms":0,"slots":30,"seq":%d,"born":%d,"models":[{"name":"model-%02d"}],"staged":["model-%02d"],"group":%s}`,
		host/250/16, host/250%16, host%250, host%3, host/37, h.epochs[group], 1_796_500_000_000+int64(host)*7919%1_000_000, group%5, (group+1)%5, member)
	return feed.Record{Key: fmt.Sprintf("host-%04d", host), Version: h.version, Value: []byte(value)}
}

// wholeTable returns all registrations.
func (h *tracedHub) wholeTable() feed.Batch {
	b := feed.Batch{Complete: true}
	for host := range tracedHosts {
		b.Records = append(b.Records, h.registration(host))
	}
	b.Version = h.version
	return b
}

// change returns the records of a group that has changed.
func (h *tracedHub) change(group int, state string) (changed []feed.Record) {
	h.epochs[group]++
	h.states[group] = state
	for rank := range tracedGroupSize {
		changed = append(changed, h.registration(group*tracedGroupSize+rank))
	}
	return changed
}

// apply brings records to the hub.
func (h *tracedHub) apply(changed []feed.Record) {
	h.follower.Table().Apply(feed.Batch{Records: changed, Version: h.version})
}

// readAll lets each member read once.
func (h *tracedHub) readAll(t *testing.T) {
	t.Helper()
	for _, member := range h.members {
		batch, err := feed.Batch{}, feed.ErrCompacted
		if _, loaded := member.Version(); loaded {
			if batch, err = h.source.Changes(context.Background(), feed.TopicHosts, member.Position(), 0); err == nil {
				batch, err = member.Complete(batch)
			}
		}
		if errors.Is(err, feed.ErrCompacted) {
			batch, err = h.source.Snapshot(context.Background(), feed.TopicHosts)
		}
		if err != nil {
			t.Fatal(err)
		}
		member.Apply(batch)
	}
}

// checkCopies verifies that all members hold what the hub holds.
func (h *tracedHub) checkCopies(t *testing.T) {
	t.Helper()
	want := h.follower.Table().Records()
	for i, member := range h.members {
		got := member.Records()
		for j := range want {
			if len(got) != len(want) || got[j].Key != want[j].Key || got[j].Version != want[j].Version || !bytes.Equal(got[j].Value, want[j].Value) {
				t.Fatalf("member %d holds a copy of %d records that differs from the hub's %d", i, len(got), len(want))
			}
		}
	}
}

// steady plays some seconds of a fleet, in which ticks return what the hub reads.
func (h *tracedHub) steady(t *testing.T, seconds int, tick func() []feed.Record) hubTraffic {
	t.Helper()
	const ticksPerSecond = 5 // of hubPollInterval in package feed
	h.traffic = hubTraffic{}
	for range seconds * ticksPerSecond {
		h.apply(tick())
		h.readAll(t)
		time.Sleep(time.Second / ticksPerSecond)
	}
	h.checkCopies(t)
	return h.traffic
}

// digestTraffic plays the digests of a whole fleet, and counts those of one hub.
func digestTraffic() hubTraffic {
	f := newTestFleet(tracedNodes)
	random := rand.New(rand.NewPCG(3, 4))
	hub := f.nodes["n000"].self.Address
	var traffic hubTraffic
	for _, node := range f.nodes {
		for range tracedRequests {
			node.board.Started(fmt.Sprintf("host-%04d", random.IntN(tracedHosts/tracedGroupSize)*tracedGroupSize))
		}
		node.conn = &deliveringConn{deliver: func(target string, datagram []byte) {
			if node.self.Address == hub {
				traffic.sent += len(datagram)
				traffic.calls++
			}
			if target == hub {
				traffic.received += len(datagram)
			}
			f.byAddress[target].receive(datagram, time.Now())
		}}
	}
	for range 20 {
		f.send()
	}
	traffic = hubTraffic{}
	for range tracedSeconds * int(time.Second/digestInterval) {
		f.send()
	}
	return traffic
}

// send lets every node send its digests of one tick, encoded.
func (f *testFleet) send() {
	for i := range len(f.nodes) {
		node := f.nodes[fmt.Sprintf("n%03d", i)]
		digests, _ := node.outgoingDigests(f.tick, time.Now())
		for _, d := range digests {
			node.sendDigest(d)
		}
	}
	f.tick++
	time.Sleep(digestInterval)
}

// deliveringConn is a packet connection that only sends.
type deliveringConn struct {
	net.PacketConn
	deliver func(target string, datagram []byte)
}

// WriteTo implements net.PacketConn.
func (c *deliveringConn) WriteTo(datagram []byte, target net.Addr) (int, error) {
	c.deliver(target.String(), bytes.Clone(datagram))
	return len(datagram), nil
}

// TestTrafficOfAHub traces what a hub of 300 nodes before 3,000 hosts sends and
// receives, by cause. A hub that encoded each answer for each member, and told each
// member all counts, sent more than small nodes have.
func TestTrafficOfAHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := newTracedHub(tracedMembers)
		hub.follower.Table().Apply(hub.wholeTable())
		hub.readAll(t)
		t.Logf("first read of the whole table:      %6d kB sent", hub.traffic.sent/1000)

		group := 0
		start := hub.steady(t, startSeconds, func() (changed []feed.Record) {
			for range 2 * tracedHosts / tracedGroupSize / startSeconds / 5 {
				changed = append(changed, hub.change(group%len(hub.states), []string{"ready", "open"}[group/len(hub.states)%2])...)
				group++
			}
			return changed
		})
		t.Logf("start, hosts join and become ready: %s", start.over(startSeconds))

		changes := hub.steady(t, tracedSeconds, func() (changed []feed.Record) {
			for range tracedChanges / tracedGroupSize / 5 {
				changed = append(changed, hub.change(hub.random.IntN(len(hub.states)), "open")...)
			}
			return changed
		})
		t.Logf("(a) changes:                        %s", changes.over(tracedSeconds))

		renewals := hub.steady(t, tracedSeconds, func() (changed []feed.Record) {
			for range tracedRenewals / 5 {
				changed = append(changed, hub.registration(hub.random.IntN(tracedHosts)))
			}
			return changed
		})
		t.Logf("(b) renewals:                       %s", renewals.over(tracedSeconds))

		hub.traffic = hubTraffic{}
		whole := hub.wholeTable() // read after the hub's history had a gap
		hub.follower.Table().Apply(whole)
		for _, member := range hub.members {
			member.Apply(feed.Batch{Version: whole.Version - 1})
		}
		hub.readAll(t)
		hub.checkCopies(t)
		t.Logf("(c) whole table after a gap:        %6d kB sent", hub.traffic.sent/1000)

		digests := digestTraffic()
		t.Logf("(d) digests:                        %s", digests.over(tracedSeconds))
		total := 0
		for _, c := range []hubTraffic{changes, renewals, digests} {
			total += (c.sent + c.received) / tracedSeconds / 1000
		}
		t.Logf("(a), (b) and (d):                   %6d kB/s sent and received", total)
		if total > maxTracedTraffic {
			t.Errorf("a hub sends and receives %d kB/s, want at most %d", total, maxTracedTraffic)
		}
	})
}

// discardingWriter is a reader that takes an answer.
type discardingWriter struct{ header http.Header }

func (w discardingWriter) Header() http.Header         { return w.header }
func (w discardingWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w discardingWriter) WriteHeader(int)             {}

// BenchmarkWholeTables measures what a hub allocates when all its members read the whole
// table of 3,000 hosts within a short time, and what it holds afterwards. Without a bound
// the table was encoded for each of them.
func BenchmarkWholeTables(b *testing.B) {
	const maxBytes = 20 << 20 // a third of what the busiest node may hold
	hub := newTracedHub(0)
	builder, _ := newTestBuilder()
	builder.decode.Host = func(r feed.Record) (*fleet.Host, error) { return &fleet.Host{ID: r.Key}, nil }
	whole := hub.wholeTable()
	hub.follower.Table().Apply(whole)
	builder.applyHosts(whole.Records, whole.Version, time.Time{}, time.Now())
	handler := feedHandler(map[feed.Topic]*feed.Follower{feed.TopicHosts: hub.follower})
	request := httptest.NewRequest(http.MethodGet, pathTable+"?topic=hosts", nil)
	request.Header.Set("Accept", typePacked)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	rounds := 0
	for b.Loop() {
		hub.apply([]feed.Record{hub.registration(rounds % tracedHosts)})
		for range tracedMembers {
			handler.ServeHTTP(discardingWriter{http.Header{}}, request)
		}
		rounds++
	}
	runtime.ReadMemStats(&after)
	perRound := float64(after.TotalAlloc-before.TotalAlloc) / float64(rounds)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(perRound/1e6, "MB/round")
	b.ReportMetric(float64(after.HeapAlloc)/1e6, "MB-live")
	if perRound > maxBytes || after.HeapAlloc > maxBytes {
		b.Errorf("%.1f MB were allocated for %d whole tables and %.1f MB are held, want at most %.1f", perRound/1e6, tracedMembers, float64(after.HeapAlloc)/1e6, maxBytes/1e6)
	}
	runtime.KeepAlive(builder)
	runtime.KeepAlive(handler)
}
