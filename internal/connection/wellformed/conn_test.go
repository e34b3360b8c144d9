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
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/standin/loopback"
)

// failingConn is a connection whose writes return an error, nil for none, and whose reads
// return io.EOF.
type failingConn struct {
	net.Conn
	writeErr error
	// wrote gets a value for each write.
	wrote chan struct{}
}

// Write implements net.Conn.
func (c *failingConn) Write(p []byte) (int, error) {
	c.wrote <- struct{}{}
	return len(p), c.writeErr
}

// Read implements net.Conn.
func (*failingConn) Read([]byte) (int, error) { return 0, io.EOF }

// SetWriteDeadline implements net.Conn.
func (*failingConn) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (*failingConn) Close() error { return nil }

// TestEndOfFileAfterAFailedWrite guards against a connection that failed and whose end of file
// counts as the end of a response, because a write got the error.
func TestEndOfFileAfterAFailedWrite(t *testing.T) {
	for writeErr, wantEnd := range map[error]bool{
		nil:                   true,
		syscall.EPIPE:         true, // the server had ended its side before it reset the connection
		syscall.ECONNRESET:    false,
		syscall.ETIMEDOUT:     false,
		syscall.EHOSTUNREACH:  false,
		errors.New("unknown"): false,
	} {
		raw := &failingConn{writeErr: writeErr, wrote: make(chan struct{}, 2)}
		c := newConn(raw)
		for range 2 {
			written := make(chan error, 1)
			go func() {
				_, err := c.Write([]byte("request"))
				written <- err
			}()
			<-raw.wrote
			if _, err := c.Read(make([]byte, 1)); (err == io.EOF) != wantEnd || !wantEnd && !errors.Is(err, writeErr) {
				t.Errorf("write error %v: got error %v of a read, want io.EOF: %t", writeErr, err, wantEnd)
			}
			if err := <-written; err != raw.writeErr {
				t.Errorf("got error %v of a write, want %v", err, raw.writeErr)
			}
			if writeErr != nil {
				raw.writeErr = syscall.EPIPE // as the kernel does after it has reported a failure
			}
		}
	}
}

// TestFailedWriteReturnsAfterTheReads guards against a response that is lost because the
// transport closes its connection after a failed write, and against writes that wait for reads
// that may not end.
func TestFailedWriteReturnsAfterTheReads(t *testing.T) {
	for writeErr, wantWait := range map[error]bool{
		nil: false, syscall.ECONNRESET: true, syscall.EPIPE: true, syscall.ENOBUFS: false, net.ErrClosed: false, os.ErrDeadlineExceeded: false,
	} {
		for name, end := range map[string]func(c net.Conn){
			"read":  func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) },
			"close": func(c net.Conn) { c.Close() },
		} {
			synctest.Test(t, func(t *testing.T) {
				c := newConn(&failingConn{writeErr: writeErr, wrote: make(chan struct{}, 1)})
				written := make(chan struct{})
				go func() {
					_, _ = c.Write([]byte("request"))
					close(written)
				}()
				synctest.Wait()
				select {
				case <-written:
					if wantWait {
						t.Errorf("the write that failed with %v returned before the reads have ended", writeErr)
					}
				default:
					if !wantWait {
						t.Errorf("the write that ended with %v has not returned", writeErr)
					}
				}
				end(c)
				synctest.Wait()
				select {
				case <-written:
				default:
					t.Errorf("%s: the write that failed with %v has not returned", name, writeErr)
				}
			})
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
