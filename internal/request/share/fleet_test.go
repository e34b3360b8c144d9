package share

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/lease"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"

	"currantladder.example/currantladder/internal/connection/hostlist"
)

const (
	testAccount  = "big"
	testVoid     = 20 * time.Second
	testMargin   = 5 * time.Second
	requestLimit = 15 * time.Second
	hostLag      = 2 * time.Second
	hostPoll     = 2 * time.Second
	peerDelay    = 1500 * time.Microsecond
	storeDelay   = 5 * time.Millisecond
	loadStep     = 10 * time.Millisecond
)

var errCut = errors.New("link is cut")

// view is a configuration that the test replaces.
type view struct {
	mu      sync.Mutex
	current *snapshot.Snapshot
}

func (v *view) Current() *snapshot.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

func (v *view) Changed() <-chan struct{} { return nil }

func (v *view) set(c Cap, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	spec := &object.ClientAccountSpec{TokensPerSecond: c.TokensPerSecond, BurstTokens: int64(c.BurstTokens), MaxInFlight: c.InFlight}
	v.current = snapshot.New(revision, []*object.Object{{Kind: object.KindClientAccount, Metadata: object.Metadata{Name: testAccount}, Spec: spec}}, nil)
}

// node is one process under test, with the faults of its links.
type node struct {
	fleet   *fleet
	name    string
	address string
	manager *Manager
	keeper  *lease.Keeper
	cancel  context.CancelFunc

	mu       sync.Mutex
	resume   chan struct{} // not nil while the process is paused
	noStore  bool
	noHosts  bool
	cutPeers map[string]bool
	hosts    HostView
}

// pass blocks while the process is paused.
func (n *node) pass() {
	n.mu.Lock()
	resume := n.resume
	n.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resume = make(chan struct{})
}

func (n *node) unpause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.resume)
	n.resume = nil
}

func (n *node) paused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resume != nil
}

func (n *node) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// reach waits for the link to the table service; false where it is cut.
func (n *node) reach() bool {
	n.pass()
	time.Sleep(storeDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.noStore
}

func (n *node) Get(ctx context.Context, key string) (table.Row, error) {
	if !n.reach() {
		return table.Row{}, table.ErrUnavailable
	}
	defer n.pass()
	return n.fleet.platform.Table.Get(ctx, key)
}

func (n *node) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	if !n.reach() {
		return nil, table.ErrUnavailable
	}
	defer n.pass()
	return n.fleet.platform.Table.List(ctx, r)
}

func (n *node) Commit(ctx context.Context, txn table.Txn) error {
	if !n.reach() {
		return table.ErrUnavailable
	}
	err := n.fleet.platform.Table.Commit(ctx, txn)
	time.Sleep(n.fleet.answerDelay())
	n.pass()
	if err == nil && n.fleet.loses() {
		return fmt.Errorf("answer lost: %w", table.ErrUnknown)
	}
	return err
}

func (n *node) Release(ctx context.Context, name string, r peer.ReleaseRequest) (peer.ReleaseReply, error) {
	n.pass()
	time.Sleep(peerDelay)
	target := n.fleet.node(name)
	if target == nil || n.cut(name) {
		return peer.ReleaseReply{}, errCut
	}
	target.pass()
	reply := target.manager.Release(ctx, r)
	time.Sleep(peerDelay)
	if n.cut(name) || n.fleet.loses() {
		return peer.ReleaseReply{}, errCut
	}
	return reply, nil
}

func (n *node) cut(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutPeers[name]
}

func (n *node) session() Session {
	n.pass()
	return Session{Incarnation: n.keeper.Incarnation(), Proven: n.keeper.Proven()}
}

func (n *node) hostView() HostView {
	n.pass()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts
}

// pollHosts reads the host list as the process's membership duty does.
func (n *node) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		n.pass()
		sent := time.Now()
		n.mu.Lock()
		if !n.noHosts {
			n.hosts = HostView{List: n.fleet.platform.Hosts(), Sent: sent}
		}
		n.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(hostPoll):
		}
	}
}

