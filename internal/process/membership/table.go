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

// Bounds of one probe.
const (
	// maxDigests bounds the digests in one probe or reply.
	maxDigests = 16
	// maxLagging bounds the names in a region summary.
	maxLagging = 3
)

// Table is the state machine of membership: pure, without I/O or clock. It is
// not safe for concurrent use.
type Table struct {
	self    peer.Digest
	timeout time.Duration
	members map[string]*member
	regions map[string]regionState
	roster  map[string]string // node -> address
	random  *rand.Rand
}

type member struct {
	digest peer.Digest
	// heard is when the digest last advanced.
	heard time.Time
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
		roster:  make(map[string]string),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetSelf replaces the node's own digest; its Seq is set to the next one.
func (t *Table) SetSelf(digest peer.Digest) {
	digest.Seq = t.self.Seq + 1
	t.self = digest
}

// SetRoster replaces the peers known from session rows or settings.
func (t *Table) SetRoster(addresses map[string]string) { t.roster = addresses }

// Merge takes a peer's probe.
func (t *Table) Merge(probe peer.Probe, now time.Time) {
	for _, digest := range probe.Digests {
		t.mergeDigest(digest, now)
	}
	for _, summary := range probe.Regions {
		t.mergeRegion(summary, now)
	}
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
	if newer(digest, known.digest) {
		known.digest = digest
		known.heard = now
	}
}

func newer(a, b peer.Digest) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Seq > b.Seq
}

func (t *Table) mergeRegion(summary peer.RegionSummary, now time.Time) {
	if summary.Region == t.self.Region {
		return
	}
	made := now.Add(-time.Duration(summary.AgeMillis) * time.Millisecond)
	if made.After(t.regions[summary.Region].made) {
		t.regions[summary.Region] = regionState{summary: summary, made: made}
	}
}

// Outgoing returns what the node tells a peer: its own digest, the digests
// that advanced last, and the region summaries.
func (t *Table) Outgoing(now time.Time) peer.Probe {
	live := t.liveMembers(now)
	slices.SortFunc(live, func(a, b *member) int { return b.heard.Compare(a.heard) })
	probe := peer.Probe{Digests: []peer.Digest{t.self}}
	for _, m := range live[:min(len(live), maxDigests-1)] {
		probe.Digests = append(probe.Digests, m.digest)
	}
	probe.Regions = append(probe.Regions, t.ownSummary(now))
	for _, region := range t.regions {
		summary := region.summary
		summary.AgeMillis = now.Sub(region.made).Milliseconds()
		probe.Regions = append(probe.Regions, summary)
	}
	slices.SortFunc(probe.Regions, func(a, b peer.RegionSummary) int { return cmp.Compare(a.Region, b.Region) })
	return probe
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
		if now.Sub(m.heard) < t.timeout {
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
	return t.roster[node]
}

// Targets returns up to n random peer addresses to probe, from the members
// and the roster.
func (t *Table) Targets(n int) []string {
	addresses := make(map[string]bool)
	for _, m := range t.members {
		addresses[m.digest.Address] = true
	}
	for node, address := range t.roster {
		if node != t.self.Node {
			addresses[address] = true
		}
	}
	delete(addresses, t.self.Address)
	delete(addresses, "")
	sorted := make([]string, 0, len(addresses))
	for address := range addresses {
		sorted = append(sorted, address)
	}
	slices.Sort(sorted)
	t.random.Shuffle(len(sorted), func(i, j int) { sorted[i], sorted[j] = sorted[j], sorted[i] })
	return sorted[:min(n, len(sorted))]
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
