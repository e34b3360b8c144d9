package intake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/heldmemory"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/memnet"
)

const (
	testMaxBytes = 1 << 20
	testPool     = 4 << 20
	testTimeout  = 10 * time.Second
)

// testNode is a server that answers with the length of the body. whole counts the requests
// whose bodies were read whole.
type testNode struct {
	*Listener
	network memnet.Network
	whole   atomic.Int64
	end     context.CancelCauseFunc
}

func startNode(t *testing.T) *testNode {
	n := &testNode{}
	pool := heldmemory.NewPool(testPool, ReserveBytes(testMaxBytes, 0), heldmemory.CallerPace).WithMaxWait(MaxWait)
	n.Listener = NewListener(ListenerOptions{Name: "callers", MaxConns: 400, WriteTimeout: testTimeout, Pool: pool, BodyTimeout: testTimeout, Copies: 1, Log: eventlog.Discard(), Metrics: tally.NoopScope})
	var base context.Context
	base, n.end = context.WithCancelCause(context.Background())
	server := &http.Server{Handler: n.Bodies.Wrap(http.HandlerFunc(n.handle)), BaseContext: func(net.Listener) context.Context { return base }, IdleTimeout: time.Minute}
	n.Conns.Install(server)
	listener := n.network.Listen("node")
	go func() { _ = server.Serve(n.Conns.Listener(listener)) }()
	t.Cleanup(func() { server.Close(); n.end(nil) })
	return n
}

func (n *testNode) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		return
	}
	limits := Limits{Owner: r.Header.Get("Owner"), MaxBytes: testMaxBytes}
	if text := r.Header.Get("Limit"); text != "" {
		limit, _ := time.ParseDuration(text)
		limits.Latest = time.Now().Add(limit)
	}
	content, err := n.Bodies.Read(w, r, limits)
	if err != nil {
		if refused := Refusal(err); refused != nil {
			refused.Write(w)
			return
		}
		panic(http.ErrAbortHandler)
	}
	defer content.Close()
	n.whole.Add(1)
	if r.URL.Path == "/runs" {
		time.Sleep(2 * testTimeout)
		if err := r.Context().Err(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	fmt.Fprint(w, len(content.Bytes))
}

// send sends text and returns the connection with a reader of the answer.
func (n *testNode) send(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := n.network.Dial(t.Context(), "", "node")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	go func() { _, _ = io.WriteString(conn, text) }() // ends with the connection
	return conn, bufio.NewReader(conn)
}

// post returns a request with an announced length and a part of its body.
func post(path, owner string, announced, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nOwner: %s\r\nContent-Length: %d\r\n\r\n%s", path, owner, announced, strings.Repeat("b", sent))
}

// answer reads an answer and returns its status and body.
func answer(t *testing.T, reader *bufio.Reader) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("got %v, want an answer", err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

// TestBodiesArriveWhole guards against bodies that are cut or refused in calm, and against
// memory that stays counted.
func TestBodiesArriveWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t)
		for _, size := range []int{1, minChunkBytes, directBytes, directBytes + 1, 3 * maxChunkBytes, testMaxBytes} {
			chunk := max(size/1000, 1)
			chunked := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%s", strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("c", chunk)), size/chunk))
			for _, text := range []string{post("/", "", size, size), chunked + "0\r\n\r\n"} {
				_, reader := n.send(t, text)
				if status, _ := answer(t, reader); status != http.StatusOK {
					t.Errorf("%d bytes: got status %d, want 200", size, status)
				}
			}
		}
		if used := n.Bodies.Pool.Used(); used != 0 {
			t.Errorf("%d bytes are counted after the end, want none", used)
		}
	})
}

// TestRequestOutlivesTheTimesOfItsBody guards against a request that ends as if its caller
// had left, because the connection keeps the read deadline of the body.
func TestRequestOutlivesTheTimesOfItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t)
		for _, size := range []int{1, directBytes + 1} {
			_, reader := n.send(t, post("/runs", "", size, size))
			if status, content := answer(t, reader); status != http.StatusOK {
				t.Errorf("%d bytes: got status %d, %s; want 200", size, status, content)
			}
		}
	})
}

// TestTooLongBodiesAreRefused guards against bodies over the limit that are held or read to
// their end.
func TestTooLongBodiesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t)
		endless := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("c", 1<<16)+"\r\n", 40)
		for _, text := range []string{post("/", "", testMaxBytes+1, 0), endless} {
			_, reader := n.send(t, text)
			if status, _ := answer(t, reader); status != http.StatusRequestEntityTooLarge {
				t.Errorf("got status %d, want 413", status)
			}
		}
	})
}

// TestUnfinishedBodiesGiveWay guards against callers that stop short of the end of many
// bodies and so keep others from sending theirs.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t)
		for range 30 {
			n.send(t, post("/", "crowd", testMaxBytes, testMaxBytes-10))
		}
		time.Sleep(10 * time.Millisecond)
		if used, most := n.Bodies.Pool.Used(), int64(testPool+ReserveBytes(testMaxBytes, 0)); used > most {
			t.Errorf("%d bytes are counted, want at most %d", used, most)
		}
		begun := time.Now()
		_, reader := n.send(t, post("/", "crowd", 8<<10, 8<<10))
		if status, _ := answer(t, reader); status != http.StatusOK || time.Since(begun) > 0 {
			t.Errorf("a body of 8 KB: got status %d after %v, want 200 at once", status, time.Since(begun))
		}
		_, reader = n.send(t, post("/", "sound", testMaxBytes, testMaxBytes))
		if status, _ := answer(t, reader); status != http.StatusOK {
			t.Errorf("a large body of another owner: got status %d, want 200", status)
		}
		time.Sleep(time.Minute)
		if used, whole := n.Bodies.Pool.Used(), n.whole.Load(); used != 0 || whole != 2 {
			t.Errorf("got %d bytes counted and %d whole bodies after a minute, want 0 and 2", used, whole)
		}
	})
}

