package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/request/admission"
	"currantladder.example/currantladder/internal/request/forward"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/request/ratelimit"
)

// Intervals, timeouts and limits of digests.
const (
	// digestInterval is the time between two digests to a receiver.
	digestInterval = 100 * time.Millisecond
	// minDigestInterval is the least time between two digests to a receiver.
	minDigestInterval = 10 * time.Millisecond
	// maxFullMeshNodes is the number of nodes up to which every node sends its
	// digest to every other one. In a larger fleet the members of a failure
	// domain send theirs to one of them, the hub. The hub sends the sum to the
	// hubs of the other domains, and to each member the sum of all other nodes,
	// so that the number of messages is linear in the number of nodes instead of
	// quadratic.
	maxFullMeshNodes = place.MaxDirectNodes
	// maxStoreReaders is the number of nodes up to which every node follows the
	// store itself. In a larger fleet only the hubs do, and the others read from
	// the hub of their failure domain.
	maxStoreReaders = 8
	// ticksPerMemberDigest is the number of intervals between two digests of a
	// hub to one member.
	ticksPerMemberDigest = 2
	// membersPerInterval stretches the interval of a hub: with n members it is
	// n/membersPerInterval digest intervals, rounded down, but at least one.
	membersPerInterval = 50
	// hubTimeout is the time without a digest after which a member gives up its
	// hub. hubQuarantine is how long that node is not chosen again unless a
	// digest from it arrives.
	hubTimeout    = 900 * time.Millisecond
	hubQuarantine = 15 * time.Second
	// maxLikelyHubs is the number of a domain's preferred hubs that receive the
	// sum while no digest arrives from the domain's hub. The other nodes of the
	// domain are tried one after another, each for ticksPerProbe ticks.
	maxLikelyHubs = 3
	ticksPerProbe = 5
	// maxDigestBytes limits a datagram.
	maxDigestBytes = 32 << 10
	// hubReportName is the name under which a member stores the report of its
	// hub.
	hubReportName = "hub"
	// sumReportPrefix starts the names under which a hub stores the sums of other
	// domains.
	sumReportPrefix = "sum/"
)

// digestKind is the set of nodes whose requests a digest counts.
type digestKind string

const (
	// digestOwn counts the sender's own requests.
	digestOwn digestKind = "own"
	// digestSum counts the requests of a hub and its members.
	digestSum digestKind = "sum"
	// digestOthers counts the requests of all nodes except the receiver.
	digestOthers digestKind = "rest"
	// digestAll counts the requests of all nodes. The receiver takes off its own ones,
	// those of its digest Ack.
	digestAll digestKind = "all"
)

// digest is the periodic report of a node to other nodes. It is soft state: a
// lost one is replaced by the next.
type digest struct {
	Kind digestKind `json:"kind"`
	Node string     `json:"node"`
	Row  nodeRow    `json:"row"`
	// InFlight is the number of requests in flight at Nodes nodes, by host.
	InFlight map[string]int `json:"inFlight,omitempty"`
	// Sent is the number of requests that these nodes sent lately to each host that
	// names a limit, and RateLimits the limits that the sender learned lately.
	Sent       map[string]int     `json:"sent,omitempty"`
	RateLimits []ratelimit.Report `json:"limits,omitempty"`
	Nodes      int                `json:"nodes"`
	// Known is the number of nodes that the sender knows, running or not; 0 where the
	// deployment has no limits for cold hosts.
	Known int `json:"known,omitempty"`
	// Ended counts the requests that ended lately at these nodes, by model and rank.
	Ended []admission.Sum `json:"ended,omitempty"`
	// Suspects are the head hosts of groups that are suspected to be stalled.
	Suspects []string `json:"suspects,omitempty"`
	// HadTraffic is true once any node has received a request.
	HadTraffic bool `json:"traffic,omitempty"`
	// HasFreshFeeds is true if the sender can serve fresh copies of the feeds.
	HasFreshFeeds bool `json:"reads,omitempty"`
	// Poison is what the sender knows of requests that crash hosts, or nil.
	Poison *poison.Digest `json:"poison,omitempty"`
	// Leader is the sender's notice of the running leader's lease, its own or one
	// from another node. It is nil if there is none.
	Leader *leader.LeaseNotice `json:"leader,omitempty"`
	// Packed is true if the sender understands packed digests and those of kind
	// digestAll. Seq is the number of a member's digest to its hub, and Ack that of the
	// receiver's digest that is part of this one, or 0.
	Packed bool   `json:"packed,omitempty"`
	Seq    uint32 `json:"seq,omitempty"`
	Ack    uint32 `json:"-"`
}

