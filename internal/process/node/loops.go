package node

import (
	"context"
	"time"

	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/membership"
	"currantladder.example/currantladder/internal/request/route"
)

// replanInterval is the longest time between two plans. Plans are also rebuilt
// without an event, because health observations expire.
const replanInterval = 200 * time.Millisecond

// sessionSyncInterval is the time between two copies of the session rows that
// the lease keeper has read.
const sessionSyncInterval = time.Second

// runPlanLoop rebuilds the route plan and the dispatch targets on every change of
// health, membership or configuration, and at least every replanInterval.
func (n *Node) runPlanLoop(ctx context.Context) {
	ticker := time.NewTicker(replanInterval)
	defer ticker.Stop()
	observed := n.health.Subscribe()
	defer observed.Close()
	var logged loggedState
	for {
		n.replan()
		logged = n.logStateChange(logged)
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

// loggedState is the state of the node as last logged.
type loggedState struct{ ready, isolated bool }

// logStateChange logs when the node becomes ready, becomes isolated or is no
// longer isolated. It returns the present state.
func (n *Node) logStateChange(before loggedState) loggedState {
	var now loggedState
	now.ready, _ = n.gate.Ready()
	now.isolated = n.isolatedFor(time.Now()) > n.settings.Timing.IsolationTimeout
	if now.ready && !before.ready {
		n.log.Log(eventlog.NodeReady, eventlog.Fields{"revision": n.follower.Current().Revision})
	}
	if now.isolated && !before.isolated {
		n.log.Log(eventlog.NodeIsolated, eventlog.Fields{"isolation": n.settings.Timing.IsolationTimeout.String()})
	}
	if !now.isolated && before.isolated {
		n.log.Log(eventlog.NodeRejoined, nil)
	}
	return now
}

// replan computes the homes of all groups, sets which hosts are probed and
// which groups this node may dispatch to, and passes the applied revisions and
// crash suspects in the digests to the follower and the suspect tracker.
func (n *Node) replan() {
	n.planMu.Lock()
	defer n.planMu.Unlock()
	snap := n.follower.Current()
	hosts, hostsVersion := n.roster.HostsWithVersion()
	plan := n.planner.plan(planInput{
		snapshot:     snap,
		hosts:        hosts,
		hostsVersion: hostsVersion,
		nodes:        n.members.Live(),
		sessionNodes: n.sessionNodes(),
		regions:      n.members.Regions(),
		self:         n.digest(),
	})
	n.router.plan.Store(plan)
	n.health.SetHosts(n.probedHosts(plan, hosts))
	targets := targetsOf(plan, snap, hosts, n.health.Observation, n.settings.Timing.MaxHealthAge, time.Now())
	n.home.Configure(queueRanks(snap.Ranks()), targets)
	for _, digest := range n.members.Live() {
		n.follower.ObserveRevision(digest.AppliedRevision)
		if digest.Node != n.settings.Node.Name {
			n.suspects.Merge(digest.Node, digest.Suspects, time.Now())
		}
	}
}

// probedHosts returns the member hosts of the groups that this node is home for.
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

// runSessionLoop passes the session rows to membership. They list the nodes of
// all regions.
func (n *Node) runSessionLoop(ctx context.Context) {
	ticker := time.NewTicker(sessionSyncInterval)
	defer ticker.Stop()
	for {
		n.syncSessions()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncSessions takes the peers from the session rows, or from the seeds in the
// settings if there are no rows yet.
func (n *Node) syncSessions() {
	rows := n.keeper.SessionRows()
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
	n.members.SetPeers(peers)
}

// sessionNodes returns the nodes of the session rows.
func (n *Node) sessionNodes() []route.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := make([]route.Node, 0, len(n.sessions))
	for _, row := range n.sessions {
		nodes = append(nodes, route.Node{Name: row.Node, Region: row.Region})
	}
	return nodes
}
