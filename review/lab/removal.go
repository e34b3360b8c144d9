//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case, from its disruption.
const (
	// cutTime is how long a gateway is partitioned from the store: the site's dose of
	// core_cut.
	cutTime = 5500 * time.Millisecond
	// killAfter, removeAfter and restartAfter are when the other gateways are killed, the
	// worker's entry is removed and the gateways start again.
	killAfter    = 500 * time.Millisecond
	removeAfter  = time.Second
	restartAfter = 1500 * time.Millisecond
	// serveAfterRemoval is how long the worker serves after the removal of its entry.
	serveAfterRemoval = 14 * time.Second
	// plainWork is the work of a request. The sheet's mean is 60 ms, its longest 450 ms.
	plainWork = 120 * time.Millisecond
)

// runUnlearnedRemoval cuts one of three gateways from the store, kills the other two
// at once, and removes the entry of a plain worker before they are back. It checks that
// the first gateway, once it is in touch again, sends that worker no request.
func runUnlearnedRemoval(l *lab) (bool, error) {
	l.putManifest()
	workers := map[string]*workerProcess{}
	for i, id := range []string{"i-desk-a", "i-desk-b", "i-desk-c"} {
		w, err := l.newWorker(id, "-service", "booking-desk", "-zone", fmt.Sprintf("zone-%d", i), "-work", plainWork.String())
		if err != nil {
			return false, err
		}
		workers[id] = w
	}
	var gateways []*gateway
	for i := range 3 {
		g, err := l.newGateway(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i))
		if err != nil {
			return false, err
		}
		if err := g.run(); err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
	}
	cut, others, leaving := gateways[0], gateways[1:], workers["i-desk-a"]

	load := l.startLoad(cut)
	time.Sleep(4 * time.Second)

	begun := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begun.Add(d))) }
	if l.trouble {
		cut.link.setCut(true)
		l.record("%s is partitioned from the store", cut.name)
		at(killAfter)
		var killed sync.WaitGroup
		errs := make(chan error, len(others))
		for _, g := range others {
			killed.Go(func() { errs <- g.kill() })
		}
		killed.Wait()
		for range others {
			if err := <-errs; err != nil {
				return false, err
			}
		}
	}
	at(removeAfter)
	leaving.unregister()
	removed := time.Now()
	if l.trouble {
		at(restartAfter)
		for _, g := range others {
			if err := g.run(); err != nil {
				return false, err
			}
		}
	}
	at(cutTime)
	cut.link.setCut(false)
	healed := time.Now()
	l.record("%s reaches the store", cut.name)
	time.Sleep(time.Until(removed.Add(serveAfterRemoval)))
	_ = leaving.command.Process.Kill() // its drain time is long over
	<-leaving.exited
	time.Sleep(time.Second)
	load.stop()

	// The rule counts requests that a gateway in touch took and sent on later than the
	// drain time after the removal.
	from := removed.Add(drainTime)
	if inTouch := healed.Add(stableTime); l.trouble && inTouch.After(from) {
		from = inTouch
	}
	late := 0
	for _, r := range l.runsAt(leaving.id) {
		if sent, ok := load.sentAt(r.request); ok && sent.After(from) && r.at.After(from) {
			late++
		}
	}
	l.record("rule DRAIN: %d requests that clients sent to %s later than %.3f ran at worker %s, whose entry was removed at %.3f", late, cut.name,
		from.Sub(l.started).Seconds(), leaving.id, removed.Sub(l.started).Seconds())
	l.record("bookings without an answer of a worker since then: %d", load.lostAfter(from))
	return late > 0, nil
}

// load sends bookings and look-ups to one gateway.
type load struct {
	*client
	stopped atomic.Bool
	done    sync.WaitGroup

	mu   sync.Mutex
	sent map[string]time.Time
	lost map[string]time.Time
}

// loadInterval is the time between two requests to the gateway: about the traffic that the
// sheet gives the booking desk.
const loadInterval = 50 * time.Millisecond

func (l *lab) startLoad(g *gateway) *load {
	d := &load{client: l.newClient(), sent: map[string]time.Time{}, lost: map[string]time.Time{}}
	d.done.Go(func() {
		for n := 0; !d.stopped.Load(); n++ {
			r := &request{id: fmt.Sprintf("b%08d", n), method: http.MethodPost, path: "/book/2f", limit: 4 * time.Second}
			if n%4 == 3 {
				r.id, r.method, r.path = fmt.Sprintf("l%08d", n), http.MethodGet, "/look/2f"
			}
			d.mu.Lock()
			d.sent[r.id] = time.Now()
			d.mu.Unlock()
			d.done.Go(func() {
				a := d.send(g, r)
				if r.method == http.MethodPost && (a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout) {
					d.mu.Lock()
					d.lost[r.id] = r.sent
					d.mu.Unlock()
				}
			})
			time.Sleep(loadInterval)
		}
	})
	return d
}

func (d *load) stop() {
	d.stopped.Store(true)
	d.done.Wait()
}

func (d *load) sentAt(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.sent[id]
	return at, ok
}

func (d *load) lostAfter(from time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, at := range d.lost {
		if at.After(from) {
			n++
		}
	}
	return n
}
