// Package conntrack follows the connections of an HTTP server, so that a stop can
// close those that carry no request. Unlike http.Server.Shutdown, it drops no request
// of which a byte has been read: net/http reads requests on new and idle connections
// even during Shutdown, and closes them without an answer.
//
// It also limits the connections of a listener, the heads that are read on them, and how
// long the other side may leave answers unread (Limits).
package conntrack

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// Tracker follows the connections of one server. The server must accept from Listener
// and call ConnState. A Tracker is safe for concurrent use.
type Tracker struct {
	limits Limits

	mu    sync.Mutex
	conns map[*conn]struct{}
	// ending is the number of conns that were made to give way and are not closed yet.
	ending int
	// heads is the sum of the counted bytes of heads.
	heads int64
}

// New returns a tracker without connections.
func New() *Tracker { return &Tracker{conns: map[*conn]struct{}{}} }

// Listener returns l with connections that the tracker follows.
func (t *Tracker) Listener(l net.Listener) net.Listener { return &listener{l, t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			if isOutOfDescriptors(err) {
				l.tracker.makeRoom(time.Now())
			}
			return nil, err
		}
		c := &conn{Conn: accepted, tracker: l.tracker, awaitsRequest: true, isNew: true, inHead: true, since: time.Now()}
		if l.tracker.admit(c) {
			return c, nil
		}
	}
}

// ConnState is the hook of http.Server of this name.
func (t *Tracker) ConnState(c net.Conn, state http.ConnState) {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	followed, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive: // net/http says so once it has read the head
		followed.headEnded()
	case http.StateIdle:
		if followed.requestEnded() {
			t.releaseHead(followed)
		}
	case http.StateClosed, http.StateHijacked:
		t.releaseHead(followed)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, followed)
		if followed.evicted { // guarded by t.mu for writes
			t.ending--
		}
	}
}

// Open returns the number of open connections.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// CloseIdle closes the connections that wait for their next request. Those on which a
// request is under way stay open. New connections, on which none has come yet, stay open
// too unless includeNew is true.
func (t *Tracker) CloseIdle(includeNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.closeIfIdle(includeNew)
	}
}

// conn is a followed connection.
type conn struct {
	net.Conn
	tracker *Tracker

	mu sync.Mutex
	// since is when the connection was accepted, became idle or received the first byte of
	// a head.
	since time.Time
	// inHead is true until the head of a request has been read. headBytes are its bytes so
	// far, of which headCharge are counted.
	inHead                bool
	headBytes, headCharge int64
	// writingSince is when the write that is under way began, or zero. writeDeadline is
	// the deadline that the server last set.
	writingSince, writeDeadline time.Time
	// evicted is true once the connection has been made to give way. It is set under the
	// tracker's mu, too. cut is true if that ends a request, too.
	evicted, cut bool
	// awaitsRequest is true while no byte of the next request has been read; isNew until
	// a byte of the first one has.
	awaitsRequest, isNew bool
	// readAhead is true if the last read may have returned a byte of the next request.
	readAhead bool
	// closing is true if the connection is to be closed while it awaits a request.
	closing bool
	// readDeadline is the deadline that the server last set.
	readDeadline time.Time
}

// past is a read deadline that ends a read at once. It takes effect before any byte is
// read, so that bytes that have arrived stay unread.
var past = time.Unix(1, 0)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if charge := c.bytesRead(n, len(p)); charge > 0 && c.tracker != nil {
			c.tracker.chargeHead(c, charge)
		}
	}
	return n, err
}

// CloseWrite closes the writing side, as http.Server does before it closes a
// connection with unread bytes.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.closing && c.awaitsRequest || c.cut {
		deadline = past
	}
	return c.Conn.SetReadDeadline(deadline)
}

// bytesRead records a successful read of n bytes into a buffer of the given size. It returns
// the bytes by which a head has grown beyond freeHeadBytes.
func (c *conn) bytesRead(n, size int) (charge int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// While a handler runs, net/http reads one byte to notice the end of the connection.
	c.readAhead = size == 1
	if c.awaitsRequest && c.closing {
		// The byte was read before the connection could be closed. An error here ends
		// the next read, too.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	if c.awaitsRequest && c.inHead {
		c.since = time.Now()
	}
	c.awaitsRequest, c.isNew = false, false
	if !c.inHead {
		return 0
	}
	before := max(c.headBytes, freeHeadBytes)
	c.headBytes += int64(n)
	return max(c.headBytes-before, 0)
}

// headEnded records that the head of a request has been read, perhaps with the request
// before it.
func (c *conn) headEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsRequest && c.closing {
		_ = c.Conn.SetReadDeadline(c.readDeadline) // as in bytesRead
	}
	c.inHead, c.awaitsRequest, c.isNew = false, false, false
}

// requestEnded records that the connection waits for its next request. It reports whether
// bytes of the last head are counted.
func (c *conn) requestEnded() (charged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsRequest = !c.readAhead
	c.since, c.inHead, c.headBytes = time.Now(), true, 0
	return c.headCharge > 0
}

func (c *conn) closeIfIdle(includeNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isNew && !includeNew {
		return
	}
	c.closing = true
	if c.awaitsRequest {
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(past)
	}
}