// TestSlowBodyIsReadInCalm guards against a single slow caller that is refused although
// nobody else needs the memory, and against one that is waited for without an end.
func TestSlowBodyIsReadInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t)
		slow, reader := n.send(t, post("/", "", 100<<10, 50<<10))
		for range 50 {
			time.Sleep(testTimeout / 2)
			if _, err := io.WriteString(slow, strings.Repeat("b", 1<<10)); err != nil {
				t.Fatal(err)
			}
		}
		if status, content := answer(t, reader); status != http.StatusOK || content != "102400" {
			t.Errorf("got status %d, %s bytes; want 200, 102400", status, content)
		}
		begun := time.Now()
		_, reader = n.send(t, post("/", "", 100, 99))
		if status, _ := answer(t, reader); status != http.StatusRequestTimeout || time.Since(begun) != testTimeout {
			t.Errorf("a silent body: got status %d after %v, want 408 after %v", status, time.Since(begun), testTimeout)
		}
		begun = time.Now()
		_, reader = n.send(t, strings.Replace(post("/", "", 100, 99), "Owner: ", "Limit: 3s", 1))
		if status, _ := answer(t, reader); status != http.StatusRequestTimeout || time.Since(begun) != 3*time.Second {
			t.Errorf("a body over its request's time: got status %d after %v, want 408 after 3s", status, time.Since(begun))
		}
	})
}

// TestEndOfNodeEndsBodies guards against a stop that waits for bodies without an end, or
// leaves their callers without an answer.
func TestEndOfNodeEndsBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t)
		_, reader := n.send(t, post("/", "", 100, 99))
		synctest.Wait()
		n.end(refusal.New(refusal.KindNodeStopping, http.StatusServiceUnavailable, "stopped"))
		if status, _ := answer(t, reader); status != http.StatusServiceUnavailable {
			t.Errorf("got status %d, want 503", status)
		}
	})
}

// TestUnreadBodyIsNotWaitedFor guards against an answer, or a connection, that waits for the
// rest of a body that no handler reads.
func TestUnreadBodyIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t)
		begun := time.Now()
		conn, reader := n.send(t, post("/unread", "", 1000, 10))
		if status, _ := answer(t, reader); status != http.StatusOK || time.Since(begun) > discardTimeout {
			t.Errorf("got status %d after %v, want 200 within %v", status, time.Since(begun), discardTimeout)
		}
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("got %v, want the end of the connection", err)
		}
		conn.Close()
	})
}

// TestEndSlowEndsTheSlowestBody guards against connections that are held by bodies of a few
// bytes a second, which take no counted memory.
func TestEndSlowEndsTheSlowestBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNode(t)
		slow, reader := n.send(t, post("/", "", 1000, 1))
		time.Sleep(slowBodyTimeout - time.Millisecond)
		if n.Bodies.EndSlow() {
			t.Error("a body gave way before its time")
		}
		if _, err := io.WriteString(slow, "x"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		if !n.Bodies.EndSlow() || n.Bodies.EndSlow() {
			t.Error("got no body or two that gave way, want one")
		}
		if status, _ := answer(t, reader); status != http.StatusRequestTimeout {
			t.Errorf("got status %d, want 408", status)
		}
	})
}

// FuzzRead verifies for any bytes after a head that Read returns what a plain read of the
// body does, or refuses it, and that nothing stays counted.
func FuzzRead(f *testing.F) {
	const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
	f.Add(chunkedHead + "4\r\nbody\r\n0\r\n\r\n")
	f.Add(chunkedHead + "1\r\nb\r\n1\r\no\r\n0\r\nTrailer: x\r\n\r\n")
	f.Add(chunkedHead + "ffffffffffffffff\r\nb")
	f.Add("Content-Length: 4\r\n\r\nbody")
	f.Add("Content-Length: 40\r\n\r\nbody")
	f.Add("Content-Length: 40000\r\n\r\n" + strings.Repeat("b", 40000))
	f.Add("Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody")
	f.Fuzz(func(t *testing.T, rest string) {
		const limit = 30_000
		parse := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\n" + rest)))
			if err != nil {
				t.Skip()
			}
			return r
		}
		want, wantErr := io.ReadAll(io.LimitReader(parse().Body, limit+1))
		bodies := New(Options{Pool: heldmemory.NewPool(testPool, 0, heldmemory.CallerPace), Timeout: time.Minute, Copies: 1})
		content, err := bodies.Read(noDeadlines{}, parse(), Limits{MaxBytes: limit})
		switch {
		case len(want) > limit || wantErr == nil && err != nil:
			if !errors.Is(err, errTooLarge) {
				t.Errorf("got error %v for %d bytes, want errTooLarge", err, len(want))
			}
		case wantErr != nil:
			if err == nil {
				t.Errorf("got no error, want one as %v", wantErr)
			}
		case !bytes.Equal(content.Bytes, want):
			t.Errorf("got %d bytes, want %d", len(content.Bytes), len(want))
		}
		content.Close()
		if used := bodies.Pool.Used(); used != 0 || len(bodies.open) != 0 {
			t.Errorf("got %d bytes counted and %d open bodies after the end, want none", used, len(bodies.open))
		}
	})
}

// noDeadlines is a response writer without deadlines.
type noDeadlines struct{}

func (noDeadlines) Header() http.Header         { return http.Header{} }
func (noDeadlines) Write(p []byte) (int, error) { return len(p), nil }
func (noDeadlines) WriteHeader(int)             {}
