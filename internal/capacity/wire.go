package capacity

import (
	"net"
	"sync/atomic"
)

// Listener counts the bytes of all its connections, both ways.
type Listener struct {
	net.Listener
	bytes atomic.Int64
}

// Bytes returns what was sent and received so far.
func (l *Listener) Bytes() int64 { return l.bytes.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: &l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
