package experiment

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Policy is a set of rules for queueing, refusing and placing requests and for
// repairing groups.
type Policy struct {
	Name        string
	Description string
	// choose selects a group for a request at a node, or returns a refusal.
	choose func(n *node, q place.Query) (place.Choice, *place.Refusal)
	// sendsRank passes the rank of a request to the engine as its queue priority.
	sendsRank bool
	// movesStalledStreams moves streams of stalled groups to other groups.
	movesStalledStreams bool
	// findsPoison refuses requests with prompt parts that crash hosts.
	findsPoison bool
	// reformsGroups keeps planning groups after the first ones have formed.
	reformsGroups bool
	// sharedBoard counts the requests of all nodes on one board, at the price of
	// a hop between nodes.
	sharedBoard bool
	// coordinates lets nodes of a large fleet ask one of them for the group, where long
	// prompts delay streams.
	coordinates bool
	// queueTimeout is how long a node queues a request for which no group has room.
	queueTimeout time.Duration
}

// baselineRetryAfter is the time to wait that baseline policies give in a refusal.
const baselineRetryAfter = 500 * time.Millisecond

// Policies returns all policies. The first one is the product's; the others are
// variants of it and simple baselines.
func Policies() []Policy {
	product := Policy{Name: "product", Description: "what the nodes do", choose: chooseByBoard, sendsRank: true, movesStalledStreams: true, reformsGroups: true, findsPoison: true, coordinates: true}
	alone := product
	alone.Name, alone.Description, alone.coordinates = "alone", "each node chooses by itself", false
	home := alone
	home.Name, home.Description, home.sharedBoard = "home", "exact counts at home nodes, one hop more", true
	queued := alone
	queued.Name, queued.Description, queued.queueTimeout = "node-queue", "refuse only after a wait at the node", 400*time.Millisecond
	static := product
	static.Name, static.Description, static.reformsGroups = "static", "groups are not formed again", false
	trusting := product
	trusting.Name, trusting.Description, trusting.findsPoison = "trusting", "requests that crash hosts are not found", false
	return []Policy{
		product, alone, home, queued, static, trusting,
		{Name: "reported", Description: "the group with the fewest reported requests, refuse when all are full, no ranks", choose: chooseReported, movesStalledStreams: true, reformsGroups: true},
		{Name: "random", Description: "the rule before: fewest reported requests and a random part that grows with the nodes, limits by rank", choose: chooseRandom, sendsRank: true, movesStalledStreams: true, reformsGroups: true},
		{Name: "fifo", Description: "the group with the fewest own requests, never refuse, no ranks, streams stay", choose: chooseFIFO, reformsGroups: true},
		{Name: "slots", Description: "refuse by the node's part of the slots, no ranks, streams stay", choose: chooseSlots, reformsGroups: true},
	}
}

func chooseByBoard(n *node, q place.Query) (place.Choice, *place.Refusal) {
	return n.board.Choose(n.view, q, n.time())
}

// fewestOwnRequests returns the open head of the model with the fewest requests of
// this node in flight, and their number.
func fewestOwnRequests(n *node, q place.Query) (*fleet.Host, int) {
	var best *fleet.Host
	counts, least := n.board.InFlight(), 0
	for _, h := range n.view.ServiceHosts(q.Service.Name) {
		if !h.IsOpenHead() || h.LoadedModel != q.Model {
			continue
		}
		if best == nil || counts[h.ID] < least {
			best, least = h, counts[h.ID]
		}
	}
	return best, least
}

func chooseFIFO(n *node, q place.Query) (place.Choice, *place.Refusal) {
	host, load := fewestOwnRequests(n, q)
	if host == nil {
		return place.Choice{}, &place.Refusal{RetryAfter: baselineRetryAfter}
	}
	n.board.Started(host.ID)
	return place.Choice{Host: host, Load: load}, nil
}

// chooseReported chooses by the node's own and the reported requests of a group
// alone. It breaks ties at random.
func chooseReported(n *node, q place.Query) (place.Choice, *place.Refusal) {
	return chooseFewestReported(n, q, n.sheet.Engine.Slots, 1)
}

// randomRequestsPerNode is the range, per live node, of the random term that
// chooseRandom adds to the load of a group.
const randomRequestsPerNode = 0.6

// chooseRandom is the rule that nodes followed, in fleets of up to eight nodes,
// before they balanced load over the groups.
func chooseRandom(n *node, q place.Query) (place.Choice, *place.Refusal) {
	randomRange := max(1, randomRequestsPerNode*float64(n.board.LiveNodes(n.time())))
	return chooseFewestReported(n, q, place.RankLimit(n.service.Engine, q.Rank), randomRange)
}

// chooseFewestReported chooses the open head of the model with the lowest score:
// the node's own and the reported requests plus a random number below
// randomRange. Groups with limit requests or more are left out.
func chooseFewestReported(n *node, q place.Query, limit int, randomRange float64) (place.Choice, *place.Refusal) {
	loads := n.board.InFlight()
	for _, r := range n.board.Reported(n.time()) {
		for id, count := range r.InFlight {
			loads[id] += count
		}
	}
	refusal, best, least := &place.Refusal{RetryAfter: baselineRetryAfter}, (*fleet.Host)(nil), 0.0
	for _, h := range n.view.ServiceHosts(q.Service.Name) {
		if !h.IsOpenHead() || h.LoadedModel != q.Model || slices.Contains(q.Exclude, h.ID) || n.board.Suspected(h.ID, n.time()) {
			continue
		}
		refusal.Candidates++
		if score := float64(loads[h.ID]) + randomRange*n.random.Float64(); loads[h.ID] < limit && (best == nil || score < least) {
			best, least = h, score
		}
	}
	if best == nil {
		return place.Choice{}, refusal
	}
	n.board.Started(best.ID)
	return place.Choice{Host: best, Load: loads[best.ID], Limit: limit}, nil
}

func chooseSlots(n *node, q place.Query) (place.Choice, *place.Refusal) {
	host, load := fewestOwnRequests(n, q)
	limit := max(n.sheet.Engine.Slots/n.sheet.Run.Nodes, 1)
	if host == nil || load >= limit {
		return place.Choice{}, &place.Refusal{RetryAfter: baselineRetryAfter}
	}
	n.board.Started(host.ID)
	return place.Choice{Host: host, Load: load, Limit: limit}, nil
}
