package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// Shares of a group's batch that requests of rank 0, rank 1 and all further
	// ranks may fill. A less urgent rank leaves headroom, so that its bursts do
	// not delay the more urgent ones.
	rank0BatchShare   = 1.0
	rank1BatchShare   = 0.95
	lowRankBatchShare = 0.8
	// In a large fleet, load shedding refuses a random share of the requests.
	// The share rises from none at the first utilization to all at the second.
	// Reports there are some hundred milliseconds old; without shedding, requests
	// beyond the engines' batches queue until nearly all answers are late.
	sheddingStartUtilization = 0.78
	sheddingEndUtilization   = 1.0
	// MaxDirectNodes is the number of nodes up to which reports reach a node
	// directly. Larger fleets exchange them over hubs, which makes them older.
	MaxDirectNodes = 16
	// plainRequestsPerSlot limits the requests in flight at an endpoint of a
	// plain service, as a multiple of its slots.
	plainRequestsPerSlot = 3
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// localDomainBonus is subtracted from the cost of an endpoint in the node's
	// own failure domain, as a share of the endpoint's limit. Traffic between
	// domains has a cost.
	localDomainBonus = 0.04
	// reportPseudoCount is the weight of the reports in the load estimate. At
	// this mean number of own requests per host, the node's own distribution
	// and the reports have equal weight.
	reportPseudoCount = 3.0
	// Share of the running requests that began after the reports were made.
	// Reports are about 0.1 s old when exchanged directly and some tenths of a
	// second over hubs; a request lasts about a second.
	directUnreportedShare = 0.1
	hubUnreportedShare    = 0.4
	// failurePenalty is added to the cost of a host that always fails, as a
	// multiple of its limit. It is scaled by the host's failure rate.
	failurePenalty = 3.0
)

// Query describes a request to place.
type Query struct {
	Service *fleet.Service
	// Model is "" for a plain service.
	Model string
	Rank  int
	// Exclude lists hosts to which the request was already sent.
	Exclude []string
	// FailureDomain is the failure domain of this node.
	FailureDomain string
}

// Choice is the endpoint chosen for a request, with the load that was seen there.
type Choice struct {
	Host *fleet.Host
	// Load is the number of requests at the host before this one, Limit the
	// maximum for the request's rank.
	Load  int
	Limit int
	// RateLimited is true if the host names a limit of requests a second.
	RateLimited bool
	// Cold is true if the host is cold or has just begun to take requests.
	Cold bool
}

// Refusal describes why no endpoint was chosen.
type Refusal struct {
	// Candidates is the number of endpoints that could run it.
	Candidates int
	// Load and Limit are sums over the candidates.
	Load, Limit int
	// RateLimited is true if endpoints have room for the request, and the limits of
	// requests a second that they name do not allow it now.
	RateLimited bool
	// Waiting is the number of endpoints that could run it but ask for no requests.
	Waiting int
	// Cold is the number of endpoints that could run it but are cold and may get no more
	// requests of this node now.
	Cold int
	// RetryAfter is the delay after which room is expected.
	RetryAfter time.Duration
}

