package node

import (
	"context"
	"time"

	"currantladder.example/currantladder/internal/connection/intake"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/process/settings"
	"currantladder.example/currantladder/internal/request/heldmemory"
)

// Shares of the node's memory for what it holds for others. Each kind has its own, so that
// none uses up another's. Package callerapi has those of answers.
const (
	// defaultMemoryMB is used for the shares where the settings name no memory.
	defaultMemoryMB = 256
	// bodyMemoryShare is for the bodies of a listener's requests, besides one body, and
	// headMemoryShare for their heads, besides a few KB of each.
	bodyMemoryShare = 0.08
	headMemoryShare = 0.03
	// untakenMemoryShare is for answers that callers have not taken yet.
	untakenMemoryShare = 0.03
	// connMemoryShare is for the connections of a listener, where the settings name the
	// node's memory.
	connMemoryShare = 0.125
)

// Shares of the descriptors that the process may have. The rest is for calls to hosts, the
// platform and peers.
const (
	trafficDescriptorShare  = 1.0 / 3
	operatorDescriptorShare = 1.0 / 32
	minOperatorConns        = 16
)

// Limits of what HTTP/2 holds of bodies that are not read yet.
const (
	maxReceiveBufferPerConn   = 256 << 10
	maxReceiveBufferPerStream = 64 << 10
)

// decoderCopies is how many bytes the JSON decoders of peers and operators hold for each
// byte of a body.
const decoderCopies = 2

// memoryPart returns a share of the node's memory in bytes.
func memoryPart(s *settings.Settings, share float64) int64 {
	megabytes := s.Node.MemoryMB
	if megabytes == 0 {
		megabytes = defaultMemoryMB
	}
	return int64(share * float64(megabytes) * (1 << 20))
}

// maxConns returns the limit of connections of a listener.
func (n *Node) maxConns(l settings.Listener) int {
	if l.MaxConnections > 0 {
		return l.MaxConnections
	}
	descriptors := float64(intake.DescriptorLimit())
	if l.Address == n.settings.Operators.Address {
		return max(int(operatorDescriptorShare*descriptors), minOperatorConns)
	}
	limit := int(trafficDescriptorShare * descriptors)
	if n.settings.Node.MemoryMB > 0 {
		limit = min(limit, int(memoryPart(n.settings, connMemoryShare)/intake.ConnBytes))
	}
	return limit
}

// newBounds returns the bounds of a listener.
func (n *Node) newBounds(name string, l settings.Listener) *intake.Listener {
	pool := heldmemory.NewPool(memoryPart(n.settings, bodyMemoryShare), intake.ReserveBytes(l.MaxBodyBytes, callerapi.BodyCopies), heldmemory.CallerPace)
	return intake.NewListener(intake.ListenerOptions{
		Name: name, MaxConns: n.maxConns(l), HeadBytes: memoryPart(n.settings, headMemoryShare), WriteTimeout: l.WriteTimeout,
		Pool: pool.WithMaxWait(intake.MaxWait), BodyTimeout: l.BodyTimeout, Copies: decoderCopies, Log: n.log, Metrics: n.metrics.Scope(),
	})
}

// heldReportInterval is the time between two updates of the metrics of what the node holds
// for others.
const heldReportInterval = time.Second

// reportHeld updates the metrics of what the node holds for others until ctx ends.
func (n *Node) reportHeld(ctx context.Context) {
	ticker := time.NewTicker(heldReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			answers, untaken := n.callerAPI.HeldBytes()
			for kind, bytes := range map[string]int64{"answers": answers, "untaken": untaken, "bodies": n.callers.Bodies.Pool.Used()} {
				n.metrics.Scope().Tagged(map[string]string{"kind": kind}).Gauge("held_bytes").Update(float64(bytes))
			}
			n.metrics.Scope().Tagged(map[string]string{"listener": "callers"}).Gauge("open_connections").Update(float64(n.conns.Open()))
		}
	}
}
