package membership

import (
	"slices"

	"currantladder.example/currantladder/internal/connection/peer"
)

// maxSuspicions is the maximum number of suspected nodes in a probe.
const maxSuspicions = 16

// refutingVersions is the number of versions by which a digest must advance
// after a failed probe to clear the suspicion. Digests with fewer new versions
// may have been sent before the member failed and arrive only now.
const refutingVersions = 6

// minVerifyRounds is the minimum number of rounds between two verifications of
// the same member. A verification is a probe of a member that another node
// suspects.
const minVerifyRounds = 4

// isSuspected reports whether a probe of the member failed and since then
// neither a message arrived from the member itself nor its digest advanced by
// refutingVersions. Digests that were in flight when the member failed do not
// clear the suspicion.
func (m *member) isSuspected() bool {
	if m.suspectedVersion == (peer.DigestVersion{}) {
		return false
	}
	refuting := peer.DigestVersion{Incarnation: m.suspectedVersion.Incarnation, Seq: m.suspectedVersion.Seq + refutingVersions}
	return refuting.Newer(m.digest.Version())
}

// mergeSuspicion requests a verification of a member that another node
// suspects, unless this node suspects it as well, its digest has advanced by
// refutingVersions since, or it was verified less than minVerifyRounds rounds
// ago. It reports whether it requested a verification.
func (t *Table) mergeSuspicion(node string, version peer.DigestVersion) bool {
	m := t.members[node]
	if m == nil || m.isSuspected() || t.rounds-m.verifiedRound < minVerifyRounds {
		return false
	}
	version.Seq += refutingVersions
	m.verifyPending = version.Newer(m.digest.Version())
	return m.verifyPending
}

// clearSuspicion clears the suspicion of the probe's sender.
func (t *Table) clearSuspicion(probe peer.Probe) {
	if len(probe.Digests) == 0 {
		return
	}
	if m := t.members[probe.Digests[0].Node]; m != nil {
		m.suspectedVersion = peer.DigestVersion{}
	}
}

// Suspect records that a probe of the address failed. The member does not
// count as live until a message arrives from it or its digest has advanced by
// refutingVersions.
func (t *Table) Suspect(address string) {
	for _, m := range t.members {
		if m.digest.Address == address && !m.isSuspected() {
			m.suspectedVersion = m.digest.Version()
			t.urgentUntil = t.rounds + urgentRounds
		}
	}
}

// suspicions returns at most maxSuspicions suspected members, each with the
// version of its digest at the failed probe.
func (t *Table) suspicions() map[string]peer.DigestVersion {
	suspected := make(map[string]peer.DigestVersion)
	for node, m := range t.members {
		if m.isSuspected() && len(suspected) < maxSuspicions {
			suspected[node] = m.suspectedVersion
		}
	}
	return suspected
}

// VerificationTargets returns the addresses of members that another node
// suspects, which are to be probed immediately.
func (t *Table) VerificationTargets() []string {
	var addresses []string
	for _, m := range t.members {
		if m.verifyPending {
			m.verifyPending = false
			m.verifiedRound = t.rounds
			addresses = append(addresses, m.digest.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
