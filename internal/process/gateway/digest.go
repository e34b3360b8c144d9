package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/request/place"
)

// Times and bounds of digests.
const (
	// digestPeriod is the time between two digests to a receiver.
	digestPeriod = 100 * time.Millisecond
	// smallFleet is the number of nodes up to which each tells each. In a
	// larger fleet the members of a failure domain tell one of them, the hub,
	// which tells the other hubs the sum and its members the rest, so that the
	// messages grow with the nodes and not with their square.
	smallFleet = 8
	// memberTicks is the number of periods between two digests of a hub to
	// one member.
	memberTicks = 2
	// hubFleet is the number of members above which a hub's period grows.
	hubFleet = 50
	// hubSilence is the time without a digest after which a member leaves its
	// hub, and hubFailure how long that one is not chosen again unless it is
	// heard.
	hubSilence = 900 * time.Millisecond
	hubFailure = 15 * time.Second
	// likelyHubs is the number of a domain's fittest nodes that are told while
	// nothing is heard from its hub; beside them one other node is tried for
	// searchTicks periods.
	likelyHubs  = 3
	searchTicks = 5
	// maxDigestBytes bounds a datagram.
	maxDigestBytes = 32 << 10
	// hubReport is the name under which a member keeps what its hub tells.
	hubReport = "hub"
	// sumPrefix begins the names of other domains' sums.
	sumPrefix = "sum/"
)

// digestKind says for whom a digest speaks.
type digestKind string

const (
	// digestOwn: the node's own requests.
	digestOwn digestKind = "own"
	// digestSum: the requests of a hub and its members.
	digestSum digestKind = "sum"
	// digestRest: all requests but the receiver's.
	digestRest digestKind = "rest"
)

// digest is what a node tells others. It is soft state: a lost one is replaced
// by the next.
type digest struct {
	Kind digestKind `json:"kind"`
	Node string     `json:"node"`
	Row  nodeRow    `json:"row"`
	// InFlight counts requests by host, of Nodes nodes.
	InFlight map[string]int `json:"inFlight,omitempty"`
	Nodes    int            `json:"nodes"`
	// Suspects are heads of groups that stand still.
	Suspects []string `json:"suspects,omitempty"`
	// Traffic is true once a node has had a request.
	Traffic bool `json:"traffic,omitempty"`
	// Reads is true where the sender has copies of the feeds.
	Reads bool `json:"reads,omitempty"`
	// Leader is the lease that the sender holds or has heard of.
	Leader *leader.Sign `json:"leader,omitempty"`
}

// hub returns the node that works for this node's failure domain, this node
// included, or "" in a small fleet. The caller holds mu.
func (p *peers) hub(now time.Time) string {
	if len(p.known)+1 <= smallFleet {
		p.chosen = ""
		return ""
	}
	if p.chosen != "" && p.chosen != p.node {
		if known := p.known[p.chosen]; known != nil && now.Sub(known.hub) > hubSilence && now.Sub(p.chosenAt) > hubSilence {
			known.failed = now.Add(hubFailure)
		}
	}
	// A node that cannot read the feeds itself leaves it to any other one.
	best, unfit := p.node, !p.reads()
	for _, name := range p.candidates(p.self.Domain) {
		if !now.Before(p.known[name].failed) && (unfit || p.before(name, best)) {
			best, unfit = name, false
		}
	}
	if best != p.chosen {
		p.log.Log(eventlog.HubChosen, eventlog.Fields{"hub": best, "former": p.chosen, "nodes": len(p.known) + 1})
		p.chosen, p.chosenAt = best, now
	}
	return best
}

// row returns the row of a node, this one included. The caller holds mu.
func (p *peers) row(name string) nodeRow {
	if name == p.node {
		return p.self
	}
	return p.known[name].nodeRow
}

// before orders nodes by their fitness as hub: the larger, then the name.
func (p *peers) before(a, b string) bool {
	if x, y := p.row(a).Share, p.row(b).Share; x != y {
		return x > y
	}
	return a < b
}

// candidates returns the known other nodes of a domain, the fittest first. The
// caller holds mu.
func (p *peers) candidates(domain string) []string {
	var names []string
	for name, known := range p.known {
		if known.Domain == domain {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if p.before(a, b) {
			return -1
		}
		return cmp.Compare(a, b)
	})
	return names
}

// letter is a digest on its way.
type letter struct {
	address string
	digest  digest
}

// send tells others what this node knows, until ctx ends.
func (p *peers) send(ctx context.Context) {
	for tick := 0; ctx.Err() == nil; tick++ {
		letters, members := p.letters(tick, time.Now())
		for _, l := range letters {
			p.post(l)
		}
		select {
		case <-ctx.Done():
		case <-time.After(digestPeriod * time.Duration(max(1, members/hubFleet))):
		}
	}
}

