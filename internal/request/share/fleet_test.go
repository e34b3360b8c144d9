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
	testAccount          = "big"
	testPresenceTimeout  = 20 * time.Second
	testReclaimMargin    = 5 * time.Second
	testRequestTimeout   = 15 * time.Second
	hostListLag          = 2 * time.Second
	hostListPollInterval = 2 * time.Second
	peerDelay            = 1500 * time.Microsecond
	tableDelay           = 5 * time.Millisecond
	loadStep             = 10 * time.Millisecond
)

var errLinkCut = errors.New("link is cut")

// configView is a fake configuration view whose snapshot the test replaces.
type configView struct {
	mu      sync.Mutex
	current *snapshot.Snapshot
}

func (v *configView) Current() *snapshot.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

func (v *configView) Changed() <-chan struct{} { return nil }

func (v *configView) set(c Cap, revision int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	spec := &object.ClientAccountSpec{TokensPerSecond: c.TokensPerSecond, BurstTokens: int64(c.BurstTokens), MaxInFlight: c.InFlight}
	v.current = snapshot.New(revision, []*object.Object{{Kind: object.KindClientAccount, Metadata: object.Metadata{Name: testAccount}, Spec: spec}}, nil)
}

// node is one process under test, with the injected faults of its links. It is
// also the process's table.Store and PeerClient.
type node struct {
	fleet         *fleet
	name          string
	address       string
	manager       *Manager
	sessionKeeper *lease.Keeper
	cancel        context.CancelFunc

	mu          sync.Mutex
	resume      chan struct{} // not nil while the process is paused
	tableCut    bool
	hostListCut bool
	peersCut    map[string]bool
	hosts       HostView
}

// waitWhilePaused blocks while the process is paused.
func (n *node) waitWhilePaused() {
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

// update runs change under the node's lock.
func (n *node) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// reachTable waits for the delay of the link to the table service. It returns false
// if the link is cut.
func (n *node) reachTable() bool {
	n.waitWhilePaused()
	time.Sleep(tableDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.tableCut
}

func (n *node) Get(ctx context.Context, key string) (table.Row, error) {
	if !n.reachTable() {
		return table.Row{}, table.ErrUnavailable
	}
	defer n.waitWhilePaused()
	return n.fleet.platform.Table.Get(ctx, key)
}

func (n *node) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	if !n.reachTable() {
		return nil, table.ErrUnavailable
	}
	defer n.waitWhilePaused()
	return n.fleet.platform.Table.List(ctx, r)
}

func (n *node) Commit(ctx context.Context, txn table.Txn) error {
	if !n.reachTable() {
		return table.ErrUnavailable
	}
	err := n.fleet.platform.Table.Commit(ctx, txn)
	time.Sleep(n.fleet.randomAnswerDelay())
	n.waitWhilePaused()
	if err == nil && n.fleet.losesAnswer() {
		return fmt.Errorf("answer lost: %w", table.ErrUnknown)
	}
	return err
}

func (n *node) Release(ctx context.Context, name string, r peer.ReleaseRequest) (peer.ReleaseReply, error) {
	n.waitWhilePaused()
	time.Sleep(peerDelay)
	target := n.fleet.node(name)
	if target == nil || n.peerCut(name) {
		return peer.ReleaseReply{}, errLinkCut
	}
	target.waitWhilePaused()
	reply := target.manager.Release(ctx, r)
	time.Sleep(peerDelay)
	if n.peerCut(name) || n.fleet.losesAnswer() {
		return peer.ReleaseReply{}, errLinkCut
	}
	return reply, nil
}

func (n *node) peerCut(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peersCut[name]
}

func (n *node) session() Session {
	n.waitWhilePaused()
	return Session{Incarnation: n.sessionKeeper.Incarnation(), LastRenewalSent: n.sessionKeeper.LastRenewalSent()}
}

func (n *node) hostView() HostView {
	n.waitWhilePaused()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts
}

// pollHosts reads the host list periodically, as the membership loop of a process
// does.
func (n *node) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		n.waitWhilePaused()
		sent := time.Now()
		n.mu.Lock()
		if !n.hostListCut {
			n.hosts = HostView{List: n.fleet.platform.Hosts(), RequestedAt: sent}
		}
		n.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(hostListPollInterval):
		}
	}
}

