package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// localDomainBonus is subtracted from the cost of an endpoint in the node's
	// own failure domain, as a share of the endpoint's limit. Traffic between
	// domains has a cost.
	localDomainBonus = 0.04
	// reportPseudoCount is the weight of the reports in the load estimate. At
	// this mean number of own requests per host, the node's own distribution
	// and the reports have equal weight.
	reportPseudoCount = 3.0
	// failurePenalty is added to the cost of a host that always fails, as a
	// multiple of its limit. It is scaled by the host's failure rate.
	failurePenalty = 3.0
)

// estimateLoad sets load and cost of the candidates. Reports are old and all
// nodes act on the same ones, but a node's own counts are current. The estimate
// is therefore a weighted average of the reported load and of the load that
// would result if the other nodes distributed their requests as this node does.
// The second weight grows with the number of the node's own requests.
func (b *Board) estimateLoad(s *survey, q Query, now time.Time) {
	weight, scale := 0.0, 0.0
	if s.ownInFlight > 0 {
		mean := float64(s.ownInFlight) / float64(s.count)
		weight, scale = mean/(mean+reportPseudoCount), float64(s.load)/float64(s.ownInFlight)
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		c.load = (1-weight)*float64(c.reported) + weight*scale*float64(c.ownInFlight)
		c.cost = c.load + b.penalty(c.host, c.record, q, now)*float64(c.limit)
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

// penalty is the addition to the cost of a host for failures and quarantine, less
// the bonus for the node's own failure domain, as a share of the host's limit.
func (b *Board) penalty(host *fleet.Host, r *hostRecord, q Query, now time.Time) float64 {
	penalty := 0.0
	if host.FailureDomain == q.FailureDomain {
		penalty -= localDomainBonus
	}
	penalty += failurePenalty * r.failureRate
	if q.Service.Engine == nil && now.Before(r.quarantinedUntil) {
		penalty++
	}
	return penalty
}
