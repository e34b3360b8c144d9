package membership

import (
	"slices"

	"currantladder.example/currantladder/internal/connection/peer"
)

// maxSuspicions bounds the suspected nodes in a probe.
const maxSuspicions = 16

// refutingVersions is by how many versions a digest must have advanced since
// a failed probe to refute it; fewer can still be on their way from before.
const refutingVersions = 6

// verifyRounds is the least number of rounds between two probes of a member
// that others suspect.
const verifyRounds = 4

// isSuspected reports whether a probe of the member failed and nothing has
// refuted it. Digests that were on their way when the member died do not.
func (m *member) isSuspected() bool {
	if m.suspected == (peer.DigestVersion{}) {
		return false
	}
	refuting := peer.DigestVersion{Incarnation: m.suspected.Incarnation, Seq: m.suspected.Seq + refutingVersions}
	return refuting.Newer(m.digest.Version())
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
