package node

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// cutPoint is the moment of a call at which its connection breaks.
type cutPoint int

const (
	cutNever cutPoint = iota
	// cutDial refuses connections.
	cutDial
	// cutDialled breaks a connection before the first byte.
	cutDialled
	cutInHeader
	cutAfterHeader
	cutInBody
	// cutAfterBody breaks once the whole request was handed over.
	cutAfterBody
	// cutInAnswer breaks once the first bytes of the answer were read.
	cutInAnswer
)

var cutNames = map[cutPoint]string{
	cutDial: "before dial", cutDialled: "after dial", cutInHeader: "in header", cutAfterHeader: "after header",
	cutInBody: "in body", cutAfterBody: "after body", cutInAnswer: "in answer",
}

var errCut = errors.New("the connection was cut")

// cutRule chooses the requests to break.
type cutRule struct {
	// match is the start of the request line.
	match string
	// answerBytes is what is read of an answer before it is cut.
	answerBytes int
	// addresses are those whose dial is refused at cutDial.
	addresses func(string) bool
}

// cutter breaks the connections that carry chosen requests.
type cutter struct {
	rule atomic.Pointer[cutRule]
	// point holds a cutPoint.
	point atomic.Int64
	// handed counts requests of which a byte was handed to a connection.
	handed atomic.Int64
}

func (c *cutter) at() cutPoint { return cutPoint(c.point.Load()) }

func (c *cutter) set(p cutPoint) { c.point.Store(int64(p)) }

// wrap returns a connection that breaks at the cut point.
func (c *cutter) wrap(conn net.Conn, address string) (net.Conn, error) {
	if rule := c.rule.Load(); c.at() == cutDial && rule.addresses(address) {
		_ = conn.Close()
		return nil, errCut
	}
	return &cutConn{Conn: conn, cutter: c, address: address}, nil
}

// cutConn is a connection that a cutter watches.
type cutConn struct {
	net.Conn
	cutter  *cutter
	address string

	mu sync.Mutex
	// matched is true while the last request is one to break.
	matched bool
	// body is true while its body is still to be written.
	body bool
	read int
}

// Write implements net.Conn. The transport writes the header of a request at
// once, with its small body or before it.
func (c *cutConn) Write(p []byte) (int, error) {
	header, matched := c.classify(p)
	if !matched {
		return c.Conn.Write(p)
	}
	length, cut := cutLength(c.cutter.at(), header, len(p))
	if length > 0 && header > 0 {
		c.cutter.handed.Add(1)
	}
	n, err := c.Conn.Write(p[:length])
	if !cut {
		return n, err
	}
	_ = c.Conn.Close()
	return n, errCut
}

// classify returns the length of the header at the start of p, 0 for a body,
// and whether the request is one to break.
func (c *cutConn) classify(p []byte) (header int, matched bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = 0
	if c.body {
		c.body = false
		return 0, true
	}
	rule := c.cutter.rule.Load()
	c.matched = rule != nil && bytes.HasPrefix(p, []byte(rule.match))
	header = bytes.Index(p, []byte("\r\n\r\n")) + len("\r\n\r\n")
	c.body = c.matched && header == len(p)
	return header, c.matched
}

// cutLength returns how much of a write is handed over, and whether the
// connection breaks then.
func cutLength(point cutPoint, header, length int) (int, bool) {
	body := length - header
	switch {
	case point == cutDialled && header > 0:
		return 0, true
	case point == cutInHeader && header > 0:
		return header / 2, true
	case point == cutAfterHeader && header > 0:
		return header, true
	case point == cutInBody && body > 0:
		return header + body/2, true
	case point == cutAfterBody && body > 0:
		return length, true
	}
	return length, false
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += n
	if c.matched && c.cutter.at() == cutInAnswer && c.read >= c.cutter.rule.Load().answerBytes {
		_ = c.Conn.Close()
		return 0, errCut
	}
	return n, err
}
