package gateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
)

// testFleet is a set of nodes whose digests the test delivers without a network.
type testFleet struct {
	nodes map[string]*peers
	// byAddress finds the receiver of a digest.
	byAddress map[string]*peers
	failed    map[string]bool
	// previous contains the nodes of the version that knows no packed digests.
	previous map[string]bool
	digests  int
	tick     int
}

// newTestFleet returns count nodes in three failure domains. The first node of
// each domain has the largest share of a core.
func newTestFleet(count int) *testFleet {
	f := &testFleet{nodes: map[string]*peers{}, byAddress: map[string]*peers{}, failed: map[string]bool{}}
	for i := range count {
		share := 0.2
		if i < 3 {
			share = 0.8
		}
		s := &Settings{Node: fmt.Sprintf("n%03d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Peers: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), ProcessorShare: share}
		var store table.Store
		var conn net.PacketConn
		yes := func() bool { return true }
		candidate := leader.New(nil, s.Node, func() time.Duration { return time.Second }, eventlog.Discard())
		f.nodes[s.Node] = newPeers(s, peersOptions{store: store, board: place.NewBoard(), poison: poison.New(), candidate: candidate, conn: conn, hadTraffic: yes, hasFreshFeeds: yes, storeEra: func() (int64, bool) { return 0, true }, log: eventlog.Discard(), traffic: newPeerMetrics(tally.NoopScope)})
		f.byAddress[s.Peers] = f.nodes[s.Node]
	}
	for _, a := range f.nodes {
		for name, b := range f.nodes {
			a.updatePeer(name, b.self)
		}
	}
	return f
}

// round lets every working node send its digests of one tick.
func (f *testFleet) round() {
	f.digests = 0
	for name, node := range f.nodes {
		if f.failed[name] {
			continue
		}
		digests, _ := node.outgoingDigests(f.tick, time.Now())
		f.digests += len(digests)
		for _, d := range digests {
			receiver := f.byAddress[d.address]
			if f.previous[name] {
				d.digest.Packed, d.digest.Seq = false, 0
			}
			if f.failed[receiver.node] || f.previous[receiver.node] && (d.packed != nil || d.digest.Kind == digestAll) {
				continue
			}
			receiver.handleDigest(d.digest, time.Now())
		}
	}
	f.tick++
	time.Sleep(digestInterval)
}

// requestsAt returns how many requests each working node counts at a host, its
// own included.
func (f *testFleet) requestsAt(host string) map[string]int {
	out := map[string]int{}
	for name, node := range f.nodes {
		if f.failed[name] {
			continue
		}
		out[name] = node.board.InFlight()[host]
		for _, report := range node.board.Reported(time.Now()) {
			out[name] += report.InFlight[host]
		}
	}
	return out
}

// TestEveryNodeCountsEachRequestOnce verifies that each node counts every request
// and every node of the fleet exactly once, with and without hubs.
func TestEveryNodeCountsEachRequestOnce(t *testing.T) {
	for _, count := range []int{3, 8, 9, 16, 17, 30, 85} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(count)
				for _, node := range f.nodes {
					node.board.Started("h")
				}
				for range 20 {
					f.round()
				}
				for name, requests := range f.requestsAt("h") {
					if requests != count {
						t.Errorf("%s counts %d requests, want %d", name, requests, count)
					}
				}
				for name, node := range f.nodes {
					if live := node.board.LiveNodes(time.Now()); live != count {
						t.Errorf("%s counts %d nodes, want %d", name, live, count)
					}
				}
			})
		})
	}
}

// TestNodesOfTwoVersionsCountEachRequestOnce guards against a rolling restart in which
// nodes of the previous version cannot read the digests, or are counted twice.
func TestNodesOfTwoVersionsCountEachRequestOnce(t *testing.T) {
	for name, isPrevious := range map[string]func(i int) bool{
		"hubs first": func(i int) bool { return i >= 3 }, "hubs last": func(i int) bool { return i < 3 }, "every second": func(i int) bool { return i%2 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 60
				f := newTestFleet(count)
				f.previous = map[string]bool{}
				for i := range count {
					node := fmt.Sprintf("n%03d", i)
					f.previous[node] = isPrevious(i)
					f.nodes[node].board.Started("h")
				}
				for range 20 {
					f.round()
				}
				for node, requests := range f.requestsAt("h") {
					if live := f.nodes[node].board.LiveNodes(time.Now()); requests != count || live != count {
						t.Errorf("%s, previous version %t, counts %d requests at %d nodes, want %d at %d", node, f.previous[node], requests, live, count, count)
					}
				}
			})
		})
	}
}

