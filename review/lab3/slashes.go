//go:build review

package main

import (
	"fmt"
	"time"
)

// runSlashes adds a route that takes all paths of the host. Clients whose base address ends with a slash and
// whose paths begin with one send paths with two.
func runSlashes(l *lab) {
	routes := []map[string]any{route("book", "/book/", "unsafe", "desk", 1), route("look", "/look/", "safe", "desk", 2)}
	l.store.Put("op", "config", manifest(7, routes...))
	for i := range deskWorkers {
		l.startWorker(fmt.Sprintf("i-desk%d", i+1), "desk", "erie-shore")
	}
	l.startNodes("erie-shore", "huron-shore")
	sent := map[string]outcome{}
	send := func(n int, method, target, body string) {
		c := &channel{address: l.nodes[n%len(l.nodes)].callers}
		defer c.close()
		o := c.call(fmt.Sprintf("%08d", len(sent)), method, target, body, timeLimit)
		l.note("answer: %s", o.text())
		sent[o.id] = o
	}
	for n := range 4 {
		send(n, "POST", "/book/quick/2f", "alley=4")
		send(n, "GET", "/look/quick/2f?alley=4", "")
	}
	if l.trouble {
		l.store.Put("op", "config", manifest(12, append(routes, route("rest", "/", "unsafe", "desk", 1))...))
		l.note("the store has accepted manifest 12, with a route for all other paths")
	}
	time.Sleep(3 * time.Second) // config_apply_ms is 2000
	for n := range 4 {
		send(n, "POST", "//book/quick/2f", "alley=4")
		send(n, "POST", "//look/quick/2f?alley=4", "alley=4")
		send(n, "POST", "/book/quick//2f", "alley=4")
		send(n, "POST", "/book/quick/2f", "alley=4")
	}
	runs := 0
	for _, r := range l.readRuns() {
		o := sent[r.id]
		l.note("run: %s at %s: %s %s, host %s", r.id, r.worker, r.method, r.target, r.host)
		if r.method != o.method || r.target != o.target || r.host != hostName {
			l.breakRule("UNASKED: %s was sent as %s %s for %s and run as %s %s for %s", r.id, o.method, o.target, hostName, r.method, r.target, r.host)
		}
		runs++
	}
	if runs < 16 {
		l.fail("only %d requests ran", runs)
	}
}
