package soak

import (
	"net"
	"sync"
	"time"
)

// linkState sets which faults a relay injects. The zero value injects none.
type linkState struct {
	// delay is added to each chunk of bytes, in both directions.
	delay time.Duration
	// holdToTarget and holdFromTarget hold the bytes of one direction back until
	// the fault ends, as TCP does, and keep the connections open.
	holdToTarget, holdFromTarget bool
	// refuse closes new connections at once.
	refuse bool
}

// relayBufferBytes is the largest size of one chunk.
const relayBufferBytes = 32 << 10

// holdPollInterval is the time between two looks whether bytes are still held back.
const holdPollInterval = 10 * time.Millisecond

// relay forwards TCP connections to a target and injects network faults.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]bool
}

// newRelay listens on a free loopback port and forwards to the target.
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
	r.resetConns()
}

// setState replaces the faults for all bytes and connections from now on.
func (r *relay) setState(s linkState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
}

func (r *relay) currentState() linkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// resetConns closes all connections with a TCP reset.
func (r *relay) resetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// The error is ignored: the connection may be closed already.
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
		if r.currentState().refuse {
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
		go r.forward(from, to, func(s linkState) bool { return s.holdToTarget })
		go r.forward(to, from, func(s linkState) bool { return s.holdFromTarget })
	}
}

// forward copies one direction until either side closes. While hold reports
// true, bytes wait and the connection stays open.
func (r *relay) forward(from, to net.Conn, hold func(linkState) bool) {
	defer r.closeConns(from, to)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			state := r.currentState()
			time.Sleep(state.delay)
			for hold(r.currentState()) {
				time.Sleep(holdPollInterval)
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

// closeConns closes connections and removes them from r.conns.
func (r *relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.conns, c)
	}
}
