// Package node wires the parts of one entry node: listeners, duties and the
// order in which they start and stop.
package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/burn"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/explain"
	"currantladder.example/currantladder/internal/process/lease"
	"currantladder.example/currantladder/internal/process/membership"
	"currantladder.example/currantladder/internal/process/metrics"
	"currantladder.example/currantladder/internal/process/operatorapi"
	"currantladder.example/currantladder/internal/process/roster"
	"currantladder.example/currantladder/internal/process/settings"
	"currantladder.example/currantladder/internal/request/claim"
	"currantladder.example/currantladder/internal/request/dispatch"
	"currantladder.example/currantladder/internal/request/relay"
	"currantladder.example/currantladder/internal/request/retry"
	"currantladder.example/currantladder/internal/request/share"
	"currantladder.example/currantladder/internal/request/suspect"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/groupcontrol"
	"currantladder.example/currantladder/internal/version/placement"
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

func (n *Node) buildConnections() error {
	peerTLS, err := peerTLS(n.settings.Peers)
	if err != nil {
		return err
	}
	platform := n.httpClient()
	platform.Timeout = n.settings.Platform.CallTimeout
	n.store = table.NewClient(n.settings.Platform.URL, platform)
	n.roster = roster.New(hostlist.NewClient(n.settings.Platform.URL, platform), n.settings.Timing.HostListPoll)
	n.endpoints = endpoint.NewClientOver(n.network.Dial)
	n.peers = peer.NewClientOver(n.settings.Peers.Key, peerTLS, n.network.Dial)
	n.metrics = metrics.New(n.settings.Node.Name)
	n.health = health.NewProber(health.Options{
		Period:  n.settings.Timing.HealthProbe,
		Timeout: n.settings.Timing.HealthProbe,
	}, health.HTTPProbe(n.httpClient()), n.metrics.Scope().SubScope("health"))
	return nil
}

// httpClient returns a client with connections of its own, which are closed
// when the node ends.
func (n *Node) httpClient() *http.Client {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         n.network.Dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}}
	n.clients = append(n.clients, client)
	return client
}

// Bounds of kept connections to the platform and to hosts.
const (
	maxIdleConnsPerHost = 4
	idleConnTimeout     = 30 * time.Second
)

