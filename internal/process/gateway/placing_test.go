package gateway

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/coordinate"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

// placingNet delivers datagrams between coordinators at once, except to and from those
// that have failed.
type placingNet struct {
	byAddress map[string]*coordinator
	mu        sync.Mutex
	failed    map[string]bool
	received  map[string]int
}

// placingConn is the socket of one node.
type placingConn struct {
	net.PacketConn
	network *placingNet
	address net.Addr
}

// WriteTo implements net.PacketConn.
func (c placingConn) WriteTo(content []byte, to net.Addr) (int, error) {
	receiver := c.network.byAddress[to.String()]
	if !isPlacing(content) {
		return 0, fmt.Errorf("datagram does not start with %s", placingPrefix)
	}
	if receiver == nil || !c.network.passes(c.network.byAddress[c.address.String()].node, receiver.node) {
		return len(content), nil
	}
	receiver.receive(content, c.address)
	return len(content), nil
}

// passes counts a datagram, unless one of its nodes has failed.
func (n *placingNet) passes(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed[from] || n.failed[to] {
		return false
	}
	n.received[to]++
	return true
}

// fail lets a node fail.
func (n *placingNet) fail(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failed[node] = true
}

// placingView has one service with two groups and the engine and pause target of the
// plates.
func placingView(pause time.Duration) *fleet.View {
	engine := &fleet.Engine{
		Slots: 20, StepsPerPass: 6, ChunkTokens: 2048, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 94700 * time.Nanosecond,
		PrefillTokensPerSecond: 45_900, MeanPromptTokens: 850, MeanAnswerTokens: 158, Models: []fleet.Model{{Name: "large", Size: 8, TimeFactor: 1}},
	}
	configuration := &fleet.Configuration{
		Routes:   []fleet.Route{{Name: "r", Kind: fleet.KindStream, PauseTarget: pause, Targets: []fleet.WeightedService{{Service: "models", Weight: 1}}}},
		Services: map[string]*fleet.Service{"models": {Name: "models", Engine: engine}, "plain": {Name: "plain"}},
	}
	var hosts []*fleet.Host
	for i := range 2 {
		hosts = append(hosts, &fleet.Host{
			ID: fmt.Sprintf("h%d", i), Service: "models", State: fleet.HostReady, LoadedModel: "large",
			Group: fleet.Membership{Name: fmt.Sprintf("g%d", i), Epoch: 1, State: fleet.MemberOpen},
		})
	}
	return fleet.NewView(configuration, hosts, 1, time.Now(), true)
}

func newPlacingNet(count int, mode placingMode, pause time.Duration) (*placingNet, []*coordinator) {
	network := &placingNet{byAddress: map[string]*coordinator{}, failed: map[string]bool{}, received: map[string]int{}}
	view := &fleet.ViewHolder{}
	view.Store(placingView(pause))
	var nodes []*coordinator
	for i := range count {
		s := &Settings{Node: fmt.Sprintf("n%03d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Peers: fmt.Sprintf("10.0.0.%d:1", i+1), ProcessorShare: 0.2, Coordinate: mode}
		c := newCoordinator(s, place.NewBoard(), view, eventlog.Discard(), tally.NoopScope)
		address, err := net.ResolveUDPAddr("udp", s.Peers)
		if err != nil {
			panic(err)
		}
		c.peers = newPeers(s, peersOptions{conn: placingConn{network: network, address: address}, log: eventlog.Discard()})
		network.byAddress[s.Peers] = c
		nodes = append(nodes, c)
	}
	for _, a := range nodes {
		for _, b := range nodes {
			a.peers.updatePeer(b.node, b.peers.self)
		}
	}
	return network, nodes
}

var placingKey = coordinate.Key{Service: "models", Model: "large"}

// placeOne places a request at a node as package forward does, and returns its group.
func (c *coordinator) placeOne(t *testing.T, prompt int) coordinate.Answer {
	t.Helper()
	answer, release := c.Choose(t.Context(), placingKey, coordinate.Ask{PromptTokens: prompt, Tokens: prompt})
	if answer.Host != "" {
		c.Begin(placingKey, answer.Host, prompt, prompt)
	}
	release()
	return answer
}

// TestNodesFillGroupsTogether verifies that nodes that know nothing of each other's
// requests fill all groups to their slots, that none goes beyond, and that the next
// request is refused.
func TestNodesFillGroupsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, nodes := newPlacingNet(63, placingAuto, 300*time.Millisecond)
		counts := map[string]int{}
		for i := range 40 {
			answer := nodes[i%len(nodes)].placeOne(t, 1000)
			counts[answer.Host]++
		}
		if counts["h0"] != 20 || counts["h1"] != 20 {
			t.Errorf("got requests %v, want 20 at each group", counts)
		}
		if answer := nodes[50].placeOne(t, 1000); !answer.Full {
			t.Errorf("request beyond all slots: got %+v, want full", answer)
		}
		if len(network.received) > 41 {
			t.Errorf("%d nodes got datagrams, want only the asking ones and the coordinator", len(network.received))
		}
	})
}

