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
}

// isFullMesh reports whether every node sends its digest to every other one. The
// caller must hold mu.
func (p *peers) isFullMesh() bool { return len(p.byName)+1 <= maxFullMeshNodes }

// forwards reports whether other nodes learn of each other's news through this one. The
// caller must hold mu.
func (p *peers) forwards() bool { return !p.isFullMesh() && p.chosenHub == p.node }

// chooseHub returns the hub of this node's failure domain, which may be this
// node, or "" if the fleet is small enough that every node follows the store. The
// caller must hold mu.
func (p *peers) chooseHub(now time.Time) string {
	if len(p.byName)+1 <= maxStoreReaders {
		p.chosenHub = ""
		return ""
	}
	if p.chosenHub != "" && p.chosenHub != p.node {
		if other := p.byName[p.chosenHub]; other != nil && now.Sub(other.heardAsHub) > hubTimeout && now.Sub(p.hubChosenAt) > hubTimeout {
			other.quarantinedUntil = now.Add(hubQuarantine)
		}
	}
	// A node without fresh feeds prefers any other node to itself.
	best, bestUnfit := p.node, !p.hasFreshFeeds()
	for _, name := range p.hubCandidates(p.self.Domain) {
		if !now.Before(p.byName[name].quarantinedUntil) && (bestUnfit || p.preferredAsHub(name, best)) {
			best, bestUnfit = name, false
		}
	}
	if best != p.chosenHub {
		p.log.Log(eventlog.HubChosen, eventlog.Fields{"hub": best, "former": p.chosenHub, "nodes": len(p.byName) + 1})
		p.chosenHub, p.hubChosenAt = best, now
	}
	return best
}

// row returns the row of another node or of this one. The caller must hold mu.
func (p *peers) row(name string) nodeRow {
	if name == p.node {
		return p.self
	}
	return p.byName[name].nodeRow
}

// preferredAsHub reports whether node a is preferred to b as hub: the node with
// the larger share of a processor core, then the first by name. The caller must
// hold mu.
func (p *peers) preferredAsHub(a, b string) bool {
	if x, y := p.row(a).Share, p.row(b).Share; x != y {
		return x > y
	}
	return a < b
}

// hubCandidates returns the known other nodes of a domain, the preferred first.
// The caller must hold mu.
func (p *peers) hubCandidates(domain string) []string {
	var names []string
	for name, other := range p.byName {
		if other.Domain == domain {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if p.preferredAsHub(a, b) {
			return -1
		}
		return cmp.Compare(a, b)
	})
	return names
}

// outgoingDigest is a digest with the address of its receiver.
type outgoingDigest struct {
	address string
	digest  digest
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
	content, err := json.Marshal(d.digest)
	if err != nil || len(content) > maxDigestBytes {
		return // a digest without its counts is useless; a later one is smaller
	}
	target, err := net.ResolveUDPAddr("udp", d.address)
	if err != nil {
		return // rows contain IP addresses; anything else is no peer
	}
	// A lost digest is replaced by the next one.
	_, _ = p.conn.WriteTo(content, target)
}

