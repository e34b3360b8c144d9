// Package membership keeps each node's view of the other entry nodes. Nodes
// probe a few peers each period and exchange digests of their region and one
// summary for each other region, so that traffic grows with the region and not
// with the fleet.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Bounds of what one probe carries.
const (
	// maxLagging bounds the names in a region summary.
	maxLagging = 3
	// maxSuspicions bounds the suspected nodes in a probe.
	maxSuspicions = 16
)

// refreshRounds is the number of rounds after which a node issues a new
// version of its own digest.
const refreshRounds = 2

// refutingVersions is by how many versions a digest must have advanced since
// a failed probe to refute it; fewer can still be on their way from before.
const refutingVersions = 6

// verifyRounds is the least number of rounds between two probes of a member
// that others suspect.
const verifyRounds = 4

// successorRounds is the number of rounds between two probes of the member
// that follows the node in the order of names.
const successorRounds = 2

// urgentRounds is the number of rounds after a new suspicion in which
// urgentFanout more peers are probed.
const (
	urgentRounds = 3
	urgentFanout = 2
)

// remoteRounds is the number of rounds between two probes of another region.
const remoteRounds = 4

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

// isSuspected reports whether a probe of the member failed and nothing has
// refuted it. Digests that were on their way when the member died do not.
func (m *member) isSuspected() bool {
	if m.suspected == (peer.DigestVersion{}) {
		return false
	}
	refuting := peer.DigestVersion{Incarnation: m.suspected.Incarnation, Seq: m.suspected.Seq + refutingVersions}
	return refuting.Newer(m.digest.Version())
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

// heardSuspicion asks for a probe of a member that another node suspects,
// unless the member has advanced far since or was verified lately.
func (t *Table) heardSuspicion(node string, version peer.DigestVersion) bool {
	m := t.members[node]
	if m == nil || m.isSuspected() || t.rounds-m.verified < verifyRounds {
		return false
	}
	version.Seq += refutingVersions
	m.verify = version.Newer(m.digest.Version())
	return m.verify
}

// contacted clears the suspicion of the probe's sender.
func (t *Table) contacted(probe peer.Probe) {
	if len(probe.Digests) == 0 {
		return
	}
	if m := t.members[probe.Digests[0].Node]; m != nil {
		m.suspected = peer.DigestVersion{}
	}
}

// Suspect records that a probe of the address failed. The member does not
// count as live until a newer digest arrives.
func (t *Table) Suspect(address string) {
	for _, m := range t.members {
		if m.digest.Address == address && !m.isSuspected() {
			m.suspected = m.digest.Version()
			t.urgentUntil = t.rounds + urgentRounds
		}
	}
}

// suspicions returns the suspected members, up to a bound.
func (t *Table) suspicions() map[string]peer.DigestVersion {
	suspected := make(map[string]peer.DigestVersion)
	for node, m := range t.members {
		if m.isSuspected() && len(suspected) < maxSuspicions {
			suspected[node] = m.suspected
		}
	}
	return suspected
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

// Targets returns the addresses to probe in this round: fanout peers of the
// own region in a shuffled turn, and now and then one of another region.
func (t *Table) Targets(fanout int) []string {
	if t.rounds < t.urgentUntil {
		fanout += urgentFanout
	}
	var targets []string
	if t.rounds%successorRounds == 0 {
		if successor := t.successor(); successor != "" {
			targets = append(targets, successor)
			fanout--
		}
	}
	for range fanout {
		if len(t.order) == 0 {
			t.order = t.shuffle(t.regionAddresses())
		}
		if len(t.order) == 0 {
			break
		}
		targets = append(targets, t.order[0])
		t.order = t.order[1:]
	}
	if t.rounds%remoteRounds == 0 {
		remote := t.shuffle(t.remoteAddresses())
		targets = append(targets, remote[:min(1, len(remote))]...)
	}
	return targets
}

// successor returns the address of the next unsuspected member in the order
// of names, so that each node has one that probes it regularly.
func (t *Table) successor() string {
	var first, next *member
	for _, m := range t.members {
		if m.isSuspected() {
			continue
		}
		if first == nil || m.digest.Node < first.digest.Node {
			first = m
		}
		if m.digest.Node > t.self.Node && (next == nil || m.digest.Node < next.digest.Node) {
			next = m
		}
	}
	switch {
	case next != nil:
		return next.digest.Address
	case first != nil:
		return first.digest.Address
	default:
		return ""
	}
}

// Verifications returns the addresses of members that another node suspects,
// to be probed at once.
func (t *Table) Verifications() []string {
	var addresses []string
	for _, m := range t.members {
		if m.verify {
			m.verify = false
			m.verified = t.rounds
			addresses = append(addresses, m.digest.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// regionAddresses returns the peers of the own region and those whose region
// is not known.
func (t *Table) regionAddresses() []string {
	addresses := make(map[string]bool)
	for _, m := range t.members {
		addresses[m.digest.Address] = true
	}
	for _, p := range t.roster {
		if p.Region == t.self.Region || p.Region == "" {
			addresses[p.Address] = true
		}
	}
	delete(addresses, t.self.Address)
	delete(addresses, "")
	return slices.Sorted(maps.Keys(addresses))
}

func (t *Table) remoteAddresses() []string {
	var addresses []string
	for _, p := range t.roster {
		if p.Region != t.self.Region && p.Region != "" {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

func (t *Table) shuffle(addresses []string) []string {
	t.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
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
