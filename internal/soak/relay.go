package soak

import (
	"net"
	"sync"
	"time"
)

// linkState is what a relay does with the bytes of its connections.
type linkState struct {
	// delay holds each piece back.
	delay time.Duration
	// silentTo and silentFrom drop bytes towards and from the target without
	// closing anything.
	silentTo, silentFrom bool
	// refuse closes new connections at once.
	refuse bool
}

// relayBuffer is the size of one piece, in bytes.
const relayBuffer = 32 << 10

// relay passes TCP connections on to a target and disturbs them from outside.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]bool
}

// newRelay listens on a loopback port in front of the target.
func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() {
	r.listener.Close()
	r.reset()
}

// set replaces what happens to bytes from now on.
func (r *relay) set(s linkState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
}

func (r *relay) get() linkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// reset closes all connections with a reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// A connection that is closed already needs no reset.
			_ = tcp.SetLinger(0)
		}
		c.Close()
		delete(r.conns, c)
	}
}

func (r *relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.get().refuse {
			from.Close()
			continue
		}
		to, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			from.Close()
			continue
		}
		r.mu.Lock()
		r.conns[from], r.conns[to] = true, true
		r.mu.Unlock()
		go r.pass(from, to, func(s linkState) bool { return s.silentTo })
		go r.pass(to, from, func(s linkState) bool { return s.silentFrom })
	}
}

// pass copies one direction until either side closes. Silenced bytes are lost,
// and the connection stays open.
func (r *relay) pass(from, to net.Conn, silent func(linkState) bool) {
	defer r.forget(from, to)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			state := r.get()
			time.Sleep(state.delay)
			if silent(state) {
				continue
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.conns, c)
	}
}
