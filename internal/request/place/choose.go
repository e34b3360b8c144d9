package place

import (
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// Limits of admission.
const (
	// The shares are the parts of a group's batch that requests of rank 0, 1
	// and beyond may fill. A less urgent rank leaves room, so that bursts of
	// it do not delay the others.
	urgentShare = 1.0
	middleShare = 0.95
	lowShare    = 0.8
	// earlyFill is the part of the places of a large fleet from which requests
	// are refused by chance, and fullFill that from which all are: its reports
	// are some hundred milliseconds old, and beyond the engines' batches
	// requests queue until nearly all answers are late.
	earlyFill = 0.78
	fullFill  = 1.0
	// promptNodes is the number of nodes up to which reports are prompt.
	promptNodes = 8
	// plainQueueFactor bounds the requests at an endpoint of a plain service,
	// in multiples of its slots.
	plainQueueFactor = 3
	// minReturn and maxReturn bound the time after which a refused caller may
	// return.
	minReturn = 150 * time.Millisecond
	maxReturn = 2 * time.Second
	// localBonus is the load, as a part of the batch, by which an endpoint in
	// the node's own failure domain is preferred: bytes between domains cost.
	localBonus = 0.04
	// spreadPerNode is the number of requests that a group may get from another
	// node between two reports.
	spreadPerNode = 0.6
	// errorWeight is the load, as a part of the batch, that a host which
	// always fails counts in addition.
	errorWeight = 3.0
)

// Query describes a request to place.
type Query struct {
	Service *fleet.Service
	// Model is "" for a plain service.
	Model string
	Rank  int
	// Exclude are hosts that had the request already.
	Exclude []string
	// FailureDomain is the node's own.
	FailureDomain string
}

// Choice is a placed request, with the inputs that decided it.
type Choice struct {
	Host *fleet.Host
	// Load is the number of requests at the host before this one; Limit how
	// many it may have.
	Load  int
	Limit int
}

// Refusal says why a request has no place.
type Refusal struct {
	// Candidates is the number of endpoints that could run it.
	Candidates int
	// Load and Limit are sums over the candidates.
	Load, Limit int
	// ReturnAfter is when room is expected.
	ReturnAfter time.Duration
}

// Choose places a request and counts it as started at the chosen host.
func (b *Board) Choose(view *fleet.View, q Query, now time.Time) (Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	refusal := &Refusal{ReturnAfter: minReturn}
	best, bestScore := Choice{}, 0.0
	for _, host := range view.ServiceHosts(q.Service.Name) {
		if !b.serves(host, q, now) {
			continue
		}
		limit := hostLimit(host, q)
		load := b.load(host.ID, now)
		refusal.Candidates++
		refusal.Load += load
		refusal.Limit += limit
		if load >= limit {
			continue
		}
		score := b.score(host, q, load, limit, now)
		if best.Host == nil || score < bestScore {
			best, bestScore = Choice{host, load, limit}, score
		}
	}
	if best.Host == nil || b.random() < b.earlyRefusal(q, refusal, now) {
		refusal.ReturnAfter = b.returnAfter(q, refusal)
		return Choice{}, refusal
	}
	b.record(best.Host.ID).inFlight++
	return best, nil
}

// earlyRefusal is the part of requests that are refused although places are
// free, so that those that are served are on time.
func (b *Board) earlyRefusal(q Query, seen *Refusal, now time.Time) float64 {
	if q.Service.Engine == nil || seen.Limit == 0 || b.liveNodes(now) <= promptNodes {
		return 0
	}
	fill := float64(seen.Load) / float64(seen.Limit)
	return min(max((fill-earlyFill)/(fullFill-earlyFill), 0), 1)
}

// serves reports whether the host may take the request now.
func (b *Board) serves(host *fleet.Host, q Query, now time.Time) bool {
	if host.State != fleet.HostReady {
		return false
	}
	for _, id := range q.Exclude {
		if id == host.ID {
			return false
		}
	}
	if q.Service.Engine != nil {
		if !host.IsOpenHead() || host.LoadedModel != q.Model {
			return false
		}
	}
	r := b.hosts[host.ID]
	if r == nil {
		return true
	}
	if now.Before(r.suspectUntil) {
		return false
	}
	// With few plain endpoints a doubtful one is better than none: the score
	// puts it last.
	return q.Service.Engine == nil || !now.Before(r.avoidUntil)
}

func hostLimit(host *fleet.Host, q Query) int {
	if q.Service.Engine == nil {
		return max(host.Slots, 1) * plainQueueFactor
	}
	share := lowShare
	switch {
	case q.Rank <= 0:
		share = urgentShare
	case q.Rank == 1:
		share = middleShare
	}
	return max(int(share*float64(q.Service.Engine.Slots)), 1)
}

// score is the part of the host's limit that is taken, with additions for
// doubtful and far hosts; the lowest is chosen. A random part keeps nodes with
// the same view from choosing the same host.
func (b *Board) score(host *fleet.Host, q Query, load, limit int, now time.Time) float64 {
	score := float64(load) / float64(limit)
	if host.FailureDomain == q.FailureDomain {
		score -= localBonus
	}
	if r := b.hosts[host.ID]; r != nil {
		score += errorWeight * r.errorShare
		if q.Service.Engine == nil && now.Before(r.avoidUntil) {
			score += 1
		}
	}
	return score + b.random()*b.spread(now)/float64(limit)
}

// spread is the random part of a score, in requests. Nodes that decide on the
// same report at the same time must not all choose the least loaded group.
func (b *Board) spread(now time.Time) float64 {
	nodes := 1
	for _, r := range b.remotes {
		if now.Sub(r.at) <= remoteBound {
			nodes += r.nodes
		}
	}
	return max(1, spreadPerNode*float64(nodes))
}

// returnAfter estimates when a refused request finds room: a full fleet of
// groups frees slots at the rate at which it completes requests.
func (b *Board) returnAfter(q Query, r *Refusal) time.Duration {
	if q.Service.Engine == nil || r.Candidates == 0 {
		return maxReturn / 4
	}
	model := q.Service.Engine.Model(q.Model)
	if model == nil {
		return maxReturn
	}
	rate := q.Service.Engine.GroupRate(model) * float64(r.Candidates)
	if rate <= 0 {
		return maxReturn
	}
	excess := float64(r.Load - r.Limit + r.Candidates)
	wait := time.Duration(excess / rate * float64(time.Second))
	spread := 0.7 + 0.6*b.random()
	return min(max(time.Duration(spread*float64(wait)), minReturn), maxReturn)
}