// fleet is a set of nodes on one fake platform, with an oracle that observes every
// admission.
type fleet struct {
	t        testing.TB
	platform *platform.Platform
	view     *configView
	oracle   *oracle
	group    sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*node
	// maxAnswerDelay is the longest delay of the answer to a commit that was
	// already applied.
	maxAnswerDelay time.Duration
	rng            *rand.Rand
	// loseOneIn is n if a random one in n answers to calls that were already
	// applied is lost; 0 loses none.
	loseOneIn int
	// tokenCredit is the demand, in tokens, that no request has been sent for yet.
	tokenCredit map[string]float64
	requestCost int64
	serviceTime time.Duration
}

func newFleet(t testing.TB, c Cap) *fleet {
	f := &fleet{
		t:           t,
		platform:    platform.New(platform.Options{HostListLag: hostListLag}),
		view:        &configView{},
		oracle:      newOracle(c, time.Now()),
		nodes:       map[string]*node{},
		tokenCredit: map[string]float64{},
		requestCost: 100,
		serviceTime: 200 * time.Millisecond,
		rng:         rand.New(rand.NewPCG(1, 1)),
	}
	f.view.set(c, 1)
	return f
}

func (f *fleet) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loseOneIn > 0 && f.rng.IntN(f.loseOneIn) == 0
}

func (f *fleet) randomAnswerDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.maxAnswerDelay == 0 {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(f.maxAnswerDelay)))
}

// update runs change under the fleet's lock.
func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) node(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *fleet) nodeNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.nodes {
		names = append(names, name)
	}
	return names
}

// start starts a process of the named node, which replaces an earlier one.
func (f *fleet) start(name, address string) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{fleet: f, name: name, address: address, cancel: cancel, peersCut: map[string]bool{}}
	n.sessionKeeper = lease.NewKeeper(n, lease.SessionRow{Node: name, PeerAddress: address}, 6*time.Second, 2*time.Second, eventlog.Discard())
	n.manager = NewManager(Options{
		Node: name, Address: address, Store: n, View: f.view, Peers: n,
		LiveNodes: func() []string { n.waitWhilePaused(); return f.nodeNames() }, Session: n.session, Hosts: n.hostView,
		PresenceTimeout: testPresenceTimeout, ReclaimMargin: testReclaimMargin, RequestTimeout: testRequestTimeout,
	})
	f.addToHostList(name, address)
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.group.Go(func() { n.sessionKeeper.Run(ctx) })
	f.group.Go(func() { n.pollHosts(ctx) })
	f.group.Go(func() { n.manager.Run(ctx) })
	return n
}

// addToHostList adds the node to the platform's host list.
func (f *fleet) addToHostList(name, address string) {
	f.platform.ChangeHost(platform.HostChange{Host: &hostlist.Host{Name: name, Address: address, Role: hostlist.RoleNode, State: hostlist.StateLive}})
}

func (f *fleet) dropFromHostList(name string) { f.platform.ChangeHost(platform.HostChange{Drop: name}) }

// kill ends a process without a planned stop.
func (f *fleet) kill(name string) {
	n := f.node(name)
	n.cancel()
	f.mu.Lock()
	delete(f.nodes, name)
	f.mu.Unlock()
	f.dropFromHostList(name)
}

func (f *fleet) stop() {
	f.mu.Lock()
	for _, n := range f.nodes {
		n.cancel()
	}
	f.mu.Unlock()
	f.group.Wait()
}

// applyDemand sends requests for the duration d. Demand is in tokens a second for
// each process.
func (f *fleet) applyDemand(demand map[*node]float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for n, rate := range demand {
			f.sendRequests(n, rate*loadStep.Seconds())
		}
		time.Sleep(loadStep)
	}
}

// sendRequests sends requests for the given tokens to a node, unless it is paused,
// and settles each admitted one after the service time.
func (f *fleet) sendRequests(n *node, tokens float64) {
	if n.paused() {
		return
	}
	f.tokenCredit[n.name] += tokens
	for f.tokenCredit[n.name] >= float64(f.requestCost) {
		f.tokenCredit[n.name] -= float64(f.requestCost)
		admission, refused := n.manager.Admit(testAccount, f.requestCost, time.Now())
		if refused != nil {
			continue
		}
		f.oracle.admit(f.requestCost, time.Now())
		cost := f.requestCost
		time.AfterFunc(f.serviceTime, func() {
			f.oracle.settle()
			admission.Settle(cost)
		})
	}
}
