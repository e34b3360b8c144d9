// Package ratelimit keeps hosts within the limit of requests a second that they name
// for all nodes together. Each node counts what it sends; nodes exchange the counts
// and the limits in digests. Room then says how many more requests a host may get
// from all nodes until the next exchange, and the caller divides them. Callers pass
// in the time; the package does no I/O and blocks only on a mutex.
package ratelimit

import (
	"sync"
	"time"
)

const (
	// Window is the time over which requests are counted against a limit.
	Window = 2 * time.Second
	// bucketLength is the resolution of the counts.
	bucketLength = 100 * time.Millisecond
	bucketCount  = int64(Window / bucketLength)
	// burstFactor times what a limit allows between two exchanges is what a host may
	// get between them, but at least one request.
	burstFactor = 2
	// limitTTL is how long a limit holds that no answer confirms. A host that gets no
	// requests says nothing about its limit, so the next request asks.
	limitTTL = 12 * time.Second
	// refreshInterval is the time between two confirmations of a limit that nodes
	// tell each other, and repeatTime how long one is repeated in digests.
	refreshInterval = 4 * time.Second
	repeatTime      = 300 * time.Millisecond
)

// Limit is what a host says about the requests that it takes from all nodes together.
type Limit struct {
	// Named is false if the host names no limit.
	Named bool
	// PerSecond is at least 0.
	PerSecond float64
}

// statement is the last one of a host about its limit.
type statement struct {
	Limit
	// started is the start of the host's process.
	started time.Time
	at      time.Time
	// announced is the at of the statement that was last told to other nodes, and
	// learnedAt when this node began to tell it.
	announced, learnedAt time.Time
	// fromOther is true if another node told it.
	fromOther bool
}

// Limiter is the knowledge of one node. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// epoch is when the first request was counted.
	epoch  time.Time
	limits map[string]*statement
	sends  map[string]*sendCounts
	// asked counts the requests for a place by purpose.
	asked map[string]*sendCounts
}

// New returns a limiter that knows of no limit.
func New() *Limiter {
	return &Limiter{limits: map[string]*statement{}, sends: map[string]*sendCounts{}, asked: map[string]*sendCounts{}}
}

// Observe records what an answer of a host says. started is the start of the host's
// process. It reports whether the statement is new.
func (l *Limiter) Observe(host string, started time.Time, limit Limit, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !limit.Named && l.limits[host] == nil {
		return false
	}
	return l.record(host, statement{Limit: limit, started: started, at: now}, now)
}

// record stores a newer statement and reports whether it differs from the former. The
// caller holds mu.
func (l *Limiter) record(host string, s statement, now time.Time) (changed bool) {
	former := l.limits[host]
	if former == nil {
		former = &statement{}
		l.limits[host] = former
	}
	changed = former.Limit != s.Limit || !former.started.Equal(s.started)
	s.announced, s.learnedAt = former.announced, former.learnedAt
	if changed || s.at.Sub(s.announced) >= refreshInterval {
		s.announced, s.learnedAt = s.at, now
	}
	*former = s
	return changed
}

// Limit returns the limit that a host names at present.
func (l *Limiter) Limit(host string, started, now time.Time) Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit(host, started, now)
}

// limit implements Limit. The caller holds mu.
func (l *Limiter) limit(host string, started, now time.Time) Limit {
	s := l.limits[host]
	if s == nil || !s.Named || !s.started.Equal(started) || now.Sub(s.at) >= limitTTL {
		return Limit{}
	}
	return s.Limit
}

// Sent counts a request that is about to be sent to a host.
func (l *Limiter) Sent(host string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.sends[host]
	if counts == nil {
		counts = &sendCounts{}
		l.sends[host] = counts
	}
	counts.add(l.bucket(now))
}

// Room returns how many requests the host may get from all nodes until the next
// exchange, when counts are reportAge old. sentElsewhere is the number that the other
// nodes report for the last Window. limited is false if the host names no limit; the room is then not bounded.
// The room may be a fraction or negative.
func (l *Limiter) Room(host string, started time.Time, sentElsewhere int, reportAge time.Duration, now time.Time) (room float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limit(host, started, now)
	if !limit.Named {
		return 0, false
	}
	own := 0
	if counts := l.sends[host]; counts != nil {
		own = counts.total(l.bucket(now))
	}
	budget := limit.PerSecond*Window.Seconds() - float64(own+sentElsewhere)
	return min(budget, max(1, burstFactor*limit.PerSecond*reportAge.Seconds())), true
}

// bucket returns the number of the bucket of a time. The steady clock decides, so
// that steps of the time of day change nothing. The caller holds mu.
func (l *Limiter) bucket(now time.Time) int64 {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	return max(int64(now.Sub(l.epoch)/bucketLength), 0)
}

// SentToLimited returns the requests that this node has sent within Window to each
// host that names a limit.
func (l *Limiter) SentToLimited(now time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sent map[string]int
	for host, s := range l.limits {
		counts := l.sends[host]
		if !s.Named || now.Sub(s.at) >= limitTTL || counts == nil {
			continue
		}
		if n := counts.total(l.bucket(now)); n > 0 {
			if sent == nil {
				sent = map[string]int{}
			}
			sent[host] = n
		}
	}
	return sent
}

// Asked counts a request for the named purpose, whether or not it gets a place, and
// returns the number of them at this node in a second.
func (l *Limiter) Asked(purpose string, now time.Time) (perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.asked[purpose]
	if counts == nil {
		counts = &sendCounts{}
		l.asked[purpose] = counts
	}
	counts.add(l.bucket(now))
	return float64(counts.total(l.bucket(now))) / Window.Seconds()
}

// Purposes returns the number of purposes that Asked has counted.
func (l *Limiter) Purposes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.asked)
}

// Forget drops the hosts for which keep returns false.
func (l *Limiter) Forget(keep func(host string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for host := range l.limits {
		if !keep(host) {
			delete(l.limits, host)
		}
	}
	for host := range l.sends {
		if !keep(host) {
			delete(l.sends, host)
		}
	}
}

// sendCounts counts requests in the buckets of the last Window.
type sendCounts struct {
	counts [bucketCount]int
	// last is the newest bucket.
	last int64
}

func (c *sendCounts) add(bucket int64) {
	c.advance(bucket)
	c.counts[bucket%bucketCount]++
}

func (c *sendCounts) total(bucket int64) int {
	c.advance(bucket)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// advance clears the buckets that have left the window.
func (c *sendCounts) advance(bucket int64) {
	for cleared := max(c.last+1, bucket-bucketCount+1); cleared <= bucket; cleared++ {
		c.counts[cleared%bucketCount] = 0
	}
	c.last = max(c.last, bucket)
}
