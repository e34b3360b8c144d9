package membership

import (
	"maps"
	"slices"
	"time"
)

// Pace of probes.
const (
	// smallRegion is the number of members up to which a node probes one of
	// them each round, and above which one each largeRounds.
	smallRegion = 16
	largeRounds = 2
	// largeSilence multiplies the timeout of a member in a larger region.
	largeSilence = 2
	// remoteRounds is the number of rounds between two probes of a node of
	// another region.
	remoteRounds = 8
	// silentShare is one in how many probes goes to any known peer, so that
	// nodes find each other again after a partition.
	silentShare = 8
)

// Targets are the peers to probe in one round.
type Targets struct {
	// Local are addresses in the node's region or whose region is not known.
	Local []string
	// Remote are addresses in other regions.
	Remote []string
}

// Targets draws the peers of the next round.
func (t *Table) Targets(now time.Time) Targets {
	t.round++
	local, remote := t.known()
	var targets Targets
	if len(t.members) <= smallRegion || t.round%largeRounds == 0 {
		targets.Local = t.draw(t.preferred(local, now), 1)
	}
	if t.round%remoteRounds == 0 {
		targets.Remote = t.draw(remote, 1)
	}
	return targets
}

// known returns the addresses of all known peers.
func (t *Table) known() (local, remote map[string]bool) {
	local, remote = make(map[string]bool), make(map[string]bool)
	for node, p := range t.roster {
		switch {
		case node == t.self.Node || p.Address == "" || p.Address == t.self.Address:
		case p.Region == "" || p.Region == t.self.Region:
			local[p.Address] = true
		default:
			remote[p.Address] = true
		}
	}
	for _, m := range t.members {
		if m.digest.Address != "" {
			local[m.digest.Address] = true
		}
	}
	return local, remote
}

// preferred returns the addresses of live members, and from time to time, or
// while too few are live, all of them.
func (t *Table) preferred(known map[string]bool, now time.Time) map[string]bool {
	live := t.liveMembers(now)
	if 2*len(live) < len(known) || t.random.IntN(silentShare) == 0 {
		return known
	}
	addresses := make(map[string]bool, len(live))
	for _, m := range live {
		addresses[m.digest.Address] = true
	}
	return addresses
}

// draw returns up to n of the addresses.
func (t *Table) draw(addresses map[string]bool, n int) []string {
	sorted := slices.Sorted(maps.Keys(addresses))
	t.random.Shuffle(len(sorted), func(i, j int) { sorted[i], sorted[j] = sorted[j], sorted[i] })
	return sorted[:min(n, len(sorted))]
}
