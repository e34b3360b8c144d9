package queue

import (
	"fmt"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// minRetryAfter is the least Retry-After of a refusal.
const minRetryAfter = time.Second

// figurePrecision rounds times in messages.
const figurePrecision = 10 * time.Millisecond

// admit refuses a new request that would wait too long or finds the queue
// full. A full queue evicts for it where another account holds more of the
// queue.
func (s *Scheduler) admit(r *rankState, request *Request, now time.Time) *refusal.Error {
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
		return refusal.New(refusal.KindDeadline, http.StatusGatewayTimeout, "the deadline has passed already; send the request with a later one")
	}
	wait := s.predict(r, request.Account)
	limit, name := r.FirstTokenTarget, "first-token target"
	if left := request.Deadline.Sub(now); !request.Deadline.IsZero() && left < limit {
		limit, name = left, "deadline"
	}
	if limit > 0 && wait > limit {
		return overloaded(wait, fmt.Sprintf("the predicted wait of %v passes the %s of %v of rank %s: %d requests are queued in the rank and %d of %d slots are taken",
			wait.Round(figurePrecision), name, limit.Round(figurePrecision), r.Name, r.queued(), s.groups.used, s.groups.slots))
	}
	if r.QueueBound > 0 && r.queued() >= r.QueueBound {
		return s.admitToFull(r, request, wait)
	}
	return nil
}

// admitToFull evicts the newest request of the account that holds the most
// of the queue, where it holds more than the newcomer's account would.
func (s *Scheduler) admitToFull(r *rankState, request *Request, wait time.Duration) *refusal.Error {
	own := 0
	if a := r.accounts[request.Account]; a != nil {
		own = a.fresh.Len()
	}
	full := fmt.Sprintf("the queue of rank %s is full with %d requests", r.Name, r.queued())
	largest := r.largest()
	if largest == nil || largest.fresh.Len() <= own+1 {
		return overloaded(wait, fmt.Sprintf("%s, %d of them of account %s", full, own, request.Account))
	}
	victim := largest.fresh.Back().Value.(*item)
	message := fmt.Sprintf("%s, and account %s holds the most with %d", full, largest.name, largest.fresh.Len())
	s.remove(victim)
	s.evicted = append(s.evicted, Expiry{RequestID: victim.ID, Refusal: overloaded(wait, message)})
	return nil
}

// overloaded returns a refusal of a request that has not run.
func overloaded(wait time.Duration, message string) *refusal.Error {
	after := max(wait, minRetryAfter)
	message += fmt.Sprintf("; send the request again after %v", after.Round(figurePrecision))
	return refusal.New(refusal.KindOverloaded, http.StatusTooManyRequests, message).After(after)
}

// deadlineRefusal returns the refusal of a queued item whose deadline passed.
// A resumed one has run before.
func deadlineRefusal(it *item, now time.Time) *refusal.Error {
	message := fmt.Sprintf("the deadline passed after %v in the queue of rank %s; allow more time or send the request later",
		now.Sub(it.arrived).Round(figurePrecision), it.rank.Name)
	if it.Resumed {
		return refusal.Unknown(refusal.KindDeadline, http.StatusGatewayTimeout, message)
	}
	return refusal.New(refusal.KindDeadline, http.StatusGatewayTimeout, message)
}
