package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/standin/loopback"
)

// requestIDHeader identifies a request in these tests.
const requestIDHeader = "X-Request-Id"

// serveBytes starts an endpoint that answers the n-th request of a connection, from 0,
// with the bytes of answer, and closes the connection after an empty answer or one that
// it is told to end with.
func serveBytes(t *testing.T, answer func(n int, id string) (text string, closes bool)) (address string) {
	t.Helper()
	listener, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return // the client has closed the connection
					}
					_, _ = io.Copy(io.Discard, request.Body)
					text, closes := answer(n, request.Header.Get(requestIDHeader))
					if _, err := io.WriteString(conn, text); err != nil || closes {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func callWithID(client *Client, address, id string) (ServiceAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return client.Call(ctx, address, ServiceRequest{Method: http.MethodPost, Path: "/", Header: http.Header{requestIDHeader: {id}}, Body: []byte(id)})
}

func wholeAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// TestEarlierAnswerReachesNoOtherCall guards against an endpoint that writes an earlier answer or refusal again when the next request comes.
func TestEarlierAnswerReachesNoOtherCall(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		earlier := ""
		address := serveBytes(t, func(n int, id string) (string, bool) {
			if n > 0 {
				return earlier + wholeAnswer(http.StatusOK, id), false
			}
			earlier = wholeAnswer(status, id)
			return earlier, false
		})
		client := NewClient()
		defer client.Close()
		for _, id := range []string{"r1", "r2", "r3"} {
			answer, err := callWithID(client, address, id)
			if err != nil || string(answer.Body) != id {
				t.Errorf("status %d, call %s: got %q, %v; want its own answer", status, id, answer.Body, err)
			}
		}
	}
}

// TestCutHeadIsNoAnswer guards against an answer whose head ends early and that is delivered as a whole one.
func TestCutHeadIsNoAnswer(t *testing.T) {
	whole := wholeAnswer(http.StatusOK, "body")
	client := NewClient()
	defer client.Close()
	for length := range len(whole) {
		address := serveBytes(t, func(int, string) (string, bool) { return whole[:length], true })
		answer, err := callWithID(client, address, "r1")
		var failed *CallError
		if !errors.As(err, &failed) || !failed.MaybeSent {
			t.Errorf("answer of %q: got %+v, %v; want a call that may have run", whole[:length], answer, err)
		}
	}
}

// TestErrorInsideStreamIsNoPartOfIt guards against the text of an error, or the silent end, in place of the rest of a stream that had begun.
func TestErrorInsideStreamIsNoPartOfIt(t *testing.T) {
	const begin = `data: {"requestID":"r1","index":0,"text":"a"}` + "\n\n"
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(begin), begin)
	unframed := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + begin
	for name, text := range map[string]string{
		"chunked, error":        chunked + wholeAnswer(http.StatusInternalServerError, "error"),
		"chunked, end":          chunked,
		"chunked, last chunk":   chunked + "0\r\n\r\n",
		"unframed, error":       unframed + wholeAnswer(http.StatusInternalServerError, "error"),
		"unframed, end":         unframed,
		"unframed, cut in line": unframed + `data: {"requestID":"r1","ind`,
	} {
		address := serveBytes(t, func(int, string) (string, bool) { return text, true })
		client := NewClient()
		stream, err := client.Generate(context.Background(), address, GenerateRequest{RequestID: "r1"})
		if err != nil {
			t.Errorf("%s: got %v, want the stream", name, err)
			continue
		}
		var received strings.Builder
		for err == nil {
			var chunk Chunk
			if chunk, err = stream.Next(); err == nil {
				received.WriteString(chunk.Text)
			}
		}
		if errors.Is(err, io.EOF) || received.String() != "a" {
			t.Errorf("%s: got text %q and %v, want a and an error", name, received.String(), err)
		}
		stream.Close()
		client.Close()
	}
}
