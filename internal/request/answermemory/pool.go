// Package answermemory limits the memory that the answers of hosts take on a node. A
// faulty host can send bytes without end, or a part of many answers and then nothing.
package answermemory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// freeBytes of each answer are not counted, so that a small answer never waits.
	freeBytes = 16 << 10
	// slowTimeout is how long an answer may take for progressBytes. One that takes
	// longer gives way if others wait for memory.
	slowTimeout   = 500 * time.Millisecond
	progressBytes = 256 << 10
	// evictionInterval is the time between two looks of a waiting answer for a slow one.
	evictionInterval = 100 * time.Millisecond
)

// ErrEvicted is the cause of the end of an answer that had to give way.
var ErrEvicted = errors.New("the memory for answers is used up and the host sent this one too slowly; send smaller answers or give the node more memory")

// errClosed is the cause of the end of the context of a closed account.
var errClosed = errors.New("the account is closed")

// Pool is the memory for the answers that a node holds. The hosts have equal parts of
// it. Beyond its limit only the oldest answer gets memory, up to a reserve, so that the
// answers that wait cannot block each other. It is safe for concurrent use.
type Pool struct {
	limit, reserve int64

	mu   sync.Mutex
	used int64
	// charged are the accounts with counted bytes, in the order in which they got the
	// first ones.
	charged []*Account
	// released is closed and replaced when memory is released.
	released chan struct{}
}

// NewPool returns a pool of limit bytes and a reserve for one answer in addition.
func NewPool(limit, reserve int64) *Pool {
	return &Pool{limit: limit, reserve: reserve, released: make(chan struct{})}
}

// Account is the memory of one answer. Its methods are safe for concurrent use.
type Account struct {
	pool *Pool
	host string
	ctx  context.Context
	end  context.CancelCauseFunc

	// The fields below are guarded by pool.mu.

	held int64
	// slowSince is when the answer last began to receive progressBytes, of which it
	// has received progress.
	slowSince time.Time
	progress  int64
	waiting   bool
	complete  bool
	evicted   bool
	closed    bool
}

// Open returns an account for an answer of a host. The returned context ends with
// ErrEvicted as its cause if the answer has to give way. The caller must close the
// account.
func (p *Pool) Open(ctx context.Context, host string) (context.Context, *Account) {
	ctx, end := context.WithCancelCause(ctx)
	return ctx, &Account{pool: p, host: host, ctx: ctx, end: end}
}

// Used returns the counted bytes of all accounts.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Grow adds n bytes. It blocks while there is no memory, and returns the cause of the
// end of the account's context if that ends first. A nil account is not limited.
func (a *Account) Grow(n int) error {
	if a == nil {
		return nil
	}
	for {
		if err := context.Cause(a.ctx); err != nil {
			return err
		}
		granted, released := a.pool.tryGrow(a, int64(n), time.Now())
		if granted {
			return nil
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

// Shrink releases n bytes.
func (a *Account) Shrink(n int) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !a.closed {
		a.pool.setHeld(a, a.held-int64(n))
	}
}

// Complete records that the whole answer has been received, so that it need not give
// way any more.
func (a *Account) Complete() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.complete = true
}

// Close releases the memory of the answer and ends its context.
func (a *Account) Close() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !a.closed {
		a.closed = true
		a.pool.setHeld(a, 0)
		a.end(errClosed)
	}
}

// counted returns the bytes of an answer of the given size that the pool counts.
func counted(held int64) int64 { return max(held-freeBytes, 0) }

// setHeld changes the size of an answer. The caller must hold mu.
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

// tryGrow adds n bytes to an answer if there is memory. Otherwise it makes a slow answer
// give way, and returns a channel that is closed when memory is released.
func (p *Pool) tryGrow(a *Account, n int64, now time.Time) (granted bool, released <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	need := counted(a.held+n) - counted(a.held)
	full := !p.hasRoom(a, need)
	if a.closed || need == 0 || !full && p.hostHasRoom(a, need) {
		a.recordProgress(n, now)
		if !a.closed {
			p.setHeld(a, a.held+n)
		}
		return true, nil
	}
	a.waiting = true
	p.evictSlow(full, a.host, now)
	return false, p.released
}

// hasRoom reports whether the pool has room for more bytes of an answer.
func (p *Pool) hasRoom(a *Account, need int64) bool {
	if p.used+need <= p.limit {
		return true
	}
	return oldest(p.charged, a) == a && counted(a.held)+need <= p.reserve && p.used+need <= p.limit+p.reserve
}

// hostHasRoom reports whether the part of a host has room for more bytes of an answer. The
// parts are equal, and there is one for a host that has no counted bytes yet. Each keeps
// room for its oldest answer.
func (p *Pool) hostHasRoom(a *Account, need int64) bool {
	if oldest(p.charged, a) == a {
		return true
	}
	use := map[string]int64{a.host: 0}
	var ofHost []*Account
	for _, other := range p.charged {
		use[other.host] += counted(other.held)
		if other.host == a.host {
			ofHost = append(ofHost, other)
		}
	}
	part := p.limit / int64(len(use)+1)
	if first := oldest(ofHost, a); first != a {
		part -= p.reserve - counted(first.held)
	}
	return use[a.host]+need <= part
}

// oldest returns the first account whose answer is not complete, or a if there is none.
func oldest(accounts []*Account, a *Account) *Account {
	if i := slices.IndexFunc(accounts, func(other *Account) bool { return !other.complete }); i >= 0 {
		return accounts[i]
	}
	return a
}

// recordProgress records bytes that are about to be received. Neither time spent waiting
// for memory nor time without counted bytes makes an answer slow.
func (a *Account) recordProgress(n int64, now time.Time) {
	a.progress += n
	if a.waiting || counted(a.held) == 0 || a.progress >= progressBytes {
		a.waiting, a.slowSince, a.progress = false, now, 0
	}
}

func (p *Pool) usedBy(host string) int64 {
	used := int64(0)
	for _, a := range p.charged {
		if a.host == host {
			used += counted(a.held)
		}
	}
	return used
}

// evictSlow makes the slowest answer of the host that uses most give way, or of the
// given host if the pool is not full. It does nothing while an earlier one is still
// giving way. The caller must hold mu.
func (p *Pool) evictSlow(full bool, host string, now time.Time) {
	var victim *Account
	var victimUse int64
	for _, a := range p.charged {
		if !full && a.host != host {
			continue
		}
		if a.evicted {
			return
		}
		if a.waiting || a.complete || now.Sub(a.slowSince) < slowTimeout {
			continue
		}
		use := p.usedBy(a.host)
		if victim == nil || use > victimUse || use == victimUse && a.slowSince.Before(victim.slowSince) {
			victim, victimUse = a, use
		}
	}
	if victim != nil {
		victim.evicted = true
		victim.end(ErrEvicted)
	}
}
