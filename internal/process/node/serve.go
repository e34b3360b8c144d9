package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/settings"
	"currantladder.example/currantladder/internal/request/refusal"
)

// readinessPropagationDelay is how long a stopping node still takes requests
// after its readiness has failed, so that load balancers see the failure first.
const readinessPropagationDelay = 1 * time.Second

// releaseTimeout is how long the hand-over of cap shares and leases may take at
// a stop.
const releaseTimeout = 3 * time.Second

// server is one listener with its handler.
type server struct {
	http     *http.Server
	listener net.Listener
	settings settings.Listener
}

func (s *server) serve() error {
	if s.settings.CertFile != "" {
		return s.http.ServeTLS(s.listener, s.settings.CertFile, s.settings.KeyFile)
	}
	return s.http.Serve(s.listener)
}

func newServer(listener net.Listener, l settings.Listener, handler http.Handler) *server {
	return &server{
		listener: listener,
		settings: l,
		http: &http.Server{
			Handler:           limitStreams(l, handler),
			ReadHeaderTimeout: l.HeaderTimeout,
			IdleTimeout:       l.IdleTimeout,
			MaxHeaderBytes:    l.MaxHeaderBytes,
		},
	}
}

// limitStreams limits the concurrent requests and the body size at a listener.
func limitStreams(l settings.Listener, next http.Handler) http.Handler {
	limited := http.MaxBytesHandler(next, l.MaxBodyBytes)
	slots := make(chan struct{}, l.MaxStreams)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			limited.ServeHTTP(w, r)
		default:
			refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "this listener has as many requests in flight as it may; send the request later").WithRetryAfter(gateRetryAfter).Write(w)
		}
	})
}

// servers returns the servers of the three listeners. The callers' server is the
// first.
func (n *Node) servers() ([]*server, error) {
	callers, peers, operators, err := n.handlers()
	if err != nil {
		return nil, err
	}
	return []*server{
		newServer(n.listeners.callers, n.settings.Callers, callers),
		newServer(n.listeners.peers, n.settings.Peers.Listener, peers),
		newServer(n.listeners.operators, n.settings.Operators.Listener, operators),
	}, nil
}

// stop shuts the node down without interrupting requests that end within the
// drain timeout. First load balancers and peers see that the node is leaving,
// then requests in flight end, then loops and listeners stop.
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
	select {
	case <-n.gate.close():
	case <-ctx.Done():
	}
	_ = servers[0].http.Shutdown(ctx)
	n.waitForHomeRequests(ctx)
	n.releaseSharesAndLeases()
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

// Kill closes the listeners and ends the loops at once, as a crash would. It is
// for tests and the demo. Unlike a crash, a Run in progress then stops as after
// the failure of a listener: it closes the servers and releases the leases, but
// not before readinessPropagationDelay has passed.
func (n *Node) Kill() {
	n.cancelBackground()
	_ = n.listeners.callers.Close()
	_ = n.listeners.peers.Close()
	_ = n.listeners.operators.Close()
}
