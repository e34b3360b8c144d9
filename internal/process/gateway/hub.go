package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
)

// chooseHub returns the hub of this node's failure domain, which may be this
// node, or "" if the fleet is small enough that every node follows the store. The
// caller must hold mu.
func (p *peers) chooseHub(now time.Time) string {
	if len(p.byName)+1 <= maxStoreReaders {
		p.chosenHub = ""
		return ""
	}
	if p.chosenHub != "" && p.chosenHub != p.node {
		if other := p.byName[p.chosenHub]; other != nil && now.Sub(other.heardAsHub) > hubTimeout && now.Sub(p.hubChosenAt) > hubTimeout {
			other.quarantinedUntil = now.Add(hubQuarantine)
		}
	}
	// A node without fresh feeds prefers any other node to itself.
	best, bestUnfit := p.node, !p.hasFreshFeeds()
	for _, name := range p.hubCandidates(p.self.Domain) {
		if !now.Before(p.byName[name].quarantinedUntil) && (bestUnfit || p.preferredAsHub(name, best)) {
			best, bestUnfit = name, false
		}
	}
	if best != p.chosenHub {
		p.log.Log(eventlog.HubChosen, eventlog.Fields{"hub": best, "former": p.chosenHub, "nodes": len(p.byName) + 1})
		p.chosenHub, p.hubChosenAt = best, now
	}
	return best
}

// row returns the row of another node or of this one. The caller must hold mu.
func (p *peers) row(name string) nodeRow {
	if name == p.node {
		return p.self
	}
	return p.byName[name].nodeRow
}

// preferredAsHub reports whether node a is preferred to b as hub: the node with
// the larger share of a processor core, then the first by name. The caller must
// hold mu.
func (p *peers) preferredAsHub(a, b string) bool {
	if x, y := p.row(a).Share, p.row(b).Share; x != y {
		return x > y
	}
	return a < b
}

// hubCandidates returns the known other nodes of a domain, the preferred first.
// The caller must hold mu.
func (p *peers) hubCandidates(domain string) []string {
	var names []string
	for name, other := range p.byName {
		if other.Domain == domain {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if p.preferredAsHub(a, b) {
			return -1
		}
		return cmp.Compare(a, b)
	})
	return names
}

// upstream returns the nodes that this node may read the feeds from.
func (p *peers) upstream() feed.Upstream {
	now := time.Now()
	p.mu.Lock()
	hub := p.chooseHub(now)
	var live []string
	liveMembers := 0
	for name, other := range p.byName {
		if now.Sub(other.lastHeard) >= peerTimeout {
			continue
		}
		isMember := other.Domain == p.self.Domain
		if isMember {
			liveMembers++
		}
		// A copy that comes from this node, or from the hub that has failed, is no
		// newer than the own one.
		if name == hub || isMember && hub == p.node {
			continue
		}
		live = append(live, other.Address)
	}
	var hubAddress string
	if other := p.liveHub(hub, now); other != nil {
		hubAddress = other.Address
	}
	deputies := p.deputies(hub)
	awaitsHub := p.isStarting(now) && (!p.rosterRead || hub != "" && hub != p.node && hubAddress == "") || p.awaitsRoster(now)
	avoidsStore := len(deputies) > 0 && p.isRestarting(now)
	if avoidsStore && hubAddress == "" {
		deputies = append([]string{p.byName[hub].Address}, deputies...)
	}
	p.mu.Unlock()
	slices.Sort(live)
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	up := feed.Upstream{AwaitsHub: awaitsHub, AvoidsStore: avoidsStore, ServesOthers: hub == p.node && liveMembers > 0, DomainNodes: liveMembers + 1}
	if hubAddress != "" {
		up.Hub = p.source(hubAddress)
	}
	for _, address := range deputies {
		up.Deputies = append(up.Deputies, p.source(address))
	}
	for _, address := range live[:min(len(live), maxFeedPeers)] {
		up.Peers = append(up.Peers, p.source(address))
	}
	return up
}

// isRestarting reports whether the node has just started again in a large fleet. All
// nodes may have: after a kill of all nodes the table of some thousand hosts, read from
// the store by each of some hundred nodes, takes longer than the fleet may be without
// service. The caller must hold mu.
func (p *peers) isRestarting(now time.Time) bool {
	return !p.firstStart && !p.isFullMesh() && now.Sub(p.started) < p.restartWait
}

// awaitsRoster reports whether the node has started again and does not know yet whether
// the fleet is large, because its first read of the rows goes on. The caller must hold mu.
func (p *peers) awaitsRoster(now time.Time) bool {
	return !p.firstStart && !p.rosterTried && now.Sub(p.started) < firstRosterTimeout
}

// deputies returns the addresses of the nodes that this one reads the feeds from
// while the hub fails: the preferred nodes of the failure domain besides the hub. It
// returns none if this node is the hub or among them. The caller must hold mu.
func (p *peers) deputies(hub string) []string {
	if hub == "" || hub == p.node {
		return nil
	}
	var addresses []string
	for _, name := range p.hubCandidates(p.self.Domain) {
		if len(addresses) == maxDeputies {
			break
		}
		if name == hub {
			continue
		}
		if p.preferredAsHub(p.node, name) {
			return nil
		}
		addresses = append(addresses, p.byName[name].Address)
	}
	return addresses
}

func (p *peers) source(address string) feed.Source {
	return &peerSource{"http://" + address, p.http}
}
