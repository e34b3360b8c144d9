package wellformed

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection that checks the heads of responses as they are read. The transport
// reads from one goroutine at a time and writes from another one; a failure that a write met
// neither passes for the end of a response nor ends one that can still be read.
type conn struct {
	net.Conn
	// head checks the response to the current request or the next one.
	head headChecker
	// malformed is the error of all reads after a malformed line.
	malformed error

	// writing is held during a write, and guards writeErr, the error of the first write
	// that failed.
	writing  sync.Mutex
	writeErr error
	// readsEnded is closed once a read has returned an error or the connection is closed.
	readsEnded chan struct{}
	endReads   sync.Once
}

func newConn(raw net.Conn) *conn { return &conn{Conn: raw, readsEnded: make(chan struct{})} }

// expectResponse begins to check the next response after a complete one.
func (c *conn) expectResponse() { c.head = headChecker{} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil {
		c.endReads.Do(func() { close(c.readsEnded) })
	}
	return n, err
}

// read reads and checks the next bytes of a response.
func (c *conn) read(p []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.malformed
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfStream()
	}
	checked, malformed := c.head.check(p[:n])
	if malformed == nil {
		return n, err
	}
	c.malformed = malformed
	if checked > 0 {
		return checked, nil
	}
	return 0, malformed
}

// endOfStream returns io.EOF if the server has ended its side of the connection, and the
// cause if the connection failed. The kernel reports a failure once: if a write has got it,
// reads return io.EOF as after a regular end. A write that is in progress is interrupted,
// because the server may have stopped reading; no response can follow on this connection.
func (c *conn) endOfStream() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if writes fail as well
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		// EPIPE is the error of a reset that came after the end of the server's side, and
		// ECONNRESET of one before it.
		return io.EOF
	}
	return fmt.Errorf("connection failed while the request was written: %w", c.writeErr)
}

// Write implements net.Conn. The transport closes the connection after a failed write. If the
// server has closed or reset it, a write therefore returns after the reads, which can still
// return what the server sent before.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		<-c.readsEnded
	}
	return n, err
}

// write writes and records the first error.
func (c *conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.endReads.Do(func() { close(c.readsEnded) })
	return c.Conn.Close()
}
