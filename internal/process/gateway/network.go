package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/wellformed"
)

// Timeouts and limits of connections.
const (
	// dialTimeout limits opening a connection to a host. Links have a latency of
	// a few milliseconds, but a lost SYN is sent again only after a second.
	dialTimeout = 250 * time.Millisecond
	// storeUserTimeout and hostUserTimeout close a connection to the store or a
	// peer, or to a host, whose data is not acknowledged or not taken: connections may
	// go silent without a reset. A sound host may be silent for 2 s and then go on. The
	// kernel sends again and probes at intervals that double, up to 1.6 s by then.
	storeUserTimeout = 1200 * time.Millisecond
	hostUserTimeout  = 3500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect silent
	// connections on which only the other side sends.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// endpointIdleTimeout is how long an idle connection to a host is kept. Hosts
	// close idle connections after a few seconds.
	endpointIdleTimeout = 2 * time.Second
	// storeIdleTimeout is how long an idle connection to the store or a peer is
	// kept.
	storeIdleTimeout = 20 * time.Second
	// maxIdleConnsPerHost limits the idle connections to one host.
	maxIdleConnsPerHost = 8
	// maxAnswerHeaderBytes limits the header of an answer, informational answers before
	// it included.
	maxAnswerHeaderBytes = 64 << 10
)

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// setUserTimeout returns a function that sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// dialerWithTimeout returns a dialer whose connections end when the other side
// acknowledges nothing for userTimeout.
func dialerWithTimeout(userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig, Control: setUserTimeout(userTimeout)}
}

// newTransport returns a transport that closes a connection after idleTimeout without a
// request. An idleTimeout of 0 opens a connection for each request.
func newTransport(idleTimeout time.Duration, dial endpoint.DialFunc) *wellformed.Transport {
	return wellformed.NewTransport(&http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   idleTimeout == 0,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	})
}

// listen opens a TCP listener that closes a connection when the other side goes
// silent.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig}
	return config.Listen(ctx, "tcp", address)
}

// bootClock returns the time since the machine booted, including the time for
// which it was suspended.
func bootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has CLOCK_BOOTTIME; the monotonic clock is the
		// closest substitute.
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()
