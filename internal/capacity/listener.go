package capacity

import (
	"net"
	"sync/atomic"
)

// CountingListener counts the bytes that all its accepted connections send and
// receive.
type CountingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Bytes returns the bytes sent plus received so far.
func (l *CountingListener) Bytes() int64 { return l.bytes.Load() }

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
