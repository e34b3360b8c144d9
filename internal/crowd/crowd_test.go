package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// holdTime is how long a crowd is watched once it has been let loose. Senders that are not
// done by then go on while the bounds are checked.
const holdTime = 5 * time.Second

// member is one connection of a crowd. It sends what it has to and returns; the
// connection then stays open.
type member func(conn net.Conn)

// crowd is a set of connections that misbehave.
type crowd struct {
	mu      sync.Mutex
	conns   []net.Conn
	closed  bool
	senders sync.WaitGroup
}

// gather opens n connections to an address. Each runs the member that pick returns.
func (c *crowd) gather(address string, n int, pick func(i int) member) {
	for i := range n {
		c.senders.Go(func() {
			conn, err := net.DialTimeout("tcp", address, 10*time.Second)
			if err != nil {
				return // a refused connection is the node's right
			}
			c.mu.Lock()
			if c.closed {
				conn.Close()
			}
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			pick(i)(conn)
		})
	}
}

// leave closes all connections and waits for the senders.
func (c *crowd) leave() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.senders.Wait()
}

// newCrowd returns a crowd that leaves at the end of the test.
func newCrowd(t *testing.T) *crowd {
	c := &crowd{}
	t.Cleanup(c.leave)
	return c
}

// send sends text in pieces of the given size. Errors mean that the node has closed the
// connection, which is its right.
func send(conn net.Conn, content []byte, piece int, pause time.Duration) {
	for len(content) > 0 {
		n := min(piece, len(content))
		if _, err := conn.Write(content[:n]); err != nil {
			return
		}
		content = content[n:]
		time.Sleep(pause)
	}
}

// announced sends a body of maxBodyBytes in pieces, without its last missing bytes.
func (s *system) announced(piece, missing int, pause time.Duration) member {
	return func(conn net.Conn) {
		head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", s.head(http.MethodPost, s.write), maxBodyBytes)
		send(conn, append([]byte(head), bytes.Repeat([]byte("b"), maxBodyBytes-missing)...), piece, pause)
	}
}

// chunked sends a body of maxBodyBytes in chunks of the given size, without its end.
func (s *system) chunked(size int) member {
	return func(conn net.Conn) {
		content := []byte(s.head(http.MethodPost, s.write) + "Transfer-Encoding: chunked\r\n\r\n")
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("c", size))
		content = append(content, bytes.Repeat(chunk, (maxBodyBytes-1)/size)...)
		send(conn, content, 64<<10, 0)
	}
}

// tooLong sends a body without end after the given head.
func tooLong(head string, announce bool) member {
	if announce {
		head += "Content-Length: 1073741824\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	return func(conn net.Conn) {
		block := fmt.Appendf(nil, "%x\r\n%s\r\n", 32<<10, strings.Repeat("d", 32<<10))
		content := []byte(head)
		for {
			if _, err := conn.Write(content); err != nil {
				return
			}
			content = block
		}
	}
}

// trickle sends a byte a second after a text.
func trickle(text string) member {
	return func(conn net.Conn) {
		send(conn, []byte(text), len(text), 0)
		for {
			time.Sleep(time.Second)
			if _, err := conn.Write([]byte("x")); err != nil {
				return
			}
		}
	}
}

// longHead sends a head of the given size without its end.
func longHead(head string, size int) member {
	return func(conn net.Conn) {
		line := "X-Filler: " + strings.Repeat("h", 1000) + "\r\n"
		send(conn, []byte(head+strings.Repeat(line, (size-len(head))/len(line))), 4<<10, 0)
	}
}

// neverReads requests large answers and reads none.
func (s *system) neverReads(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	send(conn, []byte(strings.Repeat(s.head(http.MethodGet, s.read)+"\r\n", 8)), 64<<10, 0)
}

// idle sends an ordinary request, reads the answer and stays idle.
func (s *system) idle(conn net.Conn) {
	send(conn, []byte(s.head(http.MethodPost, s.write)+"Content-Length: 4\r\n\r\nbody"), 64<<10, 0)
	_, _ = io.CopyN(io.Discard, conn, 1)
}
