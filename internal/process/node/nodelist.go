package node

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/lease"
	"currantladder.example/currantladder/internal/process/operatorapi"
	"currantladder.example/currantladder/internal/version/object"
)

// nodeList implements operatorapi.Nodes.
type nodeList struct{ node *Node }

// Nodes implements operatorapi.Nodes.
func (l nodeList) Nodes() []operatorapi.Node {
	n := l.node
	n.mu.Lock()
	sessions := n.sessions
	n.mu.Unlock()
	seen := fleetView{
		self:     n.settings.Node.Name,
		applied:  n.AppliedRevision(),
		digests:  n.members.Live(),
		regions:  n.members.Regions(),
		sessions: sessions,
		leased:   n.keeper.Live(time.Now()),
	}
	return seen.nodes()
}

// fleetView is what one node knows of all nodes.
type fleetView struct {
	self string
	// applied is the revision in force at this node.
	applied  int64
	digests  []peer.Digest
	regions  []peer.RegionSummary
	sessions []lease.SessionRow
	// leased names the nodes whose session row has changed lately.
	leased []string
}

// nodes returns every node that was heard of or that has a session row. A node
// that was not heard of counts as live while its session is; what it has
// applied is then known from its region's summary, or not at all.
func (v fleetView) nodes() []operatorapi.Node {
	heard := make(map[string]bool)
	var nodes []operatorapi.Node
	for _, digest := range v.digests {
		heard[digest.Node] = true
		applied := digest.AppliedRevision
		if digest.Node == v.self {
			applied = v.applied
		}
		nodes = append(nodes, operatorapi.Node{Name: digest.Node, Status: object.NodeStatus{
			Region:          digest.Region,
			FailureDomain:   digest.FailureDomain,
			PeerAddress:     digest.Address,
			AppliedRevision: applied,
			Live:            true,
		}})
	}
	for _, row := range v.sessions {
		if heard[row.Node] {
			continue
		}
		nodes = append(nodes, operatorapi.Node{Name: row.Node, Status: object.NodeStatus{
			Region:          row.Region,
			FailureDomain:   row.FailureDomain,
			PeerAddress:     row.PeerAddress,
			AppliedRevision: v.appliedIn(row.Region),
			Live:            slices.Contains(v.leased, row.Node),
		}})
	}
	return nodes
}

// appliedIn returns the lowest revision in force at the nodes of another
// region; 0 where nothing was heard of it.
func (v fleetView) appliedIn(region string) int64 {
	for _, summary := range v.regions {
		if summary.Region == region {
			return summary.MinApplied
		}
	}
	return 0
}