// peerTLS returns the client side of TLS between nodes, nil where it is off.
func peerTLS(s settings.Peers) (*tls.Config, error) {
	if s.CertFile == "" {
		return nil, nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if s.CAFile == "" {
		return config, nil
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, fmt.Errorf("read [peers] ca_file: %w", err)
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("[peers] ca_file %s holds no certificate: use PEM", s.CAFile)
	}
	return config, nil
}

func (n *Node) buildControl() {
	s := n.settings
	identity := lease.SessionRow{
		Node:          s.Node.Name,
		Region:        s.Node.Region,
		FailureDomain: s.Node.FailureDomain,
		PeerAddress:   n.Addresses().Peers,
	}
	n.keeper = lease.New(n.store, identity, s.Timing.LeaseTTL, s.Timing.LeaseRenew, n.log)
	membershipTable := membership.NewTable(n.digest(), s.Timing.PeerTimeout, uint64(time.Now().UnixNano()))
	n.members = membership.NewProber(membershipTable, n.peers, n.digest, s.Timing.PeerProbe)
	source := peerSource{members: n.members, client: n.peers, seeds: s.Peers.Seeds, self: s.Node.Name}
	n.acceptor = configlog.NewAcceptor(n.store, n.log)
	n.follower = configlog.NewFollower(n.store, source, s.Timing.HeadPoll, n.log)
	n.acceptor.OnAccept(n.follower.Offer)
	n.sweeper = configlog.NewSweeper(n.store, keptRevisions, sweepPeriod, n.log)
	probeClient := n.httpClient()
	policy := placement.DefaultPolicy(s.Platform.LoadTime, s.Platform.ConcurrentLoads)
	policy.Drain = groupDrain
	n.groups = groupcontrol.NewManager(groupcontrol.Options{
		Node:         s.Node.Name,
		Store:        n.store,
		Log:          n.acceptor,
		View:         n.follower,
		Leases:       n.keeper,
		Hosts:        n.roster,
		Orders:       endpoint.NewOrderClient(probeClient),
		Probe:        health.HTTPProbe(probeClient),
		Health:       health.Options{Period: s.Timing.HealthProbe, Timeout: s.Timing.HealthProbe},
		Policy:       policy,
		Period:       controlPeriod,
		OrderTimeout: s.Timing.OrderTimeout,
		Events:       n.log,
		Scope:        n.metrics.Scope().SubScope("groups"),
	})
}

// groupDrain is how long a group with a leaving member may finish its streams;
// those that are left resume elsewhere.
const groupDrain = 3 * time.Second

// controlPeriod is the time between two looks of a controller at every group.
const controlPeriod = time.Second

// Bounds of the configuration log.
const (
	// keptRevisions is the number of log entries that are kept.
	keptRevisions = 10_000
	// sweepPeriod is the mean time between two sweeps of old entries.
	sweepPeriod = 10 * time.Minute
)

// capWait is how long a request may wait for a part of its account's cap to
// move to this node.
const capWait = 300 * time.Millisecond

// shareMargin covers the lag of the host list and the drift of clocks.
const shareMargin = 2 * time.Second

func (n *Node) buildRequestPath() {
	s := n.settings
	n.shares = share.NewManager(share.Options{
		Node:         s.Node.Name,
		Address:      n.Addresses().Peers,
		Store:        n.store,
		View:         n.follower,
		Peers:        shareClient{members: n.members, client: n.peers},
		Live:         n.liveNodes,
		FleetSize:    func() int { return len(n.keeper.Roster()) },
		Session:      n.shareSession,
		Hosts:        n.hostView,
		Void:         s.Timing.ShareVoid,
		Margin:       shareMargin,
		RequestLimit: s.Timing.RequestLimit,
		Log:          n.log,
	})
	n.claims = claim.New(n.store, claim.Options{})
	n.budget = &retryBudget{budget: retry.NewBudget(), view: n.follower}
	n.suspects = suspect.New()
	n.home = dispatch.NewHome(n.dutiesCtx, n.endpoints, suspects{n.suspects}, n.reportCrash)
	n.recorder = explain.NewRecorder(s.Node.Name)
	n.burn = burn.NewRecorder(s.Node.Name, n.follower)
	n.relay = &relay.Relay{Homes: homes{n}, Router: n.router, Budget: n.budget, Suspects: suspects{n.suspects}, Recorder: n.recorder}
	n.gate = newGate(s.Callers.MaxStreams, n.unfit)
}

// liveNodes returns the names of the live nodes: those of this region that
// answer, and those of other regions whose sessions are live.
func (n *Node) liveNodes() []string {
	var names []string
	for _, digest := range n.members.Live() {
		names = append(names, digest.Node)
	}
	leased := n.keeper.Live(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range n.sessions {
		if row.Region != n.settings.Node.Region && slices.Contains(leased, row.Node) {
			names = append(names, row.Node)
		}
	}
	return names
}

func (n *Node) shareSession() share.Session {
	return share.Session{Incarnation: n.keeper.Incarnation(), Proven: n.keeper.Proven()}
}

func (n *Node) hostView() share.HostView {
	list, sent := n.roster.List()
	return share.HostView{List: list, Sent: sent}
}

// enterHome counts work for another entry node until the returned function is
// called.
func (n *Node) enterHome() func() {
	n.homeWork.Add(1)
	return n.homeWork.Done
}

// digest describes this node to its peers.
func (n *Node) digest() peer.Digest {
	digest := peer.Digest{
		Node:          n.settings.Node.Name,
		Region:        n.settings.Node.Region,
		FailureDomain: n.settings.Node.FailureDomain,
		Address:       n.Addresses().Peers,
		Incarnation:   n.keeper.Incarnation(),
	}
	if n.home == nil {
		return digest
	}
	ready, _ := n.gate.Ready()
	digest.Ready = ready
	digest.Leaving = n.isLeaving()
	digest.AppliedRevision = n.follower.Current().Revision
	for model, stats := range n.home.Stats() {
		digest.Load = append(digest.Load, peer.PoolLoad{Model: model, Slots: stats.Slots, Running: stats.Running, Queued: stats.Queued})
	}
	digest.Suspects = n.suspects.Digest(time.Now())
	return digest
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// unfit returns why the node must not take work, or "".
func (n *Node) unfit() string {
	if !n.follower.Ready() {
		return "the configuration is not loaded yet"
	}
	if n.aloneSince(time.Now()) > n.settings.Timing.Isolation {
		return "it reaches neither the table service nor another node and cannot know that its configuration is in force"
	}
	return ""
}

// aloneSince returns for how long the node has reached neither the table
// service nor a peer.
func (n *Node) aloneSince(now time.Time) time.Duration {
	last := n.started
	for _, contact := range []time.Time{n.keeper.LastContact(), n.members.LastContact()} {
		if contact.After(last) {
			last = contact
		}
	}
	return now.Sub(last)
}

// reportCrash is called by the home when an endpoint died.
func (n *Node) reportCrash(group string, fingerprints []uint64) {
	loss := suspect.Loss{Endpoint: group, InFlight: fingerprints}
	if placement := n.follower.Current().Placements[group]; placement != nil {
		loss.FailureDomain = placement.FailureDomain
		loss.FabricDomain = placement.FabricDomain
	}
	for _, fingerprint := range n.suspects.Lost(loss, time.Now()) {
		n.log.Log(eventlog.CrashSuspectAdded, eventlog.Fields{"fingerprint": fingerprint, "group": group})
	}
}

// handlers returns the handler of each listener.
func (n *Node) handlers() (callers, peers, operators http.Handler, err error) {
	callers = callerapi.New(callerapi.Deps{
		View:         n.follower,
		Gate:         n.gate,
		Limiter:      share.NewWaitingLimiter(n.shares, capWait),
		Claims:       n.claims,
		Relay:        n.relay,
		Suspects:     suspects{n.suspects},
		Services:     newServiceEndpoints(n.follower, n.roster),
		Client:       n.endpoints,
		Observer:     observers{n.metrics, n.burn},
		MaxBodyBytes: n.settings.Callers.MaxBodyBytes,
		RequestLimit: n.settings.Timing.RequestLimit,
	})
	peers = peer.NewServer(n.settings.Peers.Key, peerHandlers{n})
	api, err := operatorapi.New(operatorapi.Deps{
		Users:        n.settings.Operators.Users,
		MaxBodyBytes: n.settings.Operators.MaxBodyBytes,
		Log:          n.acceptor,
		Config:       n.follower,
		Audit:        n.acceptor,
		Nodes:        nodeList{n},
		Explain:      explainer{n},
		Burn:         burnReport{n},
		Events:       n.log,
	})
	if err != nil {
		return nil, nil, nil, fmt.Errorf("build the resource API: %w", err)
	}
	operatorMux := http.NewServeMux()
	operatorMux.Handle("GET /metrics", n.metrics.Handler())
	operatorMux.Handle("/", api)
	return callers, peers, operatorMux, nil
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
