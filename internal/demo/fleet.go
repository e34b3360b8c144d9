package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/node"
	"currantladder.example/currantladder/internal/process/settings"
	"currantladder.example/currantladder/internal/standin/engine"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/standin/service"
)

// Sizes, delays and names of the demonstration fleet.
const (
	engineCount   = 10
	groupCount    = 2
	groupMembers  = 4
	nodeCount     = 3
	engineSlots   = 8
	tokenInterval = 4 * time.Millisecond
	loadDelay     = 500 * time.Millisecond
	hostListLag   = 300 * time.Millisecond

	region        = "north"
	failureDomain = "north-1"
	fabricDomain  = "north-1-a"
	modelName     = "advice-70b"
	modelVersion  = "1"
	serviceName   = "booking"
	serviceHost   = "desk-1"
	operatorName  = "demo"
	operatorToken = "demo-operator-token"
	peerKey       = "demo-peer-key-of-this-process"
	headerTimeout = 5 * time.Second
)

// arrival is one generate request as an engine received it.
type arrival struct {
	requestID string
	group     string
	at        time.Time
}

// engineHost is one engine with its server and the generate requests that
// reached it.
type engineHost struct {
	name   string
	engine *engine.Engine
	server *http.Server

	mu       sync.Mutex
	arrivals []arrival
	// crashedAt is when the engine was crashed. It is zero while the engine runs.
	crashedAt time.Time
}

// fleet is all servers that the demonstration runs.
type fleet struct {
	platform    *platform.Platform
	platformURL string
	engines     []*engineHost
	service     *service.Service
	servers     []*http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup

	mu    sync.Mutex
	nodes []*fleetNode
}

// fleetNode is one entry node.
type fleetNode struct {
	name string
	node *node.Node
	stop context.CancelFunc
	done chan struct{}
	// killed is set when the node is ended abruptly, as by a crash.
	killed bool
	// stopped is set when the node is asked to stop gracefully.
	stopped bool
}

// newFleet starts the stand-ins and the nodes.
func newFleet() (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{ctx: ctx, cancel: cancel}
	if err := f.startPlatform(); err != nil {
		return f, err
	}
	for i := range engineCount {
		if err := f.startEngine(fmt.Sprintf("engine-%02d", i+1)); err != nil {
			return f, err
		}
	}
	if err := f.startService(); err != nil {
		return f, err
	}
	for i := range nodeCount {
		if err := f.startNode(fmt.Sprintf("node-%d", i+1)); err != nil {
			return f, err
		}
	}
	return f, nil
}

// serveHTTP serves a handler on a free loopback port and returns its address.
func (f *fleet) serveHTTP(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen on loopback: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	f.servers = append(f.servers, server)
	f.goroutines.Go(func() { _ = server.Serve(listener) })
	return server, listener.Addr().String(), nil
}

func (f *fleet) startPlatform() error {
	f.platform = platform.New(platform.Options{HostListLag: hostListLag})
	_, address, err := f.serveHTTP(f.platform.Handler())
	f.platformURL = "http://" + address
	return err
}

func (f *fleet) startEngine(name string) error {
	host := &engineHost{name: name, engine: engine.New(engine.Options{
		Host:            name,
		PlatformURL:     f.platformURL,
		Slots:           engineSlots,
		TokenInterval:   tokenInterval,
		PrefillPerToken: 50 * time.Microsecond,
		LoadDelay:       loadDelay,
		ChecksFencing:   true,
	})}
	server, address, err := f.serveHTTP(host.recordArrivals(host.engine.Handler()))
	if err != nil {
		return err
	}
	host.server = server
	host.engine.SetAddress(address)
	f.engines = append(f.engines, host)
	f.registerHost(hostlist.Host{Name: name, Address: address, Role: hostlist.RoleEngine})
	return nil
}

// registerHost adds a host to the host list of the platform.
func (f *fleet) registerHost(host hostlist.Host) {
	host.Region = region
	host.FailureDomain = failureDomain
	host.State = hostlist.StateLive
	if host.Role == hostlist.RoleEngine {
		host.FabricDomain = fabricDomain
	}
	f.platform.ChangeHost(platform.HostChange{Host: &host})
}

// recordArrivals records each generate request before the engine handles it.
func (h *engineHost) recordArrivals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/generate" {
			body, _ := io.ReadAll(r.Body)
			var request endpoint.GenerateRequest
			_ = json.Unmarshal(body, &request)
			h.mu.Lock()
			h.arrivals = append(h.arrivals, arrival{request.RequestID, request.Group, time.Now()})
			h.mu.Unlock()
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		next.ServeHTTP(w, r)
	})
}