// fleet is a number of nodes over one platform, with an oracle that sees every
// admission.
type fleet struct {
	t        testing.TB
	platform *platform.Platform
	view     *view
	oracle   *oracle
	group    sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*node
	// slowAnswers is the longest delay of a commit's answer after its effect.
	slowAnswers time.Duration
	rnd         *rand.Rand
	// loseEvery loses one of n answers after its effect; 0 loses none.
	loseEvery int
	credit    map[string]float64
	cost      int64
	service   time.Duration
}

func newFleet(t testing.TB, c Cap) *fleet {
	f := &fleet{
		t:        t,
		platform: platform.New(platform.Options{HostLag: hostLag}),
		view:     &view{},
		oracle:   newOracle(c, time.Now()),
		nodes:    map[string]*node{},
		credit:   map[string]float64{},
		cost:     100,
		service:  200 * time.Millisecond,
		rnd:      rand.New(rand.NewPCG(1, 1)),
	}
	f.view.set(c, 1)
	return f
}

func (f *fleet) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loseEvery > 0 && f.rnd.IntN(f.loseEvery) == 0
}

func (f *fleet) answerDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slowAnswers == 0 {
		return 0
	}
	return time.Duration(f.rnd.Int64N(int64(f.slowAnswers)))
}

// set changes the faults of all links.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *fleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.nodes {
		names = append(names, name)
	}
	return names
}

// start runs a process of the named node, in place of an earlier one.
func (f *fleet) start(name, address string) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{fleet: f, name: name, address: address, cancel: cancel, cutPeers: map[string]bool{}}
	n.keeper = lease.New(n, lease.SessionRow{Node: name, PeerAddress: address}, 6*time.Second, 2*time.Second, eventlog.Discard())
	n.manager = NewManager(Options{
		Node: name, Address: address, Store: n, View: f.view, Peers: n,
		Live: func() []string { n.pass(); return f.names() }, Session: n.session, Hosts: n.hostView,
		Void: testVoid, Margin: testMargin, RequestLimit: requestLimit,
	})
	f.list(name, address)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.group.Go(func() { n.keeper.Run(ctx) })
	f.group.Go(func() { n.pollHosts(ctx) })
	f.group.Go(func() { n.manager.Run(ctx) })
	return n
}

// list puts the node into the platform's host list.
func (f *fleet) list(name, address string) {
	f.platform.ChangeHost(platform.HostChange{Host: &hostlist.Host{Name: name, Address: address, Role: hostlist.RoleNode, State: hostlist.StateLive}})
}

func (f *fleet) unlist(name string) { f.platform.ChangeHost(platform.HostChange{Drop: name}) }

// kill ends a process without a planned stop.
func (f *fleet) kill(name string) {
	n := f.node(name)
	n.cancel()
	f.mu.Lock()
	delete(f.nodes, name)
	f.mu.Unlock()
	f.unlist(name)
}

func (f *fleet) stop() {
	f.mu.Lock()
	for _, n := range f.nodes {
		n.cancel()
	}
	f.mu.Unlock()
	f.group.Wait()
}

// load offers demand, in tokens a second for each process, for a time.
func (f *fleet) load(demand map[*node]float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for n, rate := range demand {
			f.offer(n, rate*loadStep.Seconds())
		}
		time.Sleep(loadStep)
	}
}

func (f *fleet) offer(n *node, tokens float64) {
	if n.paused() {
		return
	}
	f.credit[n.name] += tokens
	for f.credit[n.name] >= float64(f.cost) {
		f.credit[n.name] -= float64(f.cost)
		admitted, refused := n.manager.Admit(testAccount, f.cost, time.Now())
		if refused != nil {
			continue
		}
		f.oracle.admit(f.cost, time.Now())
		cost := f.cost
		time.AfterFunc(f.service, func() {
			f.oracle.settle()
			admitted.Settle(cost)
		})
	}
}
