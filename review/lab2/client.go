//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is how a request of a client ended.
type outcome struct {
	id      string
	status  int
	sealed  bool
	content string
	events  []int
	// whole is true if the answer ended as complete: its framing says so.
	whole bool
	err   error
	sent  time.Time
	ended time.Time
}

// send sends one request on a channel of its own and reads the whole answer.
func (l *lab) send(n *node, method, path, id string, limit time.Duration, header map[string]string, body string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), limit+time.Second)
	defer cancel()
	o := outcome{id: id, sent: time.Now()}
	defer func() { o.ended = time.Now() }()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = "a.example"
	request.Header.Set("X-Currantladder-Request-Id", id)
	request.Header.Set("X-Currantladder-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	request.Header.Set("X-Api-Key", "key")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		o.err = err
		l.record("client: %s on %s got no answer: %v", id, n.name, err)
		return o
	}
	defer response.Body.Close()
	o.status, o.sealed = response.StatusCode, response.Header.Get("X-Currantladder-Answer-Seal") != ""
	content, err := io.ReadAll(response.Body)
	o.content, o.err, o.whole = string(content), err, err == nil
	lines := bufio.NewScanner(strings.NewReader(o.content))
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			number, _ := strconv.Atoi(text)
			o.events = append(o.events, number)
		}
	}
	l.record("client: %s on %s got %d, %d bytes, %d events, whole %t %s", id, n.name, o.status, len(content), len(o.events), o.whole, errorText(err))
	return o
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// stream sends a request for a stream of so many events.
func (l *lab) stream(n *node, id, model string, events int, limit time.Duration) outcome {
	return l.send(n, http.MethodPost, "/stream/1", id, limit, map[string]string{
		"X-Currantladder-Model": model, "X-Currantladder-Token-Count": fmt.Sprintf("100,%d", events), "X-Currantladder-Prompt-Prefix": "5c1e07a2:40," + id + ":60",
	}, strings.Repeat("b", 700))
}
