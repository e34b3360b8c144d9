// Package node wires the parts of one entry node: listeners, duties and the
// order in which they start and stop.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/burn"
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

// Node is one entry node.
type Node struct {
	settings *settings.Settings
	log      *eventlog.Logger

	network   Network
	listeners listeners
	store     table.Store
	endpoints *endpoint.Client
	peers     *peer.Client
	// clients are closed with the node.
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
	// planner is used under planMu.
	planMu   sync.Mutex
	planner  planner
	relay    *relay.Relay
	recorder *explain.Recorder
	metrics  *metrics.Metrics
	burn     *burn.Recorder
	gate     *gate

	// homeWork counts requests that run here for other entry nodes.
	homeWork sync.WaitGroup
	started  time.Time

	mu       sync.Mutex
	leaving  bool
	sessions []lease.SessionRow

	// duties ends the background duties; work ends running requests.
	dutiesCtx context.Context
	endDuties context.CancelFunc
	duties    sync.WaitGroup
}

// listeners are the open sockets of a node.
type listeners struct{ callers, peers, operators net.Listener }

// Addresses are the host:port of a node's listeners.
type Addresses struct{ Callers, Peers, Operators string }

// Network opens a node's listeners and connections.
type Network struct {
	Listen func(network, address string) (net.Listener, error)
	// Dial bounds the time of a dial by itself; calls bound it further.
	Dial endpoint.DialFunc
}

// TCP returns the network of the machine.
func TCP() Network {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return Network{Listen: net.Listen, Dial: dialer.DialContext}
}

// dialTimeout bounds the time to open a connection.
const dialTimeout = 500 * time.Millisecond

// New opens the listeners on TCP and builds the parts. Nothing runs before
// Run.
func New(s *settings.Settings, log *eventlog.Logger) (*Node, error) {
	return NewOver(TCP(), s, log)
}

// NewOver is New over another network.
func NewOver(network Network, s *settings.Settings, log *eventlog.Logger) (*Node, error) {
	opened, err := listen(network, s)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, log: log, network: network, listeners: opened, router: &router{}}
	n.dutiesCtx, n.endDuties = context.WithCancel(context.Background())
	if err := n.buildConnections(); err != nil {
		return nil, err
	}
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

// Addresses returns where the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.listeners.callers.Addr().String(),
		Peers:     n.listeners.peers.Addr().String(),
		Operators: n.listeners.operators.Addr().String(),
	}
}

// Run serves until ctx ends, then stops gracefully: readiness fails, duties
// are handed over, requests in flight end. It returns the first error of a
// listener.
func (n *Node) Run(ctx context.Context) error {
	n.started = time.Now()
	n.log.Log(eventlog.NodeStarted, eventlog.Fields{"callers": n.Addresses().Callers, "peers": n.Addresses().Peers, "operators": n.Addresses().Operators})
	servers, err := n.servers()
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		n.duties.Go(func() {
			if err := s.serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	n.startDuties()
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	n.stop(servers)
	return err
}

func (n *Node) startDuties() {
	for _, duty := range []func(context.Context){
		n.keeper.Run, n.roster.Run, n.health.Run, n.members.Run, n.follower.Run, n.sweeper.Run,
		n.groups.Run, n.shares.Run, n.claims.Run, n.planDuty, n.rosterDuty,
	} {
		n.duties.Go(func() { duty(n.dutiesCtx) })
	}
}
