package conntrack

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/standin/memnet"
)

// limitedServer is a server with limits on an in-memory network.
type limitedServer struct {
	tracker *Tracker
	network memnet.Network

	mu      sync.Mutex
	reasons []Reason
}

func newLimitedServer(t *testing.T, limits Limits) *limitedServer {
	s := &limitedServer{}
	limits.OnClose = func(reason Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reasons = append(s.reasons, reason)
	}
	s.tracker = NewLimited(limits)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/large":
			_, _ = w.Write(make([]byte, 1<<20)) // fails if the connection is closed
		case "/runs":
			time.Sleep(time.Minute)
		default:
			readBody(w, r)
		}
	}), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	s.tracker.Install(server)
	listener := s.network.Listen("node")
	go func() { _ = server.Serve(s.tracker.Listener(listener)) }()
	t.Cleanup(func() { server.Close() })
	return s
}

// dial opens a connection and sends text on it.
func (s *limitedServer) dial(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := s.network.Dial(t.Context(), "", "node")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if text != "" {
		go func() { _, _ = io.WriteString(conn, text) }() // ends with the connection
	}
	synctest.Wait()
	return conn, bufio.NewReader(conn)
}

// get sends a request on a new connection and returns an error unless it is answered.
func (s *limitedServer) get(t *testing.T) error {
	t.Helper()
	_, reader := s.dial(t, testRequest[:strings.Index(testRequest, "Content")]+"\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (s *limitedServer) closed() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.reasons)
}

// TestConnectionsGiveWayInOrder guards against a node whose connections are all taken by
// idle callers, incomplete heads or requests that are never read, and against the close of
// a connection on which a request runs.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedServer(t, Limits{MaxConns: 5})
		_, running := s.dial(t, strings.Replace(testRequest, "POST /", "POST /runs", 1))
		if err := s.get(t); err != nil { // is idle then
			t.Fatal(err)
		}
		s.dial(t, "")
		s.dial(t, "POST / HT")
		s.dial(t, testRequest[:len(testRequest)-1])
		for _, step := range []struct {
			wait time.Duration
			want string
		}{
			{0, "[idle]"}, {0, "[idle refused]"}, {newGracePeriod, "[idle refused no_request]"}, {headGracePeriod, "[idle refused no_request no_request]"},
			{0, "[idle refused no_request no_request no_request]"}, {0, "[idle refused no_request no_request no_request slow_head]"},
		} {
			time.Sleep(step.wait)
			s.dial(t, "")
			if got := s.closed(); got != step.want {
				t.Errorf("got closed connections %s, want %s", got, step.want)
			}
		}
		if open := s.tracker.Open(); open != 5 {
			t.Errorf("got %d open connections, want 5", open)
		}
		if response, err := http.ReadResponse(running, nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("the request that ran: got error %v, want its answer", err)
		}
	})
}

// TestSlowBodyGivesWay verifies that a slow body ends if no idle connection can.
func TestSlowBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		s := newLimitedServer(t, Limits{MaxConns: 1, GiveWay: func() bool { asked++; return true }})
		s.dial(t, testRequest[:len(testRequest)-1])
		s.dial(t, "")
		if got := s.closed(); got != "[slow_body]" || asked != 1 {
			t.Errorf("got %s after %d calls of GiveWay, want [slow_body] after 1", got, asked)
		}
	})
}

// TestHeadsAreBoundedTogether guards against many large heads that never end, and against
// the refusal of a legal one beside them.
func TestHeadsAreBoundedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 200 << 10
		s := newLimitedServer(t, Limits{HeadBytes: limit})
		filler := strings.Repeat("X-Filler: "+strings.Repeat("h", 990)+"\r\n", 40)
		for range 20 {
			s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n"+filler)
			s.tracker.mu.Lock()
			if heads := s.tracker.heads; heads > limit {
				t.Errorf("got %d bytes of heads, want at most %d", heads, limit)
			}
			s.tracker.mu.Unlock()
		}
		_, reader := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n"+filler[:16*1002]+"\r\n")
		if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("a head of 16 KB: got error %v, want an answer", err)
		}
		if !strings.Contains(s.closed(), string(ReasonHeadMemory)) {
			t.Errorf("got closed connections %s, want some with head_memory", s.closed())
		}
		time.Sleep(2 * time.Minute)
		s.tracker.mu.Lock()
		defer s.tracker.mu.Unlock()
		if heads, open, ending := s.tracker.heads, len(s.tracker.conns), s.tracker.ending; heads != 0 || open != 0 || ending != 0 {
			t.Errorf("got %d bytes of heads, %d connections, %d ending after the end; want none", heads, open, ending)
		}
	})
}

// TestUnreadAnswersEnd guards against callers that never read their answers, and against
// the close of one that reads slowly.
func TestUnreadAnswersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedServer(t, Limits{WriteTimeout: 10 * time.Second})
		request := "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
		s.dial(t, request)
		_, slow := s.dial(t, request)
		received := 0
		for p := make([]byte, 16<<10); ; {
			n, err := io.ReadFull(slow, p)
			received += n
			if err != nil {
				break
			}
			if received >= 1<<20 {
				break
			}
			time.Sleep(time.Second)
		}
		if received < 1<<20 {
			t.Errorf("a slow reader got %d bytes, want 1 MB", received)
		}
		if got := s.closed(); got != "[write_timeout]" {
			t.Errorf("got closed connections %s, want [write_timeout]", got)
		}
	})
}

// TestSlowReaderGivesWay verifies that a connection whose answer is not read gives way.
func TestSlowReaderGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedServer(t, Limits{MaxConns: 1, WriteTimeout: time.Minute})
		_, reader := s.dial(t, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(writeGracePeriod)
		s.dial(t, "")
		if got := s.closed(); got != "[slow_reader]" {
			t.Errorf("got %s, want [slow_reader]", got)
		}
		if _, err := io.Copy(io.Discard, reader); err != nil && !errors.Is(err, io.EOF) {
			t.Errorf("got %v, want the end of the connection", err)
		}
	})
}
