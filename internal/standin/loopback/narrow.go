package loopback

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// narrowReceiveBytes is the receive buffer of a narrow listener's connections.
	narrowReceiveBytes = 4 << 10
	// narrowSegmentBytes is their segment size. The send buffer of a connection grows by
	// segments, and those of the loopback interface have 64 KB.
	narrowSegmentBytes = 536
)

// ListenNarrow is Listen with connections of a small receive buffer and segment size. A
// write of some hundred KB to one blocks until the other side reads.
func ListenNarrow() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, narrowReceiveBytes)
			if optionErr == nil {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, narrowSegmentBytes)
			}
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(ownIP().String(), "0"))
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return listener, nil
}
