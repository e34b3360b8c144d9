package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// TestStopAnswersRequestsOnConnectionsOpenedBefore guards against a stopping node that reads
// a request on a connection opened during the stop and closes it without an answer.
func TestStopAnswersRequestsOnConnectionsOpenedBefore(t *testing.T) {
	inFleet(t, 2, 2, func(f *fleet) {
		f.nodes[nodeName(0)].stop()
		type opened struct {
			write  func() error
			reader *bufio.Reader
			at     time.Duration
		}
		var conns []opened
		begun := time.Now()
		time.Sleep(800 * time.Millisecond)
		for at := 900 * time.Millisecond; at <= 1400*time.Millisecond; at += 50 * time.Millisecond {
			conn, err := f.network.Dial(context.Background(), "tcp", callerAddress(nodeName(0)))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			request := "POST /v1/completions HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 2\r\n\r\n{}"
			conns = append(conns, opened{func() error { _, err := io.WriteString(conn, request); return err }, bufio.NewReader(conn), at})
		}
		for _, c := range conns {
			time.Sleep(time.Until(begun.Add(c.at)))
			err := c.write()
			var response *http.Response
			if err == nil {
				response, err = http.ReadResponse(c.reader, nil)
			}
			if err != nil {
				t.Errorf("request %v after the stop: got %v, want an answer or a refusal", c.at, err)
				continue
			}
			response.Body.Close()
		}
	})
}

// TestStopAnswersRequestsInFlightAtDrainTimeout guards against a stop that ends connections
// whose requests have no answer yet.
func TestStopAnswersRequestsInFlightAtDrainTimeout(t *testing.T) {
	inFleet(t, 2, 2, func(f *fleet) {
		calls := f.newCallGroup()
		for i := range 4 {
			calls.start(completion{node: nodeName(0), rank: "batch", prompt: fmt.Sprint("whole ", i), tokens: 5000})
		}
		time.Sleep(time.Second)
		f.stopNode(nodeName(0))
		for _, a := range calls.wait() {
			if a.refused == nil || a.refused.Ran == refusal.RanNo {
				t.Errorf("%q: got refusal %v, error %v, status %d after %v; want a refusal of a request that may have run", a.call.prompt, a.refused, a.err, a.status, a.duration)
			}
		}
	})
}
