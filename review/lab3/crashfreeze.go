//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the case, from the begin of the freeze.
const (
	freezeTime = 4 * time.Second
	crashAfter = 500 * time.Millisecond
	backAfter  = 2500 * time.Millisecond
)

// runCrashAtFreeze lets one of eight workers crash in the middle of answers without a length, while one of
// three nodes stands still. The worker is back, at its address, before the node wakes.
func runCrashAtFreeze(l *lab) {
	l.store.Put("op", "config", manifest(1, route("book", "/book/", "unsafe", "desk", 1), route("look", "/look/", "safe", "desk", 2)))
	var workers []*workerHandle
	for i := range deskWorkers {
		workers = append(workers, l.startWorker(fmt.Sprintf("i-desk%d", i+1), "desk", "erie-shore"))
	}
	l.startNodes("erie-shore", "huron-shore", "ontario-shore")

	var clients sync.WaitGroup
	var mu sync.Mutex
	var outcomes []outcome
	stop := time.Now().Add(9 * time.Second)
	for i := range 40 {
		clients.Go(func() {
			// 24 clients wait for long answers at the node that will stand still.
			address := l.nodes[0].callers
			if i >= 24 {
				address = l.nodes[1+i%2].callers
			}
			c := &channel{address: address}
			defer c.close()
			for n := 0; time.Now().Before(stop); n++ {
				work := "long"
				if i >= 24 {
					work = "quick"
				}
				method, target, body := "GET", "/look/"+work+"/2f", ""
				if i%2 == 1 {
					method, target, body = "POST", "/book/"+work+"/2f", "alley=4"
				}
				o := c.call(fmt.Sprintf("%02d%06d", i, n), method, target, body, timeLimit)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(time.Duration(50+10*i) * time.Millisecond)
			}
		})
	}
	time.Sleep(3500 * time.Millisecond)
	if l.trouble {
		frozen, crashed := l.nodes[0], workers[0]
		_ = frozen.Process.Signal(syscall.SIGSTOP)
		l.note("%s stands still", frozen.name)
		time.Sleep(crashAfter)
		_ = crashed.Process.Kill()
		<-crashed.done
		l.note("%s has crashed", crashed.id)
		time.AfterFunc(3*heartbeat, func() { l.store.Drop("servers", crashed.id) })
		time.Sleep(backAfter - crashAfter)
		l.startWorkerAt(crashed.address, crashed.id+"-again", "desk", "erie-shore")
		time.Sleep(freezeTime - backAfter)
		_ = frozen.Process.Signal(syscall.SIGCONT)
		l.note("%s goes on", frozen.name)
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
