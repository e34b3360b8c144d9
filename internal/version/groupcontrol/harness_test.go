package groupcontrol

import (
	"bytes"
	"context"
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
	testDomain        = "hall1"
	testLoadTime      = 5 * time.Second
	testInterval      = 500 * time.Millisecond
	testOrderTimeout  = 3 * time.Second
	testLeaseTTL      = 5 * time.Second
	testRenewInterval = time.Second
	// longPause is longer than the expiry of a lease, its takeover and the new
	// owner's wait for orders of the former one together.
	longPause = 6 * testLeaseTTL
	// orderGatherDelay lets the other orders of a step reach the transport
	// before the node is paused.
	orderGatherDelay = 100 * time.Millisecond
)

// harness runs nodes, stand-in engines of one failure domain and the stand-in
// platform in virtual time.
type harness struct {
	t        *testing.T
	platform *platform.Platform
	network  memnet.Network
	client   *http.Client
	engines  map[string]*engine.Engine
	names    []string
	servers  []*http.Server
	view     *fakeView
	hosts    *fakeHosts
	audit    *orderAudit
	nodes    []*testNode
}

// testNode is one node with its session and controllers. While it is paused,
// its calls block, those in progress included. They go out when it resumes.
type testNode struct {
	name string
	gate fault.Gate
	// pauseAtOrder and pauseAtCommit pause the node just before it sends its
	// next order or its next commit of a placement.
	pauseAtOrder  atomic.Bool
	pauseAtCommit atomic.Bool
	keeper        *lease.Keeper
	manager       *Manager
	stop          func()
}

// pauseIfSet pauses the node for longPause if the flag is set, and clears the
// flag.
func (n *testNode) pauseIfSet(flag *atomic.Bool) {
	if flag.CompareAndSwap(true, false) {
		n.gate.Set(true, 0)
		time.AfterFunc(longPause, func() { n.gate.Set(false, 0) })
	}
}

// fakeView is a fake configlog.View whose configuration tests replace.
type fakeView struct {
	mu      sync.Mutex
	current *snapshot.Snapshot
	changed chan struct{}
}

func (v *fakeView) Current() *snapshot.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

func (v *fakeView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fakeView) set(objects []*object.Object) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.current = snapshot.New(v.current.Revision+1, objects, nil)
	close(v.changed)
	v.changed = make(chan struct{})
}

// fakeHosts is a fake host list that tests change.
type fakeHosts struct {
	mu    sync.Mutex
	hosts map[string]hostlist.Host
}

func (h *fakeHosts) Hosts() map[string]hostlist.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts
}

func (h *fakeHosts) LastRead() time.Time { return time.Now() }

func (h *fakeHosts) setState(name string, state hostlist.State) {
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

// orderAudit checks the epochs of the orders that engines carry out, in the sequence in which
// they do. Nodes may get the answers in another one.
type orderAudit struct {
	mu      sync.Mutex
	highest map[string]int64 // epoch carried out, by boot ID: an engine keeps none over a restart
	// staleRefused and staleUnchecked count orders whose epoch is below one
	// that the host carried out before: those refused by hosts that check
	// fencing tokens, and those sent to hosts that do not.
	staleRefused   int
	staleUnchecked int
	violations     []string
}

func (a *orderAudit) record(host, bootID string, epoch int64, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	stale := epoch < a.highest[bootID]
	switch {
	case stale && checksFencing(host) && !refused:
		a.violations = append(a.violations, fmt.Sprintf("host %s carried out an order of epoch %d after one of epoch %d", host, epoch, a.highest[bootID]))
	case stale && checksFencing(host):
		a.staleRefused++
	case stale:
		a.staleUnchecked++
	}
	if !refused {
		a.highest[bootID] = max(a.highest[bootID], epoch)
	}
}

// nodeTransport carries a node's HTTP calls to engines.
type nodeTransport struct {
	harness *harness
	node    *testNode
	// orderDelay returns the delay of an order in transit; nil means none.
	orderDelay func() time.Duration
}

func (n *nodeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet {
		_ = n.node.gate.WaitOpen(context.Background())
		return n.harness.client.Transport.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	// An order that was about to be sent when the process was paused is sent
	// when it resumes, even after its deadline.
	if n.node.pauseAtOrder.Load() {
		time.Sleep(orderGatherDelay)
		n.node.pauseIfSet(&n.node.pauseAtOrder)
	}
	_ = n.node.gate.WaitOpen(context.Background())
	if n.orderDelay != nil {
		time.Sleep(n.orderDelay())
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), testOrderTimeout)
	sent := r.Clone(ctx)
	sent.Body = io.NopCloser(bytes.NewReader(body))
	answer, err := n.harness.client.Transport.RoundTrip(sent)
	if err != nil {
		cancel()
		return nil, err
	}
	answer.Body = &cancelBody{answer.Body, cancel}
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

// pausableStore blocks a node's calls to the table service while the node is
// paused.
type pausableStore struct {
	table.Store
	node *testNode
}

func (s *pausableStore) Get(ctx context.Context, key string) (table.Row, error) {
	_ = s.node.gate.WaitOpen(context.Background())
	return s.Store.Get(ctx, key)
}

func (s *pausableStore) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	_ = s.node.gate.WaitOpen(context.Background())
	return s.Store.List(ctx, r)
}

func (s *pausableStore) Commit(ctx context.Context, txn table.Txn) error {
	if slices.ContainsFunc(txn.Writes, func(w table.Write) bool { return strings.HasPrefix(w.Key, table.PrefixPlacement) }) {
		s.node.pauseIfSet(&s.node.pauseAtCommit)
	}
	_ = s.node.gate.WaitOpen(context.Background())
	return s.Store.Commit(context.WithoutCancel(ctx), txn)
}

// checksFencing reports whether a host checks fencing tokens: those with an even
// last digit do.
func checksFencing(host string) bool { return (host[len(host)-1]-'0')%2 == 0 }

// runHarness runs body in virtual time with two fabric domains of
// enginesPerFabric engines each.
func runHarness(t *testing.T, enginesPerFabric int, body func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{
			t:        t,
			platform: platform.New(platform.Options{}),
			engines:  map[string]*engine.Engine{},
			view:     &fakeView{current: snapshot.Empty(), changed: make(chan struct{})},
			hosts:    &fakeHosts{hosts: map[string]hostlist.Host{}},
			audit:    &orderAudit{highest: map[string]int64{}},
		}
		h.client = h.network.Client()
		for i := range 2 * enginesPerFabric {
			h.addEngine(fmt.Sprintf("h%02d", i), fmt.Sprintf("f%d", i/enginesPerFabric))
		}
		defer h.close()
		body(h)
	})
}

