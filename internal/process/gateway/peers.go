package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/request/place"
)

// Times and bounds of the exchange between nodes.
const (
	// peerBound is the time after which a silent peer is not asked.
	peerBound = 3 * time.Second
	// rosterPeriod is how often the rows of all nodes are read; nodes also
	// learn of each other by digests.
	rosterPeriod = 10 * time.Second
	// largeRoster is the same in a large fleet, where hubs know the nodes.
	largeRoster = 30 * time.Second
	rosterRetry = 500 * time.Millisecond
	rosterCall  = time.Second
	// peersAsked bounds the peers that are asked for a feed in one turn.
	peersAsked = 2
)

// nodePrefix begins the keys of the nodes' rows.
const nodePrefix = "node/"

// nodeRow is the value of a node's row.
type nodeRow struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Share is the part of a processor core that the node has.
	Share float64 `json:"share"`
}

// peer is another node.
type peer struct {
	nodeRow
	// heard is when its last digest came, hub when its last one as a hub.
	heard time.Time
	hub   time.Time
	// failed is until when it is not chosen as hub.
	failed time.Time
}

// peersOptions are the parts that the exchange works with.
type peersOptions struct {
	store     table.Store
	board     *place.Board
	candidate *leader.Candidate
	conn      net.PacketConn
	// traffic reports whether this node has had a request.
	traffic func() bool
	// reads reports whether this node has copies of the feeds to serve.
	reads func() bool
	log   *eventlog.Logger
}

// peers knows the other nodes and exchanges digests with them.
type peers struct {
	peersOptions
	node string
	self nodeRow
	http *http.Client

	mu    sync.Mutex
	known map[string]*peer
	// chosen is the hub of this node, and chosenAt since when.
	chosen    string
	chosenAt  time.Time
	hadOthers bool
}

func newPeers(s *Settings, o peersOptions) *peers {
	p := &peers{
		peersOptions: o, node: s.Node, self: nodeRow{Address: s.Peers, Domain: s.FailureDomain, Share: s.ProcessorShare},
		http: &http.Client{Transport: newTransport(storeIdle)}, known: map[string]*peer{},
	}
	for _, seed := range s.Seeds {
		if seed != s.Peers {
			p.known["seed "+seed] = &peer{nodeRow: nodeRow{Address: seed}}
		}
	}
	return p
}

// roster registers the node and reads the other nodes' rows until ctx ends.
func (p *peers) roster(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		pause := p.rosterPause()
		if !registered {
			registered = p.register(ctx) == nil
		}
		if err := p.readRoster(ctx); err != nil || !registered {
			pause = rosterRetry // the feeds log that the store is out
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (p *peers) rosterPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	period := rosterPeriod
	if len(p.known)+1 > smallFleet {
		period = largeRoster
	}
	return period + rand.N(period/4)
}

func (p *peers) register(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, rosterCall)
	defer cancel()
	key := nodePrefix + p.node
	value, err := json.Marshal(p.self)
	if err != nil {
		return fmt.Errorf("encode the node's row: %w", err)
	}
	write := table.Write{Key: key, Value: value}
	err = p.store.Commit(bounded, table.Txn{Nonce: uuid.NewString(), Writes: []table.Write{write}})
	var conflict *table.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	current, err := p.store.Get(bounded, key)
	if err != nil {
		return fmt.Errorf("read the node's row: %w", err)
	}
	if string(current.Value) == string(value) {
		return nil
	}
	write.Expect = current.Version
	return p.store.Commit(bounded, table.Txn{Nonce: uuid.NewString(), Writes: []table.Write{write}})
}

func (p *peers) readRoster(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, rosterCall)
	defer cancel()
	rows, err := p.store.List(bounded, table.Range{Prefix: nodePrefix})
	if err != nil {
		return fmt.Errorf("read the nodes' rows: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range rows {
		var row nodeRow
		if json.Unmarshal(r.Value, &row) != nil || row.Address == "" {
			continue // a row of another version names no peer
		}
		p.learn(strings.TrimPrefix(r.Key, nodePrefix), row)
	}
	return nil
}

// learn notes a peer and where it stands. The caller holds mu.
func (p *peers) learn(node string, row nodeRow) *peer {
	if node == p.node {
		return nil
	}
	delete(p.known, "seed "+row.Address)
	known := p.known[node]
	if known == nil {
		known = &peer{}
		p.known[node] = known
	}
	known.nodeRow = row
	return known
}

// heardTraffic reports whether another node has had a request.
func (p *peers) heardTraffic() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hadOthers
}

// upstream says from where this node reads the feeds.
func (p *peers) upstream() feed.Upstream {
	now := time.Now()
	p.mu.Lock()
	var live []string
	members := 0
	for _, known := range p.known {
		if now.Sub(known.heard) >= peerBound {
			continue
		}
		live = append(live, known.Address)
		if known.Domain == p.self.Domain {
			members++
		}
	}
	hub := p.hub(now)
	var reader string
	if hub != "" && hub != p.node && now.Sub(p.known[hub].hub) < hubSilence {
		reader = p.known[hub].Address
	}
	p.mu.Unlock()
	slices.Sort(live)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	up := feed.Upstream{Serves: hub == p.node && members > 0}
	if reader != "" {
		up.Reader = p.source(reader)
	}
	for _, address := range live[:min(len(live), peersAsked)] {
		up.Peers = append(up.Peers, p.source(address))
	}
	return up
}

func (p *peers) source(address string) feed.Source {
	return &peerSource{"http://" + address, p.http}
}