// TestSilentCoordinatorCostsShortWaits verifies that a node without an answer chooses
// alone after coordinate.AskTimeout, and soon asks the next node, which knows what is in
// flight from the reports.
func TestSilentCoordinatorCostsShortWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, nodes := newPlacingNet(63, placingOn, 0)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		order := nodes[0].coordinators(placingKey, time.Now()).order
		asking := nodes[len(nodes)-1] // not among the first by name, which may coordinate
		first := asking.placeOne(t, 1000)
		go asking.runReports(ctx)
		time.Sleep(coordinate.ReportInterval(63))
		synctest.Wait()
		network.fail(order[0])
		start, waits := time.Now(), 0
		var answer coordinate.Answer
		for answer.Host == "" && waits < 10 {
			waits++
			answer = asking.placeOne(t, 1000)
		}
		if waits != 4 || time.Since(start) > 3*coordinate.AskTimeout {
			t.Errorf("got an answer after %d asks and %v, want 4 asks and at most %v", waits, time.Since(start), 3*coordinate.AskTimeout)
		}
		if answer.Host == first.Host {
			t.Errorf("second coordinator chose %q, want the other group, since the first request is reported there", answer.Host)
		}
		cancel()
		synctest.Wait()
	})
}

// TestPlacingModes verifies where nodes ask one another: not in a fleet that exchanges
// loads directly, nor where a route allows the longest pass, nor for plain services.
func TestPlacingModes(t *testing.T) {
	for _, c := range []struct {
		nodes int
		mode  placingMode
		pause time.Duration
		want  bool
	}{
		{63, placingAuto, 300 * time.Millisecond, true},
		{63, placingAuto, 400 * time.Millisecond, false},
		{63, placingAuto, 0, false},
		{16, placingAuto, 300 * time.Millisecond, false},
		{16, placingOn, 0, true},
		{63, placingOff, 300 * time.Millisecond, false},
	} {
		_, nodes := newPlacingNet(c.nodes, c.mode, c.pause)
		services := nodes[0].view.Load().Configuration.Services
		if got := nodes[0].Serves(services["models"]); got != c.want {
			t.Errorf("%d nodes, mode %s, pause target %v: got %t, want %t", c.nodes, c.mode, c.pause, got, c.want)
		}
		if nodes[0].Serves(services["plain"]) {
			t.Errorf("%d nodes, mode %s: plain service is coordinated, want not", c.nodes, c.mode)
		}
	}
}

// TestUnusableMessagesChangeNothing guards against datagrams of other senders, which
// may hold anything.
func TestUnusableMessagesChangeNothing(t *testing.T) {
	_, nodes := newPlacingNet(20, placingOn, 0)
	order := nodes[0].coordinators(placingKey, time.Now()).order
	for _, c := range nodes {
		for _, text := range []string{
			`{"placing":`, `{"placing":{}}`, `{"placing":{"usage":{}}}`, `{"placing":{"answer":{"id":1,"host":"h0"}}}`,
			`{"placing":{"answer":{"id":1,"host":"h0"},"key":{"service":"models","model":"large"}}}`,
			`{"placing":{"usage":{"service":"models","model":"large","from":"x","life":1,"seq":1,"groups":{"h0":{"n":-5}}}}}`,
			`{"placing":{"usage":{"service":"models","model":"unknown","from":"x","life":1,"seq":1,"groups":{"h0":{"n":20}}}}}`,
			`{"placing":{"usage":{"service":"other","model":"large","from":"x","life":1,"seq":1},"ask":{"id":1}}}`,
		} {
			c.receive([]byte(text), &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1})
		}
	}
	if answer := nodes[len(nodes)-1].placeOne(t, 1000); answer.Host == "" {
		t.Errorf("after unusable messages: got %+v from %s, want a group", answer, order[0])
	}
}
