package node

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/connection/wellformed"
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

func (n *Node) buildConnections() error {
	peerTLS, err := peerTLS(n.settings.Peers)
	if err != nil {
		return err
	}
	platformClient := n.httpClient()
	platformClient.Timeout = n.settings.Platform.CallTimeout
	n.store = table.NewClient(n.settings.Platform.URL, platformClient)
	n.roster = roster.New(hostlist.NewClient(n.settings.Platform.URL, platformClient), n.settings.Timing.HostListPollInterval)
	n.endpoints = endpoint.NewClientOver(n.network.Dial)
	n.peers = peer.NewClientOver(n.settings.Peers.Key, peerTLS, n.network.Dial)
	n.metrics = metrics.New(n.settings.Node.Name)
	n.health = health.NewProber(health.Options{
		Interval: n.settings.Timing.HealthProbeInterval,
		Timeout:  n.settings.Timing.HealthProbeInterval,
	}, health.HTTPProbe(n.httpClient()), n.metrics.Scope().SubScope("health"))
	return nil
}

// httpClient returns a client with its own connection pool. Its idle
// connections are closed when the node stops.
func (n *Node) httpClient() *http.Client {
	client := &http.Client{Transport: wellformed.NewTransport(&http.Transport{
		DialContext:         n.network.Dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	})}
	n.clients = append(n.clients, client)
	return client
}

// Limits of idle connections to the platform and to hosts.
const (
	maxIdleConnsPerHost = 4
	idleConnTimeout     = 30 * time.Second
)

// peerTLS returns the TLS client configuration for connections to peers, or nil
// if TLS between nodes is off.
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
		return nil, fmt.Errorf("[peers] ca_file %s contains no certificate; use PEM format", s.CAFile)
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
	n.keeper = lease.NewKeeper(n.store, identity, s.Timing.LeaseTTL, s.Timing.LeaseRenewInterval, n.log)
	membershipTable := membership.NewTable(n.digest(), s.Timing.PeerTimeout, uint64(time.Now().UnixNano()))
	n.members = membership.NewProber(membershipTable, n.peers, n.digest, s.Timing.PeerProbeInterval)
	source := peerSource{members: n.members, client: n.peers, seeds: s.Peers.Seeds, self: s.Node.Name}
	n.acceptor = configlog.NewAcceptor(n.store, n.log)
	n.follower = configlog.NewFollower(n.store, source, s.Timing.HeadPollInterval, n.log)
	n.acceptor.OnAccept(n.follower.ApplyAccepted)
	n.sweeper = configlog.NewSweeper(n.store, retainedLogEntries, sweepInterval, n.log)
	probeClient := n.httpClient()
	policy := placement.DefaultPolicy(s.Platform.LoadTime, s.Platform.ConcurrentLoads)
	policy.DrainTimeout = groupDrainTimeout
	n.groups = groupcontrol.NewManager(groupcontrol.Options{
		Node:              s.Node.Name,
		Store:             n.store,
		ConfigLog:         n.acceptor,
		View:              n.follower,
		Leases:            n.keeper,
		Hosts:             n.roster,
		Orders:            endpoint.NewOrderClient(probeClient),
		Probe:             health.HTTPProbe(probeClient),
		Health:            health.Options{Interval: s.Timing.HealthProbeInterval, Timeout: s.Timing.HealthProbeInterval},
		Policy:            policy,
		ReconcileInterval: reconcileInterval,
		OrderTimeout:      s.Timing.OrderTimeout,
		Events:            n.log,
		Scope:             n.metrics.Scope().SubScope("groups"),
	})
}

// groupDrainTimeout is how long a group with a leaving member may finish its
// streams. Streams that still run then resume at another group.
const groupDrainTimeout = 3 * time.Second

// reconcileInterval is the time between two reconciliations of all groups by a
// controller.
const reconcileInterval = time.Second

// Retention of the configuration log.
const (
	// retainedLogEntries is the number of log entries that a sweep keeps.
	retainedLogEntries = 10_000
	// sweepInterval is the mean time between two sweeps, which delete old entries.
	sweepInterval = 10 * time.Minute
)

// capTransferTimeout is how long a request may wait until a share of its client
// account's cap has moved to this node.
const capTransferTimeout = 300 * time.Millisecond

// shareReclaimMargin is added to the share_void setting before the cap shares of
// an absent node are reclaimed. It covers the lag of the host list and the
// drift of clocks.
const shareReclaimMargin = 2 * time.Second

func (n *Node) buildRequestPath() {
	s := n.settings
	n.shares = share.NewManager(share.Options{
		Node:            s.Node.Name,
		Address:         n.Addresses().Peers,
		Store:           n.store,
		View:            n.follower,
		Peers:           shareClient{members: n.members, client: n.peers},
		LiveNodes:       n.liveNodes,
		FleetSize:       func() int { return len(n.keeper.SessionRows()) },
		Session:         n.shareSession,
		Hosts:           n.hostView,
		PresenceTimeout: s.Timing.SharePresenceTimeout,
		ReclaimMargin:   shareReclaimMargin,
		RequestTimeout:  s.Timing.RequestTimeout,
		Log:             n.log,
	})
	n.claims = claim.New(n.store, claim.Options{})
	n.budget = &retryBudget{budget: retry.NewBudget(), view: n.follower}
	n.suspects = suspect.New()
	n.home = dispatch.NewHome(n.backgroundCtx, n.endpoints, suspects{n.suspects}, n.reportCrash)
	n.home.OnFacts(n.logWait, n.logLeaving)
	n.recorder = explain.NewRecorder(s.Node.Name)
	n.burn = burn.NewRecorder(s.Node.Name, n.follower)
	n.relay = &relay.Relay{Homes: homes{n}, Router: n.router, Budget: n.budget, Suspects: suspects{n.suspects}, Recorder: n.recorder}
	n.gate = newGate(s.Callers.MaxStreams, n.notReadyReason)
}

// logWait logs that an engine wants no requests for a time.
func (n *Node) logWait(target dispatch.Target, requestID string, asked, wait time.Duration) {
	n.log.LogLimited(eventlog.HostWaits, eventlog.Fields{"host": target.Host, "group": target.Group, "request": requestID, "asked_ms": asked.Milliseconds(), "wait_ms": wait.Milliseconds()})
}

// logLeaving logs that an engine leaves.
func (n *Node) logLeaving(target dispatch.Target, requestID string) {
	n.log.LogLimited(eventlog.HostSaysLeaving, eventlog.Fields{"host": target.Host, "group": target.Group, "request": requestID})
}

// handlers returns the handler of each listener.
func (n *Node) handlers() (callers, peers, operators http.Handler, err error) {
	n.callerAPI = callerapi.New(callerapi.Deps{
		View:           n.follower,
		Gate:           n.gate,
		Limiter:        share.NewWaitingLimiter(n.shares, capTransferTimeout),
		Claims:         n.claims,
		Relay:          n.relay,
		Suspects:       suspects{n.suspects},
		Services:       newServiceEndpoints(n.follower, n.roster, n.log),
		Client:         n.endpoints,
		Observer:       observers{n.metrics, n.burn},
		Bodies:         n.callers.Bodies,
		MaxBodyBytes:   n.settings.Callers.MaxBodyBytes,
		RequestTimeout: n.settings.Timing.RequestTimeout,
		UntakenBytes:   memoryPart(n.settings, untakenMemoryShare),
		Events:         n.log,
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
	return n.callerAPI, peers, operatorMux, nil
}
