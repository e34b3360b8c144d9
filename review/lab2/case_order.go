//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["order"] = playOrder }

// playOrder: a spot worker, the head of the only group of its model, is gone 2 s after its
// notice. One of its 52 streams, the 50th, has no length and ends with its channel.
func playOrder(l *lab) ([]string, error) {
	l.writeManifest(1, []any{route("stream", "stream", "models", 8000, 500, 2)}, []any{engineService("models", "m", 2)})
	workers := map[string]*process{}
	for i := range 7 { // two in one domain; the others have nobody to form a group with
		id := fmt.Sprintf("w%d", i)
		w, err := l.startWorker(id, "models", "-domain", fmt.Sprintf("d%d", max(i-1, 0)), "-unframed-every", "50", "-interval", "60ms")
		if err != nil {
			return nil, err
		}
		workers[id] = w
	}
	var nodes []*node
	for i := range 3 {
		n, err := l.startNode(i, l.address)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	if err := l.awaitReady(10*time.Second, nodes...); err != nil {
		return nil, err
	}
	if err := l.awaitServers(20*time.Second, 1, func(e workerEntry) bool { return e.Group != nil && e.Group.State == "open" }); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	head := ""
	for id, e := range l.entries() {
		if e.Group != nil && e.Group.State == "open" {
			head = id
		}
	}
	const events = 67
	var group sync.WaitGroup
	var early []string
	var mu sync.Mutex
	for i := range 40 { // short ones, which end before the notice
		group.Go(func() {
			time.Sleep(time.Duration(i/10) * 700 * time.Millisecond)
			if o := l.stream(nodes[i%3], fmt.Sprintf("e%d", i), "m", 8, 8*time.Second); o.status != 200 || !o.whole || len(o.events) != 8 {
				mu.Lock()
				defer mu.Unlock()
				early = append(early, fmt.Sprintf("%s got %d with %d pieces", o.id, o.status, len(o.events)))
			}
		})
	}
	group.Wait()
	if len(early) > 0 {
		return nil, fmt.Errorf("before the notice: %v", early)
	}
	outcomes := make(chan outcome, 100)
	for i := range 12 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			outcomes <- l.stream(nodes[i%3], fmt.Sprintf("s%d", i), "m", events, 8*time.Second)
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if l.trouble {
		l.record("worker %s gets its notice and reports draining", head)
		workers[head].signal(syscall.SIGUSR1)
		time.Sleep(2 * time.Second)
		workers[head].kill()
		l.record("worker %s is gone", head)
		time.AfterFunc(50*time.Millisecond, func() { l.store.Drop("servers", head) })
	}
	group.Wait()
	close(outcomes)
	var broken []string
	for o := range outcomes {
		if o.status == 200 && o.whole && len(o.events) < events {
			broken = append(broken, fmt.Sprintf("ORDER: stream %s ended as complete after %d of %d pieces", o.id, len(o.events), events))
		}
		if !l.trouble && (o.status != 200 || len(o.events) != events) {
			broken = append(broken, fmt.Sprintf("calm: stream %s got %d with %d pieces", o.id, o.status, len(o.events)))
		}
	}
	return broken, nil
}
