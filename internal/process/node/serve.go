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

// balancerNotice is how long a stopping node still takes work after readiness
// has failed, so that the balancer can notice.
const balancerNotice = 1 * time.Second

// releaseTimeout bounds the hand-over of leases at a stop.
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

// limitStreams bounds concurrent requests and body sizes of a listener.
func limitStreams(l settings.Listener, next http.Handler) http.Handler {
	bounded := http.MaxBytesHandler(next, l.MaxBodyBytes)
	slots := make(chan struct{}, l.MaxStreams)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			bounded.ServeHTTP(w, r)
		default:
			refusal.New(refusal.KindOverloaded, http.StatusServiceUnavailable, "this listener has as many requests in flight as it may; send the request later").After(gateRetryAfter).Write(w)
		}
	})
}

// servers returns the callers' server first.
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

// stop ends the node without cutting a request: first the balancer and the
// peers learn of it, then work in flight ends, then duties and listeners.
func (n *Node) stop(servers []*server) {
	n.log.Log(eventlog.NodeStopping, nil)
	n.gate.drain()
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.replan()
	time.Sleep(balancerNotice)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Timing.DrainTimeout)
	defer cancel()
	select {
	case <-n.gate.close():
	case <-ctx.Done():
	}
	_ = servers[0].http.Shutdown(ctx)
	n.awaitHomeWork(ctx)
	n.release()
	n.endDuties()
	for _, s := range servers {
		_ = s.http.Close()
	}
	n.duties.Wait()
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

// awaitHomeWork waits until requests that run here for other nodes have ended.
func (n *Node) awaitHomeWork(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		n.homeWork.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (n *Node) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	n.shares.Leave(ctx)
	_ = n.keeper.Release(ctx)
}

// Kill ends the node at once, as a crash would: connections are cut and no
// lease is handed over. It is for tests and demonstrations.
func (n *Node) Kill() {
	n.endDuties()
	_ = n.listeners.callers.Close()
	_ = n.listeners.peers.Close()
	_ = n.listeners.operators.Close()
}
