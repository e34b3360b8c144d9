package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/settings"
	"currantladder.example/currantladder/internal/request/suspect"
	"currantladder.example/currantladder/internal/standin/engine"
	"currantladder.example/currantladder/internal/standin/memnet"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/standin/service"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
)

// Names and sizes of the fleet.
const (
	testModel       = "m"
	testService     = "booking"
	testKey         = "caller-key"
	northDomain     = "hall-1"
	southDomain     = "hall-2"
	testFabric      = "fabric-1"
	testHostListLag = 500 * time.Millisecond
	tokenInterval   = 20 * time.Millisecond
	engineSlots     = 4
)

// fleet is a fake platform, stand-in engines in groups of two and real entry
// nodes. They are connected by an in-memory network and run in virtual time.
type fleet struct {
	t            *testing.T
	network      memnet.Network
	platform     *platform.Platform
	engines      map[string]*engine.Engine
	nodes        map[string]*runningNode
	servers      []*http.Server
	clients      []*http.Client
	callers      *http.Client
	serviceHosts map[string]*service.Service
	cutter       cutter
	background   sync.WaitGroup
	// south is the part of the fleet that is in another region.
	south southStart

	mu       sync.Mutex
	conns    map[string][]net.Conn // by address
	repeat   map[string]int        // engine name -> n, if it sends every n-th event twice
	arrivals []arrival
}

// arrival is one generate request that reached an engine.
type arrival struct {
	requestID  string
	group      string
	generation int64
	at         time.Time
}

// repeatingWriter writes every n-th event twice; 0 means none.
type repeatingWriter struct {
	http.ResponseWriter
	every  int
	events int
}

// Write implements io.Writer.
func (w *repeatingWriter) Write(p []byte) (int, error) {
	w.events++
	if w.every > 0 && w.events%w.every == 0 {
		if _, err := w.ResponseWriter.Write(p); err != nil {
			return 0, err
		}
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap makes Flush available to http.ResponseController.
func (w *repeatingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// runningNode is an entry node whose Run is in progress or has ended.
type runningNode struct {
	node *Node
	stop context.CancelFunc
	done chan struct{}
	// killed is true once kill was called.
	killed bool
}

// southStart is the number of the first node and of the first group in region
// south. With the zero value all are in north.
type southStart struct{ node, group int }

// site returns the region and failure domain of a host, by its name: e3-0 and
// e3-1 are the engines of group 3, n3 is node 3. Other hosts are in north.
func (f *fleet) site(name string) (region, domain string) {
	kind, number := "", 0
	_, _ = fmt.Sscanf(name, "%1s%d", &kind, &number)
	inSouth := kind == "n" && number >= f.south.node || kind == "e" && number >= f.south.group
	if f.south != (southStart{}) && inSouth {
		return "south", southDomain
	}
	return "north", northDomain
}

// inFleet runs body in virtual time with a fleet of the given numbers of nodes
// and groups, all of them ready.
func inFleet(t *testing.T, nodes, groups int, body func(*fleet)) {
	t.Helper()
	inTwoRegions(t, nodes, groups, southStart{}, body)
}

// inTwoRegions is inFleet with a part of the fleet in another region.
func inTwoRegions(t *testing.T, nodes, groups int, south southStart, body func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, south: south, engines: map[string]*engine.Engine{}, nodes: map[string]*runningNode{}, conns: map[string][]net.Conn{}, repeat: map[string]int{}, serviceHosts: map[string]*service.Service{}}
		f.callers = f.httpClient()
		defer f.close()
		f.platform = platform.New(platform.Options{HostListLag: testHostListLag})
		f.serve("platform", f.platform.Handler())
		for g := range groups {
			f.addEngine(fmt.Sprintf("e%d-0", g))
			f.addEngine(fmt.Sprintf("e%d-1", g))
		}
		f.addServiceHost("service-0")
		f.addServiceHost("service-1")
		for n := range nodes {
			f.startNode(nodeName(n))
		}
		time.Sleep(2 * time.Second)
		f.declareObjects(groups)
		time.Sleep(15 * time.Second)
		body(f)
	})
}

func nodeName(n int) string { return fmt.Sprintf("n%d", n) }

func (f *fleet) serve(address string, handler http.Handler) {
	f.servers = append(f.servers, f.network.Serve(address, handler))
}