// crash crashes an engine and removes it from the host list.
func (f *fleet) crash(host *engineHost) {
	host.mu.Lock()
	host.crashedAt = time.Now()
	host.mu.Unlock()
	host.engine.Crash()
	f.platform.ChangeHost(platform.HostChange{Drop: host.name})
}

// isDown reports whether the engine was crashed more than gracePeriod ago.
func (h *engineHost) isDown(now time.Time, gracePeriod time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.crashedAt.IsZero() && now.Sub(h.crashedAt) > gracePeriod
}

func (f *fleet) startService() error {
	f.service = service.New(service.Options{Host: serviceHost})
	_, address, err := f.serveHTTP(f.service.Handler())
	if err != nil {
		return err
	}
	f.registerHost(hostlist.Host{Name: serviceHost, Address: address, Role: hostlist.RoleService})
	return nil
}

func (f *fleet) startNode(name string) error {
	started, err := node.New(nodeSettings(name, f.platformURL), eventlog.Discard())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(f.ctx)
	running := &fleetNode{name: name, node: started, stop: stop, done: make(chan struct{})}
	f.mu.Lock()
	f.nodes = append(f.nodes, running)
	f.mu.Unlock()
	go func() {
		defer close(running.done)
		_ = started.Run(ctx)
	}()
	f.registerHost(hostlist.Host{Name: name, Address: started.Addresses().Peers, Role: hostlist.RoleNode})
	return nil
}

func nodeSettings(name, platformURL string) *settings.Settings {
	listener := settings.Listener{
		Address:        "127.0.0.1:0",
		MaxBodyBytes:   1 << 20,
		MaxHeaderBytes: 16 << 10,
		HeaderTimeout:  headerTimeout,
		IdleTimeout:    time.Minute,
		MaxStreams:     4096,
	}
	return &settings.Settings{
		Node:      settings.Node{Name: name, Region: region, FailureDomain: failureDomain},
		Callers:   listener,
		Peers:     settings.Peers{Listener: listener, Key: peerKey},
		Operators: settings.Operators{Listener: listener, Users: map[string]string{operatorName: sha256Hex(operatorToken)}},
		Platform:  settings.Platform{URL: platformURL, CallTimeout: 2 * time.Second, LoadTime: loadDelay, ConcurrentLoads: groupCount},
		Timing: settings.Timing{
			LeaseTTL:             4 * time.Second,
			LeaseRenewInterval:   time.Second,
			HeadPollInterval:     300 * time.Millisecond,
			PeerProbeInterval:    200 * time.Millisecond,
			PeerTimeout:          2400 * time.Millisecond,
			HostListPollInterval: 300 * time.Millisecond,
			HealthProbeInterval:  100 * time.Millisecond,
			MaxHealthAge:         400 * time.Millisecond,
			OrderTimeout:         2 * time.Second,
			IsolationTimeout:     5 * time.Second,
			SharePresenceTimeout: 6 * time.Second,
			DrainTimeout:         20 * time.Second,
			RequestTimeout:       10 * time.Second,
		},
	}
}

func sha256Hex(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// runningNodes returns the nodes that were neither killed nor asked to stop.
func (f *fleet) runningNodes() []*fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*fleetNode
	for _, n := range f.nodes {
		if !n.killed && !n.stopped {
			running = append(running, n)
		}
	}
	return running
}

// kill ends a node at once, as a crash would, and removes it from the host list.
func (f *fleet) kill(n *fleetNode) {
	f.mu.Lock()
	n.killed = true
	f.mu.Unlock()
	n.node.Kill()
	f.platform.ChangeHost(platform.HostChange{Drop: n.name})
}

// stopNode stops a node gracefully, waits for its end and removes it from the
// host list. The load generator stops choosing the node at once, as a load
// balancer does when a node's readiness check fails.
func (f *fleet) stopNode(n *fleetNode) {
	f.mu.Lock()
	n.stopped = true
	f.mu.Unlock()
	n.stop()
	<-n.done
	f.platform.ChangeHost(platform.HostChange{Drop: n.name})
}

// close stops all nodes, engines and servers and waits until they have ended.
func (f *fleet) close() {
	f.cancel()
	for _, n := range f.nodes {
		if !n.killed {
			<-n.done
		}
	}
	for _, e := range f.engines {
		e.engine.Close()
	}
	if f.service != nil {
		f.service.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.goroutines.Wait()
}
