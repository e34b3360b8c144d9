package place

import (
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// MaxDirectNodes is the number of nodes up to which reports reach a node
	// directly. Larger fleets exchange them over hubs, which makes them older.
	MaxDirectNodes = 16
	// Share of the running requests that began after the reports were made.
	// Reports are about 0.1 s old when exchanged directly and some tenths of a
	// second over hubs; a request lasts about a second.
	directUnreportedShare = 0.1
	hubUnreportedShare    = 0.4
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
	// Preferred is the host that a node with newer counts has chosen, or "". That node
	// knows whether its group is stalled.
	Preferred string
	// TrustsGroups is true if the caller knows by itself which groups are stalled.
	TrustsGroups bool
	// Account is the client account, "" if there are none.
	Account string
	// TimeLeft is the time until the caller gives up; 0 means that it is not known.
	TimeLeft time.Duration
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
	// RetryAfter is the delay after which room is expected. Promised is true if admission
	// set it: the caller is then admitted at any node of its failure domain.
	RetryAfter time.Duration
	Promised   bool
	// AdmittedShare is the share of the requests of the rank that is admitted, 1 where
	// admission refuses none.
	AdmittedShare float64
}

// Choose selects an endpoint for a request and counts the request as started
// there. It returns a refusal if no endpoint has room or if load shedding refuses
// the request, and nil otherwise.
//
// A choice has three steps: which candidates there are (candidates.go), how much room
// each of them has and why (room.go), and which one is chosen (choice.go).
func (b *Board) Choose(view *fleet.View, q Query, now time.Time) (Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.survey(q.hosts(view), q, now)
	refusal := &Refusal{Candidates: s.count, Load: s.load, Limit: s.limit, Waiting: s.waiting, Cold: s.coldFound - len(s.cold), RetryAfter: minRetryAfter, AdmittedShare: 1}
	if s.onlyWaiting() {
		refusal.RetryAfter = b.waitRetryAfter(s.firstWaitEnd, now)
		return Choice{}, refusal
	}
	asked := 0.0
	if s.count > 0 { // callers may name any model, so only those that are served are counted
		asked = b.limiter.Asked(q.Service.Name+"/"+q.Model, now)
	}
	b.estimateLoad(&s, q, now)
	candidates := b.withRoom(&s, now)
	if len(candidates) == 0 && s.index != nil {
		candidates = b.lookFurther(&s, q, now)
	}
	admitted, share := b.admit(q, &s, now)
	if chosen, found := b.pickCold(&s, candidates, now); found {
		return b.started(chosen, q, true, now), nil
	}
	if chosen, found := b.preferred(view, q, now); found {
		return b.started(chosen, q, false, now), nil
	}
	if s.count == 0 && s.coldFound > 0 {
		refusal.Candidates, refusal.RetryAfter = s.coldFound, b.coldRetryAfter()
		return Choice{}, refusal
	}
	if s.notFull == 0 || !admitted {
		refusal.AdmittedShare = share
		refusal.RetryAfter, refusal.Promised = b.retryAfter(q, refusal, now)
		return Choice{}, refusal
	}
	requests := max(1, b.unreportedShare(now)*float64(s.load))
	if s.limitedRate > 0 {
		requests = max(requests, b.placedTogether(asked, now))
	}
	chosen, found := b.pickByWaterFilling(candidates, requests*s.part)
	if !found {
		refusal.RateLimited = true
		refusal.RetryAfter = b.rateLimitedRetryAfter(q, s.limitedRate, now)
		return Choice{}, refusal
	}
	return b.started(chosen, q, false, now), nil
}

// AllWait returns the time after which the first endpoint takes requests again if all that could
// run the request ask for none, and 0 otherwise.
func (b *Board) AllWait(view *fleet.View, q Query, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.survey(q.hosts(view), q, now)
	if !s.onlyWaiting() {
		return 0
	}
	return b.waitRetryAfter(s.firstWaitEnd, now)
}

// unreportedShare is the share of the running requests that began after the
// reports were made.
func (b *Board) unreportedShare(now time.Time) float64 {
	if b.liveNodes(now) <= MaxDirectNodes {
		return directUnreportedShare
	}
	return hubUnreportedShare
}
