package wellformed

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantladder.example/currantladder/internal/standin/loopback"
)

// serveInOrder starts a server that answers the n-th request with the n-th response, and
// requests beyond them with the last one. It returns the number of requests and of
// connections.
func serveInOrder(t *testing.T, responses ...string) (url string, requests, conns *atomic.Int64) {
	t.Helper()
	listener, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	requests, conns = new(atomic.Int64), new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			conns.Add(1)
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return // the client has closed the connection
					}
					n := min(int(requests.Add(1)), len(responses))
					if _, err := io.WriteString(conn, responses[n-1]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String() + "/", requests, conns
}

// get sends a GET request and returns the body of the response.
func get(t *testing.T, transport *Transport, url string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

const (
	soundResponse     = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
	malformedResponse = "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwrong"
)

// malformedResponses have one malformed line each, which their errors name.
var malformedResponses = map[string]string{
	"HTTP/1.1 000 OK":            malformedResponse,
	"HTTP/2.0 200 OK":            "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
	"HTTP/1.1 101 Switch":        "HTTP/1.1 101 Switch\r\n\r\n",
	"Bad Name: 1":                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nBad Name: 1\r\n\r\nwrong",
	"Content-Length : 5":         "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwrong",
	" Content-Length: 5":         "HTTP/1.1 200 OK\r\nA: 1\r\n Content-Length: 5\r\n\r\nwrong",
	"A: 1":                       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: 1\n\r\nwrong",
	" ":                          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n \r\n\r\nwrong",
	"\r":                         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\r\n\r\nwrong",
	"":                           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nwrong",
	"HTTP/1.1 600 Odd":           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 Odd\r\nContent-Length: 5\r\n\r\nwrong",
	"Transfer-Encoding: chunked": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
}

// TestMalformedResponseEndsItsConnection guards against a malformed response on a kept
// connection that is returned, after which the transport sends the request once more, or
// whose connection is used again.
func TestMalformedResponseEndsItsConnection(t *testing.T) {
	for line, malformed := range malformedResponses {
		url, requests, conns := serveInOrder(t, soundResponse, soundResponse, malformed, soundResponse)
		transport := NewTransport(&http.Transport{})
		for _, wantMalformed := range []bool{false, false, true, false} {
			content, err := get(t, transport, url)
			var problem *Error
			if errors.As(err, &problem) != wantMalformed || wantMalformed && problem.Line != line || !wantMalformed && content != "sound" {
				t.Errorf("%q, request %d: got %q and error %v, want a malformed response: %t", malformed, requests.Load(), content, err, wantMalformed)
			}
		}
		if requests.Load() != 4 || conns.Load() != 2 {
			t.Errorf("%q: got %d requests on %d connections, want 4 on 2", malformed, requests.Load(), conns.Load())
		}
		transport.CloseIdleConnections()
	}
}

// TestMalformedResponsesOverTLS verifies that responses over TLS are checked too.
func TestMalformedResponsesOverTLS(t *testing.T) {
	var malformed atomic.Bool
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !malformed.Load() {
			_, _ = io.WriteString(w, "sound") // a failed write fails the request
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, malformedResponse)
	}))
	defer server.Close()
	pool := x509.NewCertPool()
	pool.AddCert(server.Certificate())
	transport := NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}})
	defer transport.CloseIdleConnections()
	if content, err := get(t, transport, server.URL); err != nil || content != "sound" {
		t.Errorf("got %q and error %v, want the response", content, err)
	}
	malformed.Store(true)
	if content, err := get(t, transport, server.URL); !errors.As(err, new(*Error)) {
		t.Errorf("got %q and error %v of a malformed response, want an Error", content, err)
	}
	other := NewTransport(&http.Transport{})
	defer other.CloseIdleConnections()
	if _, err := get(t, other, server.URL); err == nil {
		t.Error("got no error from a server with an unknown certificate")
	}
}

// partsConn is a connection that returns given parts, one in each read.
type partsConn struct {
	net.Conn
	parts [][]byte
}

// Read implements net.Conn.
func (c *partsConn) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	if c.parts[0] = c.parts[0][n:]; len(c.parts[0]) == 0 {
		c.parts = c.parts[1:]
	}
	return n, nil
}

// SetWriteDeadline implements net.Conn.
func (c *partsConn) SetWriteDeadline(time.Time) error { return nil }

// TestResponsesArriveInAnyParts verifies that the result does not depend on the reads in
// which a response arrives, that no byte of it is lost or changed, and that net/http makes
// no response of a part of a malformed one.
func TestResponsesArriveInAnyParts(t *testing.T) {
	responses := []string{
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", "HTTP/1.1 204\r\n\r\n", "HTTP/1.1 103 Early\r\nB: 2\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n\r\n\x00 : body\nHTTP/1.1 000\r\n", "",
	}
	responses = append(responses, slices.Sorted(maps.Values(malformedResponses))...)
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.SampledFrom(responses).Draw(t, "response")
		_, want := new(headChecker).check([]byte(whole))
		var parts [][]byte
		for rest := []byte(whole); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		got, err := io.ReadAll(newConn(&partsConn{parts: slices.Clone(parts)}))
		if (err == nil) != (want == nil) || err == nil && string(got) != whole || err != nil && err.Error() != want.Error() {
			t.Errorf("got %q and error %v of %q, want error %v", got, err, whole, want)
		}
		reader := bufio.NewReader(newConn(&partsConn{parts: parts}))
		for want != nil {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if response.StatusCode >= 200 {
				t.Fatalf("got status %d of %q, want an error", response.StatusCode, whole)
			}
		}
	})
}
