package queue

import (
	"fmt"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// minRetryAfter is the minimum Retry-After of a refusal.
const minRetryAfter = time.Second

// messageTimePrecision is the precision of durations in messages.
const messageTimePrecision = 10 * time.Millisecond

// admit refuses a new request if its deadline has passed, its predicted wait is
// too long or the queue is full. A full queue makes room by eviction if another account holds more of
// it than the request's account would.
func (s *Scheduler) admit(r *rankState, request *Request, now time.Time) *refusal.Error {
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
		return refusal.New(refusal.KindDeadline, http.StatusGatewayTimeout, "the deadline has passed already; send the request with a later one")
	}
	wait := s.predictWait(r, request.Account)
	maxWait, maxWaitName := r.FirstTokenTarget, "first-token target"
	if remaining := request.Deadline.Sub(now); !request.Deadline.IsZero() && remaining < maxWait {
		maxWait, maxWaitName = remaining, "deadline"
	}
	if maxWait > 0 && wait > maxWait {
		return overloadedRefusal(wait, fmt.Sprintf("the predicted wait of %v passes the %s of %v of rank %s: %d requests are queued in the rank and %d of %d slots are taken",
			wait.Round(messageTimePrecision), maxWaitName, maxWait.Round(messageTimePrecision), r.Name, r.queued(), s.groups.used, s.groups.slots))
	}
	if r.QueueBound > 0 && r.queued() >= r.QueueBound {
		return s.admitToFullQueue(r, request, wait)
	}
	return nil
}

// admitToFullQueue evicts the newest request of the account with the most
// queued requests if that account holds more than the request's account would.
// Otherwise it refuses the request.
func (s *Scheduler) admitToFullQueue(r *rankState, request *Request, wait time.Duration) *refusal.Error {
	ownQueued := 0
	if a := r.accounts[request.Account]; a != nil {
		ownQueued = a.fresh.Len()
	}
	full := fmt.Sprintf("the queue of rank %s is full with %d requests", r.Name, r.queued())
	largest := r.largestAccount()
	if largest == nil || largest.fresh.Len() <= ownQueued+1 {
		return overloadedRefusal(wait, fmt.Sprintf("%s, %d of them of account %s", full, ownQueued, request.Account))
	}
	victim := largest.fresh.Back().Value.(*item)
	message := fmt.Sprintf("%s, and account %s holds the most with %d", full, largest.name, largest.fresh.Len())
	s.removeQueued(victim)
	s.evicted = append(s.evicted, RefusedRequest{RequestID: victim.ID, Refusal: overloadedRefusal(wait, message)})
	return nil
}

// overloadedRefusal returns the refusal of a request that has not run. wait is
// the predicted wait.
func overloadedRefusal(wait time.Duration, message string) *refusal.Error {
	retryAfter := max(wait, minRetryAfter)
	message += fmt.Sprintf("; send the request again after %v", retryAfter.Round(messageTimePrecision))
	return refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, message).WithRetryAfter(retryAfter)
}

// deadlineRefusal returns the refusal of a queued item whose deadline has
// passed. A resumed item has run before.
func deadlineRefusal(it *item, now time.Time) *refusal.Error {
	message := fmt.Sprintf("the deadline passed after %v in the queue of rank %s; allow more time or send the request later",
		now.Sub(it.arrived).Round(messageTimePrecision), it.rank.Name)
	if it.Resumed {
		return refusal.NewMayHaveRun(refusal.KindDeadline, http.StatusGatewayTimeout, message)
	}
	return refusal.New(refusal.KindDeadline, http.StatusGatewayTimeout, message)
}
