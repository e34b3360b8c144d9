package queue

import (
	"fmt"
	"time"
)

// Reason is why a request is queued, or why it was started. It is stable
// across releases.
type Reason string

// The reasons of queued and started requests.
const (
	// ReasonUnknown: the request is neither queued nor running.
	ReasonUnknown Reason = "Unknown"
	// ReasonWaiting: no slot is free for the request yet.
	ReasonWaiting Reason = "Waiting"
	// ReasonAvoiding: the request avoids every group with a free slot.
	ReasonAvoiding Reason = "Avoiding"
	// ReasonRankOrder: its rank was the most urgent one with requests to start.
	ReasonRankOrder Reason = "RankOrder"
	// ReasonFloor: its rank was below its floor.
	ReasonFloor Reason = "Floor"
	// ReasonPreempted: the run is being cancelled for a more urgent request.
	ReasonPreempted Reason = "Preempted"
)

// Explain returns why a queued request waits, or why a running one was started,
// as of the last event.
func (s *Scheduler) Explain(id string) Explanation {
	if it := s.queued[id]; it != nil {
		return s.explainQueued(it, s.lastEvent)
	}
	if it := s.running[id]; it != nil {
		return s.explainRunning(it, s.lastEvent)
	}
	return Explanation{Reason: ReasonUnknown, Message: "request " + id + " is neither queued nor running here"}
}

func (s *Scheduler) explainQueued(it *item, now time.Time) Explanation {
	reason := ReasonWaiting
	if it.parked {
		reason = ReasonAvoiding
	}
	r := it.rank
	return Explanation{Reason: reason, Message: fmt.Sprintf(
		"request %s has waited %v in rank %s: %d requests of account %s and %d of the rank are queued, %d of %d slots are taken; the rank has %.0f%% of the tokens of the last %v, floor %.0f%%",
		it.ID, now.Sub(it.arrived).Round(messageTimePrecision), r.Name, it.account.queued(), it.Account, r.queued(),
		s.groups.used, s.groups.slots, 100*s.shareSince(r, now.Add(-FloorWindow), now), FloorWindow, 100*r.FloorShare)}
}

func (s *Scheduler) explainRunning(it *item, now time.Time) Explanation {
	reason := it.startReason
	if it.preempting {
		reason = ReasonPreempted
	}
	return Explanation{Reason: reason, Message: fmt.Sprintf(
		"request %s of rank %s has run for %v in group %s after %v in the queue, with %d of %d prefix blocks expected in its cache and %d of %d estimated tokens used",
		it.ID, it.rank.Name, now.Sub(it.started).Round(messageTimePrecision), it.group.name, it.started.Sub(it.arrived).Round(messageTimePrecision),
		it.prefixHit, len(it.Prefix), it.usedTokens, it.CostTokens)}
}
