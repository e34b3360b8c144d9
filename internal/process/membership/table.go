// Package membership keeps each node's view of the other entry nodes. Nodes
// probe a few peers each period and exchange digests of their region and one
// summary for each other region, so that traffic grows with the region and not
// with the fleet.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// maxLagging bounds the names in a region summary.
const maxLagging = 3

// refreshRounds is the number of rounds after which a node issues a new
// version of its own digest.
const refreshRounds = 2

// Table is the state machine of membership: pure, without I/O or clock. It is
// not safe for concurrent use.
type Table struct {
	self    peer.Digest
	timeout time.Duration
	members map[string]*member
	regions map[string]regionState
	roster  []Peer
	// order is a shuffled list of addresses of the own region still to probe
	// before it is shuffled anew.
	order  []string
	random *rand.Rand
	rounds int64
	// urgentUntil is the round until which more peers are probed, to spread a
	// new suspicion.
	urgentUntil int64
}

// Peer is a node that is known from the session rows or the settings. An empty
// Region means that it is not known.
type Peer struct {
	Node    string
	Address string
	Region  string
}

type member struct {
	digest peer.Digest
	// heard is when the digest last advanced.
	heard time.Time
	// suspected is the version at which a probe of this node failed. Contact
	// with the node itself, or a much newer digest, refutes it.
	suspected peer.DigestVersion
	// verify asks for a probe in the next round.
	verify bool
	// verified is the round of the last such probe.
	verified int64
}

type regionState struct {
	summary peer.RegionSummary
	made    time.Time
}

