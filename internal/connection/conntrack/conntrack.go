// Package conntrack follows the connections of an HTTP server, so that a stop can
// close those that carry no request. Unlike http.Server.Shutdown, it drops no request
// of which a byte has been read: net/http reads requests on new and idle connections
// even during Shutdown, and closes them without an answer.
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
	mu    sync.Mutex
	conns map[*conn]struct{}
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
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, awaitsRequest: true, isNew: true}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.conns[c] = struct{}{}
	return c, nil
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
	case http.StateIdle:
		followed.requestEnded()
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, followed)
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

	mu sync.Mutex
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
		c.bytesRead(len(p))
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
	if c.closing && c.awaitsRequest {
		deadline = past
	}
	return c.Conn.SetReadDeadline(deadline)
}

// bytesRead records a successful read into a buffer of the given size.
func (c *conn) bytesRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// While a handler runs, net/http reads one byte to notice the end of the connection.
	c.readAhead = size == 1
	if c.awaitsRequest && c.closing {
		// The byte was read before the connection could be closed. An error here ends
		// the next read, too.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.awaitsRequest, c.isNew = false, false
}

func (c *conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsRequest = !c.readAhead
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