// outgoingDigests returns the digests of one tick, and the number of members that
// report to this node as their hub.
func (p *peers) outgoingDigests(tick int, now time.Time) ([]outgoingDigest, int) {
	own := digest{
		Kind: digestOwn, Node: p.node, Row: p.self, InFlight: p.board.InFlight(), Nodes: 1, Suspects: p.board.Suspects(now),
		HadTraffic: p.hadTraffic(), HasFreshFeeds: p.hasFreshFeeds(), Leader: p.candidate.Notice(),
		Poison: p.poison.Digest(now), Sent: p.board.SentToLimited(now),
	}
	reported := p.board.Reported(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	own.HadTraffic = own.HadTraffic || p.trafficElsewhere
	hub := p.chooseHub(now)
	own.RateLimits = p.board.RateLimits(p.forwards(), now)
	var out []outgoingDigest
	if p.isFullMesh() {
		for _, other := range p.byName {
			out = append(out, outgoingDigest{other.Address, own})
		}
		return out, 0
	}
	if hub != p.node {
		out = append(out, outgoingDigest{p.byName[hub].Address, own})
	}
	members := p.members(reported)
	if hub == p.node || len(members) > 0 {
		out = append(out, p.domainDigests(own, members, reported, tick, now)...)
	}
	if tick%ticksPerMemberDigest == 0 {
		for _, name := range members {
			out = append(out, outgoingDigest{p.byName[name].Address, memberDigest(own, name, reported)})
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

// domainDigests returns the digests to the hubs of the other failure domains. The
// caller must hold mu.
func (p *peers) domainDigests(own digest, members []string, reported map[string]place.Report, tick int, now time.Time) []outgoingDigest {
	sum := own
	sum.Kind, sum.Nodes = digestSum, 1+len(members)
	sum.InFlight, sum.Sent = addCounts(nil, own.InFlight), addCounts(nil, own.Sent)
	for _, name := range members {
		sum.InFlight = addCounts(sum.InFlight, reported[name].InFlight)
		sum.Sent = addCounts(sum.Sent, reported[name].Sent)
	}
	domains := map[string]bool{}
	for _, other := range p.byName {
		if other.Domain != "" && other.Domain != p.self.Domain {
			domains[other.Domain] = true
		}
	}
	var out []outgoingDigest
	for domain := range domains {
		candidates := p.hubCandidates(domain)
		heardHub := false
		for _, name := range candidates {
			if now.Sub(p.byName[name].heardAsHub) < hubTimeout {
				out = append(out, outgoingDigest{p.byName[name].Address, sum})
				heardHub = true
			}
		}
		if heardHub {
			continue
		}
		likelyCount := min(len(candidates), maxLikelyHubs)
		unlikelyHubs := candidates[likelyCount:]
		for _, name := range candidates[:likelyCount] {
			out = append(out, outgoingDigest{p.byName[name].Address, sum})
		}
		if len(unlikelyHubs) > 0 {
			out = append(out, outgoingDigest{p.byName[unlikelyHubs[tick/ticksPerProbe%len(unlikelyHubs)]].Address, sum})
		}
	}
	return out
}

// memberDigest returns the digest to a member: the sum of all other nodes.
func memberDigest(own digest, member string, reported map[string]place.Report) digest {
	out := own
	out.Kind, out.Nodes, out.InFlight, out.Sent = digestOthers, 1, addCounts(nil, own.InFlight), addCounts(nil, own.Sent)
	for name, report := range reported {
		if name != member && name != hubReportName {
			out.InFlight = addCounts(out.InFlight, report.InFlight)
			out.Sent = addCounts(out.Sent, report.Sent)
			out.Nodes += report.Nodes
		}
	}
	return out
}

// addCounts adds counts to sum and returns it. A nil sum starts from zero.
func addCounts(sum, counts map[string]int) map[string]int {
	if sum == nil {
		sum = make(map[string]int, len(counts))
	}
	for id, n := range counts {
		sum[id] += n
	}
	return sum
}

// runReceiver reads digests until the socket is closed.
func (p *peers) runReceiver() {
	buffer := make([]byte, maxDigestBytes)
	for {
		n, _, err := p.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the error concerns one datagram, such as a refused one
		}
		p.receive(buffer[:n], time.Now())
	}
}

// receive applies a datagram if it contains a digest.
func (p *peers) receive(datagram []byte, now time.Time) {
	var d digest
	if json.Unmarshal(datagram, &d) != nil || d.Node == "" || d.Node == p.node {
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
	p.mu.Unlock()
	name := d.Node
	switch d.Kind {
	case digestSum:
		name = sumReportPrefix + d.Node
	case digestOthers:
		name = hubReportName
	}
	p.board.Merge(name, d.InFlight, d.Nodes, d.Suspects, now)
	p.board.MergeRateLimits(name, d.RateLimits, d.Sent, now)
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

// applyFindings logs verdicts on requests that crash hosts, and tells the other nodes.
func (p *peers) applyFindings(findings []poison.Finding) {
	for _, f := range findings {
		forward.LogPoisonFinding(p.log, f, "")
	}
	if len(findings) > 0 {
		p.wakeSender()
	}
}
