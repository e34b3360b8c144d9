package gateway

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/request/place"
)

// mesh is a set of nodes whose digests are delivered by hand.
type mesh struct {
	nodes map[string]*peers
	// byAddress finds the receiver of a letter.
	byAddress map[string]*peers
	dead      map[string]bool
	letters   int
	tick      int
}

// newMesh makes count nodes in three domains; node 0 of each domain is the
// largest one.
func newMesh(count int) *mesh {
	m := &mesh{nodes: map[string]*peers{}, byAddress: map[string]*peers{}, dead: map[string]bool{}}
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
		m.nodes[s.Node] = newPeers(s, peersOptions{store: store, board: place.NewBoard(), candidate: candidate, conn: conn, traffic: yes, reads: yes, log: eventlog.Discard()})
		m.byAddress[s.Peers] = m.nodes[s.Node]
	}
	for _, a := range m.nodes {
		for name, b := range m.nodes {
			a.learn(name, b.self)
		}
	}
	return m
}

// round lets every living node send once.
func (m *mesh) round() {
	m.letters = 0
	for name, node := range m.nodes {
		if m.dead[name] {
			continue
		}
		letters, _ := node.letters(m.tick, time.Now())
		m.letters += len(letters)
		for _, l := range letters {
			if receiver := m.byAddress[l.address]; !m.dead[receiver.node] {
				receiver.take(l.digest, time.Now())
			}
		}
	}
	m.tick++
	time.Sleep(digestPeriod)
}

// loads returns what each living node counts at a host, its own included.
func (m *mesh) loads(host string) map[string]int {
	out := map[string]int{}
	for name, node := range m.nodes {
		if m.dead[name] {
			continue
		}
		out[name] = node.board.InFlight()[host]
		for _, report := range node.board.Reported(time.Now()) {
			out[name] += report.InFlight[host]
		}
	}
	return out
}

// TestEveryNodeLearnsTheWholeLoadOnce holds that each request of the fleet is
// counted exactly once at each node, in small and large fleets, and that the
// nodes of the fleet are counted too.
func TestEveryNodeLearnsTheWholeLoadOnce(t *testing.T) {
	for _, count := range []int{3, 8, 9, 30, 85} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(count)
				for _, node := range m.nodes {
					node.board.Started("h")
				}
				for range 20 {
					m.round()
				}
				for name, load := range m.loads("h") {
					if load != count {
						t.Errorf("%s counts %d requests of %d", name, load, count)
					}
				}
				for name, node := range m.nodes {
					if live := node.board.LiveNodes(time.Now()); live != count {
						t.Errorf("%s counts %d nodes of %d", name, live, count)
					}
				}
			})
		})
	}
}

// TestMessagesGrowWithTheNodes holds the reason for hubs: twice the nodes may
// send at most a little over twice the digests.
func TestMessagesGrowWithTheNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		count := func(nodes int) float64 {
			m := newMesh(nodes)
			total := 0
			for range 20 {
				m.round()
				total += m.letters
			}
			return float64(total) / 20
		}
		small, large := count(75), count(300)
		if large > 4.4*small {
			t.Errorf("%0.f digests a round at 75 nodes, %0.f at 300", small, large)
		}
	})
}

// TestMembersFollowTheNextHub plays the death of a hub: within two seconds all
// nodes count the whole load of the living again.
func TestMembersFollowTheNextHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(30)
		for _, node := range m.nodes {
			node.board.Started("h")
		}
		for range 20 {
			m.round()
		}
		m.dead["n000"] = true
		for range 30 { // a member's silence, then its report's age at the others
			m.round()
		}
		for name, load := range m.loads("h") {
			if load != 29 {
				t.Errorf("%s counts %d requests, want those of 29 living nodes", name, load)
			}
		}
		if up := m.nodes["n006"].upstream(); up.Reader == nil { // n003 is the next hub
			t.Error("a member has no reader three seconds after its hub died")
		}
	})
}
