// Package gateway wires a node of a managed deployment: callers in front, the
// hosts of a platform behind, and the platform's store for what must last. All
// nodes run the same process; one of them leads the formation of groups.
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

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/process/metrics"
	"currantladder.example/currantladder/internal/request/forward"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
	"currantladder.example/currantladder/internal/version/formation"
)

// Times of a stop.
const (
	// balancerNotice is the time in which the platform's balancer notices that
	// a node is not ready: two checks a second apart, and one on the way.
	balancerNotice = 2500 * time.Millisecond
	// lastTaken is the time from SIGTERM after which no request is taken: what
	// was taken before has the rest of the stop time to end in.
	lastTaken = 2900 * time.Millisecond
	// stoppingReturn is when a caller may return that came later; other nodes
	// take it at once.
	stoppingReturn = 50 * time.Millisecond
	// stopMargin is left of the stop time when connections are closed.
	stopMargin = 700 * time.Millisecond
	// stopPoll is how often the last requests are counted.
	stopPoll = 50 * time.Millisecond
	// releaseTimeout bounds handing over the leadership.
	releaseTimeout = time.Second
	// closeTimeout bounds the orderly close of idle connections.
	closeTimeout = 300 * time.Millisecond
	// freshCopy is the age from which a node does not offer its copies of the
	// feeds; the store confirms them at least every two seconds.
	freshCopy = 3 * time.Second
	// housekeeping is the period of small duties.
	housekeeping = 200 * time.Millisecond
	// memoryShare is the part of the node's memory at which the runtime
	// collects garbage harder.
	memoryShare = 0.6
)

// Store is the table service as a node uses it.
type Store interface {
	table.Store
	leader.Rows
}

// Platform is what an adapter supplies.
type Platform struct {
	// Store and Feed are the platform's store; Feed serves the operator's
	// desired state and the host list.
	Store Store
	Feed  feed.Source
	// Endpoint and Orderer reach the hosts.
	Endpoint forward.Endpoint
	Orderer  formation.Orderer
	Decode   Decoder
	// Callers returns the handler of the callers' listener.
	Callers func(core *forward.Core) http.Handler
	Refuse  forward.RefusalWriter
}

// Transports are the connections that a Platform works with.
type Transports struct {
	Store, Kept, Fresh http.RoundTripper
}

// NewTransports returns transports whose connections end when the other side
// falls silent.
func NewTransports() Transports {
	return Transports{Store: newTransport(storeIdle), Kept: newTransport(endpointIdle), Fresh: newTransport(0)}
}

// Gateway is one node.
type Gateway struct {
	settings *Settings
	platform Platform
	log      *eventlog.Logger
	metrics  *metrics.Metrics

	view       *fleet.Holder
	board      *place.Board
	core       *forward.Core
	builder    *viewBuilder
	configs    *feed.Follower
	hosts      *feed.Follower
	peers      *peers
	candidate  *leader.Candidate
	controller *formation.Controller

	inFlight atomic.Int64
	traffic  atomic.Bool
	stopping atomic.Bool
	// closed is true once a stopping node takes no more requests.
	closed atomic.Bool
	duties sync.WaitGroup
}

// New builds a node. Nothing runs before Run.
func New(s *Settings, p Platform, log *eventlog.Logger) *Gateway {
	g := &Gateway{settings: s, platform: p, log: log, metrics: metrics.New(s.Node), view: &fleet.Holder{}, board: place.NewBoard()}
	g.core = forward.New(forward.Options{
		View: g.view, Board: g.board, Endpoint: p.Endpoint, Budget: forward.Budget{Ratio: s.RetryRatio, Slack: s.RetrySlack},
		Refuse: p.Refuse, Log: log, Metrics: g.metrics.Scope(), FailureDomain: s.FailureDomain,
	})
	g.builder = newViewBuilder(p.Decode, g.view, log, g.viewChanged)
	g.configs = feed.NewFollower(feed.TopicConfiguration, p.Feed, g.upstream, log, g.builder.applyConfiguration)
	g.hosts = feed.NewFollower(feed.TopicHosts, p.Feed, g.upstream, log, func(changed []feed.Record) {
		version, _ := g.hosts.Table().Version()
		_, disturbed := g.hosts.Contact()
		g.builder.applyHosts(changed, version, disturbed, time.Now())
	})
	g.candidate = leader.New(p.Store, s.Node, bootClock, log)
	g.controller = formation.NewController(formation.Options{
		View: g.view, Orderer: p.Orderer, Leads: g.candidate.Leads, Traffic: g.hadTraffic, FirstStart: s.FirstStart,
		Suspects: func() []string { return g.board.Suspects(time.Now()) }, Log: log, Metrics: g.metrics.Scope(),
	})
	return g
}

func (g *Gateway) viewChanged() {
	g.controller.Wake()
}

func (g *Gateway) upstream() feed.Upstream { return g.peers.upstream() }

func (g *Gateway) hadTraffic() bool { return g.traffic.Load() || g.peers.heardTraffic() }

