// Package engine is a small stand-in for a model engine: continuous batching
// over slots, a prefix cache in limited memory, deterministic tokens, orders
// with fencing, and a replica that dies with any of its members. Faults are set
// at run time.
package engine

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/standin/fault"
)

// Defaults of Options.
const (
	DefaultSlots           = 8
	DefaultTokenInterval   = 20 * time.Millisecond
	DefaultPrefillPerToken = 500 * time.Microsecond
	DefaultCacheBlocks     = 4096
	DefaultReportLag       = 500 * time.Millisecond
	DefaultEventLossEvery  = 50
)

// Options configure the stand-in; zero fields take the defaults, and a
// negative duration or count means zero.
type Options struct {
	// Host is the name of the host in the platform's list.
	Host string
	// Address is host:port of this engine, by which it finds itself among the
	// members of an order. SetAddress may supply it later.
	Address string
	// PlatformURL is the base URL of the weight store; empty loads at once.
	PlatformURL string
	// Slots is the number of concurrent streams.
	Slots int
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	// PrefillPerToken is the prefill time of a token that is not cached.
	PrefillPerToken time.Duration
	// LoadDelay is added to every load of weights.
	LoadDelay time.Duration
	// CacheBlocks is the memory of the prefix cache.
	CacheBlocks int
	// ReportLag is how far load reports and cache events lag.
	ReportLag time.Duration
	// EventLossEvery loses every n-th cache event.
	EventLossEvery int
	// ChecksFencing makes the engine refuse orders with an old epoch.
	ChecksFencing bool
	// Seed shifts which cache events are lost.
	Seed int64
	// HTTPClient reaches the other members and the weight store.
	HTTPClient *http.Client
}

// withDefaults fills in zero fields.
func (o Options) withDefaults() Options {
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.TokenInterval, DefaultTokenInterval)
	setDefault(&o.PrefillPerToken, DefaultPrefillPerToken)
	setDefault(&o.CacheBlocks, DefaultCacheBlocks)
	setDefault(&o.ReportLag, DefaultReportLag)
	setDefault(&o.EventLossEvery, DefaultEventLossEvery)
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{}
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
	*field = max(*field, 0)
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	options Options
	gate    fault.Gate
	wg      sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	crashed bool
	faults  Faults
	address string
	state   endpoint.State
	weights weightsKey // weights in memory
	boot    context.Context
	stop    context.CancelFunc // ends boot
	unload  context.CancelFunc // ends the load and the member watch in force
	missing map[string]bool    // members not seen ready
	slots   slotQueue
	streams map[*stream]struct{}
	chunks  int // sent since the faults were set
	cache   *prefixCache
	reports loadReports
	kv      kvStore
}

// weightsKey identifies weights in memory.
type weightsKey struct {
	model   string
	version string
}

// New returns an idle engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	e := &Engine{options: options, address: options.Address}
	e.start()
	return e
}

// start begins a new life of the engine process. The caller holds mu, or is
// the only one to know the engine.
func (e *Engine) start() {
	e.boot, e.stop = context.WithCancel(context.Background())
	e.unload = func() {}
	e.crashed = false
	e.weights = weightsKey{}
	e.missing = nil
	e.slots = slotQueue{free: e.options.Slots}
	e.streams = map[*stream]struct{}{}
	e.cache = newPrefixCache(e.options)
	e.reports = loadReports{lag: e.options.ReportLag, slots: e.options.Slots}
	e.kv = kvStore{}
	e.state = endpoint.State{Host: e.options.Host, BootID: rand.Text(), State: endpoint.EngineIdle, Slots: e.options.Slots}
}

// SetAddress sets host:port of this engine.
func (e *Engine) SetAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = address
}

// State returns what GET /v1/state answers.
func (e *Engine) State() endpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Load returns what GET /v1/load answers.
func (e *Engine) Load() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports.read(time.Now())
}

// CacheEvents returns what GET /v1/cache/events answers.
func (e *Engine) CacheEvents(from int64) endpoint.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.events.page(from, time.Now())
}

// Export returns the cache of a recent stream, if there is one.
func (e *Engine) Export(requestID string) (endpoint.KVExport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kv.get(requestID)
}

// Alive reports whether the engine is neither crashed nor closed.
func (e *Engine) Alive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.crashed
}

// Crash ends the engine process: all connections are cut, and everything is
// refused until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.crashed = true
	e.stop()
	e.abortStreams()
}

// Restart starts the engine process again, idle and with a new boot ID. The
// highest accepted epoch is lost, since hosts keep nothing.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.crash()
	e.start()
}

// Close crashes the engine for good and waits for its goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.crash()
	e.mu.Unlock()
	e.wg.Wait()
}

// abortStreams cuts every stream. The caller holds mu.
func (e *Engine) abortStreams() {
	for s := range e.streams {
		s.abort()
	}
}
