//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// manifest returns a manifest with an unsafe and a safe route to the service "desk".
func manifest(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1}},
	}
}

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeout_ms": 4000, "goal_ms": 300, "priority": 2,
		"service": service, "attempts": attempts, "public": false,
	}
}

const (
	deskWorkers = 8
	// noticeTime is the time between a worker's report that it drains and its end.
	noticeTime = 2 * time.Second
	timeLimit  = 4 * time.Second
)

// runCutAnswer lets one of eight workers drain and go. It ends in the middle of an answer without a
// length to a request that must not be repeated.
func runCutAnswer(l *lab) {
	l.store.Put("op", "config", manifest(1, route("book", "/book/", "unsafe", "desk", 1)))
	var workers []*workerHandle
	for i := range deskWorkers {
		workers = append(workers, l.startWorker(fmt.Sprintf("i-desk%d", i+1), "desk", "erie-shore"))
	}
	l.startNodes("erie-shore", "huron-shore", "ontario-shore")

	var clients sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	stop := time.Now().Add(9 * time.Second)
	for i := range 32 {
		clients.Go(func() {
			c := &channel{address: l.nodes[i%len(l.nodes)].callers}
			defer c.close()
			for n := 0; time.Now().Before(stop); n++ {
				work := "quick"
				if i < 24 {
					work = "long"
				}
				o := c.call(fmt.Sprintf("%02d%06d", i, n), "POST", fmt.Sprintf("/book/%s/2f", work), "alley=4", timeLimit)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(3500 * time.Millisecond)
	if l.trouble {
		gone := workers[0]
		l.register(gone, "erie-shore", "draining")
		time.Sleep(noticeTime)
		_ = gone.Process.Kill()
		<-gone.done
		l.note("%s is gone, %v after its notice", gone.id, noticeTime)
		time.AfterFunc(3*heartbeat, func() { l.store.Drop("servers", gone.id) })
	}
	clients.Wait()
	for _, r := range l.readRuns() {
		l.note("run: %s at %s", r.id, r.worker)
	}
	whole := 0
	for _, o := range outcomes {
		l.note("answer: %s", o.text())
		l.checkWhole(o)
		if o.status == 200 && o.body == answerOf(o.id) {
			whole++
		}
	}
	l.note("%d requests, %d with a whole answer", len(outcomes), whole)
	if whole < 50 {
		l.fail("only %d requests had a whole answer", whole)
	}
}
