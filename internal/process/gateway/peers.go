package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/request/place"
)

// Times and bounds of the exchange between nodes.
const (
	// digestPeriod is the time between two digests to each peer in a fleet of
	// up to digestFleet nodes; in a larger one it grows with the nodes, so that
	// each node's work does not.
	digestPeriod = 100 * time.Millisecond
	digestFleet  = 8
	// peerBound is the time after which a silent peer is not asked.
	peerBound = 3 * time.Second
	// rosterPeriod is how often the rows of all nodes are read; nodes also
	// learn of each other by digests.
	rosterPeriod = 10 * time.Second
	rosterRetry  = 500 * time.Millisecond
	rosterCall   = time.Second
	// maxDigestBytes bounds a datagram.
	maxDigestBytes = 32 << 10
	// maxPeerAnswer bounds a peer's copy of a table, in bytes.
	maxPeerAnswer = 16 << 20
	// peersAsked bounds the peers that are asked for a feed in one turn.
	peersAsked = 2
)

// nodePrefix begins the keys of the nodes' rows.
const nodePrefix = "node/"

// nodeRow is the value of a node's row.
type nodeRow struct {
	Address string `json:"address"`
}

// digest is what a node tells its peers. It is soft state: a lost one is
// replaced by the next.
type digest struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Ready is true once the node has read the feeds, and until it stops.
	Ready bool `json:"ready,omitempty"`
	// InFlight counts the node's requests by host.
	InFlight map[string]int `json:"inFlight,omitempty"`
	// Suspects are heads of groups that stand still.
	Suspects []string `json:"suspects,omitempty"`
	// Traffic is true once the node has had a request.
	Traffic bool `json:"traffic,omitempty"`
	// Leader is set by the node that leads.
	Leader *leader.Sign `json:"leader,omitempty"`
}

// peer is another node.
type peer struct {
	address string
	domain  string
	ready   bool
	heard   time.Time
}

// peers exchanges digests and copies of feeds with the other nodes.
type peers struct {
	node    string
	address string
	domain  string
	seeds   []string
	store   table.Store
	board   *place.Board
	// candidate learns from digests that a leader lives.
	candidate *leader.Candidate
	conn      net.PacketConn
	http      *http.Client
	traffic   func() bool
	ready     func() bool

	mu        sync.Mutex
	known     map[string]*peer
	hadOthers bool
}

func newPeers(s *Settings, store table.Store, board *place.Board, candidate *leader.Candidate, conn net.PacketConn, traffic, ready func() bool) *peers {
	p := &peers{
		node: s.Node, address: s.Peers, domain: s.FailureDomain, seeds: s.Seeds, store: store, board: board, candidate: candidate, conn: conn, traffic: traffic, ready: ready,
		http: &http.Client{Transport: newTransport(storeIdle)}, known: map[string]*peer{},
	}
	for _, seed := range s.Seeds {
		if seed != s.Peers {
			p.known["seed "+seed] = &peer{address: seed}
		}
	}
	return p
}

// roster registers the node and reads the other nodes' rows until ctx ends.
func (p *peers) roster(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		pause := rosterPeriod + rand.N(rosterPeriod/4)
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

func (p *peers) register(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, rosterCall)
	defer cancel()
	key := nodePrefix + p.node
	current, err := p.store.Get(bounded, key)
	if err != nil {
		return fmt.Errorf("read the node's row: %w", err)
	}
	value, err := json.Marshal(nodeRow{Address: p.address})
	if err != nil {
		return fmt.Errorf("encode the node's row: %w", err)
	}
	if current.Version > 0 && string(current.Value) == string(value) {
		return nil
	}
	write := table.Write{Key: key, Expect: current.Version, Value: value}
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
		p.learn(strings.TrimPrefix(r.Key, nodePrefix), row.Address)
	}
	return nil
}

// learn notes a peer's address. The caller holds mu.
func (p *peers) learn(node, address string) *peer {
	if node == p.node {
		return nil
	}
	delete(p.known, "seed "+address)
	known := p.known[node]
	if known == nil {
		known = &peer{}
		p.known[node] = known
	}
	known.address = address
	return known
}

// send tells every peer what this node does, until ctx ends.
func (p *peers) send(ctx context.Context) {
	for ctx.Err() == nil {
		content, err := json.Marshal(digest{
			Node: p.node, Address: p.address, Domain: p.domain, Ready: p.ready(), InFlight: p.board.InFlight(), Suspects: p.board.Suspects(time.Now()), Traffic: p.traffic(),
			Leader: p.candidate.Sign(),
		})
		addresses := p.addresses()
		if err == nil && len(content) <= maxDigestBytes {
			for _, address := range addresses {
				target, err := net.ResolveUDPAddr("udp", address)
				if err != nil {
					continue // rows name IP numbers; any other names no peer
				}
				// A lost digest is replaced by the next one.
				_, _ = p.conn.WriteTo(content, target)
			}
		}
		period := p.period(len(addresses))
		select {
		case <-ctx.Done():
		case <-time.After(period):
		}
	}
}

func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]string, 0, len(p.known))
	for _, known := range p.known {
		addresses = append(addresses, known.address)
	}
	return addresses
}

