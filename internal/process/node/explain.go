package node

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/version/object"
)

// explainer implements operatorapi.Explainer.
type explainer struct{ node *Node }

// ExplainObject implements operatorapi.Explainer. For a replica group it returns
// the steps of the controllers that decided on the group, in time order, and
// then the placement in force; for other kinds it returns nothing.
func (e explainer) ExplainObject(ctx context.Context, key object.Key) ([]peer.Step, error) {
	if key.Kind != object.KindReplicaGroup {
		return nil, nil
	}
	steps := e.node.groups.Explain(key.Name)
	steps = append(steps, e.stepsFromPeers(func(address string) ([]peer.Step, error) {
		return e.node.peers.ExplainGroup(ctx, address, key.Name)
	})...)
	sortSteps(steps)
	if placement := e.node.follower.Current().Placements[key.Name]; placement != nil {
		steps = append(steps, placementStep(placement))
	}
	return steps, nil
}

// placementStep describes the present state of a group.
func placementStep(p *object.Placement) peer.Step {
	message := fmt.Sprintf("generation %d on %s in fabric domain %s is %s: %s", p.Generation, strings.Join(p.Members, ", "), p.FabricDomain, p.Phase, p.Message)
	return peer.Step{Time: p.Changed, Reason: p.Reason, Message: message}
}

// ExplainRequest implements operatorapi.Explainer. It returns the steps of all
// live nodes in time order.
func (e explainer) ExplainRequest(ctx context.Context, id string) ([]peer.Step, error) {
	steps := e.node.recorder.Steps(id)
	steps = append(steps, e.stepsFromPeers(func(address string) ([]peer.Step, error) {
		return e.node.peers.ExplainRequest(ctx, address, id)
	})...)
	sortSteps(steps)
	return steps, nil
}

// stepsFromPeers collects the steps of all other live nodes. Nodes that do not
// answer are left out.
func (e explainer) stepsFromPeers(fetch func(address string) ([]peer.Step, error)) []peer.Step {
	var steps []peer.Step
	for _, digest := range e.node.members.Live() {
		if digest.Node == e.node.settings.Node.Name {
			continue
		}
		more, err := fetch(digest.Address)
		if err == nil {
			steps = append(steps, more...)
		}
	}
	return steps
}

func sortSteps(steps []peer.Step) {
	slices.SortStableFunc(steps, func(a, b peer.Step) int { return a.Time.Compare(b.Time) })
}
