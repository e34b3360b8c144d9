package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/request/warmup"
)

// Intervals, timeouts and limits of the exchange between nodes.
const (
	// peerTimeout is the time without a digest after which a peer is not asked
	// for feeds.
	peerTimeout = 3 * time.Second
	// rosterInterval is the time between two reads of all nodes' rows. Nodes also
	// learn of each other from digests.
	rosterInterval = 10 * time.Second
	// largeFleetRosterInterval replaces rosterInterval in a fleet with hubs,
	// where the hubs track the nodes.
	largeFleetRosterInterval = 30 * time.Second
	// rosterBackoff is the delay after a failed read or registration. In a fleet with
	// hubs it doubles with each failure up to maxRosterBackoff: while the store is down,
	// no node has a live hub.
	rosterBackoff    = 500 * time.Millisecond
	maxRosterBackoff = 10 * time.Second
	// rosterTimeout limits one read of the rows, and one registration.
	rosterTimeout = time.Second
	// smallNodeDeference is how much longer than the largest nodes a smaller one
	// waits before it takes the leadership. It covers the time in which one of them
	// notices a free lease and writes the row.
	smallNodeDeference = 1500 * time.Millisecond
	// firstRosterDelay separates the registration of a node from its first read of
	// all rows when the whole fleet starts for the first time. Several hundred nodes
	// need this long to register.
	firstRosterDelay = time.Second
	// rosterWait is how long after its start a node waits for the first read of all
	// rows before it takes part in an election.
	rosterWait = 500 * time.Millisecond
	// firstStartWait is how long a node waits for the rows and for its hub when the
	// whole fleet starts for the first time. Callers arrive seconds later. A node
	// that starts again follows the store at once.
	firstStartWait = 3 * time.Second
	// firstRosterTimeout is how long a node that starts again waits for its first read
	// of all rows before it reads the feeds from the store.
	firstRosterTimeout = 250 * time.Millisecond
	// restartWait plus a random part of restartWaitSpread is how long a node that starts
	// again in a fleet of more than maxFullMeshNodes asks the hub and the deputies of its
	// failure domain for its first copy before it asks the store. They read the store
	// at once; the others take their copies within the second after it.
	restartWait       = 3 * time.Second
	restartWaitSpread = 2 * time.Second
	// maxDeputies is the number of nodes of a failure domain that replace its hub
	// while it fails.
	maxDeputies = 2
	// firstDigestTimeout is how long a node that starts again waits for a digest of
	// another one before it is ready. The digest tells it which requests to refuse.
	firstDigestTimeout = 500 * time.Millisecond
	// maxNodeNameBytes limits the name of a node and of its failure domain.
	maxNodeNameBytes = 200
	// maxProcessorShare limits the processor cores that a node may use.
	maxProcessorShare = 4096
	// maxFeedPeers limits the peers that are asked for a feed in one round.
	maxFeedPeers = 2
)

// nodePrefix starts the keys of the nodes' rows.
const nodePrefix = "node/"

// nodeRow is the value of a node's row in the store. Digests carry it too.
type nodeRow struct {
	// Address is IP:port of the node's peer listener, TCP and UDP. Domain is its
	// failure domain.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Share is the share of a processor core that the node may use.
	Share float64 `json:"share"`
}

// decodeNodeRow decodes the row of the node with the name. It returns an error for one
// that another writer has made unusable.
func decodeNodeRow(name string, value []byte) (nodeRow, error) {
	var row nodeRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nodeRow{}, fmt.Errorf("the row cannot be decoded: %.200s", err) // the error may contain the row
	}
	address, err := netip.ParseAddrPort(row.Address)
	switch {
	case name == "" || len(name) > maxNodeNameBytes || len(row.Domain) > maxNodeNameBytes:
		return nodeRow{}, fmt.Errorf("the names have %d and %d bytes, want at most %d and the node's at least one", len(name), len(row.Domain), maxNodeNameBytes)
	case err != nil:
		return nodeRow{}, fmt.Errorf("the address is not IP:port: %.200s", err)
	case address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return nodeRow{}, fmt.Errorf("no node can be reached at the address %s", address)
	case row.Share < 0 || row.Share > maxProcessorShare:
		return nodeRow{}, fmt.Errorf("the share of a processor core is %g, want 0 to %d", row.Share, maxProcessorShare)
	}
	return row, nil
}