// NewTable returns a table for the node that self describes. A member whose
// digest has not advanced for timeout no longer counts as live.
func NewTable(self peer.Digest, timeout time.Duration, seed uint64) *Table {
	return &Table{
		self:    self,
		timeout: timeout,
		members: make(map[string]*member),
		regions: make(map[string]regionState),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetSelf starts a round with the node's own digest. Every refreshRounds
// rounds, and whenever its readiness or revision changes, it gets a new Seq.
func (t *Table) SetSelf(digest peer.Digest) {
	digest.Seq = t.self.Seq
	urgent := digest.Ready != t.self.Ready || digest.Leaving != t.self.Leaving || digest.Incarnation != t.self.Incarnation ||
		digest.AppliedRevision != t.self.AppliedRevision
	if urgent || t.rounds%refreshRounds == 0 {
		digest.Seq++
		t.self = digest
	}
	t.rounds++
}

// SetRoster replaces the peers known from session rows or settings.
func (t *Table) SetRoster(peers []Peer) { t.roster = peers }

// Merge takes a peer's probe. It reports whether members wait to be verified.
func (t *Table) Merge(probe peer.Probe, now time.Time) bool {
	for _, digest := range probe.Digests {
		t.mergeDigest(digest, now)
	}
	t.contacted(probe)
	for _, summary := range probe.Regions {
		t.mergeRegion(summary, now)
	}
	suspicious := false
	for node, version := range probe.Suspected {
		suspicious = t.heardSuspicion(node, version) || suspicious
	}
	return suspicious
}

func (t *Table) mergeDigest(digest peer.Digest, now time.Time) {
	if digest.Node == t.self.Node || digest.Region != t.self.Region {
		return
	}
	known := t.members[digest.Node]
	if known == nil {
		t.members[digest.Node] = &member{digest: digest, heard: now}
		return
	}
	if digest.Version().Newer(known.digest.Version()) {
		known.digest = digest
		known.heard = now
	}
}

// mergeRegion takes a newer summary, unless it was made by a node that sees
// fewer nodes of its region while the present one is fresh.
func (t *Table) mergeRegion(summary peer.RegionSummary, now time.Time) {
	if summary.Region == t.self.Region {
		return
	}
	made := now.Add(-time.Duration(summary.AgeMillis) * time.Millisecond)
	known := t.regions[summary.Region]
	narrower := summary.Nodes < known.summary.Nodes && now.Sub(known.made) < t.timeout
	if made.After(known.made) && !narrower {
		t.regions[summary.Region] = regionState{summary: summary, made: made}
	}
}

// Request returns the probe that a round sends to a peer.
func (t *Table) Request(now time.Time) peer.Probe {
	probe := peer.Probe{
		Region:    t.self.Region,
		Known:     make(map[string]peer.DigestVersion, len(t.members)),
		Digests:   []peer.Digest{t.self},
		Regions:   t.summaries(now),
		Suspected: t.suspicions(),
	}
	for node, m := range t.members {
		probe.Known[node] = m.digest.Version()
	}
	return probe
}

// Reply returns the answer to a peer's probe: what the peer lacks.
func (t *Table) Reply(probe peer.Probe, now time.Time) peer.Probe {
	reply := peer.Probe{Region: t.self.Region, Digests: []peer.Digest{t.self}, Regions: t.summaries(now), Suspected: t.suspicions()}
	if probe.Region != t.self.Region {
		return reply
	}
	for _, m := range t.liveMembers(now) {
		if m.digest.Version().Newer(probe.Known[m.digest.Node]) {
			reply.Digests = append(reply.Digests, m.digest)
		}
	}
	return reply
}

func (t *Table) summaries(now time.Time) []peer.RegionSummary {
	summaries := []peer.RegionSummary{t.ownSummary(now)}
	for _, region := range t.regions {
		summary := region.summary
		summary.AgeMillis = now.Sub(region.made).Milliseconds()
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b peer.RegionSummary) int { return cmp.Compare(a.Region, b.Region) })
	return summaries
}

func (t *Table) ownSummary(now time.Time) peer.RegionSummary {
	live := t.Live(now)
	summary := peer.RegionSummary{Region: t.self.Region, Nodes: len(live), MinApplied: t.self.AppliedRevision}
	highest := t.self.AppliedRevision
	load := make(map[string]peer.PoolLoad)
	for _, digest := range live {
		summary.MinApplied = min(summary.MinApplied, digest.AppliedRevision)
		highest = max(highest, digest.AppliedRevision)
		addLoad(load, digest.Load)
	}
	for _, digest := range live {
		if digest.AppliedRevision == summary.MinApplied && highest > summary.MinApplied && len(summary.Lagging) < maxLagging {
			summary.Lagging = append(summary.Lagging, digest.Node)
		}
	}
	for _, line := range load {
		summary.Load = append(summary.Load, line)
	}
	slices.SortFunc(summary.Load, func(a, b peer.PoolLoad) int { return cmp.Compare(a.Model, b.Model) })
	return summary
}

func addLoad(total map[string]peer.PoolLoad, lines []peer.PoolLoad) {
	for _, line := range lines {
		sum := total[line.Model]
		sum.Model = line.Model
		sum.Slots += line.Slots
		sum.Running += line.Running
		sum.Queued += line.Queued
		total[line.Model] = sum
	}
}

func (t *Table) liveMembers(now time.Time) []*member {
	live := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		if now.Sub(m.heard) < t.timeout && !m.isSuspected() {
			live = append(live, m)
		}
	}
	return live
}

// Live returns the digests of the live nodes of the region, self included,
// sorted by name.
func (t *Table) Live(now time.Time) []peer.Digest {
	digests := []peer.Digest{t.self}
	for _, m := range t.liveMembers(now) {
		digests = append(digests, m.digest)
	}
	slices.SortFunc(digests, func(a, b peer.Digest) int { return cmp.Compare(a.Node, b.Node) })
	return digests
}

// Regions returns the summaries of the other regions that are still fresh.
func (t *Table) Regions(now time.Time) []peer.RegionSummary {
	const staleFactor = 10
	var fresh []peer.RegionSummary
	for _, region := range t.regions {
		if now.Sub(region.made) < staleFactor*t.timeout {
			fresh = append(fresh, region.summary)
		}
	}
	slices.SortFunc(fresh, func(a, b peer.RegionSummary) int { return cmp.Compare(a.Region, b.Region) })
	return fresh
}

// Address returns the peer address of a node, or "".
func (t *Table) Address(node string) string {
	if m := t.members[node]; m != nil {
		return m.digest.Address
	}
	for _, p := range t.roster {
		if p.Node == node {
			return p.Address
		}
	}
	return ""
}

// Forget removes members that have been silent for long.
func (t *Table) Forget(now time.Time) {
	const forgetFactor = 20
	for node, m := range t.members {
		if now.Sub(m.heard) > forgetFactor*t.timeout {
			delete(t.members, node)
		}
	}
}
