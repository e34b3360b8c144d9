// Package earlyanswer is a host that answers a request once it has read its head, while the
// body is still being written.
package earlyanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"currantladder.example/currantladder/internal/standin/loopback"
)

// UploadBytes is the size of a body that does not fit into the buffers of a connection to a
// Host, so that its writer is blocked when the answer comes.
const UploadBytes = 1 << 20

// settleTime is how long a Host waits until the buffers of a connection are full, and until
// the other side has read an answer.
const settleTime = 30 * time.Millisecond

// Answer is what a Host does with a request.
type Answer struct {
	// Text is the answer with its head.
	Text string
	// End ends the connection behind the answer.
	End End
}

// End ends a connection on which the body of a request has not been read. The Host closes the
// connection after it.
type End func(conn *net.TCPConn)

// Reset resets the connection after the other side has read what was written.
func Reset(conn *net.TCPConn) {
	time.Sleep(settleTime)
	ResetAtOnce(conn)
}

// ResetAtOnce resets the connection directly behind the answer: without lingering, closing it
// does so.
func ResetAtOnce(conn *net.TCPConn) { _ = conn.SetLinger(0) } // fails on a closed connection

// EndAndReset ends the answer and resets the connection directly behind it.
func EndAndReset(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	ResetAtOnce(conn)
}

// ReadOn ends the answer and reads the rest of the request.
func ReadOn(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn) // ends when the other side closes the connection
}

// LeaveUnread ends the answer and reads nothing more for a while.
func LeaveUnread(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(2 * settleTime)
}

// Host takes one request on each connection.
type Host struct {
	listener net.Listener
	answer   func(*http.Request) Answer
	requests atomic.Int64
	serving  sync.WaitGroup
}

// Start starts a host. answer is called once for each request, whose body has not been read.
func Start(answer func(*http.Request) Answer) (*Host, error) {
	listener, err := loopback.ListenNarrow()
	if err != nil {
		return nil, err
	}
	h := &Host{listener: listener, answer: answer}
	h.serving.Go(h.accept)
	return h, nil
}

// Address returns the address of the host.
func (h *Host) Address() string { return h.listener.Addr().String() }

// Requests returns the number of requests that have arrived.
func (h *Host) Requests() int { return int(h.requests.Load()) }

// Close stops accepting connections and waits until the open ones have ended.
func (h *Host) Close() {
	h.listener.Close()
	h.serving.Wait()
}

func (h *Host) accept() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return // the host is closed
		}
		h.serving.Go(func() { h.serve(conn.(*net.TCPConn)) })
	}
}

// serve answers the request on a connection.
func (h *Host) serve(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a check whether the host is there
	}
	h.requests.Add(1)
	answer := h.answer(request)
	time.Sleep(settleTime)
	_, _ = io.WriteString(conn, answer.Text) // a failed write means that the other side has left
	answer.End(conn)
}
