// Package place chooses the endpoint for a request. Many entry nodes send to the
// same groups without a common queue. Each node therefore adds its own requests
// in flight to the counts that the other nodes report, keeps every group within
// the size of its batch, and refuses a request at once when no group has room.
// Callers pass in the time; the package does no I/O and blocks only on a mutex.
package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantladder.example/currantladder/internal/request/admission"
	"currantladder.example/currantladder/internal/request/ratelimit"
	"currantladder.example/currantladder/internal/request/warmup"
	"currantladder.example/currantladder/internal/version/fleet"
)

const (
	// suspicionTTL is how long a stalled group gets no request. By then its
	// controller has checked the members.
	suspicionTTL = 1500 * time.Millisecond
	// initialQuarantine is how long an endpoint is quarantined after a failure.
	// Each further failure doubles the time, up to maxQuarantine.
	initialQuarantine = 300 * time.Millisecond
	maxQuarantine     = 3 * time.Second
	// failureWindow is the longest time between two failures of an endpoint that
	// count as consecutive.
	failureWindow = 5 * time.Second
)

// Outcome is how an attempt at an endpoint ended.
type Outcome int

const (
	// OutcomeAnswered: the endpoint answered, whatever its status.
	OutcomeAnswered Outcome = iota
	// OutcomeRefused: the endpoint declared that it did not run the request.
	OutcomeRefused
	// OutcomeFailed: no connection, no answer, or an incomplete answer.
	OutcomeFailed
	// OutcomeAbandoned: the caller or this node ended the attempt.
	OutcomeAbandoned
)

// Board tracks the load and health of endpoints as seen by one node. It is safe
// for concurrent use.
type Board struct {
	mu      sync.Mutex
	hosts   map[string]*hostRecord
	reports map[string]remoteReport
	// nodesElsewhere is the number of nodes behind the reports. No report expires until
	// nextExpiry.
	nodesElsewhere int
	nextExpiry     time.Time
	// indexes hold the hosts by load, for each service and model that was asked for and
	// is served.
	indexes map[indexedModel]*loadIndex
	// impaired holds the hosts that may be suspected, quarantined, waiting or filled
	// slowly after a wait. Choices remove the others.
	impaired map[string]struct{}
	limiter  *ratelimit.Limiter
	// returns holds, by service and model, the times that refused callers were given.
	returns map[string]*rate.Limiter
	// waits holds the hosts that ask for no requests, by ID. An entry outlives the
	// host's registration, which may lapse and come back within one life.
	waits map[string]*wait
	// warmup limits the requests to cold hosts; nil for no limit.
	warmup    *warmup.Guard
	admission *admission.Controller
	// random returns numbers in [0, 1).
	random func() float64
}

// hostRecord is the load and health of one host.
type hostRecord struct {
	// inFlight is the number of this node's requests, elsewhere that of the other nodes'
	// by the reports that have not expired. entry is nil if no index holds the host.
	inFlight, elsewhere int
	entry               *indexEntry
	// lastProgress is when the host last sent any part of an answer.
	lastProgress     time.Time
	quarantinedUntil time.Time
	suspectedUntil   time.Time
	// failures counts consecutive failed attempts.
	failures    int
	lastFailure time.Time
	// failureRate is a moving average of failed attempts, 0 to 1.
	failureRate float64
	// answerTime is a moving average of the time to a complete answer.
	answerTime time.Duration
}

// NewBoard returns an empty board.
func NewBoard() *Board { return NewBoardFrom(rand.Float64) }

// NewBoardFrom returns an empty board that takes its random numbers in [0, 1)
// from the given source.
func NewBoardFrom(random func() float64) *Board {
	return &Board{hosts: make(map[string]*hostRecord), reports: make(map[string]remoteReport), indexes: make(map[indexedModel]*loadIndex), impaired: make(map[string]struct{}), limiter: ratelimit.New(), returns: make(map[string]*rate.Limiter), waits: make(map[string]*wait), admission: admission.New(random), random: random}
}

// ensureHost returns the record of the host and creates it if there is none. The
// caller holds mu.
func (b *Board) ensureHost(id string) *hostRecord {
	r := b.hosts[id]
	if r == nil {
		r = &hostRecord{}
		b.hosts[id] = r
	}
	return r
}

// Started counts a request that is about to be sent to the host.
func (b *Board) Started(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ensureHost(id).addOwn(1)
}

// movingAverageWeight is the weight of the newest attempt in moving averages.
const movingAverageWeight = 0.1

// Ended records the outcome and duration of an attempt.
func (b *Board) Ended(id string, outcome Outcome, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ensureHost(id)
	r.addOwn(-1)
	switch outcome {
	case OutcomeAnswered:
		r.failures = 0
		r.lastProgress = now
		r.failureRate *= 1 - movingAverageWeight
		r.answerTime += time.Duration(movingAverageWeight * float64(took-r.answerTime))
	case OutcomeFailed, OutcomeRefused:
		b.recordFailure(id, now)
	case OutcomeAbandoned:
	}
}

// Overdue records that an attempt has had no answer for long. It counts as a failure, but
// the attempt goes on until Ended.
func (b *Board) Overdue(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordFailure(id, now)
}

// recordFailure quarantines the host for a failed attempt. The caller holds mu.
func (b *Board) recordFailure(id string, now time.Time) {
	r := b.ensureHost(id)
	b.impaired[id] = struct{}{}
	if now.Sub(r.lastFailure) > failureWindow {
		r.failures = 0
	}
	r.failures++
	r.lastFailure = now
	r.failureRate += movingAverageWeight * (1 - r.failureRate)
	quarantine := min(initialQuarantine<<min(r.failures-1, 8), maxQuarantine)
	r.quarantinedUntil = now.Add(quarantine)
}

// Progressed records that the host sent a part of an answer, and clears its
// suspicion.
func (b *Board) Progressed(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ensureHost(id)
	r.lastProgress = now
	r.suspectedUntil = time.Time{}
}

// Progress returns when the host last sent a part of an answer, or the zero time.
func (b *Board) Progress(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.hosts[id]; r != nil {
		return r.lastProgress
	}
	return time.Time{}
}

// Suspect records that all answers of the group behind the host are stalled. It
// reports whether the host was not suspected before.
func (b *Board) Suspect(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ensureHost(id)
	isNew := !now.Before(r.suspectedUntil)
	r.suspectedUntil = now.Add(suspicionTTL)
	b.impaired[id] = struct{}{}
	return isNew
}

// Suspected reports whether the host is suspected.
func (b *Board) Suspected(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.hosts[id]
	return r != nil && now.Before(r.suspectedUntil)
}

// Suspects returns the suspected hosts.
func (b *Board) Suspects(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, r := range b.hosts {
		if now.Before(r.suspectedUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// InFlight returns this node's requests in flight by host, to be reported to the
// other nodes.
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

// RemoveUnregistered drops hosts that are no longer registered and have no
// requests.
func (b *Board) RemoveUnregistered(view *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, x := range b.indexes {
		if !slices.Equal(x.hosts, view.OpenHeads(key.service, key.model)) && !slices.Equal(x.hosts, view.ReadyHosts(key.service)) {
			x.release()
			delete(b.indexes, key)
		}
	}
	for id, r := range b.hosts {
		if r.inFlight == 0 && r.elsewhere == 0 && r.entry == nil && view.Host(id) == nil {
			delete(b.hosts, id)
		}
	}
	b.limiter.Forget(func(id string) bool { return view.Host(id) != nil })
}
