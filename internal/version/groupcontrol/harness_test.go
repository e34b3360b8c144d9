package groupcontrol

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/lease"
	"currantladder.example/currantladder/internal/standin/engine"
	"currantladder.example/currantladder/internal/standin/fault"
	"currantladder.example/currantladder/internal/standin/memnet"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/placement"
	"currantladder.example/currantladder/internal/version/snapshot"
)

const (
	testDomain       = "hall1"
	testLoad         = 5 * time.Second
	testPeriod       = 500 * time.Millisecond
	testOrderTimeout = 3 * time.Second
	testTTL          = 5 * time.Second
	testRenew        = time.Second
	// longPause outlives a lease, its take-over and the wait of the new owner.
	longPause = 6 * testTTL
	// gather lets orders of one step get ready before the node is paused.
	gather = 100 * time.Millisecond
)

// hall is a failure domain of stand-in engines with the platform, in virtual
// time.
type hall struct {
	t        *testing.T
	platform *platform.Platform
	network  memnet.Network
	client   *http.Client
	engines  map[string]*engine.Engine
	names    []string
	servers  []*http.Server
	view     *fixedView
	hosts    *fixedHosts
	audit    *orderAudit
	nodes    []*testNode
}

// testNode is one node with its session and controllers. While it is paused
// its calls are held, those in progress included, and go out when it wakes.
type testNode struct {
	name string
	gate fault.Gate
	// pauseAtOrder and pauseAtCommit pause the node when its next order or
	// commit of a placement is about to leave.
	pauseAtOrder  atomic.Bool
	pauseAtCommit atomic.Bool
	keeper        *lease.Keeper
	manager       *Manager
	stop          func()
}

// pauseIf pauses the node for long where the flag is set, and clears it.
func (n *testNode) pauseIf(flag *atomic.Bool) {
	if flag.CompareAndSwap(true, false) {
		n.gate.Set(true, 0)
		time.AfterFunc(longPause, func() { n.gate.Set(false, 0) })
	}
}

// fixedView is a configuration that tests replace.
type fixedView struct {
	mu      sync.Mutex
	current *snapshot.Snapshot
	changed chan struct{}
}

func (v *fixedView) Current() *snapshot.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

func (v *fixedView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fixedView) set(objects []*object.Object) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current = snapshot.New(v.current.Revision+1, objects, nil)
	close(v.changed)
	v.changed = make(chan struct{})
}

// fixedHosts is a host list that tests change.
type fixedHosts struct {
	mu    sync.Mutex
	hosts map[string]hostlist.Host
}

func (h *fixedHosts) Hosts() map[string]hostlist.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts
}

func (h *fixedHosts) LastRead() time.Time { return time.Now() }

func (h *fixedHosts) setState(name string, state hostlist.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := map[string]hostlist.Host{}
	for k, v := range h.hosts {
		next[k] = v
	}
	host := next[name]
	host.State = state
	next[name] = host
	h.hosts = next
}

// orderAudit notes every order that reached an engine.
type orderAudit struct {
	mu      sync.Mutex
	highest map[string]int64
	// refused and obeyed count orders with an epoch below one that the host
	// had before, at hosts that check fencing and at those that do not.
	refused    int
	obeyed     int
	violations []string
}

func (a *orderAudit) note(host string, checks bool, epoch int64, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	stale := epoch < a.highest[host]
	switch {
	case stale && checks && status != http.StatusConflict:
		a.violations = append(a.violations, fmt.Sprintf("host %s carried out an order of epoch %d after one of epoch %d", host, epoch, a.highest[host]))
	case stale && checks:
		a.refused++
	case stale:
		a.obeyed++
	}
	if status == http.StatusOK {
		a.highest[host] = max(a.highest[host], epoch)
	}
}

// forget is called when an engine restarts, since it keeps nothing.
func (a *orderAudit) forget(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.highest, host)
}

// nodeTransport carries a node's calls of engines.
type nodeTransport struct {
	hall *hall
	node *testNode
	// slow delays orders on their way.
	slow func() time.Duration
}

func (n *nodeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet {
		_ = n.node.gate.Hold(context.Background())
		return n.hall.client.Transport.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	// An order that was about to leave when the process was paused leaves
	// when it wakes, whatever its deadline.
	if n.node.pauseAtOrder.Load() {
		time.Sleep(gather)
		n.node.pauseIf(&n.node.pauseAtOrder)
	}
	_ = n.node.gate.Hold(context.Background())
	if n.slow != nil {
		time.Sleep(n.slow())
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), testOrderTimeout)
	sent := r.Clone(ctx)
	sent.Body = io.NopCloser(bytes.NewReader(body))
	answer, err := n.hall.client.Transport.RoundTrip(sent)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &cancelBody{answer.Body, cancel}
	var order endpoint.Order
	if err := json.Unmarshal(body, &order); err != nil {
		return nil, err
	}
	host := r.URL.Hostname()
	n.hall.audit.note(host, checksFencing(host), order.Epoch, answer.StatusCode)
	return answer, nil
}

type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// pausedStore holds a node's calls of the table service while it is paused.
type pausedStore struct {
	table.Store
	node *testNode
}

func (s *pausedStore) Get(ctx context.Context, key string) (table.Row, error) {
	_ = s.node.gate.Hold(context.Background())
	return s.Store.Get(ctx, key)
}

func (s *pausedStore) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	_ = s.node.gate.Hold(context.Background())
	return s.Store.List(ctx, r)
}

func (s *pausedStore) Commit(ctx context.Context, txn table.Txn) error {
	if slices.ContainsFunc(txn.Writes, func(w table.Write) bool { return strings.HasPrefix(w.Key, table.PrefixPlacement) }) {
		s.node.pauseIf(&s.node.pauseAtCommit)
	}
	_ = s.node.gate.Hold(context.Background())
	return s.Store.Commit(context.WithoutCancel(ctx), txn)
}

