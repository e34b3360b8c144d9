//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyInterval is the time between the end of a try of the deadly request and the next one.
	deadlyInterval = 500 * time.Millisecond
	// darkTime is how long a worker is down.
	darkTime = 4500 * time.Millisecond
	// stableTime is stable_ms.
	stableTime = 3 * time.Second
	// maxRetriesAfterThird is how often the rule lets a request reach workers after the third crash.
	maxRetriesAfterThird = 3
)

// runDeadly sends a request that makes each worker go dark that begins to run it, again and again.
func runDeadly(l *lab) {
	l.store.Put("op", "config", manifest(1, route("book", "/book/", "unsafe", "desk", 1)))
	for i := range deskWorkers {
		l.keepWorker(fmt.Sprintf("i-desk%d", i+1))
	}
	l.startNodes("erie-shore", "huron-shore", "ontario-shore")
	begin := time.Now()
	stop := begin.Add(50 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	for i := range 12 {
		clients.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				c := &channel{address: l.nodes[i%len(l.nodes)].callers}
				o := c.call(fmt.Sprintf("%02d%06d", i, n), "POST", "/book/quick/2f", fmt.Sprintf("booking=%d-%d", i, n), timeLimit)
				c.close()
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	sent := map[string]time.Time{}
	clients.Go(func() {
		for n := 0; l.trouble && time.Now().Before(stop); n++ {
			c := &channel{address: l.nodes[n%len(l.nodes)].callers}
			id := fmt.Sprintf("dead%04d", n)
			sent[id] = time.Now()
			o := c.call(id, "POST", "/book/deadly/2f", "alley=4", timeLimit)
			c.close()
			l.note("answer: %s", o.text())
			time.Sleep(deadlyInterval)
		}
	})
	clients.Wait()
	var deadly []run
	ran := map[string]bool{}
	for _, r := range l.readRuns() {
		ran[r.id] = true
		if strings.Contains(r.target, "/deadly/") {
			deadly = append(deadly, r)
		}
	}
	whole, lost := 0, 0
	for _, o := range outcomes {
		switch {
		case o.status == 200 && o.body == answerOf(o.id):
			whole++
		case ran[o.id] || o.status == 504 || o.status == 502 || o.status == 0:
			lost++
			l.note("lost: %s, it has run: %t", o.text(), ran[o.id])
		}
	}
	l.note("%d other bookings, %d with a whole answer, %d lost", len(outcomes), whole, lost)
	if whole < 100 {
		l.fail("only %d requests had a whole answer", whole)
	}
	if !l.trouble {
		return
	}
	sortRuns(deadly)
	after := 0
	for i, r := range deadly {
		late := i >= 3 && sent[r.id].Sub(deadly[2].at) > stableTime
		if late {
			after++
		}
		l.note("run: %s at %s, %.1f s after the begin; counts: %t", r.id, r.worker, r.at.Sub(begin).Seconds(), late)
	}
	l.note("%d of %d tries reached a worker, %d of them later than %v after the third crash", len(deadly), len(sent), after, stableTime)
	if len(deadly) < 3 {
		l.fail("the request crashed only %d workers", len(deadly))
	}
	if after > maxRetriesAfterThird {
		l.breakRule("BUDGET: a request that crashes workers reached them in %d retries after it had crashed the third, %d are allowed", after, maxRetriesAfterThird)
	}
}

// keepWorker starts a worker and starts it again, with a new id, some seconds after it went dark.
func (l *lab) keepWorker(id string) {
	address := l.freeAddresses(1)[0]
	h := l.startWorkerAt(address, id, "desk", "erie-shore")
	go func() {
		for life := 2; !l.ending(); {
			time.Sleep(20 * time.Millisecond)
			if !h.isStopped() {
				continue
			}
			l.note("%s has gone dark", h.id)
			gone := h.id
			time.AfterFunc(3*heartbeat, func() { l.store.Drop("servers", gone) })
			time.Sleep(darkTime)
			_ = h.Process.Kill()
			<-h.done
			if l.ending() {
				return
			}
			h = l.startWorkerAt(address, fmt.Sprintf("%s-%d", id, life), "desk", "erie-shore")
			life++
		}
	}()
}

// isStopped reports whether the process stands still.
func (p *process) isStopped() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(rest, "T")
}
