package place

import (
	"time"

	"currantladder.example/currantladder/internal/request/admission"
)

// minRetryAfter and maxRetryAfter bound the retry delay of a refused request.
const (
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Admission returns the admission of this node, whose sums the nodes exchange.
func (b *Board) Admission() *admission.Controller { return b.admission }

// usesAdmission reports whether requests are refused although groups have room, so that
// those that are served are on time. Where reports reach all nodes directly, groups are
// filled up to their limits. The caller holds mu.
func (b *Board) usesAdmission(q Query, now time.Time) bool {
	return q.Service.Engine != nil && b.liveNodes(now) > MaxDirectNodes
}

// admit reports whether admission allows a request, and the share of the requests of its
// rank that it allows. The caller holds mu.
func (b *Board) admit(q Query, s *survey, now time.Time) (admitted bool, share float64) {
	chance := 0.0
	if s.notFull > 0 {
		chance = b.random()
	}
	if s.count == 0 || !b.usesAdmission(q, now) {
		return true, 1
	}
	decision := b.admission.Decide(q.admission(s.load, s.limit), now)
	if len(q.Exclude) > 0 { // a further attempt does not follow the time of its caller
		return chance < decision.Share, decision.Share
	}
	return decision.Admitted, decision.Share
}

// admission returns what admission depends on, for sums over the groups.
func (q Query) admission(load, limit int) admission.Request {
	return admission.Request{
		Model: admission.Model{Service: q.Service.Name, Name: q.Model}, Rank: q.Rank, Load: load, Limit: limit,
		Account: q.Account, FailureDomain: q.FailureDomain, TimeLeft: q.TimeLeft,
	}
}

// retryAfter estimates when there is room for a refused request. Full groups free slots at
// the rate at which they complete requests. Where admission sets the time, it is a promise.
// The caller holds mu.
func (b *Board) retryAfter(q Query, r *Refusal, now time.Time) (after time.Duration, promised bool) {
	if q.Service.Engine == nil || r.Candidates == 0 {
		return maxRetryAfter / 4, false
	}
	model := q.Service.Engine.Model(q.Model)
	if model == nil {
		return maxRetryAfter, false
	}
	if r.AdmittedShare < 1 && b.usesAdmission(q, now) {
		if after = b.admission.RetryAfter(q.admission(r.Load, r.Limit), r.AdmittedShare, now); after > 0 {
			return after, true
		}
	}
	rate := q.Service.Engine.GroupRate(model) * float64(r.Candidates)
	if rate <= 0 {
		return maxRetryAfter, false
	}
	backlog := float64(r.Load - r.Limit + r.Candidates)
	wait := time.Duration(backlog / rate * float64(time.Second))
	jitter := 0.7 + 0.6*b.random()
	return min(max(time.Duration(jitter*float64(wait)), minRetryAfter), maxRetryAfter), false
}
