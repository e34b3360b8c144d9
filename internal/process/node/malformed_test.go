package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/health"
	"currantladder.example/currantladder/internal/connection/hostlist"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/standin/memnet"
)

// serveBytes answers each request to an address with given bytes, until the test ends, and
// then closes the connection.
func serveBytes(t *testing.T, network *memnet.Network, address, answer string) {
	listener := network.Listen(address)
	t.Cleanup(func() { listener.Close() })
	respond := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return // the client has closed the connection
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, answer) // fails once the client has closed the connection
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go respond(conn)
		}
	}()
}

// TestMalformedAnswersOfPlatformAndHosts guards against an answer that is not well-formed and
// counts as rows, as a commit that was done or surely was not, as a list of hosts or as a
// healthy host.
func TestMalformedAnswersOfPlatformAndHosts(t *testing.T) {
	calls := func(head, body string) (commit, read, list, probe error) {
		var network memnet.Network
		serveBytes(t, &network, "platform:80", head+"\r\n"+body)
		client := (&Node{network: Network{Dial: network.Dial}}).httpClient()
		defer client.CloseIdleConnections()
		store := table.NewClient("http://platform", client)
		ctx := t.Context()
		_, read = store.List(ctx, table.Range{Prefix: "a"})
		_, list = hostlist.NewClient("http://platform", client).List(ctx)
		_, probe = health.HTTPProbe(client)(ctx, hostlist.Host{Name: "s", Role: hostlist.RoleService, Address: "platform:80"})
		// A commit whose outcome is unknown is sent again until its context ends.
		ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		commit = store.Commit(ctx, table.Txn{Nonce: "n", Writes: []table.Write{{Key: "a", Value: []byte("1")}}})
		return commit, read, list, probe
	}
	if commit, read, list, probe := calls("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", `{"committed":true}`); commit != nil || read != nil || list != nil || probe != nil {
		t.Fatalf("well-formed answer: got errors %v, %v, %v, %v", commit, read, list, probe)
	}
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 503 Service Unavailable\r\nContent Type: text/plain\r\n",
		"HTTP/1.1 400 Bad Request\r\nContent-Type : text/plain\r\n", "HTTP/1.1 200 OK\r\nContent Type: text/plain\r\n",
		"HTTP/1.1 200 OK\r\nX-Other: 1\r\n Content-Type: text/plain\r\n", "HTTP/1.1 200 OK\nContent-Type: text/plain\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		commit, read, list, probe := calls(head, `{"committed":true}`)
		if !errors.Is(commit, table.ErrUnknown) || !errors.Is(read, table.ErrUnavailable) || list == nil || probe == nil {
			t.Errorf("%q: got errors %v of a commit, %v of rows, %v of the host list and %v of a probe, want an unknown outcome and errors", head, commit, read, list, probe)
		}
	}
}
