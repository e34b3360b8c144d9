package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/admission"
	"currantladder.example/currantladder/internal/request/place"
)

// ownDigestMemory is how long a member keeps the counts that it has sent to its hub. The
// hub uses a report for place.ReportTTL.
const ownDigestMemory = place.ReportTTL + time.Second

// ownCounts are the counts of one digest that a member has sent to its hub.
type ownCounts struct {
	sentAt         time.Time
	inFlight, sent map[string]int
	ended          []admission.Sum
}

// ownDigests numbers a member's digests and keeps their counts. A digest of the hub that
// counts all nodes names the member's digest that is part of it, and the member takes
// its counts off again; so the hub sends the same digest to all members. The caller
// must hold the mutex of peers.
type ownDigests struct {
	// last is the number of the last digest. A process begins at a random one, so that
	// its hub does not confuse its digests with those of the process before.
	last   uint32
	counts map[uint32]ownCounts
}

func newOwnDigests() ownDigests {
	return ownDigests{last: rand.Uint32(), counts: map[uint32]ownCounts{}}
}

// number gives the digest a number and keeps its counts.
func (o *ownDigests) number(d *digest, now time.Time) {
	for seq, c := range o.counts {
		if now.Sub(c.sentAt) > ownDigestMemory {
			delete(o.counts, seq)
		}
	}
	if o.last++; o.last == 0 {
		o.last = 1 // 0 acknowledges nothing
	}
	d.Seq = o.last
	o.counts[d.Seq] = ownCounts{now, d.InFlight, d.Sent, d.Ended}
}

// takeOff returns a digest of all nodes without this one. It returns false if the digest
// contains counts of this node that are not known any more.
func (o *ownDigests) takeOff(d digest) (digest, bool) {
	if d.Ack == 0 {
		return d, true
	}
	own, known := o.counts[d.Ack]
	d.InFlight, d.Sent = subtractCounts(d.InFlight, own.inFlight), subtractCounts(d.Sent, own.sent)
	d.Ended = admission.Subtract(d.Ended, own.ended)
	d.Nodes--
	return d, known
}

// allDigest returns the digest to all members that understand it: the sum of all nodes.
func allDigest(own digest, reported map[string]place.Report) digest {
	all := memberDigest(own, "", reported)
	all.Kind = digestAll
	return all
}

// subtractCounts returns sum without counts.
func subtractCounts(sum, counts map[string]int) map[string]int {
	out := addCounts(nil, sum)
	for id, n := range counts {
		if out[id] -= n; out[id] <= 0 {
			delete(out, id)
		}
	}
	return out
}

// domainDigests returns the digests to the hubs of the other failure domains. The
// caller must hold mu.
func (p *peers) domainDigests(own digest, members []string, reported map[string]place.Report, ended map[string][]admission.Sum, tick int, now time.Time) []outgoingDigest {
	sum := own
	sum.Kind, sum.Nodes = digestSum, 1+len(members)
	sum.InFlight, sum.Sent = addCounts(nil, own.InFlight), addCounts(nil, own.Sent)
	for _, name := range members {
		sum.InFlight = addCounts(sum.InFlight, reported[name].InFlight)
		sum.Sent = addCounts(sum.Sent, reported[name].Sent)
	}
	sum.Ended = endedSums(own.Ended, ended, func(name string) bool { return slices.Contains(members, name) })
	packed := &packedDigest{digest: sum}
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
				out = append(out, packed.outgoing(p.byName[name]))
				heardHub = true
			}
		}
		if heardHub {
			continue
		}
		likelyCount := min(len(candidates), maxLikelyHubs)
		unlikelyHubs := candidates[likelyCount:]
		for _, name := range candidates[:likelyCount] {
			out = append(out, packed.outgoing(p.byName[name]))
		}
		if len(unlikelyHubs) > 0 {
			out = append(out, packed.outgoing(p.byName[unlikelyHubs[tick/ticksPerProbe%len(unlikelyHubs)]]))
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
