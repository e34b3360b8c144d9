// Package place chooses the endpoint of a request. It answers the load in which
// many entry nodes send to the same groups without a common queue: each node
// adds its own requests to the counts that the others report, keeps every
// group below the size of its batch, and refuses at once when no group has
// room. It does no I/O and has no clock.
package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// Times of a board.
const (
	// remoteBound is the age at which another node's counts are dropped; it
	// is several periods of the exchange.
	remoteBound = 1500 * time.Millisecond
	// suspicionTime is how long a group that stood still takes no request; by
	// then its controller has looked at the members.
	suspicionTime = 1500 * time.Millisecond
	// firstAvoidance is how long an endpoint that failed is avoided; each
	// further failure doubles it up to maxAvoidance.
	firstAvoidance = 300 * time.Millisecond
	maxAvoidance   = 3 * time.Second
	// failureMemory is the time after which a failure no longer counts.
	failureMemory = 5 * time.Second
)

// Outcome is how an attempt at an endpoint ended.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeAnswered: the endpoint answered, whatever its status.
	OutcomeAnswered Outcome = iota
	// OutcomeRefused: the endpoint said that it did not run the request.
	OutcomeRefused
	// OutcomeFailed: no connection, no answer, or one that broke off.
	OutcomeFailed
	// OutcomeAbandoned: the caller or this node ended the attempt.
	OutcomeAbandoned
)

// Board holds what a node knows of the load and health of endpoints. It is
// safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	hosts   map[string]*record
	remotes map[string]remote
	// random draws from [0, 1).
	random func() float64
}

// record is the state of one host.
type record struct {
	inFlight int
	// progress is when the host last sent anything.
	progress     time.Time
	avoidUntil   time.Time
	suspectUntil time.Time
	failures     int
	failedAt     time.Time
	// errorShare is a moving average of failed attempts, 0 to 1.
	errorShare float64
	// answerTime is a moving average of the time to a whole answer.
	answerTime time.Duration
}

// remote is what another node reported, for itself or for several.
type remote struct {
	at       time.Time
	inFlight map[string]int
	nodes    int
}

// NewBoard returns an empty board.
func NewBoard() *Board { return NewBoardFrom(rand.Float64) }

// NewBoardFrom returns an empty board whose choices depend on the given source
// of random numbers in [0, 1) alone.
func NewBoardFrom(random func() float64) *Board {
	return &Board{hosts: make(map[string]*record), remotes: make(map[string]remote), random: random}
}

func (b *Board) record(id string) *record {
	r := b.hosts[id]
	if r == nil {
		r = &record{}
		b.hosts[id] = r
	}
	return r
}

// Started counts a request that is about to be sent to the host.
func (b *Board) Started(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(id).inFlight++
}

// averageWeight is the weight of the newest attempt in moving averages.
const averageWeight = 0.1

// Ended counts the end of an attempt that took the given time.
func (b *Board) Ended(id string, outcome Outcome, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(id)
	r.inFlight = max(r.inFlight-1, 0)
	switch outcome {
	case OutcomeAnswered:
		r.failures = 0
		r.progress = now
		r.errorShare *= 1 - averageWeight
		r.answerTime += time.Duration(averageWeight * float64(took-r.answerTime))
	case OutcomeFailed, OutcomeRefused:
		if now.Sub(r.failedAt) > failureMemory {
			r.failures = 0
		}
		r.failures++
		r.failedAt = now
		r.errorShare += averageWeight * (1 - r.errorShare)
		pause := min(firstAvoidance<<min(r.failures-1, 8), maxAvoidance)
		r.avoidUntil = now.Add(pause)
	case OutcomeAbandoned:
	}
}

// Progressed notes that the host sent a part of an answer.
func (b *Board) Progressed(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(id)
	r.progress = now
	r.suspectUntil = time.Time{}
}

// Progress returns when the host last sent anything, zero for never.
func (b *Board) Progress(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.hosts[id]; r != nil {
		return r.progress
	}
	return time.Time{}
}

// Suspect notes that all answers of the group behind the host stand still. It
// reports whether the suspicion is new.
func (b *Board) Suspect(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(id)
	isNew := !now.Before(r.suspectUntil)
	r.suspectUntil = now.Add(suspicionTime)
	return isNew
}

// Suspected reports whether the host is under suspicion.
func (b *Board) Suspected(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.hosts[id]
	return r != nil && now.Before(r.suspectUntil)
}

// Suspects returns the hosts under suspicion.
func (b *Board) Suspects(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, r := range b.hosts {
		if now.Before(r.suspectUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// InFlight returns this node's requests by host, for the other nodes.
func (b *Board) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]int)
	for id, r := range b.hosts {
		if r.inFlight > 0 {
			counts[id] = r.inFlight
		}
	}
	return counts
}

// Merge takes over what was reported under a name: the requests of that many
// nodes by host. It replaces the former report of that name.
func (b *Board) Merge(name string, inFlight map[string]int, nodes int, suspects []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remotes[name] = remote{now, inFlight, nodes}
	for _, id := range suspects {
		r := b.record(id)
		// A host that has just answered here is not stalled.
		if now.Sub(r.progress) > suspicionTime && !now.Before(r.suspectUntil) {
			r.suspectUntil = now.Add(suspicionTime / 2)
		}
	}
}

// LiveNodes counts the nodes that reported lately, this one included.
func (b *Board) LiveNodes(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.liveNodes(now)
}

// liveNodes is LiveNodes. The caller holds mu.
func (b *Board) liveNodes(now time.Time) int {
	live := 1
	for _, r := range b.remotes {
		if now.Sub(r.at) <= remoteBound {
			live += r.nodes
		}
	}
	return live
}

// Report is what was reported under one name.
type Report struct {
	// InFlight counts the requests of Nodes nodes by host.
	InFlight map[string]int
	Nodes    int
}

// Reported returns what other nodes reported lately, by name.
func (b *Board) Reported(now time.Time) map[string]Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	reported := make(map[string]Report, len(b.remotes))
	for name, r := range b.remotes {
		if now.Sub(r.at) > remoteBound {
			delete(b.remotes, name)
			continue
		}
		reported[name] = Report{r.inFlight, r.nodes}
	}
	return reported
}

// Forget drops hosts that are no longer registered and have no requests.
func (b *Board) Forget(view *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.hosts {
		if r.inFlight == 0 && view.Host(id) == nil {
			delete(b.hosts, id)
		}
	}
}

// load is the number of requests at a host, over all nodes. The caller holds
// mu.
func (b *Board) load(id string, now time.Time) int {
	total := 0
	if r := b.hosts[id]; r != nil {
		total = r.inFlight
	}
	for _, r := range b.remotes {
		if now.Sub(r.at) <= remoteBound {
			total += r.inFlight[id]
		}
	}
	return total
}