func (p *peers) post(l letter) {
	content, err := json.Marshal(l.digest)
	if err != nil || len(content) > maxDigestBytes {
		return // a digest without load is worth nothing; the next one is smaller
	}
	target, err := net.ResolveUDPAddr("udp", l.address)
	if err != nil {
		return // rows name IP numbers; any other names no peer
	}
	// A lost digest is replaced by the next one.
	_, _ = p.conn.WriteTo(content, target)
}

// letters returns the digests of one tick and the number of members that this
// node works for.
func (p *peers) letters(tick int, now time.Time) ([]letter, int) {
	own := digest{
		Kind: digestOwn, Node: p.node, Row: p.self, InFlight: p.board.InFlight(), Nodes: 1, Suspects: p.board.Suspects(now),
		Traffic: p.traffic(), Reads: p.reads(), Leader: p.candidate.Sign(),
	}
	reported := p.board.Reported(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	own.Traffic = own.Traffic || p.hadOthers
	hub := p.hub(now)
	var out []letter
	if hub == "" {
		for _, known := range p.known {
			out = append(out, letter{known.Address, own})
		}
		return out, 0
	}
	if hub != p.node {
		out = append(out, letter{p.known[hub].Address, own})
	}
	members := p.members(reported)
	if hub == p.node || len(members) > 0 {
		out = append(out, p.sums(own, members, reported, tick, now)...)
	}
	if tick%memberTicks == 0 {
		for _, name := range members {
			out = append(out, letter{p.known[name].Address, rest(own, name, reported)})
		}
	}
	return out, len(members)
}

// members returns the nodes of this domain that report to this one. The
// caller holds mu.
func (p *peers) members(reported map[string]place.Report) []string {
	var names []string
	for name := range reported {
		if known := p.known[name]; known != nil && known.Domain == p.self.Domain {
			names = append(names, name)
		}
	}
	return names
}

// sums returns the digests to the hubs of other domains. The caller holds mu.
func (p *peers) sums(own digest, members []string, reported map[string]place.Report, tick int, now time.Time) []letter {
	sum := own
	sum.Kind, sum.Nodes = digestSum, 1+len(members)
	sum.InFlight = add(nil, own.InFlight)
	for _, name := range members {
		sum.InFlight = add(sum.InFlight, reported[name].InFlight)
	}
	domains := map[string]bool{}
	for _, known := range p.known {
		if known.Domain != "" && known.Domain != p.self.Domain {
			domains[known.Domain] = true
		}
	}
	var out []letter
	for domain := range domains {
		candidates := p.candidates(domain)
		found := false
		for _, name := range candidates {
			if now.Sub(p.known[name].hub) < hubSilence {
				out = append(out, letter{p.known[name].Address, sum})
				found = true
			}
		}
		if found {
			continue
		}
		likely := min(len(candidates), likelyHubs)
		others := candidates[likely:]
		for _, name := range candidates[:likely] {
			out = append(out, letter{p.known[name].Address, sum})
		}
		if len(others) > 0 {
			out = append(out, letter{p.known[others[tick/searchTicks%len(others)]].Address, sum})
		}
	}
	return out
}

// rest sums up all that a member does not know by itself.
func rest(own digest, member string, reported map[string]place.Report) digest {
	out := own
	out.Kind, out.Nodes, out.InFlight = digestRest, 1, add(nil, own.InFlight)
	for name, report := range reported {
		if name != member && name != hubReport {
			out.InFlight = add(out.InFlight, report.InFlight)
			out.Nodes += report.Nodes
		}
	}
	return out
}

// add returns the sum of two counts, in sum.
func add(sum, counts map[string]int) map[string]int {
	if sum == nil {
		sum = make(map[string]int, len(counts))
	}
	for id, n := range counts {
		sum[id] += n
	}
	return sum
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
		p.take(d, time.Now())
	}
}

func (p *peers) take(d digest, now time.Time) {
	p.mu.Lock()
	known := p.learn(d.Node, d.Row)
	known.heard, known.failed = now, time.Time{}
	if d.Kind != digestOwn && d.Reads {
		known.hub = now
	}
	p.hadOthers = p.hadOthers || d.Traffic
	p.mu.Unlock()
	name := d.Node
	switch d.Kind {
	case digestSum:
		name = sumPrefix + d.Node
	case digestRest:
		name = hubReport
	}
	p.board.Merge(name, d.InFlight, d.Nodes, d.Suspects, now)
	if d.Leader != nil {
		p.candidate.Heard(*d.Leader)
	}
}
