//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// streamTokens is the number of output tokens of a stream: 27 events, the sheet's mean.
	streamTokens = 135
	// streamInterval is the time between two streams: the share of one gateway in the sheet's
	// 135 streams a second, thinned to what two groups of two workers carry.
	streamInterval = 50 * time.Millisecond
	// unframedEvery is n if one of n answers has no length: the dose of garble, 2 in 100.
	unframedEvery = 50
	// spotNotice is the time from the notice to the end of a worker: the dose of "scale_in, spot".
	spotNotice = 2 * time.Second
	// recoverTime is how long streams are sent after that.
	recoverTime = 5 * time.Second
)

// runCutStream takes away the head of a group two seconds after it has registered as
// draining, while it serves a stream without length or chunks. It checks that no client
// gets a stream that ends as complete before its last event.
func runCutStream(l *lab) (bool, error) {
	l.putManifest()
	for i := range 6 {
		if _, err := l.newWorker(fmt.Sprintf("i-model-%d", i), "-service", "alley-assistant", "-zone", "zone-0", "-domain", "d0", "-unframed-every", fmt.Sprint(unframedEvery)); err != nil {
			return false, err
		}
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
	time.Sleep(8 * time.Second) // the groups are formed before traffic starts

	streams := l.startStreams(gateways)
	// The notice comes while a worker serves a stream without length.
	taken, err := l.awaitUnframed(30 * time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if l.trouble {
		_ = taken.command.Process.Signal(syscall.SIGUSR1)
		l.record("worker %s gets the notice", taken.id)
		time.Sleep(spotNotice)
		_ = taken.command.Process.Kill()
		<-taken.exited
		taken.unregister()
	}
	time.Sleep(recoverTime)
	streams.stop()
	l.record("rule ORDER: %d streams ended as complete before their last event, of %d that ended as complete; %d ended otherwise", streams.cut.Load(), streams.whole.Load()+streams.cut.Load(), streams.other.Load())
	if streams.whole.Load() == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return streams.cut.Load() > 0, nil
}

// awaitUnframed waits until a worker has begun a stream without length or chunks.
func (l *lab) awaitUnframed(timeout time.Duration) (*workerProcess, error) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		for _, w := range l.workers {
			select {
			case <-w.began:
				l.mu.Unlock()
				return w, nil
			default:
			}
		}
		l.mu.Unlock()
	}
	return nil, fmt.Errorf("no worker has served an unframed stream within %s", timeout)
}

// streamLoad sends streams to the gateways in turn.
type streamLoad struct {
	*client
	stopped           atomic.Bool
	done              sync.WaitGroup
	whole, cut, other atomic.Int64
}

func (l *lab) startStreams(gateways []*gateway) *streamLoad {
	s := &streamLoad{client: l.newClient()}
	s.done.Go(func() {
		for n := 0; !s.stopped.Load(); n++ {
			g := gateways[n%len(gateways)]
			r := &request{id: fmt.Sprintf("%08x", 0xa0000000+n), method: http.MethodPost, path: "/ask/2f", limit: 6 * time.Second, tokens: streamTokens}
			s.done.Go(func() {
				switch a := s.send(g, r); {
				case a.status != http.StatusOK || !a.complete:
					s.other.Add(1)
				case a.events < streamTokens/5:
					s.cut.Add(1)
					s.record("stream %s is cut: %d of %d events", r.id, a.events, streamTokens/5)
				default:
					s.whole.Add(1)
				}
			})
			time.Sleep(streamInterval)
		}
	})
	return s
}

func (s *streamLoad) stop() {
	s.stopped.Store(true)
	s.done.Wait()
}
