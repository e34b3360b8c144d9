package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections.
const (
	// dialTimeout bounds opening a connection to a host. Links take a few
	// milliseconds; a lost opening packet is sent again only after a second.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout ends a connection whose bytes are not acknowledged:
	// connections may go silent without a reset.
	unackedTimeout = 1200 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find silent connections on which
	// only the other side sends.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// endpointIdle is how long a connection to a host is kept; hosts close
	// idle ones after seconds.
	endpointIdle = 2 * time.Second
	// storeIdle is the same for the store.
	storeIdle = 20 * time.Second
	// maxIdlePerHost bounds kept connections to one host.
	maxIdlePerHost = 8
	// callerIdle is how long an idle connection of a caller is kept; it is
	// longer than any bound that an operator sets for callers.
	callerIdle = 2 * time.Minute
	// callerHeader bounds reading a request's header.
	callerHeader = 10 * time.Second
	// maxCallerHeader bounds a request's header, in bytes.
	maxCallerHeader = 64 << 10
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// newTransport returns a transport whose connections end when the other side
// falls silent. idle 0 opens a connection for each request.
func newTransport(idle time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacked}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idle,
		DisableKeepAlives:   idle == 0,
		DisableCompression:  true,
	}
}

// listen opens a TCP listener whose connections end when the caller falls
// silent.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	return config.Listen(ctx, "tcp", address)
}

// bootClock reads the time since the host started, which goes on while the
// host is suspended.
func bootClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every supported kernel; the monotonic clock is
		// the nearest one.
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

var processStart = time.Now()
