package membership

import (
	"context"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// Caller sends a probe to a peer.
type Caller interface {
	Probe(ctx context.Context, address string, probe peer.Probe) (peer.Probe, error)
}

// Describe returns the node's own digest; Seq is filled in.
type Describe func() peer.Digest

// Prober runs the table: one duty that probes, and the handler of incoming
// probes. It is safe for concurrent use.
type Prober struct {
	caller   Caller
	describe Describe
	period   time.Duration

	mu          sync.Mutex
	table       *Table
	lastContact time.Time
	changed     chan struct{}
	probes      sync.WaitGroup
}

// NewProber returns a prober over the table.
func NewProber(table *Table, caller Caller, describe Describe, period time.Duration) *Prober {
	return &Prober{caller: caller, describe: describe, period: period, table: table, changed: make(chan struct{}, 1)}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(p.period)
	defer ticker.Stop()
	defer p.probes.Wait()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Prober) round(ctx context.Context) {
	own := p.describe()
	now := time.Now()
	p.mu.Lock()
	p.table.SetSelf(own)
	p.table.Forget(now)
	targets := p.table.Targets(now)
	local, remote := p.table.Outgoing(now), p.table.OutgoingRemote(now)
	p.mu.Unlock()
	p.signal()
	for _, address := range targets.Local {
		p.probes.Go(func() { p.probe(ctx, address, local) })
	}
	for _, address := range targets.Remote {
		p.probes.Go(func() { p.probe(ctx, address, remote) })
	}
}

func (p *Prober) probe(ctx context.Context, address string, probe peer.Probe) {
	ctx, cancel := context.WithTimeout(ctx, p.period)
	defer cancel()
	reply, err := p.caller.Probe(ctx, address, probe)
	if err != nil {
		return
	}
	p.merge(reply)
}

func (p *Prober) merge(probe peer.Probe) {
	now := time.Now()
	p.mu.Lock()
	p.table.Merge(probe, now)
	p.lastContact = now
	p.mu.Unlock()
	p.signal()
}

// signal coalesces change notices: one pending notice is enough.
func (p *Prober) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Changed returns the channel of change notices, for one receiver.
func (p *Prober) Changed() <-chan struct{} { return p.changed }

// Handle answers a peer's probe.
func (p *Prober) Handle(probe peer.Probe) peer.Probe {
	p.merge(probe)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Answer(probe, time.Now())
}

// SetRoster replaces the known peers, by name.
func (p *Prober) SetRoster(peers map[string]Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetRoster(peers)
}

// Live returns the digests of the live nodes of the region.
func (p *Prober) Live() []peer.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Live(time.Now())
}

// Regions returns the fresh summaries of the other regions.
func (p *Prober) Regions() []peer.RegionSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Regions(time.Now())
}

// Address returns the peer address of a node, or "".
func (p *Prober) Address(node string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Address(node)
}

// LastContact returns when a peer last answered or probed; zero for never.
func (p *Prober) LastContact() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastContact
}
