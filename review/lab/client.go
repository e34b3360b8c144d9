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
	"sync"
	"time"
)

// Names that the manifest of the cases uses.
const (
	hostName  = "desk.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	modelName = "m1"
	modelSize = 2
)

// putManifest writes the first manifest: the routes of lsac-bookings that the cases use.
func (l *lab) putManifest() {
	l.store.Put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "lane-question", "host": hostName, "prefix": "/ask/", "kind": "stream", "timeout_ms": 6000, "goal_ms": 250, "gap_aim_ms": 200, "priority": 0, "service": "alley-assistant", "attempts": 2, "public": false, "sticky": true, "resumable": true},
			map[string]any{"name": "booking-commit", "host": hostName, "prefix": "/book/", "kind": "unsafe", "timeout_ms": 2000, "goal_ms": 300, "priority": 2, "service": "booking-desk", "attempts": 1, "public": false, "sticky": false, "resumable": false},
			map[string]any{"name": "lane-lookup", "host": hostName, "prefix": "/look/", "kind": "safe", "timeout_ms": 2000, "goal_ms": 300, "priority": 2, "service": "booking-desk", "attempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": "alley-assistant", "health_path": "/healthz", "max_conns": 384, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 26, "kv_tokens": 1400000, "stride": 5, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7,
				"chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.0, "loads_at_once": 6, "usual": map[string]any{"prompt": 674, "answer": 135}, "keeps": 1, "far_x": 3.0, "form_ms": 300.0,
				"models": []any{map[string]any{"name": modelName, "size": modelSize, "share": 1.0, "pace": 0.6, "load_s": 12.0, "warm_s": 1.1}},
			}},
			map[string]any{"name": "booking-desk", "health_path": "/healthz", "max_conns": 49, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "league", "api_keys": []string{apiKey}, "priority": 1}},
	})
	l.record("the manifest is written")
}

// request is one request of a client.
type request struct {
	id, method, path string
	limit            time.Duration
	// tokens is the largest number of output tokens of a stream.
	tokens int
	sent   time.Time
}

// answer is what a client got. events holds the numbers of the events of a stream.
type answer struct {
	status   int
	sealed   bool
	body     string
	events   int
	inOrder  bool
	complete bool
	err      error
}

func (a answer) String() string {
	text := fmt.Sprintf("status %d, sealed %v, complete %v", a.status, a.sealed, a.complete)
	if a.events > 0 {
		text += fmt.Sprintf(", %d events, in order %v", a.events, a.inOrder)
	}
	if a.err != nil {
		text += ", error: " + a.err.Error()
	}
	return text
}

// client keeps channels open for many requests.
type client struct {
	*lab
	http http.Client
	wait sync.WaitGroup
}

func (l *lab) newClient() *client {
	return &client{lab: l, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}}
}

// send sends a request to a gateway and records the answer.
func (c *client) send(g *gateway, r *request) answer {
	r.sent = time.Now()
	a := c.exchange(g, r)
	c.record("%s %s %s sent to %s at %.3f: %s", r.method, r.path, r.id, g.name, r.sent.Sub(c.started).Seconds(), a)
	return a
}

func (c *client) exchange(g *gateway, r *request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.limit)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+g.callers+r.path, nil)
	if err != nil {
		return answer{err: err}
	}
	out.Host = hostName
	out.Header.Set("X-Currantladder-Request-Id", r.id)
	out.Header.Set("X-Currantladder-Deadline-Ms", strconv.FormatInt(r.limit.Milliseconds(), 10))
	out.Header.Set("X-Api-Key", apiKey)
	if r.tokens > 0 {
		out.Header.Set("X-Currantladder-Model", modelName)
		out.Header.Set("X-Currantladder-Token-Count", fmt.Sprintf("674,%d", r.tokens))
		out.Header.Set("X-Currantladder-Prompt-Prefix", "5c1e07a2:40,"+r.id+":634")
	}
	in, err := c.http.Do(out)
	if err != nil {
		return answer{err: err}
	}
	defer in.Body.Close()
	a := answer{status: in.StatusCode, sealed: in.Header.Get("X-Currantladder-Answer-Seal") != ""}
	if r.tokens > 0 && a.status == http.StatusOK {
		readEvents(in.Body, r, &a)
		return a
	}
	body, err := io.ReadAll(in.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	return a
}

// readEvents reads the events of a stream until its end.
func readEvents(body io.Reader, r *request, a *answer) {
	a.inOrder = true
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		a.events++
		a.inOrder = a.inOrder && data == fmt.Sprintf("%s piece %d", r.id, a.events)
	}
	a.err = lines.Err()
	a.complete = a.err == nil
}
