package peer

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"currantladder.example/currantladder/internal/connection/wellformed"
	"currantladder.example/currantladder/internal/standin/memnet"
)

// TestMalformedAnswersOfPeersMayHaveRun guards against an answer of another node that is not
// well-formed and counts as a refusal, so that a request which may have run is sent again, or
// as an answer.
func TestMalformedAnswersOfPeersMayHaveRun(t *testing.T) {
	const frames = "data: {}\n\ndata: [DONE]\n\n"
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 101 Switching Protocols\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent Type: text/plain\r\n", "HTTP/1.1 503 Service Unavailable\nContent-Type: text/plain\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type : text/event-stream\r\n", "HTTP/1.1 200 OK\r\nX-Other: 1\r\n Content-Type: text/event-stream\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		var network memnet.Network
		listener := network.Listen("home:80")
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			defer conn.Close()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, head+"\r\n"+frames) // fails once the client has closed the connection
		}()
		client := NewClientOver("key", nil, network.Dial)
		err := client.Generate(t.Context(), "home", HomeRequest{RequestID: "r"}, func(Frame) error { return nil })
		var link *LinkError
		if !errors.As(err, &link) || !link.MaybeSent || !errors.As(err, new(*wellformed.Error)) && !strings.Contains(err.Error(), "malformed") {
			t.Errorf("%q: got error %v, want one of a malformed answer to a request that may have run", head, err)
		}
		client.Close()
		listener.Close()
	}
}
