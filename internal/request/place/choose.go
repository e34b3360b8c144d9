package place

import (
	"cmp"
	"slices"
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
	// reportWorth is the number of own requests a host at which a node trusts
	// their spread as much as the others' reports.
	reportWorth = 3.0
	// promptUnseen and hubUnseen are the parts of the running requests that
	// began after the reports, which are about 0.1 s old between few nodes and
	// some tenths over hubs; requests last about a second.
	promptUnseen = 0.1
	hubUnseen    = 0.4
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
	var candidates []candidate
	own := 0
	for _, host := range view.ServiceHosts(q.Service.Name) {
		if !b.serves(host, q, now) {
			continue
		}
		c := candidate{host: host, limit: hostLimit(host, q), reported: b.load(host.ID, now)}
		if r := b.hosts[host.ID]; r != nil {
			c.own = r.inFlight
		}
		own += c.own
		refusal.Candidates++
		refusal.Load += c.reported
		refusal.Limit += c.limit
		candidates = append(candidates, c)
	}
	b.estimate(candidates, q, own, refusal.Load, now)
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return max(c.load, float64(c.reported)) >= float64(c.limit) })
	if len(candidates) == 0 || b.random() < b.earlyRefusal(q, refusal, now) {
		refusal.ReturnAfter = b.returnAfter(q, refusal)
		return Choice{}, refusal
	}
	chosen := b.fill(candidates, max(1, b.unseenPart(now)*float64(refusal.Load)))
	b.record(chosen.host.ID).inFlight++
	return Choice{chosen.host, chosen.reported, chosen.limit}, nil
}

// candidate is a host that may take a request.
type candidate struct {
	host *fleet.Host
	// own is the number of this node's requests at the host, reported that of
	// all nodes as this one knows it.
	own, reported, limit int
	// load estimates the requests at the host; cost is load with additions for
	// doubtful and far hosts, in requests.
	load, cost float64
}

// estimate sets load and cost. Reports are old, and all nodes act on the same
// ones; but what a node sends it knows. So the load is drawn towards what it
// would be if the others spread their requests as this node does, the more so
// the more requests of its own the node has to judge by.
func (b *Board) estimate(candidates []candidate, q Query, own, reported int, now time.Time) {
	weight, scale := 0.0, 0.0
	if own > 0 {
		mean := float64(own) / float64(len(candidates))
		weight, scale = mean/(mean+reportWorth), float64(reported)/float64(own)
	}
	for i := range candidates {
		c := &candidates[i]
		c.load = (1-weight)*float64(c.reported) + weight*scale*float64(c.own)
		c.cost = c.load + b.penalty(c.host, q, now)*float64(c.limit)
	}
}

// fill chooses a host by water-filling: so many requests of all nodes on the
// same reports raise the cheapest hosts to one level, and each of them is chosen
// with the chance of its part.
func (b *Board) fill(candidates []candidate, requests float64) candidate {
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(x.host.ID, y.host.ID))
	})
	level, sum, filled := 0.0, 0.0, 0
	for i, c := range candidates {
		if i > 0 && c.cost >= level {
			break
		}
		sum += c.cost
		filled = i + 1
		level = (requests + sum) / float64(filled)
	}
	at := b.random() * requests
	for _, c := range candidates[:filled] {
		if at -= level - c.cost; at < 0 {
			return c
		}
	}
	return candidates[0]
}

// unseenPart is the part of the running requests that began after the reports.
func (b *Board) unseenPart(now time.Time) float64 {
	if b.liveNodes(now) <= promptNodes {
		return promptUnseen
	}
	return hubUnseen
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
	return RankLimit(q.Service.Engine, q.Rank)
}

// RankLimit is the number of requests of a group with which one of the rank may
// still come.
func RankLimit(engine *fleet.Engine, rank int) int {
	share := lowShare
	switch {
	case rank <= 0:
		share = urgentShare
	case rank == 1:
		share = middleShare
	}
	return max(int(share*float64(engine.Slots)), 1)
}

// penalty is what a doubtful host costs and a near one spares, in parts of its
// limit.
func (b *Board) penalty(host *fleet.Host, q Query, now time.Time) float64 {
	penalty := 0.0
	if host.FailureDomain == q.FailureDomain {
		penalty -= localBonus
	}
	if r := b.hosts[host.ID]; r != nil {
		penalty += errorWeight * r.errorShare
		if q.Service.Engine == nil && now.Before(r.avoidUntil) {
			penalty++
		}
	}
	return penalty
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
