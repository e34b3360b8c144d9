// Package gateway assembles a node of a managed deployment. The node accepts
// requests from callers, forwards them to the hosts of a platform and keeps
// durable state in the platform's store. All nodes run the same process; one of
// them leads the formation of groups. Package platform calls New, and the command
// calls Run, which blocks until the node has stopped.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"currantladder.example/currantladder/internal/connection/conntrack"
	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/connection/intake"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/connection/wellformed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/process/metrics"
	"currantladder.example/currantladder/internal/request/forward"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/request/warmup"
	"currantladder.example/currantladder/internal/version/fleet"
	"currantladder.example/currantladder/internal/version/formation"
)

// Limits of a running node.
const (
	// maxServedCopyAge is the age above which a node does not offer its copies of
	// the feeds to others. The store confirms them at least every two seconds.
	maxServedCopyAge = 3 * time.Second
	// housekeepingInterval is the time between two runs of housekeep.
	housekeepingInterval = 200 * time.Millisecond
)

// Store is the table service as a node uses it.
type Store interface {
	table.Store
	leader.Rows
}

// Platform contains what the adapter of a platform supplies.
type Platform struct {
	// Store and Feed are clients of the platform's store; Feed reads the
	// operator's desired state and the host list.
	Store Store
	Feed  feed.Source
	// Endpoint sends requests to the hosts, and Orderer sends them orders.
	Endpoint forward.Endpoint
	Orderer  formation.Orderer
	// Decode decodes the records of Feed.
	Decode Decoder
	// Callers returns the handler of the callers' listener.
	Callers func(core *forward.Core, bodies *intake.Bodies) http.Handler
	// Refuse writes the answer to a refused request.
	Refuse forward.RefusalWriter
}

// Transports are the HTTP transports of a Platform: Store for the store, and two
// for the hosts, of which Pooled reuses connections and Unpooled opens one for each
// request.
type Transports struct {
	Store, Pooled, Unpooled *wellformed.Transport
}

// NewTransports returns transports that close a connection when the other side no
// longer acknowledges data or keep-alive probes.
func NewTransports() Transports {
	return NewTransportsOver(dialerWithTimeout(hostUserTimeout).DialContext)
}

// NewTransportsOver is NewTransports with another way to open connections to hosts.
func NewTransportsOver(dialHost endpoint.DialFunc) Transports {
	return Transports{
		Store:    newTransport(storeIdleTimeout, dialerWithTimeout(storeUserTimeout).DialContext),
		Pooled:   newTransport(endpointIdleTimeout, dialHost),
		Unpooled: newTransport(0, dialHost),
	}
}

// Gateway is one node of a managed deployment.
type Gateway struct {
	settings *Settings
	platform Platform
	log      *eventlog.Logger
	metrics  *metrics.Metrics

	view       *fleet.ViewHolder
	board      *place.Board
	warmup     *warmup.Guard
	poison     *poison.Tracker
	core       *forward.Core
	builder    *viewBuilder
	configs    *feed.Follower
	hosts      *feed.Follower
	peers      *peers
	candidate  *leader.Candidate
	controller *formation.Controller
	placing    *coordinator

	inFlight   atomic.Int64
	hadTraffic atomic.Bool
	stops      stopClock
	// callers bounds what callers make the node hold, and conns follows their connections.
	callers *intake.Listener
	conns   *conntrack.Tracker
	// requests is the parent of the contexts of callers' requests; endRequests ends
	// them, with the refusal of those that have no answer yet.
	requests    context.Context
	endRequests context.CancelCauseFunc
	// background counts the goroutines of the servers and of the loops that Run
	// starts.
	background sync.WaitGroup
}

