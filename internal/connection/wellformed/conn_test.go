package wellformed

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/standin/loopback"
)

// failingConn is a connection whose writes fail one after the other with given errors, nil
// for none, and whose reads return io.EOF.
type failingConn struct {
	net.Conn
	writeErrs []error
}

// Write implements net.Conn.
func (c *failingConn) Write(p []byte) (int, error) {
	err := c.writeErrs[0]
	c.writeErrs = c.writeErrs[1:]
	return len(p), err
}

// Read implements net.Conn.
func (*failingConn) Read([]byte) (int, error) { return 0, io.EOF }

// SetWriteDeadline implements net.Conn.
func (*failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestEndOfFileAfterAFailedWrite guards against a connection that failed and whose end of file
// counts as the end of a response, because a write got the error.
func TestEndOfFileAfterAFailedWrite(t *testing.T) {
	for _, test := range []struct {
		writeErrs []error
		wantEnd   bool
	}{
		{nil, true},
		{[]error{nil}, true},
		{[]error{nil, syscall.EPIPE}, true}, // the server had ended its side before it reset the connection
		{[]error{syscall.ECONNRESET}, false},
		{[]error{nil, syscall.ECONNRESET}, false},
		{[]error{syscall.ECONNRESET, syscall.EPIPE}, false},
		{[]error{syscall.ETIMEDOUT}, false},
		{[]error{syscall.EHOSTUNREACH}, false},
		{[]error{errors.New("unknown")}, false},
	} {
		c := newConn(&failingConn{writeErrs: test.writeErrs})
		for _, want := range test.writeErrs {
			if _, err := c.Write([]byte("request")); !errors.Is(err, want) {
				t.Errorf("%v: got error %v of a write, want %v", test.writeErrs, err, want)
			}
		}
		for range 2 {
			if _, err := c.Read(make([]byte, 1)); (err == io.EOF) != test.wantEnd || !test.wantEnd && !errors.Is(err, test.writeErrs[len(test.writeErrs)-1]) && !errors.Is(err, test.writeErrs[0]) {
				t.Errorf("%v: got error %v of a read, want io.EOF: %t", test.writeErrs, err, test.wantEnd)
			}
		}
	}
}

// blockedConn is a connection whose reads return io.EOF while a write is in progress. The
// write returns an error once it is interrupted.
type blockedConn struct {
	net.Conn
	writeErr             error
	writing, interrupted chan struct{}
	once                 sync.Once
}

// Write implements net.Conn.
func (c *blockedConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.interrupted
	return 0, c.writeErr
}

// Read implements net.Conn.
func (c *blockedConn) Read([]byte) (int, error) {
	<-c.writing
	return 0, io.EOF
}

// SetWriteDeadline implements net.Conn.
func (c *blockedConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.interrupted) })
	return nil
}

// TestEndOfFileDuringAWrite guards against an end of file that is judged before the write in
// progress has returned, which may have got the error of the connection.
func TestEndOfFileDuringAWrite(t *testing.T) {
	for writeErr, wantEnd := range map[error]bool{
		os.ErrDeadlineExceeded: true, syscall.EPIPE: true, syscall.ECONNRESET: false, syscall.ETIMEDOUT: false,
	} {
		c := newConn(&blockedConn{writeErr: writeErr, writing: make(chan struct{}), interrupted: make(chan struct{})})
		var writes sync.WaitGroup
		writes.Go(func() { _, _ = c.Write([]byte("request")) })
		if _, err := c.Read(make([]byte, 1)); (err == io.EOF) != wantEnd {
			t.Errorf("write ends with %v: got error %v of the read, want io.EOF: %t", writeErr, err, wantEnd)
		}
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // in case the read has not interrupted the write
		writes.Wait()
	}
}

// TestResetDuringAWrite guards against a response without a length that is reset while its
// request is written and counts as complete, over TCP and over TLS, which has no end of its
// own if the server sends none.
func TestResetDuringAWrite(t *testing.T) {
	const rounds = 10
	server := httptest.NewTLSServer(http.NotFoundHandler()) // for its certificate
	defer server.Close()
	pool := x509.NewCertPool()
	pool.AddCert(server.Certificate())
	for _, scheme := range []string{"http", "https"} {
		for _, resets := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resets %t", scheme, resets), func(t *testing.T) {
				t.Parallel()
				url := scheme + "://" + respondBeforeBody(t, scheme == "https", server.TLS, resets) + "/"
				transport := NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "example.com"}})
				defer transport.CloseIdleConnections()
				for range rounds {
					request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, 1<<20)))
					if err != nil {
						t.Fatal(err)
					}
					var content []byte
					response, err := transport.RoundTrip(request)
					if err == nil {
						content, err = io.ReadAll(response.Body)
						response.Body.Close()
					}
					if (err != nil) != resets || !resets && string(content) != "part" {
						t.Errorf("got %q and error %v, want an error: %t", content, err, resets)
					}
				}
			})
		}
	}
}

// respondBeforeBody starts a server that responds to the head of a request, and then ends the
// connection.
func respondBeforeBody(t *testing.T, secured bool, config *tls.Config, resets bool) (address string) {
	t.Helper()
	const settleTime = 30 * time.Millisecond // the write is blocked, and the response read
	listener, err := loopback.ListenNarrow()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(raw *net.TCPConn) {
		defer raw.Close()
		conn := net.Conn(raw)
		if secured {
			conn = tls.Server(raw, config.Clone())
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			t.Errorf("read a request: %v", err)
			return
		}
		time.Sleep(settleTime)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart") // a failed write fails the test's request
		time.Sleep(settleTime)
		if resets {
			_ = raw.SetLinger(0)
			return
		}
		if closer, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = closer.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, raw)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}