// peer is another node.
type peer struct {
	nodeRow
	// lastHeard is when its last digest arrived, and heardAsHub when its last
	// digest as a hub with fresh feeds arrived.
	lastHeard  time.Time
	heardAsHub time.Time
	// quarantinedUntil is the time until which it is not chosen as hub.
	quarantinedUntil time.Time
	// packed is true if it understands packed digests, and seq is the number of its last
	// digest to this node as its hub.
	packed bool
	seq    uint32
}

// peersOptions are the dependencies of peers.
type peersOptions struct {
	store     table.Store
	board     *place.Board
	warmup    *warmup.Guard
	poison    *poison.Tracker
	candidate *leader.Candidate
	conn      net.PacketConn
	// hadTraffic reports whether this node has received a request.
	hadTraffic func() bool
	// firstStart is true if the whole fleet starts for the first time.
	firstStart bool
	// hasFreshFeeds reports whether this node can serve fresh copies of the
	// feeds.
	hasFreshFeeds func() bool
	// storeEra returns the era of the store as this node has last read it, or false
	// if it has read nothing yet.
	storeEra func() (era int64, known bool)
	// receivePlacing handles a datagram of placing. It must not block.
	receivePlacing func(content []byte, from net.Addr)
	log            *eventlog.Logger
	traffic        peerMetrics
}

// peers tracks the other nodes and exchanges digests with them.
type peers struct {
	peersOptions
	node string
	self nodeRow
	http *http.Client
	// started is when the node started.
	started time.Time

	mu sync.Mutex
	// byName contains the known peers by node name, and seeds that have not been
	// heard from under "seed " and their address.
	byName map[string]*peer
	// chosenHub is the current hub of this node, or "", and hubChosenAt when it
	// was chosen.
	chosenHub   string
	hubChosenAt time.Time
	// rosterRead is true once the rows of all nodes were read.
	rosterRead bool
	// rosterTried is true once the first read of the rows has ended.
	rosterTried bool
	// restartWait is how long this node avoids the store after it started again.
	restartWait time.Duration
	// unusableRows contains the versions of the rows that could not be used when the
	// rows were last read.
	unusableRows map[string]table.Version
	// trafficElsewhere is true once another node has received a request.
	trafficElsewhere bool
	// heardDigest is true once a digest of another node has arrived.
	heardDigest bool
	// listLacksNodes is true if another node knows many more nodes than this one, which
	// then reads the rows of all nodes, although it has a hub.
	listLacksNodes atomic.Bool
	ownDigests     ownDigests
	// wake has room for one signal to send a digest before its time.
	wake chan struct{}
}

func newPeers(s *Settings, o peersOptions) *peers {
	p := &peers{
		peersOptions: o, node: s.Node, self: nodeRow{Address: s.Peers, Domain: s.FailureDomain, Share: s.ProcessorShare},
		http: &http.Client{Transport: newTransport(storeIdleTimeout, dialerWithTimeout(storeUserTimeout).DialContext)}, byName: map[string]*peer{}, started: time.Now(), ownDigests: newOwnDigests(),
		restartWait: restartWait + rand.N(restartWaitSpread),
		wake:        make(chan struct{}, 1),
	}
	for _, seed := range s.Seeds {
		if seed != s.Peers {
			p.byName["seed "+seed] = &peer{nodeRow: nodeRow{Address: seed}}
		}
	}
	return p
}

// runRoster registers the node and reads the rows of all nodes until ctx ends. A
// node that has a hub does not read them again, because the hub knows the nodes.
func (p *peers) runRoster(ctx context.Context) {
	registered := !p.firstStart && p.readFirstRoster(ctx)
	if registered {
		sleep(ctx, p.jitteredRosterInterval())
	}
	eraKnown, lastEra := false, int64(0)
	failures := 0
	for ctx.Err() == nil {
		if era, known := p.storeEra(); known {
			// A copy that the store came back from may lack the node's row.
			registered = registered && (!eraKnown || era == lastEra)
			eraKnown, lastEra = true, era
		}
		if !registered {
			registered = p.register(ctx) == nil
			if registered && p.firstStart {
				sleep(ctx, firstRosterDelay)
			}
		}
		delay := p.failedRosterDelay(failures) // the feed followers log the failure of the store
		failures++
		if p.hasLiveHub() && !p.listLacksNodes.Load() {
			if registered {
				delay = p.jitteredRosterInterval()
			}
		} else if ownRow, err := p.readRoster(ctx); err == nil {
			// Another writer may have replaced or removed the node's row.
			failures = 0
			if registered = registered && ownRow; registered {
				delay = p.jitteredRosterInterval()
			}
		}
		sleep(ctx, delay)
	}
}