// New returns a node that does nothing until Run.
func New(s *Settings, p Platform, log *eventlog.Logger) *Gateway {
	g := &Gateway{settings: s, platform: p, log: log, metrics: metrics.New(s.Node), view: &fleet.ViewHolder{}, board: place.NewBoard(), poison: poison.New()}
	g.callers = g.newListener(callersListener)
	g.conns = g.callers.Conns
	g.stops.schedule = newStopSchedule(s.StopTime)
	g.warmup = newWarmupGuard(s, time.Now())
	g.board.LimitColdHosts(g.warmup)
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	g.placing = newCoordinator(s, g.board, g.view, log, g.metrics.Scope())
	g.core = forward.New(forward.Options{
		View: g.view, Board: g.board, Endpoint: p.Endpoint, Budget: forward.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack},
		Refuse: g.refuse, Admit: g.admit, RequestsEnd: g.stops.requestsEnd, Log: log, Metrics: g.metrics.Scope(), FailureDomain: s.FailureDomain, Coordinator: g.placing,
		AnswerMemoryBytes: s.memoryPart(answerMemoryShare), UntakenMemoryBytes: s.memoryPart(untakenMemoryShare),
		Poison: g.poison, MayTryPoison: g.leads, ShareEvidence: g.sendDigestNow,
		HostLeaves: func(host *fleet.Host, requestID string) { g.builder.hostSaysLeaving(host, requestID, time.Now()) },
	})
	g.builder = newViewBuilder(p.Decode, g.view, log, g.viewChanged)
	g.configs = feed.NewFollower(feed.TopicConfiguration, p.Feed, g.upstream, log, func(changed []feed.Record, restored bool) {
		g.builder.applyConfigurationFeed(changed, restored, time.Now())
	})
	g.hosts = feed.NewFollower(feed.TopicHosts, p.Feed, g.upstream, log, func(changed []feed.Record, restored bool) {
		version, _ := g.hosts.Table().Version()
		confirmed, _ := g.hosts.LastContact()
		g.builder.copyConfirmed(confirmed)
		if restored {
			g.builder.applyRestoredHosts(changed, version, time.Now())
			return
		}
		g.builder.applyHosts(changed, version, g.hosts.LastOutage(), time.Now())
	})
	g.candidate = leader.New(p.Store, s.Node, bootClock, log)
	g.controller = formation.NewController(formation.Options{
		View: g.view, Orderer: p.Orderer, Leads: g.candidate.Leads, Traffic: g.fleetHadTraffic, FirstStart: s.FirstStart,
		StalledHeads: func() []string { return g.board.Suspects(time.Now()) }, IsBusy: func(id string) bool { return g.board.Load(id, time.Now()) > 0 },
		Log: log, Metrics: g.metrics.Scope(),
	})
	return g
}

// newWarmupGuard returns the guard of cold hosts for a node that starts now. At the first
// start of the fleet no node has sent anything, and all know each other after
// firstStartWait.
func newWarmupGuard(s *Settings, now time.Time) *warmup.Guard {
	delay := warmup.StartDelay
	if s.FirstStart {
		delay = firstStartWait
	}
	return warmup.New(s.Node, warmup.Bounds{Over: s.ColdOver, Slack: s.ColdSlack}, now.Add(delay))
}

// HostIsCold records that a host has said in a health answer that it stays cold for some
// time.
func (g *Gateway) HostIsCold(id string, left time.Duration) {
	g.builder.hostSaysCold(id, left, time.Now())
}

func (g *Gateway) viewChanged() {
	g.controller.Wake()
}

// leads reports whether this node leads the formation of groups.
func (g *Gateway) leads() bool {
	_, leads := g.candidate.Leads()
	return leads
}

// highestTerm returns the highest term under which a host has joined its group.
func (g *Gateway) highestTerm() int64 { return highestTermOf(g.view.Load().Hosts) }

// highestTermOf leaves out terms that no leader can have had. Another writer may store
// such a registration.
func highestTermOf(hosts []*fleet.Host) int64 {
	highest := int64(0)
	for _, h := range hosts {
		if term := formation.TermOf(h.Group.Epoch); term < leader.MaxTerm {
			highest = max(highest, term)
		}
	}
	return highest
}

// storeEra returns the era of the store in which this node last read its
// configuration, or false if it has read none yet.
func (g *Gateway) storeEra() (era int64, known bool) {
	_, known = g.configs.Table().Version()
	return g.configs.Table().Position().Era, known
}

// sendDigestNow sends the next digest at once.
func (g *Gateway) sendDigestNow() { g.peers.wakeSender() }

func (g *Gateway) upstream() feed.Upstream { return g.peers.upstream() }

func (g *Gateway) fleetHadTraffic() bool { return g.hadTraffic.Load() || g.peers.othersHadTraffic() }

// Run serves until ctx ends, then stops gracefully. It returns an error if an
// address cannot be listened on.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(g.settings.memoryPart(memoryLimitShare))
	conn, err := net.ListenPacket("udp", g.settings.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w; choose a free port", g.settings.Peers, err)
	}
	g.peers = newPeers(g.settings, peersOptions{store: g.platform.Store, board: g.board, warmup: g.warmup, poison: g.poison, candidate: g.candidate, conn: conn, hadTraffic: g.hadTraffic.Load, firstStart: g.settings.FirstStart, hasFreshFeeds: g.hasFreshFeeds, storeEra: g.storeEra, receivePlacing: g.placing.receive, log: g.log, traffic: newPeerMetrics(g.metrics.Scope())})
	g.placing.peers = g.peers
	servers, err := g.listen(ctx)
	if err != nil {
		return err
	}
	backgroundCtx, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()
	for _, run := range []func(context.Context){
		g.configs.Run, g.hosts.Run, g.peers.runRoster, g.peers.runSender, g.placing.runReports, g.controller.Run, g.housekeep, g.core.RunCrashChecks,
		func(ctx context.Context) {
			g.candidate.Run(ctx, leader.Eligibility{MayLead: g.ready, Deference: g.peers.electionDeference, HighestTerm: g.highestTerm})
		},
		func(ctx context.Context) { g.log.ReportDrops(ctx.Done()) },
	} {
		g.background.Go(func() { run(backgroundCtx) })
	}
	go g.peers.runReceiver()
	g.log.Log(eventlog.NodeStarted, eventlog.Fields{
		"callers": g.settings.Callers, "ready": g.settings.Ready, "peers": g.settings.Peers, "store": g.settings.Store,
		"failure_domain": g.settings.FailureDomain, "first_start": g.settings.FirstStart, "memory_mb": g.settings.MemoryMB,
	})
	<-ctx.Done()
	g.stop(servers, cancelBackground)
	conn.Close()
	return nil
}

