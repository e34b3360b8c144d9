package experiment

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

// Policy is a way to queue, refuse, place and repair.
type Policy struct {
	Name    string
	Meaning string
	// choose places a request at a node.
	choose func(n *node, q place.Query) (place.Choice, *place.Refusal)
	// ranked sends the urgency to the engines.
	ranked bool
	// moves lets streams leave groups that stand still.
	moves bool
	// repairs forms groups again after the first ones.
	repairs bool
	// home counts all requests of the fleet in one place, at the price of a hop
	// between nodes.
	home bool
	// queueTime is how long a node keeps a request for which there is no room.
	queueTime time.Duration
}

// rivalReturn is the time to return that the simple rivals tell.
const rivalReturn = 500 * time.Millisecond

// Policies returns all policies; the first one is the product's.
func Policies() []Policy {
	product := Policy{Name: "product", Meaning: "what the nodes do", choose: chooseByBoard, ranked: true, moves: true, repairs: true}
	home := product
	home.Name, home.Meaning, home.home = "home", "exact counts at home nodes, one hop more", true
	queued := product
	queued.Name, queued.Meaning, queued.queueTime = "node-queue", "refuse only after a wait at the node", 400*time.Millisecond
	static := product
	static.Name, static.Meaning, static.repairs = "static", "groups are not formed again", false
	return []Policy{
		product, home, queued, static,
		{Name: "reported", Meaning: "the group with the fewest reported requests, refuse when all are full, no ranks", choose: chooseReported, moves: true, repairs: true},
		{Name: "random", Meaning: "the rule before: fewest reported requests and a random part that grows with the nodes, limits by rank", choose: chooseRandom, ranked: true, moves: true, repairs: true},
		{Name: "fifo", Meaning: "the group with the fewest own requests, never refuse, no ranks, streams stay", choose: chooseFewest, repairs: true},
		{Name: "slots", Meaning: "refuse by the node's part of the slots, no ranks, streams stay", choose: chooseSlots, repairs: true},
	}
}

func chooseByBoard(n *node, q place.Query) (place.Choice, *place.Refusal) {
	return n.board.Choose(n.view, q, n.time())
}

// fewest returns the open head of the model with the fewest of the node's own
// requests, and their number.
func fewest(n *node, q place.Query) (*fleet.Host, int) {
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

func chooseFewest(n *node, q place.Query) (place.Choice, *place.Refusal) {
	host, load := fewest(n, q)
	if host == nil {
		return place.Choice{}, &place.Refusal{ReturnAfter: rivalReturn}
	}
	n.board.Started(host.ID)
	return place.Choice{Host: host, Load: load}, nil
}

// chooseReported goes by the other nodes' reports alone, with a tie broken at
// random.
func chooseReported(n *node, q place.Query) (place.Choice, *place.Refusal) {
	return leastReported(n, q, n.sheet.Engine.Slots, 1)
}

// randomPerNode is the random part of chooseRandom, in requests a node.
const randomPerNode = 0.6

// chooseRandom is what nodes did before they levelled the groups, in fleets of
// up to eight nodes.
func chooseRandom(n *node, q place.Query) (place.Choice, *place.Refusal) {
	spread := max(1, randomPerNode*float64(n.board.LiveNodes(n.time())))
	return leastReported(n, q, place.RankLimit(n.service.Engine, q.Rank), spread)
}

// leastReported chooses the open head of the model with the fewest reported
// requests, to which up to spread random ones are added.
func leastReported(n *node, q place.Query, limit int, spread float64) (place.Choice, *place.Refusal) {
	loads := n.board.InFlight()
	for _, r := range n.board.Reported(n.time()) {
		for id, count := range r.InFlight {
			loads[id] += count
		}
	}
	refusal, best, least := &place.Refusal{ReturnAfter: rivalReturn}, (*fleet.Host)(nil), 0.0
	for _, h := range n.view.ServiceHosts(q.Service.Name) {
		if !h.IsOpenHead() || h.LoadedModel != q.Model || slices.Contains(q.Exclude, h.ID) || n.board.Suspected(h.ID, n.time()) {
			continue
		}
		refusal.Candidates++
		if cost := float64(loads[h.ID]) + spread*n.random.Float64(); loads[h.ID] < limit && (best == nil || cost < least) {
			best, least = h, cost
		}
	}
	if best == nil {
		return place.Choice{}, refusal
	}
	n.board.Started(best.ID)
	return place.Choice{Host: best, Load: loads[best.ID], Limit: limit}, nil
}

func chooseSlots(n *node, q place.Query) (place.Choice, *place.Refusal) {
	host, load := fewest(n, q)
	limit := max(n.sheet.Engine.Slots/n.sheet.Run.Nodes, 1)
	if host == nil || load >= limit {
		return place.Choice{}, &place.Refusal{ReturnAfter: rivalReturn}
	}
	n.board.Started(host.ID)
	return place.Choice{Host: host, Load: load, Limit: limit}, nil
}
