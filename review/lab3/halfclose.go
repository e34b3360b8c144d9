//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// leaveAfter is half of the objective of the routes, 300 ms and 500 ms.
const (
	leaveAfter       = 150 * time.Millisecond
	leaveStreamAfter = 250 * time.Millisecond
)

// runHalfClose lets a fifth of the clients give up. They close their side of the channel, as a client does
// that sends nothing more, and read to its end.
func runHalfClose(l *lab) {
	stream := route("chat", "/chat/", "stream", "desk", 2)
	stream["goal_ms"], stream["gap_aim_ms"], stream["resumable"] = 500, 300, true
	l.store.Put("op", "config", manifest(1, route("book", "/book/", "unsafe", "desk", 1), route("look", "/look/", "safe", "desk", 2), stream))
	for i := range deskWorkers {
		l.startWorker(fmt.Sprintf("i-desk%d", i+1), "desk", "erie-shore")
	}
	l.startNodes("erie-shore", "huron-shore")

	var clients sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	left := map[string]bool{}
	for i := range 30 {
		clients.Go(func() {
			c := &channel{address: l.nodes[i%len(l.nodes)].callers}
			defer c.close()
			for n := range 6 {
				id := fmt.Sprintf("%02d%06d", i, n)
				method, target, body, leave := "GET", "/look/slow/2f", "", leaveAfter
				switch i % 3 {
				case 1:
					method, target, body = "POST", "/book/slow/2f", "alley=4"
				case 2:
					method, target, body, leave = "POST", "/chat/stream/2f", "how wide is a lane?", leaveStreamAfter
				}
				if !l.trouble || i >= 6 {
					leave = 0
				}
				o := c.callAndLeave(id, method, target, body, timeLimit, leave)
				mu.Lock()
				outcomes, left[id] = append(outcomes, o), leave > 0
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	runs := map[string]string{}
	for _, r := range l.readRuns() {
		runs[r.id] = r.worker
		l.note("run: %s at %s", r.id, r.worker)
	}
	whole := 0
	for _, o := range outcomes {
		l.note("answer: %s; the client gave up: %t; seal %q", o.text(), left[o.id], o.header.Get(headerSeal))
		if o.status < 200 || o.status > 299 || !o.complete {
			continue
		}
		var want strings.Builder
		want.WriteString(answerOf(o.id))
		if strings.Contains(o.target, "/stream/") {
			want.Reset()
			for n := range streamEvents {
				want.WriteString(eventOf(o.id, n+1))
			}
		}
		switch {
		case o.header.Get(headerSeal) == "":
			l.breakRule("MIXED: %s got the success %d without a seal and with %d bytes", o.id, o.status, len(o.body))
		case o.body != want.String():
			l.breakRule("MIXED: %s got the success %d as complete with %d of %d bytes", o.id, o.status, len(o.body), want.Len())
		default:
			whole++
		}
	}
	l.note("%d requests, %d with a whole answer", len(outcomes), whole)
	if whole < 50 {
		l.fail("only %d requests had a whole answer", whole)
	}
}