// Names of listeners. That for callers is the first one.
const (
	callersListener = "callers"
	peersListener   = "peers"
)

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (g *Gateway) listen(ctx context.Context) ([]server, error) {
	followers := map[feed.Topic]*feed.Follower{feed.TopicConfiguration: g.configs, feed.TopicHosts: g.hosts}
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", g.readyz)
	scrape := http.NewServeMux()
	scrape.Handle("GET /metrics", g.metrics.Handler())
	var servers []server
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{callersListener, g.settings.Callers, g.trackRequests(g.platform.Callers(g.core, g.callers.Bodies))},
		{"readiness", g.settings.Ready, ready},
		{peersListener, g.settings.Peers, g.peers.traffic.countAnswers(feedHandler(followers))},
		{"metrics", g.settings.Metrics, scrape},
	} {
		if l.address == "" {
			continue
		}
		listener, err := listen(ctx, l.address)
		if err != nil {
			return nil, fmt.Errorf("listen for %s on %s: %w; choose a free address", l.name, l.address, err)
		}
		bounds := g.callers
		if l.name != callersListener {
			bounds = g.newListener(l.name)
		}
		s := server{&http.Server{
			Handler: bounds.Bodies.Wrap(l.handler), ReadHeaderTimeout: g.settings.HeaderTimeout, IdleTimeout: g.settings.IdleTimeout,
			MaxHeaderBytes: g.settings.MaxHeaderBytes,
		}, bounds.Conns.Listener(listener)}
		bounds.Conns.Install(s.http)
		if l.name == callersListener {
			s.http.BaseContext = func(net.Listener) context.Context { return g.requests }
		}
		servers = append(servers, s)
		g.background.Go(func() {
			if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !g.stops.stopping() {
				g.log.Log(eventlog.NodeStopping, eventlog.Fields{"listener": l.name, "error": err.Error()})
			}
		})
	}
	return servers, nil
}

// hasFreshFeeds reports whether the node can serve fresh copies of both feeds to
// other nodes.
func (g *Gateway) hasFreshFeeds() bool {
	for _, follower := range []*feed.Follower{g.configs, g.hosts} {
		_, loaded := follower.Table().Version()
		confirmed, _ := follower.LastContact()
		if !loaded || time.Since(confirmed) > maxServedCopyAge {
			return false
		}
	}
	return !g.stops.stopping()
}

// ready reports whether the node has loaded its configuration and the host list
// and is not stopping. Only then may it lead.
func (g *Gateway) ready() bool {
	view := g.view.Load()
	return !g.stops.stopping() && view.Configuration != nil && view.HostsKnown
}

// readyz answers 200 while the node is ready, and 503 otherwise.
func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	view := g.view.Load()
	switch {
	case g.stops.stopping():
		http.Error(w, "the node is stopping", http.StatusServiceUnavailable)
	case view.Configuration == nil || !view.HostsKnown:
		http.Error(w, "configuration or host list are not known yet", http.StatusServiceUnavailable)
	case g.peers.awaitsFirstDigest(time.Now()):
		http.Error(w, "no other node has reported yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// housekeep removes hosts that did not register again, drops their counts, and logs
// when waits of hosts end and when the node becomes ready. It runs until ctx ends.
func (g *Gateway) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.builder.removeLapsedHosts(now)
			g.builder.applyDeferredHosts(now)
			g.metrics.Scope().Gauge("evacuated_domains").Update(float64(g.builder.expireEvacuations(now)))
			view := g.view.Load()
			g.board.RemoveUnregistered(view)
			g.board.ForgetCold(view, now)
			g.logEndedWaits(view, now)
			g.reportHeld()
			g.peers.applyFindings(g.poison.Reconsider(now))
			if !ready && view.Configuration != nil && view.HostsKnown {
				ready = true
				g.log.Log(eventlog.NodeReady, eventlog.Fields{"revision": view.Configuration.Revision, "hosts": len(view.Hosts)})
			}
		}
	}
}
