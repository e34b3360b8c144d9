// Package heldmemory limits the memory that a node holds for others. Each kind has a pool
// of its own, so that none uses up another's: the bodies of requests, the answers of hosts,
// and what callers have not taken of their answers. A faulty host or caller can send bytes
// without end, or a part of many answers or bodies and then nothing.
package heldmemory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// FreeBytes of each account are not counted, so that a small message never waits.
	FreeBytes = 16 << 10
	// evictionInterval is the time between two looks of a waiting account for a slow one.
	evictionInterval = 100 * time.Millisecond
)

// Pace is the progress that a pool asks for while its memory is short. An account that
// takes longer than Timeout for Bytes gives way if others wait.
type Pace struct {
	Timeout time.Duration
	Bytes   int64
}

// Paces of the kinds. Answers come from hosts on the same network, bodies and the taking of
// answers depend on callers' links.
var (
	AnswerPace = Pace{Timeout: 500 * time.Millisecond, Bytes: 256 << 10}
	CallerPace = Pace{Timeout: time.Second, Bytes: 64 << 10}
)

var (
	// ErrEvicted is the cause of the end of an account that had to give way.
	ErrEvicted = errors.New("the memory for such messages is used up and this one was transferred too slowly; send smaller ones or give the node more memory")
	// ErrNoMemory reports that an account has waited for memory for too long.
	ErrNoMemory = errors.New("the memory for such messages is used up; send the request later or give the node more memory")
)

// errClosed is the cause of the end of the context of a closed account.
var errClosed = errors.New("the account is closed")

// Pool is the memory for one kind of messages that a node holds. Their owners (the hosts
// of answers, the client accounts of bodies) have equal parts of it. Beyond its limit only
// the oldest message gets memory, up to a reserve, so that those that wait cannot block
// each other. It is safe for concurrent use.
type Pool struct {
	limit, reserve int64
	pace           Pace
	// maxWait is how long an account waits for memory, in all; 0 means without limit.
	maxWait time.Duration
	// evictions counts the accounts that had to give way.
	evictions int64

	mu   sync.Mutex
	used int64
	// charged are the accounts with counted bytes, in the order in which they got the
	// first ones.
	charged []*Account
	// released is closed and replaced when memory is released.
	released chan struct{}
}

// NewPool returns a pool of limit bytes and a reserve for one message in addition.
func NewPool(limit, reserve int64, pace Pace) *Pool {
	return &Pool{limit: limit, reserve: reserve, pace: pace, released: make(chan struct{})}
}

// WithMaxWait sets how long an account of the pool may wait for memory, in all, before it
// gets ErrNoMemory. It returns the pool.
func (p *Pool) WithMaxWait(d time.Duration) *Pool {
	p.maxWait = d
	return p
}

// RaiseReserve makes the reserve at least n bytes.
func (p *Pool) RaiseReserve(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserve = max(p.reserve, n)
}

// Account is the memory of one message. Its methods are safe for concurrent use.
type Account struct {
	pool  *Pool
	owner string
	ctx   context.Context
	end   context.CancelCauseFunc

	// The fields below are guarded by pool.mu.

	held int64
	// expected is the most that the account may come to hold.
	expected int64
	// waited is how long the account has waited for memory.
	waited time.Duration
	// slowSince is when the account last began to transfer the bytes of the pool's pace,
	// of which it has transferred progress.
	slowSince time.Time
	progress  int64
	waiting   bool
	complete  bool
	evicted   bool
	closed    bool
}

// Open returns an account for a message of an owner. The returned context ends with
// ErrEvicted as its cause if the message has to give way. The caller must close the
// account.
func (p *Pool) Open(ctx context.Context, owner string) (context.Context, *Account) {
	ctx, end := context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	return ctx, &Account{pool: p, owner: owner, ctx: ctx, end: end, expected: p.reserve + FreeBytes}
}

// Expect records the most that the account will hold. Without it this is the reserve.
func (a *Account) Expect(n int64) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.expected = min(n, a.expected)
}

// Progress records n bytes of what the account holds as transferred.
func (a *Account) Progress(n int) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.recordProgress(int64(n), time.Now())
}

// Evictions returns the number of accounts that had to give way so far.
func (p *Pool) Evictions() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evictions
}

// Used returns the counted bytes of all accounts.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Grow adds n bytes. It blocks while there is no memory, and returns the cause of the
// end of the account's context if that ends first, or ErrNoMemory after the longest wait
// of the pool. A nil account is not limited.
func (a *Account) Grow(n int) error {
	if a == nil {
		return nil
	}
	var waitsSince time.Time
	for {
		if err := context.Cause(a.ctx); err != nil {
			return err
		}
		granted, released := a.pool.tryGrow(a, int64(n), time.Now())
		if granted {
			return nil
		}
		if a.waitedTooLong(&waitsSince) {
			return ErrNoMemory
		}
		timer := time.NewTimer(evictionInterval)
		select {
		case <-released:
		case <-timer.C:
		case <-a.ctx.Done():
		}
		timer.Stop()
	}
}

