package gateway

import (
	"currantladder.example/currantladder/internal/connection/intake"
	"currantladder.example/currantladder/internal/request/heldmemory"
)

// Shares of the node's memory for what it holds for others. Each kind has its own, so that
// none uses up another's.
const (
	// memoryLimitShare is the soft limit of the Go runtime, which collects garbage more
	// often near it.
	memoryLimitShare = 0.6
	// answerMemoryShare is for the answers of hosts, and untakenMemoryShare for those that
	// callers have not taken yet.
	answerMemoryShare  = 0.125
	untakenMemoryShare = 0.03
	// bodyMemoryShare is for the bodies of requests, besides one body, and headMemoryShare
	// for their heads, besides a few KB of each.
	bodyMemoryShare = 0.06
	headMemoryShare = 0.03
	// connMemoryShare is for connections of callers.
	connMemoryShare = 0.125
)

// Shares of the descriptors that the process may have. The rest is for calls to hosts, the
// store and peers.
const (
	callerDescriptorShare = 0.4
	peerDescriptorShare   = 0.2
	probeDescriptorShare  = 1.0 / 32
	// minPeerConns and minProbeConns are the least limits of the peers' listener, and of
	// those for readiness and metrics.
	minPeerConns  = 32
	minProbeConns = 16
)

// defaultMaxBodyBytes is the body for which room is kept until a configuration names
// another limit.
const defaultMaxBodyBytes = 4 << 20

// memoryPart returns a share of the node's memory in bytes.
func (s *Settings) memoryPart(share float64) int64 {
	return int64(share * float64(s.MemoryMB) * (1 << 20))
}

// maxConns returns the limit of connections of a listener.
func (s *Settings) maxConns(name string, descriptors int) int {
	switch name {
	case callersListener:
		limit := min(int(callerDescriptorShare*float64(descriptors)), int(s.memoryPart(connMemoryShare)/intake.ConnBytes))
		if s.MaxConnections > 0 {
			limit = min(limit, s.MaxConnections)
		}
		return limit
	case peersListener:
		return max(int(peerDescriptorShare*float64(descriptors)), minPeerConns)
	default:
		return max(int(probeDescriptorShare*float64(descriptors)), minProbeConns)
	}
}

// newListener returns the bounds of a listener.
func (g *Gateway) newListener(name string) *intake.Listener {
	pool := heldmemory.NewPool(g.settings.memoryPart(bodyMemoryShare), intake.ReserveBytes(defaultMaxBodyBytes, 0), heldmemory.CallerPace)
	return intake.NewListener(intake.ListenerOptions{
		Name: name, MaxConns: g.settings.maxConns(name, intake.DescriptorLimit()), HeadBytes: g.settings.memoryPart(headMemoryShare), WriteTimeout: g.settings.WriteTimeout,
		Pool: pool.WithMaxWait(intake.MaxWait), BodyTimeout: g.settings.BodyTimeout, Copies: 1, Log: g.log, Metrics: g.metrics.Scope(),
	})
}

// reportHeld updates the metrics of what the node holds for others.
func (g *Gateway) reportHeld() {
	answers, untaken := g.core.HeldBytes()
	for kind, bytes := range map[string]int64{"answers": answers, "untaken": untaken, "bodies": g.callers.Bodies.Pool.Used()} {
		g.metrics.Scope().Tagged(map[string]string{"kind": kind}).Gauge("held_bytes").Update(float64(bytes))
	}
	g.metrics.Scope().Tagged(map[string]string{"listener": callersListener}).Gauge("open_connections").Update(float64(g.callers.Conns.Open()))
}
