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
	// failingWorkerDivisor reserves one in 4 workers for hosts whose last probe
	// failed, so that silent hosts never delay the probes of other hosts.
	failingWorkerDivisor = 4
	// queueCapacity is the maximum number of hosts that wait for a worker in
	// one queue. While its queue is full, a host is skipped until the next
	// interval.
	queueCapacity = 2048
	// latencySampleWeight is the weight of a new sample in the moving average
	// of the latency.
	latencySampleWeight = 0.2
)

// Options configures a Prober.
type Options struct {
	// Interval is the time between two probes of one host.
	Interval time.Duration
	// Timeout is how long one probe waits for a reply.
	Timeout time.Duration
	// Workers is the number of concurrent probes; 0 means DefaultWorkers.
	Workers int
}

// Prober probes each of a set of hosts once per interval. It is safe for
// concurrent use; only Run does I/O.
type Prober struct {
	options Options
	probe   ProbeFunc
	probes  tally.Counter
	failed  tally.Counter
	skipped tally.Counter

	// healthyQueue and failingQueue contain the names of hosts that wait for a
	// probe; failingQueue those whose last probe failed.
	healthyQueue chan string
	failingQueue chan string

	mu          sync.Mutex
	hosts       map[string]*target
	subscribers map[*Subscription]struct{}
}

// target is one probed host.
type target struct {
	host hostlist.Host
	last Observation
	// pending is set from when the host is queued until its probe is recorded.
	pending bool
}

// NewProber returns a prober without hosts that does nothing until Run.
func NewProber(options Options, probe ProbeFunc, scope tally.Scope) *Prober {
	if options.Workers == 0 {
		options.Workers = DefaultWorkers
	}
	return &Prober{
		options:      options,
		probe:        probe,
		probes:       scope.Counter("probes"),
		failed:       scope.Counter("probes_failed"),
		skipped:      scope.Counter("probes_skipped"),
		healthyQueue: make(chan string, queueCapacity),
		failingQueue: make(chan string, queueCapacity),
		hosts:        map[string]*target{},
		subscribers:  map[*Subscription]struct{}{},
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

// Observation returns the last observation of a host, or the zero value if
// there is none.
func (p *Prober) Observation(host string) Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.hosts[host]; t != nil {
		return t.last
	}
	return Observation{}
}

// Run probes until ctx ends and returns after its last probe has ended.
func (p *Prober) Run(ctx context.Context) {
	var workers sync.WaitGroup
	failingWorkers := max(1, p.options.Workers/failingWorkerDivisor)
	for i := range max(2, p.options.Workers) {
		queue := p.healthyQueue
		if i < failingWorkers {
			queue = p.failingQueue
		}
		workers.Go(func() { p.runWorker(ctx, queue) })
	}
	ticker := time.NewTicker(p.options.Interval)
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

// enqueue adds every host that is not yet pending to its queue.
func (p *Prober) enqueue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, t := range p.hosts {
		if t.pending {
			continue
		}
		queue := p.healthyQueue
		if !t.last.FailingSince.IsZero() {
			queue = p.failingQueue
		}
		select {
		case queue <- name:
			t.pending = true
		default:
			p.skipped.Inc(1)
		}
	}
}

func (p *Prober) runWorker(ctx context.Context, queue <-chan string) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-queue:
			p.probeHost(ctx, name)
		}
	}
}

func (p *Prober) probeHost(ctx context.Context, name string) {
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
	t.last = nextObservation(before, state, err, sent, now)
	if p.hosts[t.host.Name] != t || !significantChange(before, t.last) {
		return
	}
	for subscription := range p.subscribers {
		subscription.add(t.host.Name)
	}
}

// nextObservation returns the observation after a probe that was sent at sent
// and ended at now. before is the observation until then.
func nextObservation(before Observation, state endpoint.State, err error, sent, now time.Time) Observation {
	next := before
	next.Err = err
	if err != nil {
		if next.FailingSince.IsZero() {
			next.FailingSince = now
		}
		return next
	}
	// The word that a host leaves holds for the rest of its life.
	state.Leaving = state.Leaving || before.State.Leaving && before.State.BootID == state.BootID && state.BootID != ""
	next.State = state
	next.SeenAt = sent
	next.FailingSince = time.Time{}
	sample := now.Sub(sent)
	if before.Latency == 0 {
		next.Latency = sample
	} else {
		next.Latency += time.Duration(latencySampleWeight * float64(sample-before.Latency))
	}
	return next
}

// significantChange reports whether subscribers must act on the difference
// between two observations. New probe times, latencies and error texts alone do
// not count.
func significantChange(before, after Observation) bool {
	return before.SeenAt.IsZero() != after.SeenAt.IsZero() ||
		before.FailingSince.IsZero() != after.FailingSince.IsZero() ||
		before.State.State != after.State.State ||
		before.State.Group != after.State.Group ||
		before.State.Generation != after.State.Generation ||
		before.State.ModelVersion != after.State.ModelVersion ||
		before.State.BootID != after.State.BootID ||
		before.State.Leaving != after.State.Leaving ||
		before.State.Slots != after.State.Slots
}
