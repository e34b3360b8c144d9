package place

import "time"

const (
	// In a large fleet, load shedding refuses a random share of the requests.
	// The share rises from none at the first utilization to all at the second.
	// Reports there are some hundred milliseconds old; without shedding, requests
	// beyond the engines' batches queue until nearly all answers are late.
	sheddingStartUtilization = 0.78
	sheddingEndUtilization   = 1.0
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// sheddingProbability is the probability with which a request is refused although
// there is room, so that the requests that are served are on time.
func (b *Board) sheddingProbability(q Query, totals *Refusal, now time.Time) float64 {
	if q.Service.Engine == nil || totals.Limit == 0 || b.liveNodes(now) <= MaxDirectNodes {
		return 0
	}
	utilization := float64(totals.Load) / float64(totals.Limit)
	return min(max((utilization-sheddingStartUtilization)/(sheddingEndUtilization-sheddingStartUtilization), 0), 1)
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