// isFullMesh reports whether every node sends its digest to every other one. The
// caller must hold mu.
func (p *peers) isFullMesh() bool { return len(p.byName)+1 <= maxFullMeshNodes }

// forwards reports whether other nodes learn of each other's news through this one. The
// caller must hold mu.
func (p *peers) forwards() bool { return !p.isFullMesh() && p.chosenHub == p.node }

// outgoingDigest is a digest with the address of its receiver. It is sent packed if
// packed, which receivers of the same digest share, is not nil.
type outgoingDigest struct {
	address string
	digest  digest
	packed  *packedDigest
}

// outgoing returns the digest to a peer, in a form that the peer understands.
func (p *packedDigest) outgoing(to *peer) outgoingDigest {
	if to.packed {
		return outgoingDigest{to.Address, p.digest, p}
	}
	return outgoingDigest{address: to.Address, digest: p.digest}
}

// runSender sends digests to other nodes until ctx ends.
func (p *peers) runSender(ctx context.Context) {
	for tick := 0; ctx.Err() == nil; tick++ {
		digests, members := p.outgoingDigests(tick, time.Now())
		for _, d := range digests {
			p.sendDigest(d)
		}
		select {
		case <-ctx.Done():
		case <-p.wake:
			sleep(ctx, minDigestInterval)
		case <-time.After(digestInterval * time.Duration(max(1, members/membersPerInterval))):
		}
	}
}

// wakeSender makes the sender send the next digests soon. It does not block.
func (p *peers) wakeSender() {
	select {
	case p.wake <- struct{}{}:
	default: // the sender has been woken already
	}
}

func (p *peers) sendDigest(d outgoingDigest) {
	var content []byte
	var err error
	if d.packed != nil {
		content, err = d.packed.datagram(d.digest.Ack)
	} else {
		content, err = json.Marshal(d.digest)
	}
	if err != nil || len(content) > maxDigestBytes {
		return // a digest without its counts is useless; a later one is smaller
	}
	target, err := net.ResolveUDPAddr("udp", d.address)
	if err != nil {
		return // rows contain IP addresses; anything else is no peer
	}
	p.traffic.digestsSent.Inc(int64(len(content)))
	// A lost digest is replaced by the next one.
	_, _ = p.conn.WriteTo(content, target)
}