// Choose selects an endpoint for a request and counts the request as started
// there. It returns a refusal if no endpoint has room or if load shedding refuses
// the request, and nil otherwise.
func (b *Board) Choose(view *fleet.View, q Query, now time.Time) (Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	refusal := &Refusal{RetryAfter: minRetryAfter}
	var candidates []candidate
	var cold coldCandidates
	ownInFlight := 0
	var firstWaitEnd time.Time
	for _, host := range view.ServiceHosts(q.Service.Name) {
		if !b.isEligible(host, q, now) {
			continue
		}
		if w := b.waitOf(host); w != nil && now.Before(w.until) {
			w.leftOut++
			refusal.Waiting++
			if firstWaitEnd.IsZero() || w.until.Before(firstWaitEnd) {
				firstWaitEnd = w.until
			}
			continue
		}
		c := candidate{host: host, limit: b.rampedLimit(host, hostLimit(host, q), now), reported: b.load(host.ID, now)}
		if r := b.hosts[host.ID]; r != nil {
			c.ownInFlight = r.inFlight
		}
		if cold.add(b, c, q, now) {
			continue
		}
		ownInFlight += c.ownInFlight
		refusal.Candidates++
		refusal.Load += c.reported
		refusal.Limit += c.limit
		candidates = append(candidates, c)
	}
	refusal.Cold = cold.found - len(cold.open)
	if refusal.Candidates == 0 && cold.found == 0 && refusal.Waiting > 0 {
		refusal.RetryAfter = b.waitRetryAfter(firstWaitEnd, now)
		return Choice{}, refusal
	}
	asked := 0.0
	if len(candidates) > 0 { // callers may name any model, so only those that are served are counted
		asked = b.limiter.Asked(q.Service.Name+"/"+q.Model, now)
	}
	b.estimateLoad(candidates, q, ownInFlight, refusal.Load, now)
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return max(c.load, float64(c.reported)) >= float64(c.limit) })
	if chosen, found := cold.cheapest(b, candidates, now); found {
		return b.started(chosen, q, true, now), nil
	}
	notFull := len(candidates)
	if refusal.Candidates == 0 && cold.found > 0 {
		refusal.Candidates, refusal.RetryAfter = cold.found, cold.retryAfter(b)
		return Choice{}, refusal
	}
	candidates, limitedRate := b.applyRateLimits(candidates, now)
	if notFull == 0 || b.random() < b.sheddingProbability(q, refusal, now) {
		refusal.RetryAfter = b.retryAfter(q, refusal)
		return Choice{}, refusal
	}
	requests := max(1, b.unreportedShare(now)*float64(refusal.Load))
	if limitedRate > 0 {
		requests = max(requests, b.placedTogether(asked, now))
	}
	chosen, found := b.pickByWaterFilling(candidates, requests)
	if !found {
		refusal.RateLimited = true
		refusal.RetryAfter = b.rateLimitedRetryAfter(q, limitedRate, now)
		return Choice{}, refusal
	}
	return b.started(chosen, q, false, now), nil
}

// candidate is a host that may take a request.
type candidate struct {
	host *fleet.Host
	// ownInFlight is the number of this node's requests at the host; reported
	// adds the numbers that the other nodes reported.
	ownInFlight, reported, limit int
	// load is the estimated number of requests at the host. cost is load plus
	// the penalty, in requests.
	load, cost float64
	// limited is true if the host names a limit of requests a second. room is how
	// many more it may get from all nodes until their next reports, without a limit
	// infinite.
	limited bool
	room    float64
}

// estimateLoad sets load and cost of the candidates. Reports are old and all
// nodes act on the same ones, but a node's own counts are current. The estimate
// is therefore a weighted average of the reported load and of the load that
// would result if the other nodes distributed their requests as this node does.
// The second weight grows with the number of the node's own requests.
func (b *Board) estimateLoad(candidates []candidate, q Query, ownInFlight, reported int, now time.Time) {
	weight, scale := 0.0, 0.0
	if ownInFlight > 0 {
		mean := float64(ownInFlight) / float64(len(candidates))
		weight, scale = mean/(mean+reportPseudoCount), float64(reported)/float64(ownInFlight)
	}
	for i := range candidates {
		c := &candidates[i]
		c.load = (1-weight)*float64(c.reported) + weight*scale*float64(c.ownInFlight)
		c.cost = c.load + b.penalty(c.host, q, now)*float64(c.limit)
	}
}

// pickByWaterFilling chooses a host at random. It assumes that all nodes together
// place the given number of requests based on the same reports, and divides these
// requests so that the cheapest hosts reach one common cost, or the room that their
// limits leave. Each of these hosts is chosen with a probability equal to its share of
// the requests. Where the limits leave room for fewer requests, none may be chosen.
func (b *Board) pickByWaterFilling(candidates []candidate, requests float64) (chosen candidate, found bool) {
	if len(candidates) == 0 {
		return candidate{}, false
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), cmp.Compare(x.host.ID, y.host.ID))
	})
	level := commonLevel(candidates, requests)
	remaining := b.random() * requests
	last := -1
	for i, c := range candidates {
		share := min(level-c.cost, c.room)
		if share <= 0 {
			continue
		}
		if remaining -= share; remaining < 0 {
			return c, true
		}
		if !c.limited {
			last = i
		}
	}
	if last < 0 {
		return candidate{}, false
	}
	return candidates[last], true // the shares add up to less by rounding
}

// commonLevel returns the cost to which the candidates are filled by the given number
// of requests, with none filled beyond its room. The candidates are in ascending order
// of cost. The level is infinite if all their room is filled.
func commonLevel(candidates []candidate, requests float64) float64 {
	open := candidates
	for len(open) > 0 {
		level := fillLevel(open, requests)
		isFull := func(c candidate) bool { return level-c.cost > c.room }
		if !slices.ContainsFunc(open, isFull) {
			return level
		}
		var rest []candidate
		for _, c := range open {
			if isFull(c) {
				requests -= c.room
			} else {
				rest = append(rest, c)
			}
		}
		open = rest
	}
	return math.Inf(1)
}

