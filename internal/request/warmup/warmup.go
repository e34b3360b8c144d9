// Package warmup limits the requests that cold hosts get. A host is slow for some seconds
// after its start, and all nodes together must not send it more than a bound in any one
// second. Nodes keep the bound without any message: for each host, few of the known nodes
// may send, chosen by rendezvous hashing, each a fixed number of requests in a window.
// Callers pass in the time; the package does no I/O and blocks only on a mutex.
package warmup

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// sendWindow is the time over which a node counts what it sends to a host. The bound
	// holds for arrivals within a second, which may have been sent over a longer time.
	sendWindow = 1250 * time.Millisecond
	// plannedShare is the part of the bound that is divided among the nodes. The rest is
	// for nodes whose lists of nodes differ: each list may name other senders.
	plannedShare = 0.65
	// maxListDifference is the factor by which another node's list may be longer before a
	// node reads the rows of all nodes again. The bound allows for more than that.
	maxListDifference = 1.1
	// isolationTimeout is the time without a digest of another node from which a node
	// sends nothing to cold hosts. Others may have replaced it, or it them.
	isolationTimeout = 1500 * time.Millisecond
	// StartDelay is how long after its start a node sends nothing to cold hosts. By then
	// it knows the other nodes, and what its former process sent has left the window.
	StartDelay = 10 * time.Second
	// openingTime is how long a host counts as cold after it has begun to take requests.
	// It covers the time until a host that has become cold without notice registers
	// that: two heartbeats, as after any change of a registration.
	openingTime = 2500 * time.Millisecond
)

// Bounds are the deployment's limits. All nodes together may send a cold host as many
// requests in any one second as the service says, times Over, plus Slack. An Over of 0 is
// no limit.
type Bounds struct{ Over, Slack float64 }

// Guard decides which requests this node may send to cold hosts. It is safe for concurrent
// use. A nil Guard limits nothing.
type Guard struct {
	bounds Bounds
	self   uint64
	// from is when the node may begin to send to cold hosts.
	from time.Time

	mu sync.Mutex
	// others are the hashes of the names of the other known nodes. listed is true once
	// the rows of all nodes were read.
	others map[string]uint64
	listed bool
	// lastHeard is when another node was last heard from.
	lastHeard time.Time
	hosts     map[string]*hostState
}

// hostState is what a node knows of its sending to one host.
type hostState struct {
	// sent are the times of the requests sent within sendWindow, at most as many as all
	// nodes together may send.
	sent []time.Time
	// rank is this node's position among known nodes for the host, and known the number
	// of other nodes at which it was computed.
	rank, known int
}

// New returns a guard for the node with the name that may send to cold hosts from the given
// time on.
func New(node string, bounds Bounds, from time.Time) *Guard {
	return &Guard{bounds: bounds, self: xxhash.Sum64String(node), from: from, others: map[string]uint64{}, hosts: map[string]*hostState{}}
}

// AddNode adds another node. Nodes that end stay: lists that differ between nodes cost more
// of the bound than senders that are gone.
func (g *Guard) AddNode(name string) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.others[name] = xxhash.Sum64String(name)
}

// Listed records that the rows of all nodes were read.
func (g *Guard) Listed() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listed = true
}

// Nodes returns the number of known nodes, this one included, or 0 where nothing is limited.
func (g *Guard) Nodes() int {
	if g == nil || g.bounds.Over <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.others) + 1
}

// Lacks reports whether this node's list lacks so many of the nodes that another one knows
// that it should read the rows of all nodes again.
func (g *Guard) Lacks(known int) bool {
	return float64(known) > maxListDifference*float64(g.Nodes()) && g.Nodes() > 0
}

// Heard records that another node was heard from.
func (g *Guard) Heard(now time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastHeard = now
}