// TestMemberTakesOffItsOwnRequests verifies that a member counts what other nodes have in
// flight while its own requests come and go, and that it does not use a digest that
// contains one of its former process.
func TestMemberTakesOffItsOwnRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(30)
		member := f.nodes["n010"]
		for _, node := range f.nodes {
			node.board.Started("h")
		}
		for range 40 { // some sums of the first ticks reach members
			f.round()
			member.board.Started("h")
			if others := member.board.Load("h", time.Now()) - member.board.InFlight()["h"]; f.tick > 20 && others != 29 {
				t.Fatalf("got %d requests of other nodes, want 29", others)
			}
		}
		before := member.board.Load("h", time.Now())
		member.handleDigest(digest{Kind: digestAll, Node: "n001", Row: f.nodes["n001"].self, Nodes: 30, InFlight: map[string]int{"h": 500}, Ack: member.ownDigests.last + 1}, time.Now())
		if after := member.board.Load("h", time.Now()); after != before {
			t.Errorf("a digest with unknown counts of this node changed the load from %d to %d", before, after)
		}
	})
}

// TestDigestsOfManyHostsAreSent guards against a past failure: the JSON of a digest that
// counts some thousand hosts is larger than a datagram. It was not sent, and the members
// took their hub for failed.
func TestDigestsOfManyHostsAreSent(t *testing.T) {
	want := digest{Kind: digestAll, Node: "n000", Row: nodeRow{Address: "10.0.0.1:1", Domain: "d"}, Nodes: 300, InFlight: map[string]int{}, Sent: map[string]int{"x": 1}, Ack: 7}
	for i := range 4000 {
		want.InFlight[fmt.Sprintf("host-%04d.%d", i, i*7919%1000)] = i % 40
	}
	datagram, err := (&packedDigest{digest: want}).datagram(want.Ack)
	if err != nil || len(datagram) > maxDigestBytes {
		t.Fatalf("got a datagram of %d bytes and error %v, want at most %d", len(datagram), err, maxDigestBytes)
	}
	got, err := unpackDigest(datagram)
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("got error %v and a digest that differs (-want +got):\n%s", err, diff)
	}
	for length := 1; length < len(datagram); length += 50 {
		if _, err := unpackDigest(datagram[:length]); err == nil {
			t.Errorf("the first %d of %d bytes were decoded, want an error", length, len(datagram))
		}
	}
}

// TestMeshNodesReadFeedsFromHub verifies that in a fleet with a full mesh of
// digests but more than maxStoreReaders nodes, only one node of each failure domain
// follows the store, and the others read from it.
func TestMeshNodesReadFeedsFromHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(maxStoreReaders + 1)
		for range 20 {
			f.round()
		}
		readers := 0
		for _, node := range f.nodes {
			if node.upstream().Hub == nil {
				readers++
			}
		}
		if readers != 3 {
			t.Errorf("%d of %d nodes in three failure domains follow the store, want 3", readers, len(f.nodes))
		}
	})
}

// TestDeputiesOfAHub verifies that the members of a failure domain agree on two
// deputies, which have none themselves.
func TestDeputiesOfAHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(30)
		for range 20 {
			f.round()
		}
		without := 0
		for name, node := range f.nodes {
			switch got := len(node.upstream().Deputies); got {
			case 0:
				without++
			case maxDeputies:
			default:
				t.Errorf("%s has %d deputies, want %d or none", name, got, maxDeputies)
			}
		}
		if want := 3 * (1 + maxDeputies); without != want {
			t.Errorf("%d nodes have no deputies, want the hub and the deputies of each domain, %d", without, want)
		}
	})
}

