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

// conn is a connection that checks the heads of responses as they are read, and whose reads
// report a reset that a write has met. The transport reads from one goroutine at a time and
// writes from another one.
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
}

func newConn(raw net.Conn) *conn { return &conn{Conn: raw} }

// expectResponse begins to check the next response after a complete one.
func (c *conn) expectResponse() { c.head = headChecker{} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
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

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endOfStream returns io.EOF if the server has ended its side of the connection, and the
// cause if the connection failed. The kernel reports a failure once: if a write has got it,
// reads return io.EOF as after a regular end. A write that is in progress is interrupted,
// because the server may have stopped reading; no response can follow on this connection.
func (c *conn) endOfStream() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if writes fail as well
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || endedBeforeWriteFailed(c.writeErr) {
		return io.EOF
	}
	return fmt.Errorf("connection failed while the request was written: %w", c.writeErr)
}

// endedBeforeWriteFailed reports whether a write that returned err tells that the server had
// ended its side before. A reset after that end is EPIPE, one before it ECONNRESET.
func endedBeforeWriteFailed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded)
}