// perWindow returns the requests that all nodes together plan to send to a cold host of the
// service within a window, or false if the service has no limit.
func (g *Guard) perWindow(service *fleet.Service) (int, bool) {
	if g == nil || g.bounds.Over <= 0 || service.ColdPerSecond <= 0 {
		return 0, false
	}
	return int(plannedShare * (service.ColdPerSecond*g.bounds.Over + g.bounds.Slack)), true
}

// Room returns how many more requests this node may send to the host now. It returns false
// for a host without a limit: a warm one, or one of a service without any.
func (g *Guard) Room(service *fleet.Service, host *fleet.Host, now time.Time) (room int, limited bool) {
	total, limited := g.perWindow(service)
	if !limited || !isCold(host, now) {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.listed || now.Before(g.from) || len(g.others) > 0 && now.Sub(g.lastHeard) > isolationTimeout {
		return 0, true
	}
	s := g.state(host.ID)
	s.dropOld(now)
	return max(g.quota(s, host.ID, total)-len(s.sent), 0), true
}

// isCold reports whether a host is cold, or may be because it has just begun to take
// requests.
func isCold(host *fleet.Host, now time.Time) bool { return now.Before(coldUntil(host)) }

// coldUntil returns until when a host counts as cold.
func coldUntil(host *fleet.Host) time.Time {
	if host.ServingSince.IsZero() {
		return host.WarmAt
	}
	if opened := host.ServingSince.Add(openingTime); opened.After(host.WarmAt) {
		return opened
	}
	return host.WarmAt
}

// ColdUntil returns until when a host that is cold now has a limit, and how many requests this
// node may send to it within a window while it knows the other nodes. It returns the zero
// time for a host without a limit.
func (g *Guard) ColdUntil(service *fleet.Service, host *fleet.Host, now time.Time) (until time.Time, quota int) {
	total, limited := g.perWindow(service)
	if !limited || !isCold(host, now) {
		return time.Time{}, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return coldUntil(host), g.quota(g.state(host.ID), host.ID, total)
}

// Sent counts a request that is about to be sent to a host, warm or cold: a host that has
// become cold may have got requests before that was known.
func (g *Guard) Sent(service *fleet.Service, host *fleet.Host, now time.Time) {
	total, limited := g.perWindow(service)
	if !limited {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(host.ID)
	s.dropOld(now)
	if len(s.sent) >= max(total, 1) {
		s.sent = s.sent[1:]
	}
	s.sent = append(s.sent, now)
}

// state returns the state of a host. The caller holds mu.
func (g *Guard) state(id string) *hostState {
	s := g.hosts[id]
	if s == nil {
		s = &hostState{known: -1}
		g.hosts[id] = s
	}
	return s
}

// dropOld forgets the requests that were sent before the window.
func (s *hostState) dropOld(now time.Time) {
	old := 0
	for old < len(s.sent) && now.Sub(s.sent[old]) > sendWindow {
		old++
	}
	s.sent = s.sent[old:]
}

// quota returns the requests that this node may send to the host within a window. The nodes
// divide the total evenly; the rest, or a total below their number, goes to the first ones
// in the host's order of nodes. The order depends on the host's ID and not on its life, so
// that a host that restarts under its ID has the same senders. The caller holds mu.
func (g *Guard) quota(s *hostState, id string, total int) int {
	if s.known != len(g.others) {
		s.rank, s.known = g.rank(id), len(g.others)
	}
	nodes := len(g.others) + 1
	if s.rank < total%nodes {
		return total/nodes + 1
	}
	return total / nodes
}

// rank returns how many other nodes come before this one in the host's order. The caller
// holds mu.
func (g *Guard) rank(id string) int {
	host := xxhash.Sum64String(id)
	own, before := mix(g.self^host), 0
	for _, other := range g.others {
		if mix(other^host) > own {
			before++
		}
	}
	return before
}

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Forget drops the hosts that are not registered and to which nothing was sent lately.
func (g *Guard) Forget(isRegistered func(id string) bool, now time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, s := range g.hosts {
		if s.dropOld(now); len(s.sent) == 0 && !isRegistered(id) {
			delete(g.hosts, id)
		}
	}
}
