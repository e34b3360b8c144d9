package node

import (
	"context"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/membership"
	"currantladder.example/currantladder/internal/request/route"
)

// replanPeriod is the longest time between two plans; health observations age
// without any event.
const replanPeriod = 200 * time.Millisecond

// rosterPeriod is the time between two looks at the roster that the keeper has
// read.
const rosterPeriod = time.Second

// planDuty rebuilds the route plan and the gates whenever something changes.
func (n *Node) planDuty(ctx context.Context) {
	ticker := time.NewTicker(replanPeriod)
	defer ticker.Stop()
	observed := n.health.Subscribe()
	defer observed.Close()
	var logged readiness
	for {
		n.replan()
		logged = n.logReadiness(logged)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-observed.C:
			observed.Take()
		case <-n.members.Changed():
		case <-n.follower.Changed():
		}
	}
}

// readiness is what was last logged of the node's state.
type readiness struct{ ready, alone bool }

// logReadiness logs when the node becomes ready, isolated or reachable again.
func (n *Node) logReadiness(before readiness) readiness {
	var now readiness
	now.ready, _ = n.gate.Ready()
	now.alone = n.aloneSince(time.Now()) > n.settings.Timing.Isolation
	if now.ready && !before.ready {
		n.log.Log(eventlog.NodeReady, eventlog.Fields{"revision": n.follower.Current().Revision})
	}
	if now.alone && !before.alone {
		n.log.Log(eventlog.NodeIsolated, eventlog.Fields{"isolation": n.settings.Timing.Isolation.String()})
	}
	if !now.alone && before.alone {
		n.log.Log(eventlog.NodeRejoined, nil)
	}
	return now
}

// replan computes homes, probes the hosts of owned groups and sets the gates.
func (n *Node) replan() {
	n.planMu.Lock()
	defer n.planMu.Unlock()
	snap := n.follower.Current()
	hosts, hostsVersion := n.roster.Versioned()
	plan := n.planner.plan(planInput{
		snapshot:     snap,
		hosts:        hosts,
		hostsVersion: hostsVersion,
		nodes:        n.members.Live(),
		roster:       n.sessionNodes(),
		regions:      n.members.Regions(),
		self:         n.digest(),
	})
	n.router.plan.Store(plan)
	n.health.SetHosts(n.probedHosts(plan, hosts))
	targets := targetsOf(plan, snap, hosts, n.health.Observation, n.settings.Timing.HealthBound, time.Now())
	n.home.Configure(queueRanks(snap.Ranks()), targets)
	for _, digest := range n.members.Live() {
		n.follower.Learn(digest.AppliedRevision)
		if digest.Node != n.settings.Node.Name {
			n.suspects.Merge(digest.Node, digest.Suspects, time.Now())
		}
	}
}

// probedHosts returns the members of the groups that this node is home for.
func (n *Node) probedHosts(plan *routePlan, hosts map[string]hostlist.Host) []hostlist.Host {
	snap := n.follower.Current()
	var probed []hostlist.Host
	for _, groups := range plan.owned {
		for _, group := range groups {
			for _, member := range snap.Placements[group].Members {
				if host, listed := hosts[member]; listed {
					probed = append(probed, host)
				}
			}
		}
	}
	return probed
}

// rosterDuty passes the session rows, which name the peers of all regions, to
// membership.
func (n *Node) rosterDuty(ctx context.Context) {
	ticker := time.NewTicker(rosterPeriod)
	defer ticker.Stop()
	for {
		n.takeRoster()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// takeRoster uses the seeds of the settings until the rows were read once.
func (n *Node) takeRoster() {
	rows := n.keeper.Roster()
	peers := make([]membership.Peer, 0, len(rows))
	for _, row := range rows {
		peers = append(peers, membership.Peer{Node: row.Node, Address: row.PeerAddress, Region: row.Region})
	}
	if len(rows) == 0 {
		for _, seed := range n.settings.Peers.Seeds {
			peers = append(peers, membership.Peer{Node: seed, Address: seed})
		}
	}
	n.mu.Lock()
	n.sessions = rows
	n.mu.Unlock()
	n.members.SetRoster(peers)
}

// sessionNodes returns the nodes that the session rows name.
func (n *Node) sessionNodes() []route.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := make([]route.Node, 0, len(n.sessions))
	for _, row := range n.sessions {
		nodes = append(nodes, route.Node{Name: row.Node, Region: row.Region})
	}
	return nodes
}
