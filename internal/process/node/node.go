// Package node assembles an entry node from its components and runs it: the
// listeners for callers, peers and operators, the background loops, and the
// order in which they start and stop. The serve command and the demo fleet use
// it. Run blocks until the node has stopped.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/conntrack"
	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/intake"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/burn"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/explain"
	"currantladder.example/currantladder/internal/process/lease"
	"currantladder.example/currantladder/internal/process/membership"
	"currantladder.example/currantladder/internal/process/metrics"
	"currantladder.example/currantladder/internal/process/roster"
	"currantladder.example/currantladder/internal/process/settings"
	"currantladder.example/currantladder/internal/request/claim"
	"currantladder.example/currantladder/internal/request/dispatch"
	"currantladder.example/currantladder/internal/request/relay"
	"currantladder.example/currantladder/internal/request/share"
	"currantladder.example/currantladder/internal/request/suspect"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/groupcontrol"
)

// Node is an entry node: it accepts callers' requests, forwards each to the
// home node of a replica group, and is itself the home of some groups.
type Node struct {
	settings *settings.Settings
	log      *eventlog.Logger

	network   Network
	listeners listeners
	store     table.Store
	endpoints *endpoint.Client
	peers     *peer.Client
	// clients are the HTTP clients whose idle connections close at the stop.
	clients []*http.Client

	keeper   *lease.Keeper
	roster   *roster.Roster
	health   *health.Prober
	members  *membership.Prober
	acceptor *configlog.Acceptor
	follower *configlog.Follower
	sweeper  *configlog.Sweeper
	groups   *groupcontrol.Manager
	shares   *share.Manager
	claims   *claim.Store
	budget   *retryBudget
	suspects *suspect.Tracker
	home     *dispatch.Home
	router   *router
	// planMu guards planner.
	planMu   sync.Mutex
	planner  planner
	relay    *relay.Relay
	recorder *explain.Recorder
	metrics  *metrics.Metrics
	burn     *burn.Recorder
	gate     *gate
	// callers bounds what callers make the node hold.
	callers   *intake.Listener
	callerAPI *callerapi.Server
	// conns follows the callers' connections. requests is the parent of the contexts of
	// their requests, which endRequests ends.
	conns       *conntrack.Tracker
	requests    context.Context
	endRequests context.CancelCauseFunc

	// homeRequests counts the requests that run here for other entry nodes.
	homeRequests sync.WaitGroup
	started      time.Time

	mu       sync.Mutex
	leaving  bool
	sessions []lease.SessionRow

	// background counts the goroutines of listeners and loops;
	// cancelBackground stops the loops and the dispatch of requests.
	backgroundCtx    context.Context
	cancelBackground context.CancelFunc
	background       sync.WaitGroup
}

// listeners are the open sockets of a node.
type listeners struct{ callers, peers, operators net.Listener }

// Addresses are the host:port addresses of a node's listeners.
type Addresses struct{ Callers, Peers, Operators string }

// Network opens a node's listeners and connections.
type Network struct {
	Listen func(network, address string) (net.Listener, error)
	// Dial must apply its own timeout; the deadline of a call may shorten it.
	Dial endpoint.DialFunc
}

// TCP returns the TCP network of this host.
func TCP() Network {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return Network{Listen: net.Listen, Dial: dialer.DialContext}
}

// dialTimeout is how long opening a TCP connection may take.
const dialTimeout = 500 * time.Millisecond

// New opens TCP listeners and builds the components of a node. Nothing runs
// before Run is called. It returns an error if an address cannot be listened on
// or the CA file of section [peers] is unusable.
func New(s *settings.Settings, log *eventlog.Logger) (*Node, error) {
	return NewWithNetwork(TCP(), s, log)
}

// NewWithNetwork is New with listeners and connections on another network.
func NewWithNetwork(network Network, s *settings.Settings, log *eventlog.Logger) (*Node, error) {
	opened, err := listen(network, s)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, log: log, network: network, listeners: opened, router: &router{}}
	n.backgroundCtx, n.cancelBackground = context.WithCancel(context.Background())
	n.requests, n.endRequests = context.WithCancelCause(context.Background())
	if err := n.buildConnections(); err != nil {
		return nil, err
	}
	n.callers = n.newBounds("callers", s.Callers)
	n.conns = n.callers.Conns
	n.buildControl()
	n.buildRequestPath()
	return n, nil
}

func listen(network Network, s *settings.Settings) (listeners, error) {
	var opened listeners
	for _, l := range []struct {
		target  *net.Listener
		section string
		address string
	}{
		{&opened.callers, "callers", s.Callers.Address},
		{&opened.peers, "peers", s.Peers.Address},
		{&opened.operators, "operators", s.Operators.Address},
	} {
		listener, err := network.Listen("tcp", l.address)
		if err != nil {
			return opened, fmt.Errorf("listen for %s on %s: %w; choose a free address in section [%s]", l.section, l.address, err, l.section)
		}
		*l.target = listener
	}
	return opened, nil
}

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.listeners.callers.Addr().String(),
		Peers:     n.listeners.peers.Addr().String(),
		Operators: n.listeners.operators.Addr().String(),
	}
}

// Run serves until ctx is cancelled or a listener fails, then stops gracefully:
// readiness fails, requests in flight end, leases and cap shares are handed
// over. It returns the first error of a listener.
func (n *Node) Run(ctx context.Context) error {
	n.started = time.Now()
	n.log.Log(eventlog.NodeStarted, eventlog.Fields{"callers": n.Addresses().Callers, "peers": n.Addresses().Peers, "operators": n.Addresses().Operators})
	servers, err := n.servers()
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		n.background.Go(func() {
			if err := s.serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	n.startLoops()
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	n.stop(servers)
	return err
}

func (n *Node) startLoops() {
	for _, loop := range []func(context.Context){
		n.keeper.Run, n.roster.Run, n.health.Run, n.members.Run, n.follower.Run, n.sweeper.Run,
		n.groups.Run, n.shares.Run, n.claims.Run, n.runPlanLoop, n.runSessionLoop, n.reportHeld,
	} {
		n.background.Go(func() { loop(n.backgroundCtx) })
	}
}
