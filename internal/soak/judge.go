package soak

import (
	"errors"
	"net/http"
	"os"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

const (
	// lossSlack is the platform's bound: a request that ran nowhere counts as read by the
	// node if its connection ends later than this after its last byte.
	lossSlack = 200 * time.Millisecond
	// crossingSlack is the same for the first request on a new connection.
	crossingSlack = 10 * time.Millisecond
	// deadlineSlack is how long before its time limit a request may be ended as late.
	deadlineSlack = 100 * time.Millisecond
	// answerSlack is the platform's bound for an answer after the time limit.
	answerSlack = 500 * time.Millisecond
	// configurationApplyTime is the platform's bound until a revision is in force.
	configurationApplyTime = 2 * time.Second
)

// sentRequest is a request whose outcome is judged.
type sentRequest struct {
	node *node
	id   string
	// mayRunAt selects the hosts of its service.
	mayRunAt func(*standin.Host) bool
	sentAt   time.Time
}

// judge records a violation if a node that was not disturbed ended a request without a whole
// answer or a refusal, although it had time left and no host that ran it was disturbed. A host
// that pauses is no excuse.
func (s *Soak) judge(r sentRequest, o standin.Outcome) {
	fault := s.faultOf(r, o)
	if fault == "" {
		return
	}
	now := time.Now()
	involved := append(s.ledger.Involved(r.id), r.node.name)
	if len(involved) == 1 && o.Status != 0 {
		for _, h := range s.hostsThat(r.mayRunAt) { // the attempts reached no host
			involved = append(involved, h.ID)
		}
	}
	if s.disturbances.during(r.sentAt, now, involved...) {
		return
	}
	s.ledger.RecordViolation("%s at %v: request %s %s after %v with status %d, %d events (%v); ran at %v",
		r.node.name, now.Sub(s.started).Round(time.Millisecond), r.id, fault, now.Sub(r.sentAt).Round(time.Millisecond), o.Status, o.Events, o.Err, involved)
}

// faultOf returns what is wrong with an outcome, "" if nothing is.
func (s *Soak) faultOf(r sentRequest, o standin.Outcome) string {
	late := time.Since(r.sentAt) >= s.timeLimit(r.sentAt)-deadlineSlack
	var closed *standin.ClosedError
	switch {
	case o.Complete:
		return ""
	case errors.As(o.Err, &closed):
		age, ran := time.Since(closed.Sent), s.ledger.Runs(r.id) > 0
		if errors.Is(o.Err, os.ErrDeadlineExceeded) {
			if age < requestTimeout+answerSlack {
				return "" // the caller left before the node had to answer
			}
			return "got no answer in time"
		}
		if ran || age > lossSlack || (closed.First && age > crossingSlack) {
			return "lost: the connection ended without an answer"
		}
		return ""
	case o.Status == 0:
		return "" // the node has not read the request
	case o.Status == http.StatusOK && !late:
		return "cut"
	case o.Status == http.StatusOK, standin.PromisesNotRun(o.Status):
		return ""
	case o.Status >= http.StatusInternalServerError && late:
		return ""
	}
	return "failed"
}
