package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/memnet"
)

// readAndClose is a fake server that answers the first request. It reads every
// later request completely, counts it and closes the connection, like a server
// that crashes after it accepted a request.
type readAndClose struct {
	listener    net.Listener
	answered    atomic.Bool
	connections atomic.Int64
	executions  atomic.Int64
}

func (s *readAndClose) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serve(conn)
	}
}

func (s *readAndClose) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if s.answered.Swap(true) {
			s.executions.Add(1)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\ndata: [DONE]\n\n\n")
	}
}

// countExecutions sends a call twice, the second time on the connection kept
// open by the first if the client reuses it. It returns how often the server received the second call
// and how many connections were opened.
func countExecutions(t *testing.T, call func(dial endpoint.DialFunc) func()) (count, connections int64) {
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		server := &readAndClose{listener: network.Listen("server:80")}
		go server.run()
		defer server.listener.Close()
		send := call(network.Dial)
		send()
		time.Sleep(time.Millisecond)
		send()
		count, connections = server.executions.Load(), server.connections.Load()
	})
	return count, connections
}

// TestNoReplayByTransport verifies that no client lets http.Transport repeat a
// request whose reused connection breaks. The plain client shows that the fake
// server provokes such a replay.
func TestNoReplayByTransport(t *testing.T) {
	const key = "Idempotency-Key"
	body := []byte(`{"deposit":20}`)
	plainClient := func(dial endpoint.DialFunc) func() {
		client := &http.Client{Transport: &http.Transport{DialContext: dial}}
		return func() {
			request, _ := http.NewRequest(http.MethodPost, "http://server/book", bytes.NewReader(body))
			request.Header.Set(key, "k")
			response, err := client.Do(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			time.AfterFunc(time.Second, client.CloseIdleConnections)
		}
	}
	if got, _ := countExecutions(t, plainClient); got != 2 {
		t.Fatalf("plain client: got %d executions, want 2; the fake server no longer provokes a replay", got)
	}
	calls := map[string]func(endpoint.DialFunc) func(){
		"service call": func(dial endpoint.DialFunc) func() {
			client := endpoint.NewClientOver(dial)
			return func() {
				_, _ = client.Call(context.Background(), "server", endpoint.ServiceRequest{Method: http.MethodPost, Path: "/book", Header: http.Header{key: {"k"}}, Body: body})
				time.AfterFunc(time.Second, client.Close)
			}
		},
		"service call without body": func(dial endpoint.DialFunc) func() {
			client := endpoint.NewClientOver(dial)
			return func() {
				_, _ = client.Call(context.Background(), "server", endpoint.ServiceRequest{Method: http.MethodPut, Path: "/book", Header: http.Header{key: {"k"}}})
				time.AfterFunc(time.Second, client.Close)
			}
		},
		"service lookup": func(dial endpoint.DialFunc) func() {
			client := endpoint.NewClientOver(dial)
			return func() {
				_, _ = client.Call(context.Background(), "server", endpoint.ServiceRequest{Method: http.MethodGet, Path: "/book", Header: http.Header{}})
				time.AfterFunc(time.Second, client.Close)
			}
		},
		"generate": func(dial endpoint.DialFunc) func() {
			client := endpoint.NewClientOver(dial)
			return func() {
				if stream, err := client.Generate(context.Background(), "server", endpoint.GenerateRequest{RequestID: "r"}); err == nil {
					_, _ = stream.Next()
					_ = stream.Close()
				}
				time.AfterFunc(time.Second, client.Close)
			}
		},
		"peer generate": func(dial endpoint.DialFunc) func() {
			client := NewClientOver("key", nil, dial)
			return func() {
				_ = client.Generate(context.Background(), "server", HomeRequest{RequestID: "r"}, func(Frame) error { return nil })
				time.AfterFunc(time.Second, client.Close)
			}
		},
		"peer release": func(dial endpoint.DialFunc) func() {
			client := NewClientOver("key", nil, dial)
			return func() {
				_, _ = client.Release(context.Background(), "server", ReleaseRequest{Account: "a"})
				time.AfterFunc(time.Second, client.Close)
			}
		},
	}
	// Calls of services reuse no connection.
	wantConnections := map[string]int64{"service call": 2, "service call without body": 2, "service lookup": 2}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			want := max(wantConnections[name], 1)
			if got, connections := countExecutions(t, call); got != 1 || connections != want {
				t.Errorf("got %d executions on %d connections, want 1 on %d", got, connections, want)
			}
		})
	}
}