// checksFencing splits the engines into those that check and those that do
// not: hosts with an even last digit check.
func checksFencing(host string) bool { return (host[len(host)-1]-'0')%2 == 0 }

// inHall runs a test over two fabric domains of the given number of engines.
func inHall(t *testing.T, perFabric int, body func(h *hall)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &hall{
			t:        t,
			platform: platform.New(platform.Options{}),
			engines:  map[string]*engine.Engine{},
			view:     &fixedView{current: snapshot.Empty(), changed: make(chan struct{})},
			hosts:    &fixedHosts{hosts: map[string]hostlist.Host{}},
			audit:    &orderAudit{highest: map[string]int64{}},
		}
		h.client = h.network.Client()
		for i := range 2 * perFabric {
			h.addEngine(fmt.Sprintf("h%02d", i), fmt.Sprintf("f%d", i/perFabric))
		}
		defer h.close()
		body(h)
	})
}

func (h *hall) addEngine(name, fabric string) {
	address := name + ":1"
	e := engine.New(engine.Options{Host: name, Address: address, LoadDelay: testLoad, ChecksFencing: checksFencing(name), HTTPClient: h.client})
	h.engines[name] = e
	h.names = append(h.names, name)
	h.servers = append(h.servers, h.network.Serve(address, e.Handler()))
	h.hosts.hosts[name] = hostlist.Host{Name: name, Address: address, Role: hostlist.RoleEngine, FailureDomain: testDomain, FabricDomain: fabric, State: hostlist.StateLive}
}

func (h *hall) close() {
	for _, n := range h.nodes {
		n.gate.Set(false, 0)
		n.stop()
	}
	for _, e := range h.engines {
		e.Close()
	}
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.client.CloseIdleConnections()
}

// declare sets the groups, each of three members, and the hosts' facts.
func (h *hall) declare(groups ...string) {
	h.declareSpec(object.ReplicaGroupSpec{Model: "m", ModelVersion: "1", FailureDomain: testDomain, Members: 3, Worth: 1}, groups...)
}

func (h *hall) declareSpec(common object.ReplicaGroupSpec, groups ...string) {
	var objects []*object.Object
	for _, name := range groups {
		spec := &common
		objects = append(objects, &object.Object{Kind: object.KindReplicaGroup, Metadata: object.Metadata{Name: name}, Spec: spec})
	}
	for _, name := range h.names {
		spec := &object.HostSpec{ChecksFencing: checksFencing(name)}
		objects = append(objects, &object.Object{Kind: object.KindHost, Metadata: object.Metadata{Name: name}, Spec: spec})
	}
	h.view.set(objects)
}

// addNode starts a node; slow delays its orders on their way.
func (h *hall) addNode(name string, slow func() time.Duration) *testNode {
	n := &testNode{name: name}
	store := &pausedStore{h.platform.Table, n}
	client := &http.Client{Transport: &nodeTransport{h, n, slow}}
	n.keeper = lease.New(store, lease.SessionRow{Node: name}, testTTL, testRenew, eventlog.Discard())
	policy := placement.DefaultPolicy(testLoad, 2)
	policy.Drain = time.Second
	n.manager = NewManager(Options{
		Node:         name,
		Store:        store,
		Log:          configlog.NewAcceptor(store, eventlog.Discard()),
		View:         h.view,
		Leases:       n.keeper,
		Hosts:        h.hosts,
		Orders:       endpoint.NewOrderClient(client),
		Probe:        health.HTTPProbe(client),
		Health:       health.Options{Period: testPeriod / 2, Timeout: testPeriod / 2, Workers: 32},
		Policy:       policy,
		Period:       testPeriod,
		OrderTimeout: testOrderTimeout,
		Events:       eventlog.Discard(),
		Scope:        tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(h.t.Context())
	var running sync.WaitGroup
	running.Go(func() { n.keeper.Run(ctx) })
	running.Go(func() { n.manager.Run(ctx) })
	n.stop = func() {
		cancel()
		running.Wait()
	}
	h.nodes = append(h.nodes, n)
	return n
}

// placements reads every placement.
func (h *hall) placements() map[string]*object.Placement {
	var r rows
	if err := r.load(h.t.Context(), h.platform.Table); err != nil {
		h.t.Fatal(err)
	}
	return r.placements
}

// open reports whether the group's gate is open for a node that sees the
// engines as they are.
func (h *hall) open(p *object.Placement) (bool, string) {
	now := time.Now()
	return health.Open(p, func(host string) health.Observation {
		if !h.engines[host].Alive() {
			return health.Observation{}
		}
		return health.Observation{State: h.engines[host].State(), Seen: now}
	}, testPeriod, now)
}

// awaitOpen waits until all groups are open and returns how long it took.
func (h *hall) awaitOpen(groups []string, limit time.Duration) time.Duration {
	h.t.Helper()
	began := time.Now()
	why := ""
	for time.Since(began) < limit {
		open := true
		for _, g := range groups {
			var ok bool
			if ok, why = h.open(h.placements()[g]); !ok {
				open = false
				break
			}
		}
		if open {
			return time.Since(began)
		}
		time.Sleep(testPeriod)
	}
	for _, n := range h.nodes {
		for _, g := range groups {
			for _, s := range n.manager.Explain(g) {
				h.t.Logf("%s %s %s: %s: %s", s.Time.Format("04:05"), n.name, g, s.Reason, s.Message)
			}
		}
	}
	h.t.Fatalf("groups not open after %s: %s", limit, why)
	return 0
}
