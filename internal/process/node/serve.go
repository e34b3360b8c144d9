package node

import (
	"net"
	"net/http"

	"currantladder.example/currantladder/internal/connection/intake"
	"currantladder.example/currantladder/internal/process/settings"
	"currantladder.example/currantladder/internal/request/refusal"
)

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

func newServer(listener net.Listener, l settings.Listener, bounds *intake.Listener, handler http.Handler) *server {
	s := &server{
		listener: bounds.Conns.Listener(listener),
		settings: l,
		http: &http.Server{
			Handler:           limitStreams(l, bounds.Bodies.Wrap(handler)),
			ReadHeaderTimeout: l.HeaderTimeout,
			IdleTimeout:       l.IdleTimeout,
			MaxHeaderBytes:    l.MaxHeaderBytes,
			HTTP2:             &http.HTTP2Config{MaxReceiveBufferPerConnection: maxReceiveBufferPerConn, MaxReceiveBufferPerStream: maxReceiveBufferPerStream},
		},
	}
	bounds.Conns.Install(s.http)
	return s
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
			intake.LimitRest(w)
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
		n.newCallersServer(callers),
		newServer(n.listeners.peers, n.settings.Peers.Listener, n.newBounds("peers", n.settings.Peers.Listener), peers),
		newServer(n.listeners.operators, n.settings.Operators.Listener, n.newBounds("operators", n.settings.Operators.Listener), operators),
	}, nil
}

// Kill closes the listeners and ends the loops at once, as a crash would. It is
// for tests and the demo. Unlike after a crash, a Run in progress then stops the
// node as after the failure of a listener: it releases cap shares and leases and
// closes the servers, but not before readinessPropagationDelay has passed.
func (n *Node) Kill() {
	n.cancelBackground()
	_ = n.listeners.callers.Close()
	_ = n.listeners.peers.Close()
	_ = n.listeners.operators.Close()
}