// receive takes in digests until the socket is closed.
func (p *peers) receive() {
	buffer := make([]byte, maxDigestBytes)
	for {
		n, _, err := p.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an error of one datagram, such as a refused one
		}
		var d digest
		if json.Unmarshal(buffer[:n], &d) != nil || d.Node == "" || d.Node == p.node {
			continue // not a digest of this version
		}
		now := time.Now()
		p.mu.Lock()
		if known := p.learn(d.Node, d.Address); known != nil {
			known.heard, known.domain, known.ready = now, d.Domain, d.Ready
		}
		p.hadOthers = p.hadOthers || d.Traffic
		p.mu.Unlock()
		p.board.Merge(d.Node, d.InFlight, d.Suspects, now)
		if d.Leader != nil {
			p.candidate.Heard(*d.Leader)
		}
	}
}

// heardTraffic reports whether another node has had a request.
func (p *peers) heardTraffic() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hadOthers
}

// smallFleet is the number of nodes up to which each reads the store itself.
// In a larger fleet one node of each failure domain reads for the others.
const smallFleet = 8

// readerBound is the age of a node's last digest, in periods of digests, from
// which it is not chosen as reader.
const readerBound = 6

// upstream says from where this node reads the feeds.
func (p *peers) upstream() feed.Upstream {
	now := time.Now()
	p.mu.Lock()
	var live []string
	reader := p.node
	bound := readerBound * p.period(len(p.known))
	for node, known := range p.known {
		if now.Sub(known.heard) >= peerBound {
			continue
		}
		live = append(live, known.address)
		if known.domain == p.domain && now.Sub(known.heard) < bound && known.ready && node < reader {
			reader = node
		}
	}
	small := len(live) < smallFleet
	var readerAddress string
	if !small && reader != p.node {
		readerAddress = p.known[reader].address
	}
	p.mu.Unlock()
	slices.Sort(live)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	up := feed.Upstream{Serves: !small && reader == p.node}
	if readerAddress != "" {
		up.Reader = &peerSource{"http://" + readerAddress, p.http}
	}
	for _, address := range live[:min(len(live), peersAsked)] {
		up.Peers = append(up.Peers, &peerSource{"http://" + address, p.http})
	}
	return up
}

// period is the time between two digests to each of the peers.
func (p *peers) period(peers int) time.Duration {
	return digestPeriod * time.Duration(max(1, (peers+1)/digestFleet))
}

// peerSource reads a peer's copies of the feeds.
type peerSource struct {
	base string
	http *http.Client
}

// Paths of the peer listener.
const (
	pathTable   = "/peer/table"
	pathChanges = "/peer/changes"
)

// Snapshot implements feed.Source.
func (s *peerSource) Snapshot(ctx context.Context, topic feed.Topic) (feed.Batch, error) {
	return s.get(ctx, pathTable+"?topic="+url.QueryEscape(string(topic)))
}

// Changes implements feed.Source.
func (s *peerSource) Changes(ctx context.Context, topic feed.Topic, since int64, wait time.Duration) (feed.Batch, error) {
	query := url.Values{"topic": {string(topic)}, "since": {strconv.FormatInt(since, 10)}, "wait": {wait.String()}}
	return s.get(ctx, pathChanges+"?"+query.Encode())
}

func (s *peerSource) get(ctx context.Context, path string) (feed.Batch, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+path, nil)
	if err != nil {
		return feed.Batch{}, fmt.Errorf("build the call: %w", err)
	}
	response, err := s.http.Do(request)
	if err != nil {
		return feed.Batch{}, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusGone {
		return feed.Batch{}, feed.ErrCompacted
	}
	if response.StatusCode != http.StatusOK {
		return feed.Batch{}, fmt.Errorf("the peer answered %d; another one is asked", response.StatusCode)
	}
	var batch feed.Batch
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPeerAnswer)).Decode(&batch); err != nil {
		return feed.Batch{}, fmt.Errorf("decode the peer's answer: %w", err)
	}
	return batch, nil
}

// feedHandler serves this node's copies to peers.
func feedHandler(followers map[feed.Topic]*feed.Follower) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathTable, func(w http.ResponseWriter, r *http.Request) {
		t := followers[feed.Topic(r.URL.Query().Get("topic"))]
		if t == nil {
			http.Error(w, "unknown topic", http.StatusNotFound)
			return
		}
		batch, loaded := t.Snapshot()
		if !loaded {
			http.Error(w, "nothing was read yet", http.StatusServiceUnavailable)
			return
		}
		writeBatch(w, batch)
	})
	mux.HandleFunc("GET "+pathChanges, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		t := followers[feed.Topic(query.Get("topic"))]
		since, sinceErr := strconv.ParseInt(query.Get("since"), 10, 64)
		wait, waitErr := time.ParseDuration(query.Get("wait"))
		if t == nil || sinceErr != nil || waitErr != nil {
			http.Error(w, "send a known topic, since and wait", http.StatusBadRequest)
			return
		}
		batch, err := t.Changes(r.Context(), since, wait)
		switch {
		case errors.Is(err, feed.ErrCompacted):
			http.Error(w, err.Error(), http.StatusGone)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			writeBatch(w, batch)
		}
	})
	return mux
}

func writeBatch(w http.ResponseWriter, batch feed.Batch) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the peer has left.
	_ = json.NewEncoder(w).Encode(batch)
}