// readFirstRoster reads the rows of all nodes once when the node starts again, and
// reports whether the row of this node is still the one that it would write.
func (p *peers) readFirstRoster(ctx context.Context) bool {
	ownRow, err := p.readRoster(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rosterTried = true
	return err == nil && ownRow
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// failedRosterDelay returns the delay after a number of failures and one more.
func (p *peers) failedRosterDelay(failures int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.byName)+1 <= maxStoreReaders || failures == 0 {
		return rosterBackoff
	}
	delay := min(rosterBackoff<<min(failures, 8), maxRosterBackoff)
	return delay/2 + rand.N(delay/2)
}

func (p *peers) jitteredRosterInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := rosterInterval
	if len(p.byName)+1 > maxStoreReaders {
		interval = largeFleetRosterInterval
	}
	return interval + rand.N(interval/4)
}

// hasLiveHub reports whether another node is this node's hub and sends digests.
func (p *peers) hasLiveHub() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.liveHub(p.chooseHub(now), now) != nil
}

// liveHub returns the node with the name if it is another node that lately sent a
// digest as a hub, and otherwise nil. The caller must hold mu.
func (p *peers) liveHub(hub string, now time.Time) *peer {
	if hub == "" || hub == p.node || now.Sub(p.byName[hub].heardAsHub) >= hubTimeout {
		return nil
	}
	return p.byName[hub]
}

// isStarting reports whether the node is in the first start of the whole fleet.
func (p *peers) isStarting(now time.Time) bool {
	return p.firstStart && now.Sub(p.started) < firstStartWait
}

// awaitsFirstDigest reports whether the node should not be ready yet, because no
// other node has told it what it knows.
func (p *peers) awaitsFirstDigest(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.firstStart && !p.heardDigest && len(p.byName) > 0 && now.Sub(p.started) < firstDigestTimeout
}

func (p *peers) register(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	key := nodePrefix + p.node
	value, err := json.Marshal(p.self)
	if err != nil {
		return fmt.Errorf("encode the node's row: %w", err)
	}
	write := table.Write{Key: key, Value: value}
	err = p.store.Commit(callCtx, table.Txn{Nonce: uuid.NewString(), Writes: []table.Write{write}})
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	current, err := p.store.Get(callCtx, key)
	if err != nil {
		return fmt.Errorf("read the node's row: %w", err)
	}
	if string(current.Value) == string(value) {
		return nil
	}
	write.Expect = current.Version
	return p.store.Commit(callCtx, table.Txn{Nonce: uuid.NewString(), Writes: []table.Write{write}})
}

// readRoster reads the rows of all nodes, and reports whether that of this node is as it
// would write it.
func (p *peers) readRoster(ctx context.Context) (ownRow bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	rows, err := p.store.List(callCtx, table.Range{Prefix: nodePrefix})
	if err != nil {
		return false, fmt.Errorf("read the nodes' rows: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rosterRead = true
	unusable := map[string]table.Version{}
	for _, r := range rows {
		name := strings.TrimPrefix(r.Key, nodePrefix)
		row, err := decodeNodeRow(name, r.Value)
		if err != nil {
			unusable[r.Key] = r.Version
			if p.unusableRows[r.Key] != r.Version {
				p.log.LogLimited(eventlog.NodeRowUnusable, eventlog.Fields{"row": r.Key, "version": int64(r.Version), "error": err.Error()})
			}
			continue
		}
		ownRow = ownRow || name == p.node && row == p.self
		p.updatePeer(name, row)
	}
	p.unusableRows = unusable
	p.warmup.Listed()
	p.listLacksNodes.Store(false)
	return ownRow, nil
}

// updatePeer adds a peer or updates its row. It returns nil for this node. The
// caller must hold mu.
func (p *peers) updatePeer(node string, row nodeRow) *peer {
	if node == p.node {
		return nil
	}
	delete(p.byName, "seed "+row.Address)
	other := p.byName[node]
	if other == nil {
		other = &peer{}
		p.byName[node] = other
		p.warmup.AddNode(node)
	}
	other.nodeRow = row
	return other
}

// electionDeference returns how long this node leaves a free leadership to others.
// The leader plans for all hosts and sends them orders, so the nodes with the
// largest share of a core come first.
func (p *peers) electionDeference() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); !p.rosterRead && (now.Sub(p.started) < rosterWait || p.isStarting(now)) {
		return smallNodeDeference
	}
	for _, other := range p.byName {
		if other.Share > p.self.Share {
			return smallNodeDeference
		}
	}
	return 0
}

// othersHadTraffic reports whether another node has received a request.
func (p *peers) othersHadTraffic() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trafficElsewhere
}
