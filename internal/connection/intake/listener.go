package intake

import (
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"currantladder.example/currantladder/internal/connection/conntrack"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/request/heldmemory"
)

// bufferBytes is the size of the kernel's buffers of a connection in each direction. Without
// it a caller that reads nothing can make the kernel hold several MB.
const bufferBytes = 128 << 10

// ConnBytes is about what a connection takes besides what is counted.
const ConnBytes = 24 << 10

// ListenerOptions are the limits and dependencies of a listener.
type ListenerOptions struct {
	// Name names the listener in events and metrics.
	Name string
	// MaxConns, HeadBytes and WriteTimeout are those of conntrack.Limits.
	MaxConns     int
	HeadBytes    int64
	WriteTimeout time.Duration
	// Pool, BodyTimeout and Copies are those of Options.
	Pool        *heldmemory.Pool
	BodyTimeout time.Duration
	Copies      int
	Log         *eventlog.Logger
	Metrics     tally.Scope
}

// Listener bounds what the senders at one listener make a node hold.
type Listener struct {
	Conns  *conntrack.Tracker
	Bodies *Bodies
}

// NewListener returns the bounds of a listener.
func NewListener(o ListenerOptions) *Listener {
	scope := o.Metrics.Tagged(map[string]string{"listener": o.Name})
	l := &Listener{Bodies: New(Options{Pool: o.Pool, Timeout: o.BodyTimeout, Copies: o.Copies, Log: o.Log, Metrics: scope})}
	l.Conns = conntrack.NewLimited(conntrack.Limits{
		MaxConns: o.MaxConns, HeadBytes: o.HeadBytes, WriteTimeout: o.WriteTimeout, BufferBytes: bufferBytes, GiveWay: l.Bodies.EndSlow,
		OnClose: func(reason conntrack.Reason) {
			scope.Tagged(map[string]string{"reason": string(reason)}).Counter("connections_closed").Inc(1)
			o.Log.LogLimited(eventlog.ConnectionClosed, eventlog.Fields{"listener": o.Name, "reason": string(reason)})
		},
	})
	return l
}

// defaultDescriptors is used where the limit of descriptors cannot be read.
const defaultDescriptors = 1024

// DescriptorLimit returns the number of descriptors that the process may have open.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<30))
}
