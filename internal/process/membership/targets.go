package membership

import (
	"maps"
	"slices"
)

// successorProbeRounds is the number of rounds between two probes of the
// successor, the next member in the order of names.
const successorProbeRounds = 2

// urgentRounds is the number of rounds after a new suspicion in which
// urgentExtraFanout additional peers are probed.
const (
	urgentRounds      = 3
	urgentExtraFanout = 2
)

// remoteProbeRounds is the number of rounds between two probes of other
// regions.
const remoteProbeRounds = 4

// Targets returns the addresses to probe in this round: fanout peers of the own
// region, among them the successor every successorProbeRounds rounds and the
// others in shuffled passes, and one peer of another region every
// remoteProbeRounds rounds.
func (t *Table) Targets(fanout int) []string {
	if t.rounds < t.urgentUntil {
		fanout += urgentExtraFanout
	}
	var targets []string
	if t.rounds%successorProbeRounds == 0 {
		if successor := t.successor(); successor != "" {
			targets = append(targets, successor)
			fanout--
		}
	}
	for range fanout {
		if len(t.probeOrder) == 0 {
			t.probeOrder = t.shuffle(t.regionAddresses())
		}
		if len(t.probeOrder) == 0 {
			break
		}
		targets = append(targets, t.probeOrder[0])
		t.probeOrder = t.probeOrder[1:]
	}
	if t.rounds%remoteProbeRounds == 0 {
		remote := t.shuffle(t.remoteAddresses())
		targets = append(targets, remote[:min(1, len(remote))]...)
	}
	return targets
}

// successor returns the address of the next unsuspected member in the order of
// names, wrapping around, or "" if there is none. Every node probes its successor
// regularly, so that each member has one node that probes it regularly.
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

// regionAddresses returns the addresses of the peers of the own region and of
// those whose region is not known.
func (t *Table) regionAddresses() []string {
	addresses := make(map[string]bool)
	for _, m := range t.members {
		addresses[m.digest.Address] = true
	}
	for _, p := range t.peers {
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
	for _, p := range t.peers {
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
