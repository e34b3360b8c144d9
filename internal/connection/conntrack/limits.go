package conntrack

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Limits of the connections of one listener. A zero field limits nothing.
type Limits struct {
	// MaxConns is the maximum number of open connections. Beyond it, connections give
	// way in this order: the longest idle one; the oldest on which no byte has come; the
	// oldest incomplete head; the slowest body (GiveWay); the oldest write that the other
	// side does not take. If none may give way, the new connection is closed.
	MaxConns int
	// HeadBytes limits the heads of all requests together, besides freeHeadBytes of each.
	// Beyond it the connection with the oldest incomplete head is closed.
	HeadBytes int64
	// WriteTimeout is how long the other side may take for each maxWriteBytes.
	WriteTimeout time.Duration
	// BufferBytes is the size of the kernel's buffers of a connection in each direction.
	BufferBytes int
	// GiveWay ends the request whose body comes most slowly, and reports whether there is
	// one that comes slowly. It must not block.
	GiveWay func() bool
	// OnClose is called for each connection that is closed because of a limit. It must
	// not block.
	OnClose func(reason Reason)
}

// Reason is why a connection was closed.
type Reason string

// Reasons.
const (
	ReasonIdle         Reason = "idle"
	ReasonNew          Reason = "no_request"
	ReasonSlowHead     Reason = "slow_head"
	ReasonSlowBody     Reason = "slow_body"
	ReasonSlowReader   Reason = "slow_reader"
	ReasonRefused      Reason = "refused"
	ReasonHeadMemory   Reason = "head_memory"
	ReasonWriteTimeout Reason = "write_timeout"
)

const (
	// freeHeadBytes of each head are not counted, so that ordinary heads are never closed
	// for their memory.
	freeHeadBytes = 4 << 10
	// maxWriteBytes is the part of a write that the write timeout applies to.
	maxWriteBytes = 64 << 10
	// Connections that give way and are not closed yet may exceed the limit by a
	// maxEndingShare-th of it, and by minEnding at least.
	maxEndingShare = 32
	minEnding      = 4
	// newGracePeriod is how long a connection without a byte keeps its place while
	// connections are short, headGracePeriod an incomplete head, and writeGracePeriod a
	// write. Callers send their heads within 3 s.
	newGracePeriod   = time.Second
	headGracePeriod  = 3 * time.Second
	writeGracePeriod = 2 * time.Second
)

// NewLimited returns a tracker without connections that applies limits.
func NewLimited(limits Limits) *Tracker {
	t := New()
	t.limits = limits
	return t
}

// Install makes a server use the tracker. The server must accept from Listener.
func (t *Tracker) Install(server *http.Server) { server.ConnState = t.ConnState }

func (t *Tracker) report(reason Reason) {
	if t.limits.OnClose != nil {
		t.limits.OnClose(reason)
	}
}

// admit adds an accepted connection, and makes another one give way if there are too many.
// It reports false, and closes the connection, if none may.
func (t *Tracker) admit(c *conn) bool {
	t.mu.Lock()
	full := t.limits.MaxConns > 0 && len(t.conns)-t.ending >= t.limits.MaxConns
	overfull := full && t.ending > max(t.limits.MaxConns/maxEndingShare, minEnding)
	t.mu.Unlock()
	if overfull || full && !t.makeRoom(time.Now()) {
		t.report(ReasonRefused)
		c.Conn.Close()
		return false
	}
	if sized, ok := c.Conn.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	}); ok && t.limits.BufferBytes > 0 {
		// An error means that the connection is closed.
		_ = sized.SetReadBuffer(t.limits.BufferBytes)
		_ = sized.SetWriteBuffer(t.limits.BufferBytes)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	return true
}

// makeRoom makes a connection give way, and reports whether one does.
func (t *Tracker) makeRoom(now time.Time) bool {
	if reason, found := t.evictConn(now, idleOrNew); found {
		t.report(reason)
		return true
	}
	if reason, found := t.evictConn(now, slowHead); found {
		t.report(reason)
		return true
	}
	if t.limits.GiveWay != nil && t.limits.GiveWay() {
		t.report(ReasonSlowBody)
		return true
	}
	reason, found := t.evictConn(now, slowReader)
	if found {
		t.report(reason)
	}
	return found
}