// outgoingDigests returns the digests of one tick, and the number of members that
// report to this node as their hub.
func (p *peers) outgoingDigests(tick int, now time.Time) ([]outgoingDigest, int) {
	own := digest{
		Kind: digestOwn, Node: p.node, Row: p.self, InFlight: p.board.InFlight(), Nodes: 1, Suspects: p.board.Suspects(now),
		HadTraffic: p.hadTraffic(), HasFreshFeeds: p.hasFreshFeeds(), Leader: p.candidate.Notice(),
		Poison: p.poison.Digest(now), Sent: p.board.SentToLimited(now), Known: p.warmup.Nodes(), Ended: p.board.Admission().Sums(now),
	}
	ended := p.board.Admission().Reported(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	reported := p.board.Reported(now) // with the numbers of the members' digests
	own.HadTraffic, own.Packed = own.HadTraffic || p.trafficElsewhere, !p.isFullMesh()
	hub := p.chooseHub(now)
	own.RateLimits = p.board.RateLimits(p.forwards(), now)
	var out []outgoingDigest
	if p.isFullMesh() {
		for _, other := range p.byName {
			out = append(out, outgoingDigest{address: other.Address, digest: own})
		}
		return out, 0
	}
	if hub != p.node {
		toHub := &packedDigest{digest: own}
		p.ownDigests.number(&toHub.digest, now)
		out = append(out, toHub.outgoing(p.byName[hub]))
	}
	members := p.members(reported)
	if hub == p.node || len(members) > 0 {
		out = append(out, p.domainDigests(own, members, reported, ended, tick, now)...)
	}
	if tick%ticksPerMemberDigest == 0 {
		all := &packedDigest{digest: allDigest(own, reported)}
		all.digest.Ended = endedSums(own.Ended, ended, func(other string) bool { return other != hubReportName })
		for _, name := range members {
			member := p.byName[name]
			if !member.packed {
				rest := memberDigest(own, name, reported)
				rest.Ended = endedSums(own.Ended, ended, func(other string) bool { return other != name && other != hubReportName })
				out = append(out, outgoingDigest{address: member.Address, digest: rest})
				continue
			}
			toMember := all.outgoing(member)
			toMember.digest.Ack = member.seq
			out = append(out, toMember)
		}
	}
	return out, len(members)
}

// members returns the nodes of this failure domain that report to this node. The
// caller must hold mu.
func (p *peers) members(reported map[string]place.Report) []string {
	var names []string
	for name := range reported {
		if other := p.byName[name]; other != nil && other.Domain == p.self.Domain {
			names = append(names, name)
		}
	}
	return names
}

// runReceiver reads digests until the socket is closed.
func (p *peers) runReceiver() {
	buffer := make([]byte, maxDigestBytes)
	for {
		n, from, err := p.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the error concerns one datagram, such as a refused one
		}
		if isPlacing(buffer[:n]) {
			p.receivePlacing(buffer[:n], from)
			continue
		}
		p.traffic.digestsReceived.Inc(int64(n))
		p.receive(buffer[:n], time.Now())
	}
}

// receive applies a datagram if it contains a digest.
func (p *peers) receive(datagram []byte, now time.Time) {
	var d digest
	var err error
	if len(datagram) > 0 && datagram[0] == packedMark {
		d, err = unpackDigest(datagram)
	} else {
		err = json.Unmarshal(datagram, &d)
	}
	if err != nil || d.Node == "" || d.Node == p.node {
		return // not a digest of this version
	}
	p.handleDigest(d, now)
}

// handleDigest applies a digest to the peers, the board and the candidate.
func (p *peers) handleDigest(d digest, now time.Time) {
	p.mu.Lock()
	other := p.updatePeer(d.Node, d.Row)
	other.lastHeard, other.quarantinedUntil = now, time.Time{}
	p.heardDigest = true
	if d.HasFreshFeeds && (d.Kind != digestOwn || p.isFullMesh()) {
		other.heardAsHub = now
	}
	p.trafficElsewhere = p.trafficElsewhere || d.HadTraffic
	forwards := p.forwards()
	other.packed = d.Packed
	p.mergeCounts(d, other, now)
	p.mu.Unlock()
	p.warmup.Heard(now)
	if p.warmup.Lacks(d.Known) {
		p.listLacksNodes.Store(true)
	}
	if d.Leader != nil {
		p.candidate.ObserveLease(*d.Leader)
	}
	if d.Poison != nil {
		findings, learned := p.poison.Merge(d.Poison, now)
		p.applyFindings(findings)
		if learned && forwards {
			p.wakeSender()
		}
	}
}

// mergeCounts gives the counts of a digest to the board. The caller must hold mu.
func (p *peers) mergeCounts(d digest, from *peer, now time.Time) {
	name, known := d.Node, true
	switch d.Kind {
	case digestSum:
		name = sumReportPrefix + d.Node
	case digestOthers:
		name = hubReportName
	case digestAll:
		name = hubReportName
		d, known = p.ownDigests.takeOff(d)
	default:
		from.seq = d.Seq
	}
	if known {
		p.board.Merge(name, d.InFlight, d.Nodes, d.Suspects, now)
		p.board.MergeRateLimits(name, d.RateLimits, d.Sent, now)
		p.board.Admission().Merge(name, d.Ended, now)
	}
}

// applyFindings logs verdicts on requests that crash hosts, and tells the other nodes.
func (p *peers) applyFindings(findings []poison.Finding) {
	for _, f := range findings {
		forward.LogPoisonFinding(p.log, f, "")
	}
	if len(findings) > 0 {
		p.wakeSender()
	}
}
