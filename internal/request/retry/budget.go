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
	// Reserve is the number of retries in a window that a rank may always
	// make, so that one failure at low load is repeated.
	Reserve = 3

	intervals = 10
	interval  = Window / intervals
)

// Policy is a rank's retry policy.
type Policy struct {
	// Share is the retry budget as a share of first attempts.
	Share float64
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// Reserve replaces the constant of that name where it is above 0.
	Reserve float64
}

// Attempt describes a failed attempt.
type Attempt struct {
	Rank   string
	Policy Policy
	// Made is the number of attempts so far, the first included.
	Made int
	// Idempotent is false for a call that must not run twice.
	Idempotent bool
}

// Budget counts the attempts of every rank at one node. It has no clock and
// does no I/O, and is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	epoch time.Time
	ranks map[string]*counts
}

// counts holds the attempts of one rank in a ring of intervals.
type counts struct {
	ring [intervals]tally
}

type tally struct {
	index   int64
	first   int
	retries int
}

// NewBudget returns a budget without attempts.
func NewBudget() *Budget { return &Budget{ranks: map[string]*counts{}} }

// First counts a first attempt.
func (b *Budget) First(rank string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(rank, now).first++
}

// Allow reports whether the request may be tried again, and counts the retry
// if so.
func (b *Budget) Allow(a Attempt, now time.Time) bool {
	if !a.Idempotent || a.Made >= a.Policy.MaxAttempts {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.at(a.Rank, now)
	first, retries := b.ranks[a.Rank].sum(current.index)
	reserve := float64(Reserve)
	if a.Policy.Reserve > 0 {
		reserve = a.Policy.Reserve
	}
	if float64(retries+1) > a.Policy.Share*float64(first)+reserve {
		return false
	}
	current.retries++
	return true
}

// Refund takes back a retry that was allowed just now and not made.
func (b *Budget) Refund(rank string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.at(rank, now); current.retries > 0 {
		current.retries--
	}
}

// at returns the interval of now. The caller holds mu.
func (b *Budget) at(rank string, now time.Time) *tally {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	c := b.ranks[rank]
	if c == nil {
		c = &counts{}
		b.ranks[rank] = c
	}
	index := int64(now.Sub(b.epoch) / interval)
	slot := &c.ring[index%intervals]
	if slot.index != index {
		*slot = tally{index: index}
	}
	return slot
}

// sum counts the attempts of the window that ends with the interval.
func (c *counts) sum(index int64) (first, retries int) {
	for _, slot := range c.ring {
		if slot.index > index-intervals {
			first += slot.first
			retries += slot.retries
		}
	}
	return first, retries
}
