// Package membership keeps each node's view of the other entry nodes. Nodes
// probe a few peers of their region each period and exchange beats, the digests
// that changed, and summaries of other regions, so that traffic grows with the
// region and not with the fleet.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Bounds of one probe.
const (
	// changedDigests bounds the digests of other members that changed last.
	changedDigests = 1
	// catchUpDigests bounds the digests of members that a peer does not know.
	catchUpDigests = 16
	// otherSummaries bounds the summaries of other regions.
	otherSummaries = 1
	// maxBeats bounds the beats of a probe.
	maxBeats = 256
	// maxLagging bounds the names in a region summary.
	maxLagging = 3
)

// Peer is a node to probe. Region is empty where it is not known.
type Peer struct {
	Address string
	Region  string
}

// Table is the state machine of membership: pure, without I/O or clock. It is
// not safe for concurrent use.
type Table struct {
	self    peer.Digest
	timeout time.Duration
	members map[string]*member
	// byKey finds members by the keys of beats.
	byKey   map[uint32]*member
	regions map[string]regionState
	roster  map[string]Peer // by node name
	random  *rand.Rand
	// round counts calls of Targets.
	round int
	// last is the member whose digest went out last in turn.
	last string
}

type member struct {
	digest peer.Digest
	// seq is the highest sequence number heard, by digest or beat.
	seq int64
	// heard is when seq last advanced.
	heard time.Time
	// changed is when the digest's content last changed.
	changed time.Time
}

type regionState struct {
	summary peer.RegionSummary
	made    time.Time
}

