package membership

import (
	"context"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// fanout is the number of peers of the own region that are probed each
// interval.
const fanout = 1

// ProbeSender sends a probe to a peer.
type ProbeSender interface {
	Probe(ctx context.Context, address string, probe peer.Probe) (peer.Probe, error)
}

// DigestFunc returns the node's own digest. The table sets its Seq.
type DigestFunc func() peer.Digest

// Prober runs the table: Run is the loop that sends probes, and Handle answers
// incoming ones. It is safe for concurrent use.
type Prober struct {
	sender    ProbeSender
	ownDigest DigestFunc
	interval  time.Duration

	mu          sync.Mutex
	table       *Table
	lastContact time.Time
	// changed and verifyRequested have capacity 1. verifyRequested contains a
	// token while members wait to be verified.
	changed         chan struct{}
	verifyRequested chan struct{}
	probes          sync.WaitGroup
}

// NewProber returns a prober that owns the table and starts a round of probes
// every interval. A probe that has no reply within interval has failed.
func NewProber(table *Table, sender ProbeSender, ownDigest DigestFunc, interval time.Duration) *Prober {
	return &Prober{sender: sender, ownDigest: ownDigest, interval: interval, table: table, changed: make(chan struct{}, 1), verifyRequested: make(chan struct{}, 1)}
}

// Run probes until ctx ends and returns after its last probe ended.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	defer p.probes.Wait()
	p.round(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.round(ctx)
		case <-p.verifyRequested:
			p.verifySuspects(ctx)
		}
	}
}

// verifySuspects immediately probes the members that another node suspects.
func (p *Prober) verifySuspects(ctx context.Context) {
	p.mu.Lock()
	targets := p.table.VerificationTargets()
	probe := p.table.Request(time.Now())
	p.mu.Unlock()
	for _, address := range targets {
		p.probes.Go(func() { p.probe(ctx, address, probe) })
	}
}

func (p *Prober) round(ctx context.Context) {
	own := p.ownDigest()
	now := time.Now()
	p.mu.Lock()
	p.table.SetSelf(own)
	p.table.RemoveSilent(now)
	targets := p.table.Targets(fanout)
	probe := p.table.Request(now)
	p.mu.Unlock()
	p.notifyChanged()
	for _, address := range targets {
		p.probes.Go(func() { p.probe(ctx, address, probe) })
	}
}

// probe probes one peer and marks it as suspected if it does not reply within
// the interval.
func (p *Prober) probe(parent context.Context, address string, probe peer.Probe) {
	ctx, cancel := context.WithTimeout(parent, p.interval)
	defer cancel()
	reply, err := p.sender.Probe(ctx, address, probe)
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
	p.notifyChanged()
}

func (p *Prober) merge(probe peer.Probe) {
	now := time.Now()
	p.mu.Lock()
	verify := p.table.Merge(probe, now)
	p.lastContact = now
	p.mu.Unlock()
	p.notifyChanged()
	if verify {
		notify(p.verifyRequested)
	}
}

func (p *Prober) notifyChanged() { notify(p.changed) }

// notify puts a token into a channel of capacity 1, unless the channel already
// contains one.
func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Changed returns the channel that is signalled when the table may have
// changed. It has one receiver.
func (p *Prober) Changed() <-chan struct{} { return p.changed }

// Handle merges a peer's probe and returns the reply.
func (p *Prober) Handle(probe peer.Probe) peer.Probe {
	p.merge(probe)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reply(probe, time.Now())
}

// SetPeers replaces the known peers.
func (p *Prober) SetPeers(peers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetPeers(peers)
}

// Live returns the digests of the live nodes of the region, self included,
// sorted by name.
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

// LastContact returns when a probe or a reply last arrived from a peer; zero
// if none has.
func (p *Prober) LastContact() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastContact
}