// Run serves until ctx ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(g.settings.MemoryMB) * (1 << 20)))
	conn, err := net.ListenPacket("udp", g.settings.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w; choose a free port", g.settings.Peers, err)
	}
	g.peers = newPeers(g.settings, peersOptions{store: g.platform.Store, board: g.board, candidate: g.candidate, conn: conn, traffic: g.traffic.Load, reads: g.reads, log: g.log})
	servers, err := g.listen(ctx)
	if err != nil {
		return err
	}
	duties, endDuties := context.WithCancel(context.Background())
	defer endDuties()
	for _, duty := range []func(context.Context){
		g.configs.Run, g.hosts.Run, g.peers.roster, g.peers.send, g.controller.Run, g.housekeep,
		func(ctx context.Context) { g.candidate.Run(ctx, g.mayLead) },
		func(ctx context.Context) { g.log.ReportDrops(ctx.Done()) },
	} {
		g.duties.Go(func() { duty(duties) })
	}
	go g.peers.receive()
	g.log.Log(eventlog.NodeStarted, eventlog.Fields{
		"callers": g.settings.Callers, "ready": g.settings.Ready, "peers": g.settings.Peers, "store": g.settings.Store,
		"failure_domain": g.settings.FailureDomain, "first_start": g.settings.FirstStart, "memory_mb": g.settings.MemoryMB,
	})
	<-ctx.Done()
	g.stop(servers, endDuties)
	conn.Close()
	return nil
}

// mayLead keeps a node that does not see the fleet from leading it.
func (g *Gateway) mayLead() bool { return g.ready() }

// server is a listener with its handler.
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
		{"callers", g.settings.Callers, g.counted(g.platform.Callers(g.core))},
		{"readiness", g.settings.Ready, ready},
		{"peers", g.settings.Peers, feedHandler(followers)},
		{"metrics", g.settings.Metrics, scrape},
	} {
		if l.address == "" {
			continue
		}
		listener, err := listen(ctx, l.address)
		if err != nil {
			return nil, fmt.Errorf("listen for %s on %s: %w; choose a free address", l.name, l.address, err)
		}
		s := server{&http.Server{Handler: l.handler, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle, MaxHeaderBytes: maxCallerHeader}, listener}
		servers = append(servers, s)
		g.duties.Go(func() {
			if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !g.stopping.Load() {
				g.log.Log(eventlog.NodeStopping, eventlog.Fields{"listener": l.name, "error": err.Error()})
			}
		})
	}
	return servers, nil
}

// counted counts requests in progress, and asks callers to leave a node that
// is stopping.
func (g *Gateway) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		g.traffic.Store(true)
		if g.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if g.closed.Load() {
			g.log.Ordinary(eventlog.RequestRefused, eventlog.Fields{"kind": refusal.KindNodeStopping, "status": http.StatusServiceUnavailable, "ran": refusal.RanNo})
			g.platform.Refuse(w, refusal.New(refusal.KindNodeStopping, http.StatusServiceUnavailable, "the node is stopping; send the request again").After(stoppingReturn))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// reads reports whether the node has fresh copies of both feeds for others.
func (g *Gateway) reads() bool {
	for _, follower := range []*feed.Follower{g.configs, g.hosts} {
		_, loaded := follower.Table().Version()
		confirmed, _ := follower.Contact()
		if !loaded || time.Since(confirmed) > freshCopy {
			return false
		}
	}
	return !g.stopping.Load()
}

// ready reports whether the node knows its configuration and hosts and is not
// stopping.
func (g *Gateway) ready() bool {
	view := g.view.Load()
	return !g.stopping.Load() && view.Configuration != nil && view.HostsKnown
}

// readyz answers 200 once the node knows its configuration and hosts.
func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	view := g.view.Load()
	switch {
	case g.stopping.Load():
		http.Error(w, "the node is stopping", http.StatusServiceUnavailable)
	case view.Configuration == nil || !view.HostsKnown:
		http.Error(w, "configuration or host list are not known yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// housekeep runs small periodic duties.
func (g *Gateway) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.builder.expireLapsed(now)
			view := g.view.Load()
			g.board.Forget(view)
			if !ready && view.Configuration != nil && view.HostsKnown {
				ready = true
				g.log.Log(eventlog.NodeReady, eventlog.Fields{"revision": view.Configuration.Revision, "hosts": len(view.Hosts)})
			}
		}
	}
}

// stop fails readiness, hands the leadership over, waits for requests in
// progress and closes the listeners.
func (g *Gateway) stop(servers []server, endDuties context.CancelFunc) {
	started := time.Now()
	g.stopping.Store(true)
	g.log.Log(eventlog.NodeStopping, eventlog.Fields{"in_flight": g.inFlight.Load()})
	release, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	if err := g.candidate.Release(release); err != nil {
		g.log.Log(eventlog.LeaderUnknown, eventlog.Fields{"error": err.Error()})
	}
	cancel()
	deadline := started.Add(g.settings.StopTime - stopMargin)
	for time.Now().Before(deadline) {
		if time.Since(started) >= balancerNotice && g.inFlight.Load() == 0 {
			break
		}
		if time.Since(started) >= lastTaken && !g.closed.Swap(true) {
			servers[0].listener.Close() // callers: others take new connections
		}
		time.Sleep(stopPoll)
	}
	left := g.inFlight.Load()
	endDuties()
	for _, s := range servers {
		closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
		if err := s.http.Shutdown(closing); err != nil {
			s.http.Close()
		}
		cancel()
	}
	g.log.Log(eventlog.NodeStopped, eventlog.Fields{"cut": left, "took_ms": time.Since(started).Milliseconds()})
	if err := g.metrics.Close(); err != nil {
		g.log.Log(eventlog.NodeStopped, eventlog.Fields{"error": err.Error()})
	}
}
