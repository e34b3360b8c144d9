package node

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/share"
	"currantladder.example/currantladder/internal/request/suspect"
)

// liveNodes returns the names of the live nodes: in this region the nodes that
// answer probes, in other regions the nodes whose session is live.
func (n *Node) liveNodes() []string {
	var names []string
	for _, digest := range n.members.Live() {
		names = append(names, digest.Node)
	}
	liveSessions := n.keeper.LiveNodes(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range n.sessions {
		if row.Region != n.settings.Node.Region && slices.Contains(liveSessions, row.Node) {
			names = append(names, row.Node)
		}
	}
	return names
}

func (n *Node) shareSession() share.Session {
	return share.Session{Incarnation: n.keeper.Incarnation(), LastRenewalSent: n.keeper.LastRenewalSent()}
}

func (n *Node) hostView() share.HostView {
	list, sent := n.roster.List()
	return share.HostView{List: list, RequestedAt: sent}
}

// trackHomeRequest counts a request forwarded by another entry node until the
// returned function is called.
func (n *Node) trackHomeRequest() func() {
	n.homeRequests.Add(1)
	return n.homeRequests.Done
}

// digest returns the description of this node for its peers.
func (n *Node) digest() peer.Digest {
	digest := peer.Digest{
		Node:          n.settings.Node.Name,
		Region:        n.settings.Node.Region,
		FailureDomain: n.settings.Node.FailureDomain,
		Address:       n.Addresses().Peers,
		Incarnation:   n.keeper.Incarnation(),
	}
	if n.home == nil {
		return digest
	}
	ready, _ := n.gate.Ready()
	digest.Ready = ready
	digest.Leaving = n.isLeaving()
	digest.AppliedRevision = n.follower.Current().Revision
	for model, stats := range n.home.Stats() {
		digest.Load = append(digest.Load, peer.PoolLoad{Model: model, Slots: stats.Slots, Running: stats.Running, Queued: stats.Queued})
	}
	digest.Suspects = n.suspects.Digest(time.Now())
	return digest
}

func (n *Node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

// notReadyReason returns why the node must not take requests, or "".
func (n *Node) notReadyReason() string {
	if !n.follower.Ready() {
		return "the configuration is not loaded yet"
	}
	if n.isolatedFor(time.Now()) > n.settings.Timing.IsolationTimeout {
		return "it reaches neither the table service nor another node and cannot know that its configuration is in force"
	}
	return ""
}

// isolatedFor returns for how long the node has reached neither the table
// service nor a peer.
func (n *Node) isolatedFor(now time.Time) time.Duration {
	last := n.started
	for _, contact := range []time.Time{n.keeper.LastContact(), n.members.LastContact()} {
		if contact.After(last) {
			last = contact
		}
	}
	return now.Sub(last)
}

// reportCrash records the loss of the endpoint of a group with the fingerprints
// of the requests that it was running. The home calls it.
func (n *Node) reportCrash(group string, fingerprints []uint64) {
	loss := suspect.Loss{Endpoint: group, InFlight: fingerprints}
	if placement := n.follower.Current().Placements[group]; placement != nil {
		loss.FailureDomain = placement.FailureDomain
		loss.FabricDomain = placement.FabricDomain
	}
	for _, fingerprint := range n.suspects.Lost(loss, time.Now()) {
		n.log.Log(eventlog.CrashSuspectAdded, eventlog.Fields{"fingerprint": fingerprint, "group": group})
	}
}
