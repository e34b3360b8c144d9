package conntrack

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/standin/loopback"
)

// testServer is a server with a tracker. read counts the bytes that it has read.
type testServer struct {
	tracker *Tracker
	address string
	read    atomic.Int64
}

// countingListener counts the bytes read from its connections.
type countingListener struct {
	net.Listener
	read *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.read}, nil
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func newTestServer(t *testing.T, handler http.HandlerFunc) *testServer {
	t.Helper()
	inner, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{tracker: New(), address: inner.Addr().String()}
	server := &http.Server{Handler: handler, ConnState: s.tracker.ConnState, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.tracker.Listener(countingListener{inner, &s.read})) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	})
	return s
}

// dial opens a connection and waits until the server has accepted it.
func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	before := s.tracker.Open()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	s.await(t, before+1)
	return conn, bufio.NewReader(conn)
}

// await waits until the given number of connections is open.
func (s *testServer) await(t *testing.T, open int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); s.tracker.Open() != open; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d open connections, want %d", s.tracker.Open(), open)
		}
	}
}

const testRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

// exchange sends one request and returns the status of the answer, or an error.
func exchange(conn net.Conn, reader *bufio.Reader) (int, error) {
	if _, err := io.WriteString(conn, testRequest); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func readBody(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%d bytes", len(content))
}

// TestCloseIdleDropsNoRequestThatWasRead guards against a request that crosses the close
// of its connection and is read without getting an answer.
func TestCloseIdleDropsNoRequestThatWasRead(t *testing.T) {
	s := newTestServer(t, readBody)
	answered, unread := 0, 0
	for i := range 600 {
		conn, reader := s.dial(t)
		if i%2 == 0 {
			if status, err := exchange(conn, reader); status != http.StatusOK {
				t.Fatalf("first request: got %d, %v; want 200", status, err)
			}
		}
		before := s.read.Load()
		var closing sync.WaitGroup
		closing.Go(func() {
			// The close moves over the time at which the request arrives.
			for begun := time.Now(); time.Since(begun) < time.Duration(i%60)*2*time.Microsecond; {
				runtime.Gosched()
			}
			s.tracker.CloseIdle(true)
		})
		_, err := exchange(conn, reader)
		closing.Wait()
		switch read := s.read.Load() - before; {
		case err == nil:
			answered++
		case read == 0:
			unread++
		default:
			t.Errorf("request %d: got %v after %d of its %d bytes were read, want an answer", i, err, read, len(testRequest))
		}
		conn.Close()
		s.await(t, 0)
	}
	t.Logf("%d requests answered, %d unread", answered, unread)
}

// interruptedConn calls interrupt between the read of bytes and the return of Read.
type interruptedConn struct {
	net.Conn
	interrupt func()
}

func (c *interruptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.interrupt()
	}
	return n, err
}

// TestCloseIdleKeepsRequestThatIsBeingRead guards against a request whose first part is
// read while its connection is closed as idle, and whose second part is not read.
func TestCloseIdleKeepsRequestThatIsBeingRead(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	interrupted := &interruptedConn{Conn: near}
	c := &conn{Conn: interrupted, awaitsRequest: true}
	interrupted.interrupt = func() { c.closeIfIdle(true) }
	go func() {
		for _, part := range []string{"first", "second"} {
			if _, err := io.WriteString(far, part); err != nil {
				return // the test has ended
			}
		}
	}()
	if err := c.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	p := make([]byte, 100)
	for _, want := range []string{"first", "second"} {
		if n, err := c.Read(p); err != nil || string(p[:n]) != want {
			t.Errorf("got %q, %v; want %q", p[:n], err, want)
		}
	}
}

// TestCloseIdleKeepsConnectionsWithRequests guards against the close of a connection on
// which a request is under way or, unless new ones are included, expected.
func TestCloseIdleKeepsConnectionsWithRequests(t *testing.T) {
	s := newTestServer(t, readBody)
	kept, keptReader := s.dial(t)
	if status, err := exchange(kept, keptReader); status != http.StatusOK {
		t.Fatalf("got %d, %v; want 200", status, err)
	}
	begun, begunReader := s.dial(t)
	if _, err := io.WriteString(begun, testRequest[:10]); err != nil {
		t.Fatal(err)
	}
	for s.read.Load() < int64(len(testRequest)+10) {
		time.Sleep(time.Millisecond)
	}
	fresh, freshReader := s.dial(t)
	s.tracker.CloseIdle(false)
	s.await(t, 2)
	if _, err := keptReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("kept connection: got %v, want its end", err)
	}
	if status, err := exchange(fresh, freshReader); status != http.StatusOK {
		t.Errorf("request on a new connection: got %d, %v; want 200", status, err)
	}
	other, otherReader := s.dial(t)
	s.tracker.CloseIdle(true)
	if _, err := otherReader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("new connection: got %v, want its end", err)
	}
	other.Close()
	if _, err := io.WriteString(begun, testRequest[10:]); err != nil {
		t.Fatal(err)
	}
	if response, err := http.ReadResponse(begunReader, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("request that had begun: got error %v, want its answer", err)
	}
	s.await(t, 0)
}
