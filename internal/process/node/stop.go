package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
)

// Times of a graceful stop.
const (
	// readinessPropagationDelay is how long a stopping node still takes requests
	// after its readiness has failed, so that load balancers see the failure first.
	readinessPropagationDelay = 1 * time.Second
	// refusalPeriod is how long a stopping node at least refuses requests, on connections
	// that were opened just before.
	refusalPeriod = 500 * time.Millisecond
	// releaseTimeout is how long the hand-over of cap shares and leases may take at
	// a stop.
	releaseTimeout = 3 * time.Second
	// closeTimeout limits the wait for the last answers and the close of the callers'
	// connections.
	closeTimeout = time.Second
	// drainPollInterval is the time between two closes of idle connections.
	drainPollInterval = 50 * time.Millisecond
)

// errNodeStopped is the cause with which a stop ends requests at the drain timeout.
var errNodeStopped = errors.New("the node has stopped")

// newCallersServer returns the server of the callers' listener.
func (n *Node) newCallersServer(handler http.Handler) *server {
	s := newServer(n.listeners.callers, n.settings.Callers, n.callers, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.gate.isDraining() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	}))
	s.http.BaseContext = func(net.Listener) context.Context { return n.requests }
	return s
}

// stop shuts the node down without interrupting requests that end within the
// drain timeout; others get a refusal, unless their answer has begun. First load
// balancers and peers see that the node is leaving, then requests in flight end, then
// loops and listeners stop.
func (n *Node) stop(servers []*server) {
	n.log.Log(eventlog.NodeStopping, nil)
	n.gate.drain()
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.replan()
	time.Sleep(readinessPropagationDelay)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Timing.DrainTimeout)
	defer cancel()
	idle := n.gate.close()
	n.drain(ctx, idle)
	n.waitForHomeRequests(ctx)
	n.endRequests(errNodeStopped)
	n.awaitIdle(idle)
	n.releaseSharesAndLeases()
	n.closeCallers(servers[0])
	n.cancelBackground()
	for _, s := range servers {
		_ = s.http.Close()
	}
	n.background.Wait()
	n.home.Wait()
	n.closeConnections()
	_ = n.metrics.Close()
	n.log.Log(eventlog.NodeStopped, nil)
}

// drain refuses requests and closes idle connections until idle is closed or ctx is
// done, and for refusalPeriod at least.
func (n *Node) drain(ctx context.Context, idle <-chan struct{}) {
	refused := time.After(refusalPeriod)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for idle != nil || refused != nil {
		n.conns.CloseIdle(false)
		select {
		case <-ticker.C:
		case <-refused:
			refused = nil
		case <-idle:
			idle = nil
		case <-ctx.Done():
			return
		}
	}
}

// awaitIdle waits until the last request has ended, closeTimeout at most.
func (n *Node) awaitIdle(idle <-chan struct{}) {
	select {
	case <-idle:
	case <-time.After(closeTimeout):
	}
}

// closeCallers closes the callers' listener and the connections that carry no request,
// and waits until the others have ended, closeTimeout at most.
func (n *Node) closeCallers(callers *server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = n.listeners.callers.Close()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for n.conns.Open() > 0 && ctx.Err() == nil {
		n.conns.CloseIdle(true)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	// Shutdown drops requests that it reads. By now only connections of HTTP/2 may read
	// any; these announce their end by it.
	_ = callers.http.Shutdown(ctx)
}

func (n *Node) closeConnections() {
	n.endpoints.Close()
	n.peers.Close()
	for _, client := range n.clients {
		client.CloseIdleConnections()
	}
}

// waitForHomeRequests waits until the requests forwarded by other nodes have
// ended, or ctx is done.
func (n *Node) waitForHomeRequests(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		n.homeRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// releaseSharesAndLeases hands over cap shares and leases, so that other nodes
// need not wait until they lapse.
func (n *Node) releaseSharesAndLeases() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	n.shares.StopAndRelease(ctx)
	_ = n.keeper.Release(ctx)
}
