package node

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// cutPoint is the point of a call at which fault injection breaks its connection.
type cutPoint int

const (
	cutNever cutPoint = iota
	// cutDial refuses connections.
	cutDial
	// cutAfterDial breaks a connection before the first byte.
	cutAfterDial
	cutInHeader
	cutAfterHeader
	cutInBody
	// cutAfterBody breaks a connection once the entire request is sent.
	cutAfterBody
	// cutInAnswer breaks a connection once answerBytes of the answer are read.
	cutInAnswer
)

var cutNames = map[cutPoint]string{
	cutDial: "before dial", cutAfterDial: "after dial", cutInHeader: "in header", cutAfterHeader: "after header",
	cutInBody: "in body", cutAfterBody: "after body", cutInAnswer: "in answer",
}

var errCut = errors.New("the connection was cut")

// cutRule selects the requests whose connections break.
type cutRule struct {
	// match is a prefix of the request line.
	match string
	// answerBytes is the number of bytes of an answer after which cutInAnswer
	// breaks the connection.
	answerBytes int
	// addresses reports whether a dial to the address is refused at cutDial.
	addresses func(string) bool
}

// cutter breaks the connections that carry the selected requests.
type cutter struct {
	rule atomic.Pointer[cutRule]
	// point is the current cutPoint.
	point atomic.Int64
	// sent counts the selected requests of which at least a byte was written to
	// a connection.
	sent atomic.Int64
}

func (c *cutter) current() cutPoint { return cutPoint(c.point.Load()) }

func (c *cutter) set(p cutPoint) { c.point.Store(int64(p)) }

// wrap returns a connection that breaks at the current cut point.
func (c *cutter) wrap(conn net.Conn, address string) (net.Conn, error) {
	if rule := c.rule.Load(); c.current() == cutDial && rule.addresses(address) {
		_ = conn.Close()
		return nil, errCut
	}
	return &cutConn{Conn: conn, cutter: c, address: address}, nil
}

// cutConn is a connection under the control of a cutter.
type cutConn struct {
	net.Conn
	cutter  *cutter
	address string

	mu sync.Mutex
	// matched is true while the last request is a selected one.
	matched bool
	// body is true while its body is still to be written.
	body bool
	// read is the number of bytes read since the last write.
	read int
}

// Write implements net.Conn. The transport writes the header of a request in one
// call, together with a small body or before the body.
func (c *cutConn) Write(p []byte) (int, error) {
	header, matched := c.classify(p)
	if !matched {
		return c.Conn.Write(p)
	}
	length, cut := cutLength(c.cutter.current(), header, len(p))
	if length > 0 && header > 0 {
		c.cutter.sent.Add(1)
	}
	n, err := c.Conn.Write(p[:length])
	if !cut {
		return n, err
	}
	_ = c.Conn.Close()
	return n, errCut
}

// classify returns the length of the header at the start of p, 0 for a body,
// and whether the request is a selected one.
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

// cutLength returns how many bytes of a write are sent, and whether the connection
// then breaks.
func cutLength(point cutPoint, header, length int) (int, bool) {
	body := length - header
	switch {
	case point == cutAfterDial && header > 0:
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
	if c.matched && c.cutter.current() == cutInAnswer && c.read >= c.cutter.rule.Load().answerBytes {
		_ = c.Conn.Close()
		return 0, errCut
	}
	return n, err
}
