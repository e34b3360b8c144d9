package callerapi_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/loopback"
)

// serveMalformed starts an endpoint that answers each request with the given head and the
// body that a sound one sends, and then closes the connection.
func serveMalformed(t *testing.T, head string, body func(request *http.Request) string) (address string) {
	t.Helper()
	listener, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	answer := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return // the node has closed the connection
		}
		content := body(request)
		_, _ = io.Copy(io.Discard, request.Body)         // unread bytes would reset the connection
		_, _ = io.WriteString(conn, head+"\r\n"+content) // a failed write means that the node has left
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go answer(conn)
		}
	}()
	return listener.Addr().String()
}

// malformedHeads are heads of answers that are not well-formed, without the empty line.
var malformedHeads = map[string]string{
	"status 000":              "HTTP/1.1 000 OK\r\n",
	"status 099":              "HTTP/1.1 099 OK\r\n",
	"status 600":              "HTTP/1.1 600 OK\r\n",
	"change of protocol":      "HTTP/1.1 101 Switching Protocols\r\n",
	"control byte in reason":  "HTTP/1.1 200 O\x00K\r\n",
	"blank in a name":         "HTTP/1.1 200 OK\r\nContent Type: text/event-stream\r\n",
	"blank behind a name":     "HTTP/1.1 200 OK\r\nContent-Type : text/event-stream\r\n",
	"blank before a name":     "HTTP/1.1 200 OK\r\nX-Other: 1\r\n Content-Type: text/event-stream\r\n",
	"control byte in a name":  "HTTP/1.1 200 OK\r\nContent\x01Type: text/event-stream\r\n",
	"line feed before a name": "HTTP/1.1 200 OK\r\nX-Other: 1\r\n\nContent-Type: text/event-stream\r\n",
	"chunks of HTTP/1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
}

const soundHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// TestMalformedAnswersOfServices guards against an answer that is not well-formed and
// reaches a caller, is recorded as the answer of a non-idempotent call, or ends the caller's
// connection.
func TestMalformedAnswersOfServices(t *testing.T) {
	call := func(t *testing.T, head, method, key string) (status int, body string) {
		service := serveMalformed(t, head, func(*http.Request) string { return "booked" })
		return callServiceAt(t, service, method, key, nil)
	}
	for _, c := range []struct{ method, key string }{{http.MethodGet, ""}, {http.MethodPost, ""}, {http.MethodPost, "key"}} {
		if status, body := call(t, soundHead, c.method, c.key); status != http.StatusOK || body != "booked" {
			t.Errorf("%s, key %q: got status %d and body %q of a sound service, want its answer", c.method, c.key, status, body)
		}
		for name, head := range malformedHeads {
			t.Run(fmt.Sprintf("%s, %s, key %q", name, c.method, c.key), func(t *testing.T) {
				if status, body := call(t, head, c.method, c.key); status != http.StatusBadGateway || strings.Contains(body, `"ran":"no"`) {
					t.Errorf("got status %d and body %q, want 502 for a call that may have run", status, body)
				}
			})
		}
	}
}

// TestMalformedAnswersOfEngines guards against an answer of an engine that is not
// well-formed and reaches a caller as a completion.
func TestMalformedAnswersOfEngines(t *testing.T) {
	complete := func(t *testing.T, head string, stream bool) (status int, body string) {
		client := endpoint.NewClient()
		defer client.Close()
		engine := serveMalformed(t, head, func(request *http.Request) string {
			var r endpoint.GenerateRequest
			if err := json.NewDecoder(request.Body).Decode(&r); err != nil {
				return ""
			}
			return fmt.Sprintf("data: {\"requestID\":%q,\"index\":0,\"text\":\"hello\"}\n\ndata: {\"requestID\":%q,\"index\":1,\"finish\":\"length\"}\n\ndata: [DONE]\n\n", r.RequestID, r.RequestID)
		})
		server := httptest.NewServer(newTestNode(t.Context(), client, engine, "", 4).handler)
		defer server.Close()
		content := fmt.Sprintf(`{"model":%q,"prompt":"p","max_tokens":1,"stream":%t}`, testModel, stream)
		return sendUrgent(t, http.MethodPost, server.URL+"/v1/completions", http.Header{}, strings.NewReader(content))
	}
	for _, stream := range []bool{false, true} {
		if status, body := complete(t, soundHead, stream); status != http.StatusOK || !strings.Contains(body, "hello") {
			t.Errorf("stream %t: got status %d and body %q of a sound engine, want its answer", stream, status, body)
		}
		for name, head := range malformedHeads {
			t.Run(fmt.Sprintf("%s, stream %t", name, stream), func(t *testing.T) {
				t.Parallel() // the error is delayed until the engine's crash would be found
				if status, body := complete(t, head, stream); status != http.StatusBadGateway || strings.Contains(body, `"ran":"no"`) {
					t.Errorf("got status %d and body %q, want 502 for a request that may have run", status, body)
				}
			})
		}
	}
}