// dial connects to an address. It records the connection so that cut can break
// it.
func (f *fleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	address = strings.TrimSuffix(address, ":80")
	conn, err := f.network.Dial(ctx, network, address)
	if err == nil {
		conn, err = f.cutter.wrap(conn, address)
	}
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[address] = append(f.conns[address], conn)
	return conn, nil
}

// cut breaks every connection to an address.
func (f *fleet) cut(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns[address] {
		_ = conn.Close()
	}
	f.conns[address] = nil
}

// dialledAddresses returns every address that was dialled.
func (f *fleet) dialledAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.conns))
}

func (f *fleet) httpClient() *http.Client {
	client := &http.Client{Transport: &http.Transport{DialContext: f.dial, DisableCompression: true, MaxIdleConnsPerHost: 256}}
	f.clients = append(f.clients, client)
	return client
}

// addEngine starts an engine that records the generate requests it receives.
func (f *fleet) addEngine(name string) {
	e := engine.New(engine.Options{
		Host:          name,
		Address:       name,
		Slots:         engineSlots,
		TokenInterval: tokenInterval,
		ChecksFencing: true,
		HTTPClient:    f.httpClient(),
	})
	f.engines[name] = e
	handler := e.Handler()
	f.serve(name, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/generate" {
			var request endpoint.GenerateRequest
			body, _ := io.ReadAll(r.Body)
			_ = json.Unmarshal(body, &request)
			r.Body = io.NopCloser(bytes.NewReader(body))
			f.mu.Lock()
			f.arrivals = append(f.arrivals, arrival{request.RequestID, request.Group, request.Generation, time.Now()})
			w = &repeatingWriter{ResponseWriter: w, every: f.repeat[name]}
			f.mu.Unlock()
		}
		handler.ServeHTTP(w, r)
	}))
	f.listEngine(name)
}

// addServiceHost starts an endpoint of the plain service.
func (f *fleet) addServiceHost(name string) {
	f.serviceHosts[name] = service.New(service.Options{Host: name})
	f.serve(name, f.serviceHosts[name].Handler())
	f.list(hostlist.Host{Name: name, Address: name, Role: hostlist.RoleService, State: hostlist.StateLive})
}

// list adds a host to the platform's host list or replaces its entry.
func (f *fleet) list(host hostlist.Host) {
	host.Region, host.FailureDomain = f.site(host.Name)
	f.platform.ChangeHost(platform.HostChange{Host: &host})
}

func (f *fleet) startNode(name string) {
	f.t.Helper()
	network := Network{
		Listen: func(_, address string) (net.Listener, error) { return f.network.Listen(address), nil },
		Dial:   f.dial,
	}
	chosen := testSettings(name)
	chosen.Node.Region, chosen.Node.FailureDomain = f.site(name)
	started, err := NewWithNetwork(network, chosen, eventlog.Discard())
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &runningNode{node: started, stop: stop, done: make(chan struct{})}
	f.nodes[name] = running
	go func() {
		defer close(running.done)
		_ = started.Run(ctx)
	}()
	f.list(hostlist.Host{Name: name, Address: peerAddress(name), Role: hostlist.RoleNode, State: hostlist.StateLive})
}

func peerAddress(node string) string { return node + "-peers" }

func callerAddress(node string) string { return node + "-callers" }

func testSettings(name string) *settings.Settings {
	listener := func(address string) settings.Listener {
		return settings.Listener{Address: address, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxStreams: 4096}
	}
	return &settings.Settings{
		Node:      settings.Node{Name: name, Region: "north", FailureDomain: northDomain},
		Callers:   listener(callerAddress(name)),
		Peers:     settings.Peers{Listener: listener(peerAddress(name)), Key: "peer-key"},
		Operators: settings.Operators{Listener: listener(name + "-operators"), Users: map[string]string{}},
		Platform:  settings.Platform{URL: "http://platform", CallTimeout: 2 * time.Second, LoadTime: time.Second, ConcurrentLoads: 4},
		Timing: settings.Timing{
			LeaseTTL: 4 * time.Second, LeaseRenewInterval: time.Second, HeadPollInterval: 300 * time.Millisecond,
			PeerProbeInterval: 200 * time.Millisecond, PeerTimeout: 1500 * time.Millisecond, HostListPollInterval: 300 * time.Millisecond,
			HealthProbeInterval: 100 * time.Millisecond, MaxHealthAge: 400 * time.Millisecond, OrderTimeout: 2 * time.Second,
			IsolationTimeout: 5 * time.Second, SharePresenceTimeout: 6 * time.Second, DrainTimeout: 60 * time.Second,
		},
	}
}