// candidate returns since when a connection has been in a state in which it may give way,
// and why it would; ok is false if it is in none. The caller holds the connection's mu.
type candidate func(c *conn, now time.Time) (since time.Time, reason Reason, ok bool)

func idleOrNew(c *conn, now time.Time) (time.Time, Reason, bool) {
	if c.isNew {
		// Idle connections go first: they count as older by a day.
		return c.since, ReasonNew, now.Sub(c.since) >= newGracePeriod
	}
	return c.since.Add(-24 * time.Hour), ReasonIdle, c.awaitsRequest
}

func slowHead(c *conn, now time.Time) (time.Time, Reason, bool) {
	return c.since, ReasonSlowHead, c.inHead && now.Sub(c.since) >= headGracePeriod
}

func slowReader(c *conn, now time.Time) (time.Time, Reason, bool) {
	return c.writingSince, ReasonSlowReader, !c.writingSince.IsZero() && now.Sub(c.writingSince) >= writeGracePeriod
}

// evictConn ends the oldest candidate.
func (t *Tracker) evictConn(now time.Time, is candidate) (Reason, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var victim *conn
	var oldest time.Time
	var why Reason
	for c := range t.conns {
		c.mu.Lock()
		since, reason, ok := is(c, now)
		if ok && !c.evicted && (victim == nil || since.Before(oldest)) {
			victim, oldest, why = c, since, reason
		}
		c.mu.Unlock()
	}
	if victim == nil || !t.evict(victim, why) {
		return why, false
	}
	return why, true
}

// evict ends a connection. An idle or new one is left alone if a byte of a request has been
// read meanwhile. The caller holds t.mu.
func (t *Tracker) evict(c *conn, reason Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (reason == ReasonIdle || reason == ReasonNew) && !c.awaitsRequest {
		return false
	}
	c.evicted, c.cut = true, reason != ReasonIdle && reason != ReasonNew
	t.ending++
	t.heads -= c.headCharge
	c.headCharge = 0
	c.closing = c.closing || !c.cut
	// Errors mean that the connection is closed.
	_ = c.Conn.SetReadDeadline(past)
	if c.cut {
		_ = c.Conn.SetWriteDeadline(past)
	}
	return true
}

// chargeHead counts n more bytes of the head of a connection, and closes the oldest
// incomplete head if there are too many.
func (t *Tracker) chargeHead(c *conn, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.mu.Lock()
	if c.evicted || !c.inHead {
		c.mu.Unlock()
		return
	}
	c.headCharge += n
	c.mu.Unlock()
	t.heads += n
	if t.limits.HeadBytes == 0 || t.heads <= t.limits.HeadBytes {
		return
	}
	victim := c
	oldest := c.headSince()
	for other := range t.conns {
		other.mu.Lock()
		if other.inHead && other.headCharge > 0 && other.since.Before(oldest) {
			victim, oldest = other, other.since
		}
		other.mu.Unlock()
	}
	if t.evict(victim, ReasonHeadMemory) {
		t.report(ReasonHeadMemory)
	}
}

// releaseHead stops counting the head of a connection.
func (t *Tracker) releaseHead(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	t.heads -= c.headCharge
	c.headCharge = 0
}

func (c *conn) headSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// Write implements net.Conn. The other side has the write timeout for each maxWriteBytes.
func (c *conn) Write(p []byte) (int, error) {
	if c.tracker == nil || c.tracker.limits.WriteTimeout == 0 {
		return c.Conn.Write(p)
	}
	written := 0
	for first := true; first || written < len(p); first = false {
		c.beginWrite(time.Now())
		n, err := c.Conn.Write(p[written:min(written+maxWriteBytes, len(p))])
		written += n
		c.endWrite(err)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *conn) beginWrite(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = now
	deadline := now.Add(c.tracker.limits.WriteTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	if c.cut {
		deadline = past
	}
	// An error ends the write, too.
	_ = c.Conn.SetWriteDeadline(deadline)
}

func (c *conn) endWrite(err error) {
	c.mu.Lock()
	explicit := c.cut || !c.writeDeadline.IsZero()
	c.writingSince = time.Time{}
	c.mu.Unlock()
	var timeout net.Error
	if !explicit && errors.As(err, &timeout) && timeout.Timeout() {
		c.tracker.report(ReasonWriteTimeout)
	}
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// isOutOfDescriptors reports whether an accept failed because the process or the machine
// has no descriptor left.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
