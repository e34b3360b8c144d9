package configlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

const (
	fleetPollInterval = time.Second
	gossipInterval    = 500 * time.Millisecond
)

// errIsolated is returned by every call of an isolated node.
var errIsolated = fmt.Errorf("node is isolated: %w", table.ErrUnavailable)

// fleet is a set of nodes that share one stand-in platform and exchange digests.
// It runs in virtual time.
type fleet struct {
	platform *platform.Platform
	random   *rand.Rand
	running  sync.WaitGroup

	mu    sync.Mutex
	nodes []*fleetNode
}

// fleetNode is one process of a node. It implements table.Store and PeerSource
// for its own follower and acceptor. An isolated node reaches neither the store
// nor a peer, but its peers still reach it.
type fleetNode struct {
	fleet    *fleet
	name     string
	follower *Follower
	acceptor *Acceptor
	stop     context.CancelFunc
	stopped  <-chan struct{}

	mu       sync.Mutex
	isolated bool
	// isolationChangedAt is when isolated was last set.
	isolationChangedAt time.Time
}

func newFleet(seed uint64) *fleet {
	return &fleet{platform: platform.New(platform.Options{}), random: rand.New(rand.NewPCG(seed, 1))}
}

// start runs a node until its stop function is called or ctx ends.
func (f *fleet) start(ctx context.Context, name string, isolated bool) *fleetNode {
	ctx, stop := context.WithCancel(ctx)
	n := &fleetNode{fleet: f, name: name, stop: stop, stopped: ctx.Done(), isolated: isolated, isolationChangedAt: time.Now()}
	n.acceptor = NewAcceptor(n, eventlog.Discard())
	n.follower = NewFollower(n, n, fleetPollInterval, eventlog.Discard())
	n.acceptor.OnAccept(n.follower.ApplyAccepted)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.running.Go(func() { n.follower.Run(ctx) })
	f.running.Go(func() { n.gossip(ctx) })
	return n
}

// stopNode stops a node and removes it from the fleet.
func (f *fleet) stopNode(n *fleetNode) {
	n.stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.nodes {
		if f.nodes[i] == n {
			f.nodes = append(f.nodes[:i], f.nodes[i+1:]...)
			return
		}
	}
}

// readyNodes returns the nodes that have loaded the configuration.
func (f *fleet) readyNodes() []*fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ready []*fleetNode
	for _, n := range f.nodes {
		if n.follower.Ready() {
			ready = append(ready, n)
		}
	}
	return ready
}

func (f *fleet) shuffle(nodes []*fleetNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
}

// randomReadyNode returns a random ready node, or nil where there is none.
func (f *fleet) randomReadyNode() *fleetNode {
	ready := f.readyNodes()
	if len(ready) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return ready[f.random.IntN(len(ready))]
}

func (n *fleetNode) setIsolated(isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = isolated
	n.isolationChangedAt = time.Now()
}

func (n *fleetNode) isIsolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated
}

// connectedSince returns since when the node has reached the store and its peers.
// It returns false while the node is isolated.
func (n *fleetNode) connectedSince() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolationChangedAt, !n.isolated
}

// gossip passes the revisions of the ready peers to the follower, as their digests
// do in production.
func (n *fleetNode) gossip(ctx context.Context) {
	for sleep(ctx, gossipInterval) == nil {
		if n.isIsolated() {
			continue
		}
		for _, peer := range n.fleet.readyNodes() {
			n.follower.ObserveRevision(peer.follower.Current().Revision)
		}
	}
}

// Log implements PeerSource. It asks the ready peers in random order, stale ones
// included.
func (n *fleetNode) Log(_ context.Context, after int64) ([]object.Record, error) {
	if n.isIsolated() {
		return nil, errIsolated
	}
	peers := n.fleet.readyNodes()
	n.fleet.shuffle(peers)
	for _, peer := range peers {
		if records, kept := peer.follower.Records(after); kept && len(records) > 0 {
			return records, nil
		}
	}
	return nil, errors.New("no peer has the records")
}

// Snapshot implements PeerSource. A node that is not ready yet gets the highest
// snapshot of all peers; a ready node gets that of one random peer, which may be
// stale.
func (n *fleetNode) Snapshot(context.Context) (*snapshot.Snapshot, error) {
	if n.isIsolated() {
		return nil, errIsolated
	}
	if peer := n.fleet.randomReadyNode(); n.follower.Ready() && peer != nil {
		return peer.follower.Current(), nil
	}
	var best *snapshot.Snapshot
	for _, peer := range n.fleet.readyNodes() {
		if current := peer.follower.Current(); best == nil || current.Revision > best.Revision {
			best = current
		}
	}
	if best == nil {
		return nil, errors.New("no ready peer")
	}
	return best, nil
}

// Get implements table.Store.
func (n *fleetNode) Get(ctx context.Context, key string) (table.Row, error) {
	if n.isIsolated() {
		return table.Row{}, errIsolated
	}
	return n.fleet.platform.Table.Get(ctx, key)
}

// List implements table.Store.
func (n *fleetNode) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	if n.isIsolated() {
		return nil, errIsolated
	}
	return n.fleet.platform.Table.List(ctx, r)
}

// Commit implements table.Store.
func (n *fleetNode) Commit(ctx context.Context, txn table.Txn) error {
	if n.isIsolated() {
		return errIsolated
	}
	return n.fleet.platform.Table.Commit(ctx, txn)
}

// isolatedNode returns a node that reaches neither the store nor a peer.
func (f *fleet) isolatedNode() *fleetNode { return &fleetNode{fleet: f, isolated: true} }
