//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runGreyRefusal lets one of eight workers fail a part of the requests that it has run, with its health good.
// Its failure says nothing of "not run". Clients send a booking again, with a new id, if they are told that it
// has not run.
func runGreyRefusal(l *lab) {
	l.store.Put("op", "config", manifest(1, route("book", "/book/", "unsafe", "desk", 1)))
	for i := range deskWorkers {
		id := fmt.Sprintf("i-desk%d", i+1)
		if l.trouble && i == 0 {
			id += "-grey"
		}
		l.startWorker(id, "desk", "erie-shore")
	}
	l.startNodes("erie-shore", "huron-shore")

	var clients sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	for i := range 8 {
		clients.Go(func() {
			c := &channel{address: l.nodes[i%len(l.nodes)].callers}
			defer c.close()
			for n := range 40 {
				for try := range 2 {
					o := c.call(fmt.Sprintf("%02d%05d%d", i, n, try), "POST", "/book/quick/2f", fmt.Sprintf("booking=%d-%d", i, n), timeLimit)
					mu.Lock()
					outcomes = append(outcomes, o)
					mu.Unlock()
					if o.status != http.StatusServiceUnavailable && o.status != http.StatusTooManyRequests {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	ran, bookings := map[string]string{}, map[string]int{}
	for _, r := range l.readRuns() {
		l.note("run: %s at %s, body %s", r.id, r.worker, r.body)
		ran[r.id] = r.worker
		bookings[r.body]++
	}
	whole := 0
	for _, o := range outcomes {
		l.note("answer: %s", o.text())
		if (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && ran[o.id] != "" {
			l.breakRule("REFUSED: %s was answered %d and has run at %s", o.id, o.status, ran[o.id])
		}
		if o.status == 200 && o.body == answerOf(o.id) {
			whole++
		}
	}
	twice := 0
	for _, n := range bookings {
		if n > 1 {
			twice++
		}
	}
	l.note("%d requests, %d with a whole answer; %d bookings were written more than once", len(outcomes), whole, twice)
	if whole < 100 {
		l.fail("only %d requests had a whole answer", whole)
	}
}
