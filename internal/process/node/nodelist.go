package node

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/lease"
	"currantladder.example/currantladder/internal/process/operatorapi"
	"currantladder.example/currantladder/internal/version/object"
)

// nodeList implements operatorapi.Nodes with the view of one node.
type nodeList struct{ node *Node }

// Nodes implements operatorapi.Nodes.
func (l nodeList) Nodes() []operatorapi.Node {
	n := l.node
	n.mu.Lock()
	sessions := n.sessions
	n.mu.Unlock()
	view := fleetView{
		self:         n.settings.Node.Name,
		applied:      n.AppliedRevision(),
		digests:      n.members.Live(),
		regions:      n.members.Regions(),
		sessions:     sessions,
		liveSessions: n.keeper.LiveNodes(time.Now()),
	}
	return view.nodes()
}

// fleetView is the information that one node has about all nodes.
type fleetView struct {
	self string
	// applied is the configuration revision in force at this node.
	applied  int64
	digests  []peer.Digest
	regions  []peer.RegionSummary
	sessions []lease.SessionRow
	// liveSessions names the nodes whose session row has changed recently.
	liveSessions []string
}

// nodes returns every node with a digest or a session row. A node without a
// digest counts as live until its session lapses. Its applied revision is then
// the one in the summary of its region, or 0 if there is none.
func (v fleetView) nodes() []operatorapi.Node {
	listed := make(map[string]bool)
	var nodes []operatorapi.Node
	for _, digest := range v.digests {
		listed[digest.Node] = true
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
		if listed[row.Node] {
			continue
		}
		nodes = append(nodes, operatorapi.Node{Name: row.Node, Status: object.NodeStatus{
			Region:          row.Region,
			FailureDomain:   row.FailureDomain,
			PeerAddress:     row.PeerAddress,
			AppliedRevision: v.appliedIn(row.Region),
			Live:            slices.Contains(v.liveSessions, row.Node),
		}})
	}
	return nodes
}

// appliedIn returns the lowest revision in force at the nodes of another region,
// or 0 if there is no summary of the region.
func (v fleetView) appliedIn(region string) int64 {
	for _, summary := range v.regions {
		if summary.Region == region {
			return summary.MinApplied
		}
	}
	return 0
}
