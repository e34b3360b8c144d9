package node

import (
	"context"
	"fmt"
	"slices"
	"strings"

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
		if digest.Node == n.settings.Node.Name {
			digest.AppliedRevision = n.AppliedRevision()
		}
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

// ExplainObject implements operatorapi.Explainer: the placement in force and
// the steps of the controllers that decided on the group.
func (e explainer) ExplainObject(ctx context.Context, key object.Key) ([]peer.Step, error) {
	if key.Kind != object.KindReplicaGroup {
		return nil, nil
	}
	steps := e.node.groups.Explain(key.Name)
	steps = append(steps, e.fromPeers(func(address string) ([]peer.Step, error) {
		return e.node.peers.ExplainGroup(ctx, address, key.Name)
	})...)
	sortSteps(steps)
	if placement := e.node.follower.Current().Placements[key.Name]; placement != nil {
		steps = append(steps, placementStep(placement))
	}
	return steps, nil
}

// placementStep tells the group's state now.
func placementStep(p *object.Placement) peer.Step {
	message := fmt.Sprintf("generation %d on %s in fabric domain %s is %s: %s", p.Generation, strings.Join(p.Members, ", "), p.FabricDomain, p.Phase, p.Message)
	return peer.Step{Time: p.Changed, Reason: p.Reason, Message: message}
}

// ExplainRequest implements operatorapi.Explainer: the steps of all live
// nodes in the order of time.
func (e explainer) ExplainRequest(ctx context.Context, id string) ([]peer.Step, error) {
	steps := e.node.recorder.Steps(id)
	steps = append(steps, e.fromPeers(func(address string) ([]peer.Step, error) {
		return e.node.peers.ExplainRequest(ctx, address, id)
	})...)
	sortSteps(steps)
	return steps, nil
}

// fromPeers collects the steps of all other live nodes that answer.
func (e explainer) fromPeers(ask func(address string) ([]peer.Step, error)) []peer.Step {
	var steps []peer.Step
	for _, digest := range e.node.members.Live() {
		if digest.Node == e.node.settings.Node.Name {
			continue
		}
		more, err := ask(digest.Address)
		if err == nil {
			steps = append(steps, more...)
		}
	}
	return steps
}

func sortSteps(steps []peer.Step) {
	slices.SortStableFunc(steps, func(a, b peer.Step) int { return a.Time.Compare(b.Time) })
}
