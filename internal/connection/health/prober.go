package health

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/connection/hostlist"
)

const (
	// DefaultWorkers is the number of concurrent probes of one prober.
	DefaultWorkers = 64
	// failingShare is the part of the workers kept for hosts whose last probe
	// failed, so that silent hosts never delay probes of the others.
	failingShare = 4
	// laneCapacity bounds the hosts that wait for a worker. A host that finds
	// its lane full is skipped until the next period.
	laneCapacity = 2048
	// latencyWeight is the part of a new sample in the mean latency.
	latencyWeight = 0.2
)

// Options sets the periods and bounds of a Prober.
type Options struct {
	// Period is the time between two probes of one host.
	Period time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	// Workers is the number of concurrent probes; 0 means DefaultWorkers.
	Workers int
}

// Prober probes a set of hosts every period. It is safe for concurrent use;
// only Run does I/O.
type Prober struct {
	options Options
	probe   ProbeFunc
	probes  tally.Counter
	failed  tally.Counter
	skipped tally.Counter

	healthy chan string
	failing chan string

	mu          sync.Mutex
	hosts       map[string]*target
	subscribers map[*Subscription]struct{}
}

// target is one probed host.
type target struct {
	host    hostlist.Host
	last    Observation
	pending bool
}

// NewProber returns a prober without hosts that does nothing until Run.
func NewProber(options Options, probe ProbeFunc, scope tally.Scope) *Prober {
	if options.Workers == 0 {
		options.Workers = DefaultWorkers
	}
	return &Prober{
		options:     options,
		probe:       probe,
		probes:      scope.Counter("probes"),
		failed:      scope.Counter("probes_failed"),
		skipped:     scope.Counter("probes_skipped"),
		healthy:     make(chan string, laneCapacity),
		failing:     make(chan string, laneCapacity),
		hosts:       map[string]*target{},
		subscribers: map[*Subscription]struct{}{},
	}
}

// SetHosts replaces the set of probed hosts. A host that stays, at the same
// address, keeps its observation.
func (p *Prober) SetHosts(hosts []hostlist.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*target, len(hosts))
	for _, host := range hosts {
		if old := p.hosts[host.Name]; old != nil && old.host.Address == host.Address {
			old.host = host
			next[host.Name] = old
			continue
		}
		next[host.Name] = &target{host: host}
	}
	p.hosts = next
}

// Observation returns the last observation of a host; zero where there is
// none.
func (p *Prober) Observation(host string) Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.hosts[host]; t != nil {
		return t.last
	}
	return Observation{}
}

// Run probes until ctx ends and returns after its last probe ended.
func (p *Prober) Run(ctx context.Context) {
	var workers sync.WaitGroup
	forFailing := max(1, p.options.Workers/failingShare)
	for i := range max(2, p.options.Workers) {
		lane := p.healthy
		if i < forFailing {
			lane = p.failing
		}
		workers.Go(func() { p.work(ctx, lane) })
	}
	ticker := time.NewTicker(p.options.Period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.enqueue()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	workers.Wait()
}

// enqueue offers every host that is not waiting already to its lane.
func (p *Prober) enqueue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, t := range p.hosts {
		if t.pending {
			continue
		}
		lane := p.healthy
		if !t.last.Failed.IsZero() {
			lane = p.failing
		}
		select {
		case lane <- name:
			t.pending = true
		default:
			p.skipped.Inc(1)
		}
	}
}

func (p *Prober) work(ctx context.Context, lane <-chan string) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-lane:
			p.probeOnce(ctx, name)
		}
	}
}

func (p *Prober) probeOnce(ctx context.Context, name string) {
	p.mu.Lock()
	t := p.hosts[name]
	if t == nil {
		p.mu.Unlock()
		return
	}
	host := t.host
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.options.Timeout)
	defer cancel()
	sent := time.Now()
	state, err := p.probe(ctx, host)
	p.probes.Inc(1)
	if err != nil {
		p.failed.Inc(1)
	}
	p.record(t, state, err, sent, time.Now())
}

// record stores the result of one probe and notifies subscribers of a change.
func (p *Prober) record(t *target, state endpoint.State, err error, sent, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.pending = false
	before := t.last
	t.last = Next(before, state, err, sent, now)
	if p.hosts[t.host.Name] != t || !changed(before, t.last) {
		return
	}
	for subscription := range p.subscribers {
		subscription.add(t.host.Name)
	}
}

// Next returns the observation after a probe that was sent at sent and ended
// at now.
func Next(before Observation, state endpoint.State, err error, sent, now time.Time) Observation {
	next := before
	next.Err = err
	if err != nil {
		if next.Failed.IsZero() {
			next.Failed = now
		}
		return next
	}
	next.State = state
	next.Seen = sent
	next.Failed = time.Time{}
	sample := now.Sub(sent)
	if before.Latency == 0 {
		next.Latency = sample
	} else {
		next.Latency += time.Duration(latencyWeight * float64(sample-before.Latency))
	}
	return next
}

// changed reports whether a reader must act on the difference.
func changed(a, b Observation) bool {
	return a.Seen.IsZero() != b.Seen.IsZero() ||
		a.Failed.IsZero() != b.Failed.IsZero() ||
		a.State.State != b.State.State ||
		a.State.Group != b.State.Group ||
		a.State.Generation != b.State.Generation ||
		a.State.ModelVersion != b.State.ModelVersion ||
		a.State.BootID != b.State.BootID ||
		a.State.Slots != b.State.Slots
}