// NewTable returns a table for the node that self describes. A member whose
// sequence number has not advanced for timeout no longer counts as live.
func NewTable(self peer.Digest, timeout time.Duration, seed uint64) *Table {
	t := &Table{
		self:    self,
		timeout: timeout,
		members: make(map[string]*member),
		byKey:   make(map[uint32]*member),
		regions: make(map[string]regionState),
		roster:  make(map[string]Peer),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
	// Nodes that start together spread their rounds.
	t.round = t.random.IntN(remoteRounds)
	return t
}

// SetSelf replaces the node's own digest; its Seq is set to the next one.
func (t *Table) SetSelf(digest peer.Digest) {
	digest.Seq = t.self.Seq + 1
	t.self = digest
}

// SetRoster replaces the peers known from session rows or settings, by name.
func (t *Table) SetRoster(peers map[string]Peer) { t.roster = peers }

// Merge takes a peer's probe.
func (t *Table) Merge(probe peer.Probe, now time.Time) {
	for _, digest := range probe.Digests {
		t.mergeDigest(digest, now)
	}
	for _, beat := range peer.ReadBeats(probe.Beats) {
		if known := t.byKey[beat.Key]; known != nil {
			known.hear(beat.Seq, now)
			known.apply(beat, probe.Revision)
		}
	}
	for _, summary := range probe.Regions {
		t.mergeRegion(summary, now)
	}
}

// hear notes that the member's process has reached the sequence number.
func (m *member) hear(seq int64, now time.Time) {
	if seq > m.seq {
		m.seq = seq
		m.heard = now
	}
}

// apply notes the revision in force at the member, which never falls while its
// process runs.
func (m *member) apply(beat peer.Beat, highest int64) {
	if beat.Lag < peer.UnknownLag {
		m.digest.AppliedRevision = max(m.digest.AppliedRevision, highest-beat.Lag)
	}
}

func (t *Table) mergeDigest(digest peer.Digest, now time.Time) {
	if digest.Node == t.self.Node || digest.Region != t.self.Region {
		return
	}
	known := t.members[digest.Node]
	switch {
	case known == nil || digest.Incarnation > known.digest.Incarnation:
		t.forget(digest.Node)
		known = &member{digest: digest, seq: digest.Seq, heard: now, changed: now}
		t.members[digest.Node] = known
		t.byKey[digest.BeatKey()] = known
	case digest.Incarnation == known.digest.Incarnation && digest.Seq > known.digest.Seq:
		known.changed = later(known.changed, t.changeTime(digest, known.digest, now))
		digest.AppliedRevision = max(digest.AppliedRevision, known.digest.AppliedRevision)
		known.digest = digest
		known.hear(digest.Seq, now)
	}
}

func (t *Table) forget(node string) {
	if known := t.members[node]; known != nil {
		delete(t.byKey, known.digest.BeatKey())
		delete(t.members, node)
	}
}

// changeTime returns when the content of two digests of one process came to
// differ; zero where it does not. A change of load alone yields to others,
// which count as later by the timeout. Revisions travel with beats.
func (t *Table) changeTime(a, b peer.Digest, now time.Time) time.Time {
	switch {
	case a.Address != b.Address || a.Ready != b.Ready || a.Leaving != b.Leaving || !slices.Equal(a.Suspects, b.Suspects):
		return now.Add(t.timeout)
	case !slices.Equal(a.Load, b.Load):
		return now
	default:
		return time.Time{}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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

// Outgoing returns what the node tells a peer of its own region: its own
// digest, the beats of all live members, the digests that changed last, that
// of one member in turn, and a summary of another region.
func (t *Table) Outgoing(now time.Time) peer.Probe {
	probe := t.news(now)
	if live := t.liveMembers(now); len(live) > changedDigests {
		probe.Digests = append(probe.Digests, t.inTurn(live))
	}
	probe.Regions = t.drawRegions(now)
	return probe
}

// news returns what probes and replies inside a region have in common.
func (t *Table) news(now time.Time) peer.Probe {
	live := t.liveMembers(now)
	slices.SortFunc(live, func(a, b *member) int {
		return cmp.Or(b.changed.Compare(a.changed), cmp.Compare(a.digest.Node, b.digest.Node))
	})
	probe := peer.Probe{Digests: []peer.Digest{t.self}}
	for _, m := range live[:min(len(live), changedDigests)] {
		probe.Digests = append(probe.Digests, m.digest)
	}
	t.addBeats(&probe, live[:min(len(live), maxBeats)])
	return probe
}

func (t *Table) addBeats(probe *peer.Probe, live []*member) {
	probe.Revision = t.self.AppliedRevision
	for _, m := range live {
		probe.Revision = max(probe.Revision, m.digest.AppliedRevision)
	}
	for _, m := range live {
		beat := peer.Beat{Key: m.digest.BeatKey(), Seq: m.seq, Lag: probe.Revision - m.digest.AppliedRevision}
		probe.Beats = peer.AppendBeat(probe.Beats, beat)
	}
}

// Answer returns the reply to a probe. A peer of the region gets digests of
// members that its beats lack; one of another region gets summaries alone.
func (t *Table) Answer(probe peer.Probe, now time.Time) peer.Probe {
	if len(probe.Digests) > 0 && probe.Digests[0].Region != t.self.Region {
		return t.OutgoingRemote(now)
	}
	reply := t.news(now)
	reply.Digests = append(reply.Digests, t.lacking(probe, now)...)
	return reply
}

// lacking returns digests of live members that the probe does not know.
func (t *Table) lacking(probe peer.Probe, now time.Time) []peer.Digest {
	known := make(map[uint32]bool, len(probe.Beats)/peer.BeatBytes+1)
	for _, beat := range peer.ReadBeats(probe.Beats) {
		known[beat.Key] = true
	}
	for _, digest := range probe.Digests {
		known[digest.BeatKey()] = true
	}
	var digests []peer.Digest
	for _, m := range t.liveMembers(now) {
		if len(digests) < catchUpDigests && !known[m.digest.BeatKey()] {
			digests = append(digests, m.digest)
		}
	}
	return digests
}

// OutgoingRemote returns what the node tells a peer of another region.
func (t *Table) OutgoingRemote(now time.Time) peer.Probe {
	return peer.Probe{Digests: []peer.Digest{t.self}, Regions: append(t.drawRegions(now), t.ownSummary(now))}
}

// inTurn returns the digest of each live member, one after the other.
func (t *Table) inTurn(live []*member) peer.Digest {
	byName := slices.SortedFunc(slices.Values(live), func(a, b *member) int { return cmp.Compare(a.digest.Node, b.digest.Node) })
	i, found := slices.BinarySearchFunc(byName, t.last, func(m *member, name string) int { return cmp.Compare(m.digest.Node, name) })
	if found {
		i++
	}
	chosen := byName[i%len(byName)].digest
	t.last = chosen.Node
	return chosen
}

// drawRegions returns the summaries of a few other regions.
func (t *Table) drawRegions(now time.Time) []peer.RegionSummary {
	names := slices.Sorted(maps.Keys(t.regions))
	t.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var summaries []peer.RegionSummary
	for _, name := range names[:min(len(names), otherSummaries)] {
		known := t.regions[name]
		summary := known.summary
		summary.AgeMillis = now.Sub(known.made).Milliseconds()
		summaries = append(summaries, summary)
	}
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

// silence is how long a member may be silent and still counts as live. In a
// large region, news of a member takes longer to reach everyone.
func (t *Table) silence() time.Duration {
	if len(t.members) > smallRegion {
		return largeSilence * t.timeout
	}
	return t.timeout
}

func (t *Table) liveMembers(now time.Time) []*member {
	live := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		if now.Sub(m.heard) < t.silence() {
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
	return t.roster[node].Address
}

// Forget removes members that have been silent for long.
func (t *Table) Forget(now time.Time) {
	const forgetFactor = 20
	for node, m := range t.members {
		if now.Sub(m.heard) > forgetFactor*t.timeout {
			t.forget(node)
		}
	}
}