// fillLevel returns the cost to which the cheapest candidates are filled by the given
// number of requests. The candidates are in ascending order of cost.
func fillLevel(candidates []candidate, requests float64) float64 {
	level, sum := 0.0, 0.0
	for i, c := range candidates {
		if i > 0 && c.cost >= level {
			break
		}
		sum += c.cost
		level = (requests + sum) / float64(i+1)
	}
	return level
}

// unreportedShare is the share of the running requests that began after the
// reports were made.
func (b *Board) unreportedShare(now time.Time) float64 {
	if b.liveNodes(now) <= MaxDirectNodes {
		return directUnreportedShare
	}
	return hubUnreportedShare
}

// sheddingProbability is the probability with which a request is refused although
// there is room, so that the requests that are served are on time.
func (b *Board) sheddingProbability(q Query, totals *Refusal, now time.Time) float64 {
	if q.Service.Engine == nil || totals.Limit == 0 || b.liveNodes(now) <= MaxDirectNodes {
		return 0
	}
	utilization := float64(totals.Load) / float64(totals.Limit)
	return min(max((utilization-sheddingStartUtilization)/(sheddingEndUtilization-sheddingStartUtilization), 0), 1)
}

// MayServe reports whether a host could run the request, be it full, suspected or
// quarantined at present.
func MayServe(view *fleet.View, q Query) bool {
	return slices.ContainsFunc(view.ServiceHosts(q.Service.Name), q.matches)
}

// matches reports whether the host is open for the request, whatever is known of its load
// and its failures.
func (q Query) matches(host *fleet.Host) bool {
	if !host.TakesRequests() || slices.Contains(q.Exclude, host.ID) {
		return false
	}
	return q.Service.Engine == nil || host.IsOpenHead() && host.LoadedModel == q.Model
}

// isEligible reports whether the host may take the request now.
func (b *Board) isEligible(host *fleet.Host, q Query, now time.Time) bool {
	if !q.matches(host) {
		return false
	}
	r := b.hosts[host.ID]
	if r == nil {
		return true
	}
	if now.Before(r.suspectedUntil) {
		return false
	}
	// A quarantined endpoint of a plain service stays eligible, because there
	// may be no other. Its penalty ranks it last.
	return q.Service.Engine == nil || !now.Before(r.quarantinedUntil)
}

// hostLimit is the number of requests in flight that the host may have.
func hostLimit(host *fleet.Host, q Query) int {
	if q.Service.Engine == nil {
		return max(host.Slots, 1) * plainRequestsPerSlot
	}
	return RankLimit(q.Service.Engine, q.Rank)
}

// RankLimit is the load of a group, in requests in flight, at which it takes no
// more requests of the rank.
func RankLimit(engine *fleet.Engine, rank int) int {
	share := lowRankBatchShare
	switch {
	case rank <= 0:
		share = rank0BatchShare
	case rank == 1:
		share = rank1BatchShare
	}
	return max(int(share*float64(engine.Slots)), 1)
}

// penalty is the addition to the cost of a host for failures and quarantine, less
// the bonus for the node's own failure domain, as a share of the host's limit.
func (b *Board) penalty(host *fleet.Host, q Query, now time.Time) float64 {
	penalty := 0.0
	if host.FailureDomain == q.FailureDomain {
		penalty -= localDomainBonus
	}
	if r := b.hosts[host.ID]; r != nil {
		penalty += failurePenalty * r.failureRate
		if q.Service.Engine == nil && now.Before(r.quarantinedUntil) {
			penalty++
		}
	}
	return penalty
}

// retryAfter estimates when there is room for a refused request. Full groups free
// slots at the rate at which they complete requests.
func (b *Board) retryAfter(q Query, r *Refusal) time.Duration {
	if q.Service.Engine == nil || r.Candidates == 0 {
		return maxRetryAfter / 4
	}
	model := q.Service.Engine.Model(q.Model)
	if model == nil {
		return maxRetryAfter
	}
	rate := q.Service.Engine.GroupRate(model) * float64(r.Candidates)
	if rate <= 0 {
		return maxRetryAfter
	}
	backlog := float64(r.Load - r.Limit + r.Candidates)
	wait := time.Duration(backlog / rate * float64(time.Second))
	jitter := 0.7 + 0.6*b.random()
	return min(max(time.Duration(jitter*float64(wait)), minRetryAfter), maxRetryAfter)
}
