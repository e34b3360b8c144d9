package node

import (
	"context"
	"errors"
	"io"
	"slices"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/operatorapi"
	"currantladder.example/currantladder/internal/version/object"
)

// nodeList implements operatorapi.Nodes.
type nodeList struct{ node *Node }

// Nodes implements operatorapi.Nodes: the live nodes of this region and the
// nodes whose session row was read but which were not heard of.
func (l nodeList) Nodes() []operatorapi.Node {
	n := l.node
	seen := make(map[string]bool)
	var nodes []operatorapi.Node
	for _, digest := range n.members.Live() {
		seen[digest.Node] = true
		nodes = append(nodes, operatorapi.Node{Name: digest.Node, Status: object.NodeStatus{
			Region:          digest.Region,
			FailureDomain:   digest.FailureDomain,
			PeerAddress:     digest.Address,
			AppliedRevision: digest.AppliedRevision,
			Live:            true,
		}})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range n.sessions {
		if seen[row.Node] {
			continue
		}
		nodes = append(nodes, operatorapi.Node{Name: row.Node, Status: object.NodeStatus{
			Region:        row.Region,
			FailureDomain: row.FailureDomain,
			PeerAddress:   row.PeerAddress,
		}})
	}
	return nodes
}

// explainer implements operatorapi.Explainer.
type explainer struct{ node *Node }

// ExplainObject implements operatorapi.Explainer.
func (e explainer) ExplainObject(_ context.Context, key object.Key) ([]peer.Step, error) {
	placement := e.node.follower.Current().Placements[key.Name]
	if key.Kind != object.KindReplicaGroup || placement == nil {
		return nil, nil
	}
	return []peer.Step{{Time: placement.Changed, Reason: placement.Reason, Message: placement.Message}}, nil
}

// ExplainRequest implements operatorapi.Explainer: the steps of all live
// nodes in the order of time.
func (e explainer) ExplainRequest(ctx context.Context, id string) ([]peer.Step, error) {
	steps := e.node.recorder.Steps(id)
	for _, digest := range e.node.members.Live() {
		if digest.Node == e.node.settings.Node.Name {
			continue
		}
		more, err := e.node.peers.Explain(ctx, digest.Address, id)
		if err == nil {
			steps = append(steps, more...)
		}
	}
	slices.SortFunc(steps, func(a, b peer.Step) int { return a.Time.Compare(b.Time) })
	return steps, nil
}

// burnReport implements operatorapi.Burn.
type burnReport struct{ node *Node }

// WriteBurn implements operatorapi.Burn.
func (burnReport) WriteBurn(context.Context, io.Writer, operatorapi.BurnFormat) error {
	return errors.New("the burn report is not available in this version")
}
