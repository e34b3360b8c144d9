// Package retry decides whether a failed attempt may be repeated. Retries are
// a bounded share of first attempts, so that the loss of many endpoints at
// once does not multiply the load on the others.
package retry

import (
	"sync"
	"time"
)

const (
	// Window is the time over which attempts are counted.
	Window = 10 * time.Second
	// DefaultReserve is the number of retries that a rank may make in every
	// window in addition to its share, so that a failure at low load, where
	// the share allows less than one retry, is retried.
	DefaultReserve = 3

	bucketCount  = 10
	bucketLength = Window / bucketCount
)

// Policy is a rank's retry policy.
type Policy struct {
	// RetryShare is the retry budget as a share of first attempts.
	RetryShare float64
	// MaxAttempts limits the attempts of one request, including the first.
	MaxAttempts int
	// Reserve replaces DefaultReserve if it is above 0.
	Reserve float64
}

// Attempt describes a failed attempt.
type Attempt struct {
	Rank   string
	Policy Policy
	// AttemptsMade is the number of attempts so far, including the first.
	AttemptsMade int
	// Idempotent is false for a call that must not run twice.
	Idempotent bool
}

// Budget counts the attempts of every rank at one node. It has no clock and
// does no I/O, and is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	epoch time.Time
	ranks map[string]*rankCounts
}

// rankCounts is the attempts of one rank in a ring of buckets.
type rankCounts struct {
	ring [bucketCount]bucket
}

// bucket counts the attempts in one bucketLength of time.
type bucket struct {
	// index is the number of the bucket since the epoch of the budget.
	index   int64
	first   int
	retries int
}

// NewBudget returns a budget that has counted no attempts.
func NewBudget() *Budget { return &Budget{ranks: map[string]*rankCounts{}} }

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt(rank string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketAt(rank, now).first++
}

// Allow reports whether the request may be tried again, and counts the retry
// if so.
func (b *Budget) Allow(a Attempt, now time.Time) bool {
	if !a.Idempotent || a.AttemptsMade >= a.Policy.MaxAttempts {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucketAt(a.Rank, now)
	first, retries := b.ranks[a.Rank].sum(current.index)
	reserve := float64(DefaultReserve)
	if a.Policy.Reserve > 0 {
		reserve = a.Policy.Reserve
	}
	if float64(retries+1) > a.Policy.RetryShare*float64(first)+reserve {
		return false
	}
	current.retries++
	return true
}

// Refund returns a retry that Allow has just counted and that was not made.
func (b *Budget) Refund(rank string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.bucketAt(rank, now); current.retries > 0 {
		current.retries--
	}
}

// bucketAt returns the current bucket of a rank. The caller holds mu.
func (b *Budget) bucketAt(rank string, now time.Time) *bucket {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	c := b.ranks[rank]
	if c == nil {
		c = &rankCounts{}
		b.ranks[rank] = c
	}
	index := int64(now.Sub(b.epoch) / bucketLength)
	current := &c.ring[index%bucketCount]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}

// sum returns the attempts in the window that ends with the bucket of the given
// index.
func (c *rankCounts) sum(index int64) (first, retries int) {
	for _, counted := range c.ring {
		if counted.index > index-bucketCount {
			first += counted.first
			retries += counted.retries
		}
	}
	return first, retries
}
