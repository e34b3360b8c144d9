// Package membership keeps each node's view of the other entry nodes. Nodes
// probe a few peers each interval and exchange the digests of their region and
// one summary for each other region, so that traffic grows with the size of the
// region and not of the fleet. Only Prober does I/O; Table is a state machine
// without I/O.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// maxLagging is the maximum number of node names in a region summary.
const maxLagging = 3

// selfRefreshRounds is the number of rounds after which a node issues a new
// version of its own digest.
const selfRefreshRounds = 2

// Table is the state machine of membership, without I/O or a clock of its own.
// It is not safe for concurrent use.
type Table struct {
	self    peer.Digest
	timeout time.Duration
	members map[string]*member
	regions map[string]regionState
	peers   []Peer
	// probeOrder contains the addresses of the own region that are still to be
	// probed in the current pass. Each pass is shuffled anew.
	probeOrder []string
	random     *rand.Rand
	rounds     int64
	// urgentUntil is the round until which additional peers are probed, to
	// spread a new suspicion faster.
	urgentUntil int64
}

// Peer is a node from the session rows or the settings. Region is empty where
// it is not known.
type Peer struct {
	Node    string
	Address string
	Region  string
}

type member struct {
	digest peer.Digest
	// advancedAt is when the digest last advanced.
	advancedAt time.Time
	// suspectedVersion is the version of the digest when a probe of this node
	// failed; zero if none has. Contact with the node itself clears it, and a
	// digest that is newer by refutingVersions outdates it.
	suspectedVersion peer.DigestVersion
	// verifyPending is set while a verification of this node is requested.
	verifyPending bool
	// verifiedRound is the round of the last verification.
	verifiedRound int64
}

type regionState struct {
	summary peer.RegionSummary
	madeAt  time.Time
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

// SetSelf starts a round with the node's own digest. The table adopts the
// digest with a new Seq every selfRefreshRounds rounds, and at once when its
// readiness, leaving state, incarnation or applied revision changes.
func (t *Table) SetSelf(digest peer.Digest) {
	digest.Seq = t.self.Seq
	urgent := digest.Ready != t.self.Ready || digest.Leaving != t.self.Leaving || digest.Incarnation != t.self.Incarnation ||
		digest.AppliedRevision != t.self.AppliedRevision
	if urgent || t.rounds%selfRefreshRounds == 0 {
		digest.Seq++
		t.self = digest
	}
	t.rounds++
}

// SetPeers replaces the peers known from session rows or settings.
func (t *Table) SetPeers(peers []Peer) { t.peers = peers }

// Merge merges a probe or a reply of a peer into the table. It reports
// whether it requested a verification.
func (t *Table) Merge(probe peer.Probe, now time.Time) bool {
	for _, digest := range probe.Digests {
		t.mergeDigest(digest, now)
	}
	t.clearSuspicion(probe)
	for _, summary := range probe.Regions {
		t.mergeRegion(summary, now)
	}
	verify := false
	for node, version := range probe.Suspected {
		verify = t.mergeSuspicion(node, version) || verify
	}
	return verify
}

func (t *Table) mergeDigest(digest peer.Digest, now time.Time) {
	if digest.Node == t.self.Node || digest.Region != t.self.Region {
		return
	}
	known := t.members[digest.Node]
	if known == nil {
		t.members[digest.Node] = &member{digest: digest, advancedAt: now}
		return
	}
	if digest.Version().Newer(known.digest.Version()) {
		known.digest = digest
		known.advancedAt = now
	}
}

// mergeRegion adopts a newer summary, unless it comes from a node that sees
// fewer nodes of its region and the current summary is younger than the
// timeout.
func (t *Table) mergeRegion(summary peer.RegionSummary, now time.Time) {
	if summary.Region == t.self.Region {
		return
	}
	madeAt := now.Add(-time.Duration(summary.AgeMillis) * time.Millisecond)
	known := t.regions[summary.Region]
	seesFewer := summary.Nodes < known.summary.Nodes && now.Sub(known.madeAt) < t.timeout
	if madeAt.After(known.madeAt) && !seesFewer {
		t.regions[summary.Region] = regionState{summary: summary, madeAt: madeAt}
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

// Reply returns the answer to a peer's probe. A peer of the own region gets the
// digests that are newer than its own copies.
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
		summary.AgeMillis = now.Sub(region.madeAt).Milliseconds()
		summaries = append(summaries, summary)
	}
	slices.SortFunc(summaries, func(a, b peer.RegionSummary) int { return cmp.Compare(a.Region, b.Region) })
	return summaries
}

// ownSummary returns the summary of the own region over its live nodes.
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
		if now.Sub(m.advancedAt) < t.timeout && !m.isSuspected() {
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

// Regions returns the summaries of the other regions that are still valid.
func (t *Table) Regions(now time.Time) []peer.RegionSummary {
	// summaryTTLTimeouts is how long a summary is valid, in multiples of the
	// member timeout.
	const summaryTTLTimeouts = 10
	var fresh []peer.RegionSummary
	for _, region := range t.regions {
		if now.Sub(region.madeAt) < summaryTTLTimeouts*t.timeout {
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
	for _, p := range t.peers {
		if p.Node == node {
			return p.Address
		}
	}
	return ""
}

// RemoveSilent removes members whose digest has not advanced for a long time.
func (t *Table) RemoveSilent(now time.Time) {
	// removeAfterTimeouts is the time without an advance after which a member is
	// removed, in multiples of the member timeout.
	const removeAfterTimeouts = 20
	for node, m := range t.members {
		if now.Sub(m.advancedAt) > removeAfterTimeouts*t.timeout {
			delete(t.members, node)
		}
	}
}