// waitedTooLong adds the time since the last call in a wait to the time that the account
// has waited, and reports whether that exceeds the longest wait of the pool.
func (a *Account) waitedTooLong(since *time.Time) bool {
	now := time.Now()
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !since.IsZero() {
		a.waited += now.Sub(*since)
	}
	*since = now
	return a.pool.maxWait > 0 && a.waited >= a.pool.maxWait
}

// Shrink releases n bytes.
func (a *Account) Shrink(n int) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !a.closed {
		a.pool.setHeld(a, max(a.held-int64(n), 0))
	}
}

// Complete records that the whole message has been received, so that it need not give
// way any more.
func (a *Account) Complete() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.complete = true
}

// Close releases the memory of the message and ends its context.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !a.closed {
		a.closed = true
		a.pool.setHeld(a, 0)
		a.end(errClosed)
	}
}

// counted returns the bytes of a message of the given size that the pool counts.
func counted(held int64) int64 { return max(held-FreeBytes, 0) }

// setHeld changes the size of a message. The caller must hold mu.
func (p *Pool) setHeld(a *Account, held int64) {
	before, after := counted(a.held), counted(held)
	a.held = held
	p.used += after - before
	switch {
	case before == 0 && after > 0:
		p.charged = append(p.charged, a)
	case before > 0 && after == 0:
		p.charged = slices.DeleteFunc(p.charged, func(other *Account) bool { return other == a })
	}
	if after < before {
		close(p.released)
		p.released = make(chan struct{})
	}
}

// tryGrow adds n bytes to a message if there is memory. Otherwise it makes a slow one
// give way, and returns a channel that is closed when memory is released.
func (p *Pool) tryGrow(a *Account, n int64, now time.Time) (granted bool, released <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	need := counted(a.held+n) - counted(a.held)
	full := !p.hasRoom(a, need)
	if a.closed || need == 0 || !full && p.ownerHasRoom(a, need) {
		a.recordProgress(n, now)
		if !a.closed {
			p.setHeld(a, a.held+n)
		}
		return true, nil
	}
	a.waiting = true
	p.evictSlow(full, a.owner, now)
	return false, p.released
}

// hasRoom reports whether the pool has room for more bytes of a message.
func (p *Pool) hasRoom(a *Account, need int64) bool {
	if p.used+need <= p.limit {
		return true
	}
	return oldest(p.charged, a) == a && counted(a.held)+need <= p.reserve && p.used+need <= p.limit+p.reserve
}

// ownerHasRoom reports whether the part of an owner has room for more bytes of a message.
// The parts are equal, and there is one for an owner that has no counted bytes yet. Each
// keeps room for its oldest message.
func (p *Pool) ownerHasRoom(a *Account, need int64) bool {
	if oldest(p.charged, a) == a {
		return true
	}
	use := map[string]int64{a.owner: 0}
	var ofOwner []*Account
	for _, other := range p.charged {
		use[other.owner] += counted(other.held)
		if other.owner == a.owner {
			ofOwner = append(ofOwner, other)
		}
	}
	part := p.limit / int64(len(use)+1)
	if first := oldest(ofOwner, a); first != a {
		part -= max(counted(first.expected)-counted(first.held), 0)
	}
	return use[a.owner]+need <= part
}

// oldest returns the first account whose message is not complete, or a if there is none.
func oldest(accounts []*Account, a *Account) *Account {
	if i := slices.IndexFunc(accounts, func(other *Account) bool { return !other.complete }); i >= 0 {
		return accounts[i]
	}
	return a
}

// recordProgress records bytes that are about to be received. Neither time spent waiting
// for memory nor time without counted bytes makes a message slow.
func (a *Account) recordProgress(n int64, now time.Time) {
	a.progress += n
	if a.waiting || counted(a.held) == 0 || a.progress >= a.pool.pace.Bytes {
		a.waiting, a.slowSince, a.progress = false, now, 0
	}
}

func (p *Pool) usedBy(owner string) int64 {
	used := int64(0)
	for _, a := range p.charged {
		if a.owner == owner {
			used += counted(a.held)
		}
	}
	return used
}

// evictSlow makes the slowest message of the owner that uses most give way, or of the
// given owner if the pool is not full. It does nothing while an earlier one is still
// giving way. The caller must hold mu.
func (p *Pool) evictSlow(full bool, owner string, now time.Time) {
	var victim *Account
	var victimUse int64
	for _, a := range p.charged {
		if !full && a.owner != owner {
			continue
		}
		if a.evicted {
			return
		}
		if a.waiting || a.complete || now.Sub(a.slowSince) < p.pace.Timeout {
			continue
		}
		use := p.usedBy(a.owner)
		if victim == nil || use > victimUse || use == victimUse && a.slowSince.Before(victim.slowSince) {
			victim, victimUse = a, use
		}
	}
	if victim != nil {
		p.evictions++
		victim.evicted = true
		victim.end(ErrEvicted)
	}
}
