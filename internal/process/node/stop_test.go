package node

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"
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