// declareObjects commits the configuration of the fleet. It does not wait until
// the configuration is in force.
func (f *fleet) declareObjects(groups int) {
	f.t.Helper()
	objects := []*object.Object{
		{Kind: object.KindRank, Metadata: object.Metadata{Name: "urgent"}, Spec: testRank(0, 670, 0, false)},
		{Kind: object.KindRank, Metadata: object.Metadata{Name: "batch"}, Spec: testRank(1, 60_000, 0.1, true)},
		{Kind: object.KindClientAccount, Metadata: object.Metadata{Name: "district"}, Spec: &object.ClientAccountSpec{
			KeyHashes: []string{hashKey(testKey)}, Ranks: []string{"urgent", "batch"}, TokensPerSecond: 1e6, BurstTokens: 1e7, MaxInFlight: 1000, Class: object.AccountSmall,
		}},
	}
	objects = append(objects, &object.Object{Kind: object.KindService, Metadata: object.Metadata{Name: testService}, Spec: &object.ServiceSpec{
		Hosts:         []string{"service-0", "service-1"},
		Idempotent:    []object.ServiceCall{{Method: http.MethodGet, Path: "/lanes"}},
		TimeoutMillis: 5_000,
	}})
	for name := range f.engines {
		objects = append(objects, &object.Object{Kind: object.KindHost, Metadata: object.Metadata{Name: name}, Spec: &object.HostSpec{ChecksFencing: true}})
	}
	for g := range groups {
		_, domain := f.site(fmt.Sprintf("e%d-0", g))
		objects = append(objects, &object.Object{Kind: object.KindReplicaGroup, Metadata: object.Metadata{Name: fmt.Sprintf("g%d", g)}, Spec: &object.ReplicaGroupSpec{
			Model: testModel, ModelVersion: "1", FailureDomain: domain, Members: 2, Worth: 1,
		}})
	}
	var changes []object.Change
	for _, o := range objects {
		changes = append(changes, object.Change{Object: o})
	}
	f.propose(changes...)
}

// propose commits configuration changes through the first node.
func (f *fleet) propose(changes ...object.Change) {
	f.t.Helper()
	if _, err := f.nodes[nodeName(0)].node.acceptor.Propose(context.Background(), configlog.Proposal{Author: "test", Changes: changes}); err != nil {
		f.t.Fatal(err)
	}
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testRank(priority int, firstTokenMillis int64, floor float64, preemptible bool) *object.RankSpec {
	return &object.RankSpec{
		Priority: priority, FirstTokenTargetMillis: firstTokenMillis, InterTokenTargetMillis: 27, FloorShare: floor,
		QueueBound: 500, Preemptible: preemptible, RetryShare: 1, MaxAttempts: 4, Objective: 0.95,
	}
}

// kill stops a node like a crash: its listeners close and its connections break.
func (f *fleet) kill(name string) {
	f.nodes[name].killed = true
	f.nodes[name].node.Kill()
	f.cut(peerAddress(name))
	f.cut(callerAddress(name))
	f.platform.ChangeHost(platform.HostChange{Drop: name})
}

// crash makes an engine crash and removes it from the host list.
func (f *fleet) crash(name string) {
	f.engines[name].Crash()
	f.platform.ChangeHost(platform.HostChange{Drop: name})
}

// listEngine adds an engine to the host list as live.
func (f *fleet) listEngine(name string) {
	f.list(hostlist.Host{Name: name, Address: name, Role: hostlist.RoleEngine, FabricDomain: testFabric, State: hostlist.StateLive})
}

// repeatEvents makes an engine send every n-th event twice.
func (f *fleet) repeatEvents(engine string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repeat[engine] = n
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		<-n.done
	}
	for _, e := range f.engines {
		e.Close()
	}
	for _, host := range f.serviceHosts {
		host.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, c := range f.clients {
		c.CloseIdleConnections()
	}
	f.background.Wait()
	time.Sleep(suspect.AnnounceDelay)
}
