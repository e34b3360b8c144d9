package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// hostSilence is how long a sound host may be silent in these tests.
const hostSilence = 2 * time.Second

// serveSilently accepts one connection. It is silent before it reads the request, and again
// before it answers.
func serveSilently(t *testing.T, beforeReading, beforeAnswer time.Duration) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return // the test has ended
		}
		defer conn.Close()
		time.Sleep(beforeReading)
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return // the other side has closed the connection
		}
		time.Sleep(beforeAnswer)
		// The write fails once the other side has closed the connection.
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}()
	return listener.Addr().String()
}

// TestConnectionOutlivesSilenceOfItsHost guards against a request that is lost because its
// connection is closed while a sound host is silent and reads nothing.
func TestConnectionOutlivesSilenceOfItsHost(t *testing.T) {
	t.Parallel()
	const longBody = 1 << 20 // more than the socket buffers hold
	for name, test := range map[string]struct {
		body                        int
		beforeReading, beforeAnswer time.Duration
	}{
		"before it reads":              {10, hostSilence, 0},
		"before it reads a long body":  {longBody, hostSilence, 0},
		"before it answers":            {10, 0, hostSilence},
		"before a long body and after": {longBody, hostSilence, hostSilence},
	} {
		for kind, transport := range map[string]http.RoundTripper{"pooled": NewTransports().Pooled, "unpooled": NewTransports().Unpooled} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				address := serveSilently(t, test.beforeReading, test.beforeAnswer)
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, test.body)))
				if err != nil {
					t.Fatal(err)
				}
				response, err := transport.RoundTrip(request)
				if err != nil {
					t.Fatalf("got error %v, want the answer", err)
				}
				defer response.Body.Close()
				if content, err := io.ReadAll(response.Body); err != nil || string(content) != "ok" {
					t.Errorf("got body %q and error %v, want ok", content, err)
				}
			})
		}
	}
}
