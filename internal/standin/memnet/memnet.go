// Package memnet is an in-memory network for tests in virtual time. Its
// connections block only on channels, which testing/synctest supports.
package memnet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Network connects dialers to listeners by address. The zero value is ready to
// use. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// Listen returns a listener for an address. It replaces an earlier listener of
// the same address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{address: addr(address), incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to a listener. It blocks until the connection is accepted.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: connection refused", address)
	}
	clientConn, serverConn := net.Pipe()
	select {
	case l.incoming <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client over the network. The caller closes its idle
// connections when done.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial, DisableCompression: true}}
}

// Serve starts an HTTP server for a handler at an address. The caller closes the
// returned server.
func (n *Network) Serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	l := n.Listen(address)
	go func() { _ = server.Serve(l) }()
	return server
}

// listener implements net.Listener.
type listener struct {
	address  addr
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// addr implements net.Addr.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "mem" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
