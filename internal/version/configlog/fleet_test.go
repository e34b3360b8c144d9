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
	fleetPoll   = time.Second
	gossipEvery = 500 * time.Millisecond
)

var errCut = fmt.Errorf("cut off: %w", table.ErrUnavailable)

// fleet is a set of nodes over one stand-in platform, with digests between
// the nodes. It runs in virtual time.
type fleet struct {
	platform *platform.Platform
	random   *rand.Rand
	running  sync.WaitGroup

	mu    sync.Mutex
	nodes []*fleetNode
}

// fleetNode is one run of a node's process. A node that is cut reaches neither
// the store nor a peer, but its peers still reach it.
type fleetNode struct {
	fleet    *fleet
	name     string
	follower *Follower
	acceptor *Acceptor
	stop     context.CancelFunc
	stopped  <-chan struct{}

	mu     sync.Mutex
	cut    bool
	healed time.Time
}

func newFleet(seed uint64) *fleet {
	return &fleet{platform: platform.New(platform.Options{}), random: rand.New(rand.NewPCG(seed, 1))}
}

// start runs a node until its stop function is called or ctx ends.
func (f *fleet) start(ctx context.Context, name string, cut bool) *fleetNode {
	ctx, stop := context.WithCancel(ctx)
	n := &fleetNode{fleet: f, name: name, stop: stop, stopped: ctx.Done(), cut: cut, healed: time.Now()}
	n.acceptor = NewAcceptor(n, eventlog.Discard())
	n.follower = NewFollower(n, n, fleetPoll, eventlog.Discard())
	n.acceptor.OnAccept(n.follower.Offer)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.running.Go(func() { n.follower.Run(ctx) })
	f.running.Go(func() { n.gossip(ctx) })
	return n
}

// remove stops a node.
func (f *fleet) remove(n *fleetNode) {
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

// ready returns the nodes that have loaded the configuration.
func (f *fleet) ready() []*fleetNode {
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

// pick returns a random ready node, or nil.
func (f *fleet) pick() *fleetNode {
	ready := f.ready()
	if len(ready) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return ready[f.random.IntN(len(ready))]
}

func (n *fleetNode) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	n.healed = time.Now()
}

func (n *fleetNode) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

// upToDateSince returns since when the node has reached the others, and false
// while it is cut off.
func (n *fleetNode) upToDateSince() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.healed, !n.cut
}

// gossip learns the revisions of the peers from their digests.
func (n *fleetNode) gossip(ctx context.Context) {
	for sleep(ctx, gossipEvery) == nil {
		if n.isCut() {
			continue
		}
		for _, peer := range n.fleet.ready() {
			n.follower.Learn(peer.follower.Current().Revision)
		}
	}
}

// Log implements PeerSource: peers are asked in random order, stale ones too.
func (n *fleetNode) Log(_ context.Context, after int64) ([]object.Record, error) {
	if n.isCut() {
		return nil, errCut
	}
	peers := n.fleet.ready()
	n.fleet.shuffle(peers)
	for _, peer := range peers {
		if records, kept := peer.follower.Records(after); kept && len(records) > 0 {
			return records, nil
		}
	}
	return nil, errors.New("no peer has the records")
}

// Snapshot implements PeerSource. A starting node reaches all peers, a running
// one may reach a single stale one.
func (n *fleetNode) Snapshot(context.Context) (*snapshot.Snapshot, error) {
	if n.isCut() {
		return nil, errCut
	}
	if peer := n.fleet.pick(); n.follower.Ready() && peer != nil {
		return peer.follower.Current(), nil
	}
	var best *snapshot.Snapshot
	for _, peer := range n.fleet.ready() {
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
	if n.isCut() {
		return table.Row{}, errCut
	}
	return n.fleet.platform.Table.Get(ctx, key)
}

// List implements table.Store.
func (n *fleetNode) List(ctx context.Context, r table.Range) ([]table.Row, error) {
	if n.isCut() {
		return nil, errCut
	}
	return n.fleet.platform.Table.List(ctx, r)
}

// Commit implements table.Store.
func (n *fleetNode) Commit(ctx context.Context, txn table.Txn) error {
	if n.isCut() {
		return errCut
	}
	return n.fleet.platform.Table.Commit(ctx, txn)
}

// detached returns a node of the fleet that reaches nobody.
func (f *fleet) detached() *fleetNode { return &fleetNode{fleet: f, cut: true} }
