package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// serveBytes accepts one connection, reads a request head and sends the given
// bytes.
func serveBytes(t *testing.T, answer string) (address string) {
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
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		// The write fails once the other side has closed the connection.
		_, _ = io.WriteString(conn, answer)
	}()
	return listener.Addr().String()
}

// TestOversizedAnswerHeadsAreRejected guards against endpoints that send bytes
// without end before or after the body. Without maxAnswerHeaderBytes a transport
// reads up to 10 MB of a head for each request, which a node with 184 MB cannot
// afford.
func TestOversizedAnswerHeadsAreRejected(t *testing.T) {
	const (
		ending = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		size   = 1 << 20
	)
	longField := "X-Field: " + strings.Repeat("x", size) + "\r\n"
	manyFields := strings.Repeat("X-Field: some text\r\n", size/20)
	for name, c := range map[string]struct {
		answer string
		fails  bool
	}{
		"usual answer":               {ending, false},
		"informational answer":       {"HTTP/1.1 103 Early Hints\r\n\r\n" + ending, false},
		"long field":                 {"HTTP/1.1 200 OK\r\n" + longField + "\r\n", true},
		"many fields":                {"HTTP/1.1 200 OK\r\n" + manyFields + "\r\n", true},
		"long status line":           {"HTTP/1.1 200 " + strings.Repeat("x", size) + "\r\n\r\n", true},
		"many informational answers": {strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Field: some text\r\n\r\n", size/50) + ending, true},
		"many trailers":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Field\r\n\r\n2\r\nok\r\n0\r\n" + manyFields + "\r\n", true},
		"long chunk extension":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;" + strings.Repeat("x", size) + "\r\nok\r\n0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			transport := newTransport(0, dialerWithTimeout(hostUserTimeout).DialContext)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+serveBytes(t, c.answer)+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := transport.RoundTrip(request)
			var content []byte
			if err == nil {
				defer response.Body.Close()
				content, err = io.ReadAll(response.Body)
			}
			if (err != nil) != c.fails {
				t.Errorf("got body %q and error %v, want an error: %t", content, err, c.fails)
			}
		})
	}
}