func (h *harness) addEngine(name, fabric string) {
	address := name + ":1"
	e := engine.New(engine.Options{
		Host: name, Address: address, LoadDelay: testLoadTime, ChecksFencing: checksFencing(name), HTTPClient: h.client,
		OnOrder: func(bootID string, order endpoint.Order, refused bool) {
			h.audit.record(name, bootID, order.Epoch, refused)
		},
	})
	h.engines[name] = e
	h.names = append(h.names, name)
	h.servers = append(h.servers, h.network.Serve(address, e.Handler()))
	h.hosts.hosts[name] = hostlist.Host{Name: name, Address: address, Role: hostlist.RoleEngine, FailureDomain: testDomain, FabricDomain: fabric, State: hostlist.StateLive}
}

func (h *harness) close() {
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

// declare replaces the configuration by the given groups of three members each
// and the Host objects of all engines.
func (h *harness) declare(groups ...string) {
	h.declareSpec(object.ReplicaGroupSpec{Model: "m", ModelVersion: "1", FailureDomain: testDomain, Members: 3, Worth: 1}, groups...)
}

// declareSpec is declare with a common spec for all groups.
func (h *harness) declareSpec(common object.ReplicaGroupSpec, groups ...string) {
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

// addNode starts a node. orderDelay, if not nil, delays its orders in transit.
func (h *harness) addNode(name string, orderDelay func() time.Duration) *testNode {
	n := &testNode{name: name}
	store := &pausableStore{h.platform.Table, n}
	client := &http.Client{Transport: &nodeTransport{h, n, orderDelay}}
	n.keeper = lease.NewKeeper(store, lease.SessionRow{Node: name}, testLeaseTTL, testRenewInterval, eventlog.Discard())
	policy := placement.DefaultPolicy(testLoadTime, 2)
	policy.DrainTimeout = time.Second
	n.manager = NewManager(Options{
		Node:              name,
		Store:             store,
		ConfigLog:         configlog.NewAcceptor(store, eventlog.Discard()),
		View:              h.view,
		Leases:            n.keeper,
		Hosts:             h.hosts,
		Orders:            endpoint.NewOrderClient(client),
		Probe:             health.HTTPProbe(client),
		Health:            health.Options{Interval: testInterval / 2, Timeout: testInterval / 2, Workers: 32},
		Policy:            policy,
		ReconcileInterval: testInterval,
		OrderTimeout:      testOrderTimeout,
		Events:            eventlog.Discard(),
		Scope:             tally.NoopScope,
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

// placements reads every placement from the table service, by group.
func (h *harness) placements() map[string]*object.Placement {
	var r rows
	if err := r.load(h.t.Context(), h.platform.Table); err != nil {
		h.t.Fatal(err)
	}
	return r.placements
}

// open reports whether the gate of a group is open for a node that observes the
// current state of the engines, and otherwise why it is closed.
func (h *harness) open(p *object.Placement) (bool, string) {
	now := time.Now()
	return health.IsOpen(p, func(host string) health.Observation {
		if !h.engines[host].Alive() {
			return health.Observation{}
		}
		return health.Observation{State: h.engines[host].State(), SeenAt: now}
	}, testInterval, now)
}

// awaitOpen waits until all groups are open and returns how long that took. It
// fails the test after the timeout and logs the recorded decisions.
func (h *harness) awaitOpen(groups []string, timeout time.Duration) time.Duration {
	h.t.Helper()
	began := time.Now()
	closedReason := ""
	for time.Since(began) < timeout {
		open := true
		for _, g := range groups {
			var ok bool
			if ok, closedReason = h.open(h.placements()[g]); !ok {
				open = false
				break
			}
		}
		if open {
			return time.Since(began)
		}
		time.Sleep(testInterval)
	}
	for _, n := range h.nodes {
		for _, g := range groups {
			for _, s := range n.manager.Explain(g) {
				h.t.Logf("%s %s %s: %s: %s", s.Time.Format("04:05"), n.name, g, s.Reason, s.Message)
			}
		}
	}
	h.t.Fatalf("got a closed group after %s, want all open: %s", timeout, closedReason)
	return 0
}
