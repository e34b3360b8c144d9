package soak

import (
	"math"
	"strconv"
	"sync"
	"time"

	"currantladder.example/currantladder/platform/standin"
)

// The platform's bounds for hosts that want no requests.
const (
	// leavingGrace is how long after a node has passed on an answer which says that its host
	// leaves, callers may still send a request that reaches the host from that node.
	leavingGrace = 2 * time.Second
	// At most waitBudget requests may reach a host from a node between waitGrace after it
	// has refused one of its requests and the end of the time for which it wants none, at
	// most maxJudgedWait.
	waitBudget    = 2
	waitGrace     = 500 * time.Millisecond
	maxJudgedWait = time.Minute
)

// sentRequests holds what callers sent. It is safe for concurrent use. The zero value is empty.
type sentRequests struct {
	mu   sync.Mutex
	byID map[string]sending
}

// sending is a request that a caller sent to a node.
type sending struct {
	node *node
	at   time.Time
	// passedOn is when the caller had the whole answer, or zero.
	passedOn time.Time
}

// add records a request before it is sent.
func (r *sentRequests) add(id string, n *node, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]sending{}
	}
	r.byID[id] = sending{node: n, at: at}
}

// passedOn records that a caller has the whole answer.
func (r *sentRequests) passedOn(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.byID[id]
	sent.passedOn = at
	r.byID[id] = sent
}

// judgedArrival is a request of a caller that reached a host.
type judgedArrival struct {
	standin.Arrival
	sending
}

// arrivalsAt returns the requests of callers that reached a host. Those that the faults and
// the waits for recovery send are left out.
func (s *Soak) arrivalsAt(h *standin.Host) []judgedArrival {
	all := h.Arrivals()
	s.sent.mu.Lock()
	defer s.sent.mu.Unlock()
	var judged []judgedArrival
	for _, a := range all {
		if sent, ok := s.sent.byID[a.RequestID]; ok {
			judged = append(judged, judgedArrival{a, sent})
		}
	}
	return judged
}

// forgot reports whether a node was restarted or frozen in a span of time.
func (s *Soak) forgot(n *node, from, to time.Time) bool {
	return n.startedWithin(from, to) || s.disturbances.during(from, to, n.name)
}

// judgeLeaving records a violation if a request reached a host through a node that had passed
// on before the request was sent that the host leaves.
func (s *Soak) judgeLeaving(h *standin.Host) { s.judgeArrivalsAtLeaving(h.ID, s.arrivalsAt(h)) }

func (s *Soak) judgeArrivalsAtLeaving(host string, arrivals []judgedArrival) {
	var told []judgedArrival
	for _, a := range arrivals {
		if a.SaidLeaving && !a.passedOn.IsZero() && s.ledger.RanAt(a.RequestID, host) && s.ledger.Runs(a.RequestID) == 1 {
			told = append(told, a)
		}
	}
	late, excused := 0, 0
	for _, a := range arrivals {
		for _, t := range told {
			if t.node != a.node || a.at.Sub(t.passedOn) <= leavingGrace {
				continue
			}
			if s.forgot(a.node, t.passedOn, a.At) {
				excused++
				continue
			}
			late++
			s.ledger.RecordViolation("%s at %v: request %s reached host %s through %s, sent %v after %s had said there that the host leaves",
				host, a.At.Sub(s.started).Round(time.Millisecond), a.RequestID, host, a.node.name, a.at.Sub(t.passedOn).Round(time.Millisecond), t.RequestID)
			break
		}
	}
	s.progress("host %s: %d answers that it leaves were passed on, %d late requests (%d pairs excused)", host, len(told), late, excused)
}

// judgeWaits records a violation if too many requests reached a host from one node within a
// time for which it wanted none. A time in which the soak held up the host's connections is
// not judged: the node may not have got the answer, or have sent the requests before.
func (s *Soak) judgeWaits(h *standin.Host) { s.judgeArrivalsAtWaiting(h.ID, s.arrivalsAt(h)) }

func (s *Soak) judgeArrivalsAtWaiting(host string, arrivals []judgedArrival) {
	refusals, within, forgotten, held, broken := 0, 0, 0, 0, map[*node]bool{}
	for _, refused := range arrivals {
		if refused.RefusedAt.IsZero() || requestedWait(refused.RetryAfter) == 0 {
			continue
		}
		refusals++
		from, to := refused.RefusedAt.Add(waitGrace), refused.RefusedAt.Add(requestedWait(refused.RetryAfter))
		var reached []judgedArrival
		for _, a := range arrivals {
			if a.node == refused.node && a.At.After(from) && a.At.Before(to) {
				reached = append(reached, a)
			}
		}
		within = max(within, len(reached))
		if len(reached) <= waitBudget || broken[refused.node] {
			continue
		}
		last := reached[waitBudget]
		if s.forgot(refused.node, refused.RefusedAt, last.At) {
			forgotten++
			continue
		}
		if s.disturbances.during(refused.RefusedAt, last.At, host) {
			held++
			continue
		}
		broken[refused.node] = true
		s.ledger.RecordViolation("%s at %v: %d requests from %s within the %v that it had asked for in its answer to %s, the third %s after %v",
			host, refused.RefusedAt.Sub(s.started).Round(time.Millisecond), len(reached), refused.node.name, to.Sub(refused.RefusedAt), refused.RequestID, last.RequestID,
			last.At.Sub(refused.RefusedAt).Round(time.Millisecond))
	}
	s.progress("host %s: %d refusals with a time, at most %d requests of one node within it (excused: %d times the node, %d times the link)", host, refusals, within, forgotten, held)
}

// requestedWait returns the time that a Retry-After asks for, 0 if it names none, and at most
// maxJudgedWait.
func requestedWait(retryAfter string) time.Duration {
	asked, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil || math.IsNaN(asked) || asked <= 0 {
		return 0
	}
	return time.Duration(min(asked, maxJudgedWait.Seconds()) * float64(time.Second))
}
