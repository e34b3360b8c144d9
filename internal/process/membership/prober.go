package membership

import (
	"context"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// fanout is the number of peers probed each period.
const fanout = 1

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
	// verify holds a token while members wait to be verified.
	verify chan struct{}
	probes sync.WaitGroup
}

// NewProber returns a prober over the table.
func NewProber(table *Table, caller Caller, describe Describe, period time.Duration) *Prober {
	return &Prober{caller: caller, describe: describe, period: period, table: table, changed: make(chan struct{}, 1), verify: make(chan struct{}, 1)}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(p.period)
	defer ticker.Stop()
	defer p.probes.Wait()
	p.round(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.round(ctx)
		case <-p.verify:
			p.verifySuspects(ctx)
		}
	}
}

// verifySuspects probes at once the members that another node suspects.
func (p *Prober) verifySuspects(ctx context.Context) {
	p.mu.Lock()
	targets := p.table.Verifications()
	probe := p.table.Request(time.Now())
	p.mu.Unlock()
	for _, address := range targets {
		p.probes.Go(func() { p.probe(ctx, address, probe) })
	}
}

func (p *Prober) round(ctx context.Context) {
	own := p.describe()
	now := time.Now()
	p.mu.Lock()
	p.table.SetSelf(own)
	p.table.Forget(now)
	targets := p.table.Targets(fanout)
	probe := p.table.Request(now)
	p.mu.Unlock()
	p.signal()
	for _, address := range targets {
		p.probes.Go(func() { p.probe(ctx, address, probe) })
	}
}

// probe calls one peer; a peer that does not answer within the period is
// suspected.
func (p *Prober) probe(parent context.Context, address string, probe peer.Probe) {
	ctx, cancel := context.WithTimeout(parent, p.period)
	defer cancel()
	reply, err := p.caller.Probe(ctx, address, probe)
	if err == nil {
		p.merge(reply)
		return
	}
	if parent.Err() != nil {
		return
	}
	p.mu.Lock()
	p.table.Suspect(address)
	p.mu.Unlock()
	p.signal()
}

func (p *Prober) merge(probe peer.Probe) {
	now := time.Now()
	p.mu.Lock()
	suspicious := p.table.Merge(probe, now)
	p.lastContact = now
	p.mu.Unlock()
	p.signal()
	if suspicious {
		notify(p.verify)
	}
}

func (p *Prober) signal() { notify(p.changed) }

// notify puts a token into a channel of capacity 1; one that waits already is
// enough.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
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
	return p.table.Reply(probe, time.Now())
}

// SetRoster replaces the known peers.
func (p *Prober) SetRoster(peers []Peer) {
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