// TestHubReadsFromOtherDomains guards against a past failure: a hub that the store
// refused read from a member of its own failure domain, which reads from the hub.
// Both got a change two seconds late.
func TestHubReadsFromOtherDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, count := range []int{9, 30} {
			f := newTestFleet(count)
			for range 20 {
				f.round()
			}
			for name, node := range f.nodes {
				hub := node.chosenHub
				for range 20 { // peers are chosen at random
					for _, source := range node.upstream().Peers {
						other := f.byAddress[strings.TrimPrefix(source.(*peerSource).base, "http://")]
						if other.node == hub || hub == name && other.self.Domain == node.self.Domain {
							t.Fatalf("%s of %d nodes, whose hub is %s, reads from %s while the store fails", name, count, hub, other.node)
						}
					}
				}
			}
		}
	})
}

// TestSmallNodesDeferInElections verifies that a node waits before it takes the
// leadership if it knows a node with a larger share of a core.
func TestSmallNodesDeferInElections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(30)
		for name, node := range f.nodes {
			node.rosterRead = true
			if got, want := node.electionDeference() > 0, node.self.Share < 0.8; got != want {
				t.Errorf("%s with a share of %.1f defers: %t, want %t", name, node.self.Share, got, want)
			}
		}
	})
}

// TestDigestsGrowLinearlyWithNodes verifies that hubs keep the number of digests
// about linear in the number of nodes: four times the nodes send at most 4.4
// times the digests.
func TestDigestsGrowLinearlyWithNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		digestsPerRound := func(nodes int) float64 {
			f := newTestFleet(nodes)
			total := 0
			for range 20 {
				f.round()
				total += f.digests
			}
			return float64(total) / 20
		}
		small, large := digestsPerRound(75), digestsPerRound(300)
		if large > 4.4*small {
			t.Errorf("got %0.f digests a round at 75 nodes and %0.f at 300, want at most 4.4 times as many", small, large)
		}
	})
}

// TestMembersSwitchToNextHub verifies that three seconds after a hub fails, each
// other node counts exactly the requests of the 29 working nodes, and a member of
// the failed hub reads the feeds from the next one.
func TestMembersSwitchToNextHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(30)
		for _, node := range f.nodes {
			node.board.Started("h")
		}
		for range 20 {
			f.round()
		}
		f.failed["n000"] = true
		for range 30 { // the members' hub timeout, then the expiry of the failed node's reports
			f.round()
		}
		for name, requests := range f.requestsAt("h") {
			if requests != 29 {
				t.Errorf("%s counts %d requests, want those of the 29 working nodes", name, requests)
			}
		}
		if up := f.nodes["n006"].upstream(); up.Hub == nil { // n003 is the next hub
			t.Error("a member has no hub to read from three seconds after its hub failed")
		}
	})
}

// FuzzDigest verifies that no datagram which decodes as a digest makes a node
// panic, now or when it sends its own digests.
func FuzzDigest(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"node":"n001"}`, `{"kind":"sum","node":"n001","nodes":-5,"inFlight":{"h":-1}}`, `{"kind":"others","node":"x","row":{"address":"nowhere"}}`,
		`{"kind":"own","node":"n002","row":{"address":"10.0.0.9:1","domain":"d9","share":1e308},"reads":true,"leader":{"version":9,"left":9223372036854775807}}`,
		`{"kind":"no kind","node":"seed 10.0.0.1:1","suspects":["",""],"leader":{"left":-1}}`,
	} {
		f.Add([]byte(seed))
	}
	packed, err := (&packedDigest{digest: digest{Kind: digestAll, Node: "n001", InFlight: map[string]int{"ha": 1, "hb": 2}}}).datagram(3)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		node := newTestFleet(30).nodes["n000"]
		now := time.Now()
		node.receive(datagram, now)
		if len(datagram) > 0 {
			datagram[0] = packedMark
			node.receive(datagram, now)
		}
		node.outgoingDigests(0, now.Add(time.Second))
		node.upstream()
	})
}
