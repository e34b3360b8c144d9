package node

import "time"

// OpenGroup is a replica group to which this node, its home, may dispatch
// requests.
type OpenGroup struct {
	Group      string
	Generation int64
	Members    []string
}

// OpenGroups returns the groups to which this node may dispatch new requests.
func (n *Node) OpenGroups() []OpenGroup {
	plan := n.router.plan.Load()
	if plan == nil {
		return nil
	}
	snap := n.follower.Current()
	var open []OpenGroup
	targets := targetsOf(plan, snap, n.roster.Hosts(), n.health.Observation, n.settings.Timing.MaxHealthAge, time.Now())
	for _, modelTargets := range targets {
		for _, target := range modelTargets {
			if target.Slots > 0 && !target.Draining {
				open = append(open, OpenGroup{Group: target.Group, Generation: target.Generation, Members: snap.Placements[target.Group].Members})
			}
		}
	}
	return open
}

// AppliedRevision returns the revision of the configuration in force at this
// node.
func (n *Node) AppliedRevision() int64 { return n.follower.Current().Revision }
