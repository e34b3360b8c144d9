// Package engine is a small stand-in for a model engine: continuous batching
// over slots, a prefix cache of limited size, deterministic tokens, orders with
// fencing, and a replica group that fails with any of its members. Tests, the
// demo and the standin command use it. Faults can be changed while it runs.
// Calls over HTTP block while a fault pauses or delays them, and generate calls
// also block for the simulated time of the generation.
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
	// Address is host:port of this engine, which identifies it among the
	// members of an order. SetAddress can set it later.
	Address string
	// PlatformURL is the base URL of the weight store; if it is empty, no
	// weights are read.
	PlatformURL string
	// Slots is the maximum number of concurrent streams.
	Slots int
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	// PrefillPerToken is the prefill time of a token that is not cached.
	PrefillPerToken time.Duration
	// LoadDelay is added to the time of every load of weights.
	LoadDelay time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// ReportLag is the delay until load reports and cache events become
	// visible.
	ReportLag time.Duration
	// EventLossEvery loses every n-th cache event.
	EventLossEvery int
	// ChecksFencing makes the engine refuse orders whose epoch is below the
	// highest accepted one.
	ChecksFencing bool
	// OnOrder, unless it is nil, is called for each order in the sequence in which the
	// engine carries them out or refuses them. bootID names the engine's process.
	// OnOrder must not call the engine.
	OnOrder func(bootID string, order endpoint.Order, refused bool)
	// Seed determines which cache events are lost.
	Seed int64
	// HTTPClient is used for calls to other members and the weight store.
	HTTPClient *http.Client
}

// withDefaults returns a copy with defaults in place of zero fields and zero in
// place of negative ones.
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

	mu             sync.Mutex
	closed         bool
	crashed        bool
	faults         Faults
	address        string
	state          endpoint.State
	loadedWeights  weightsKey
	processCtx     context.Context
	endProcess     context.CancelFunc // ends processCtx
	cancelLoad     context.CancelFunc // ends the current load and the watch of the members
	missingMembers map[string]bool    // by address; true if not yet polled or not ready at the last poll
	slots          slotQueue
	streams        map[*stream]struct{}
	sentChunks     int // chunks that were sent since the faults were set
	cache          *prefixCache
	reports        loadReports
	kv             kvStore
}

// weightsKey identifies the weights of a model version.
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

// start resets the engine to the state of a newly started process. The caller
// holds mu, or no other goroutine has access to the engine yet.
func (e *Engine) start() {
	e.processCtx, e.endProcess = context.WithCancel(context.Background())
	e.cancelLoad = func() {}
	e.crashed = false
	e.loadedWeights = weightsKey{}
	e.missingMembers = nil
	e.slots = slotQueue{freeSlots: e.options.Slots}
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

// State returns the response body of GET /v1/state.
func (e *Engine) State() endpoint.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// Load returns the response body of GET /v1/load.
func (e *Engine) Load() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports.read(time.Now())
}

// CacheEvents returns the response body of GET /v1/cache/events.
func (e *Engine) CacheEvents(from int64) endpoint.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.events.page(from, time.Now())
}

// Export returns the cache blocks of a recent stream, if they are still kept.
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

// Crash ends the engine process: all connections are cut, and so are those of
// new calls until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// crash does the work of Crash. The caller holds mu.
func (e *Engine) crash() {
	e.crashed = true
	e.endProcess()
	e.abortStreams()
}

// Restart starts the engine process again, idle and with a new boot ID. The
// highest accepted epoch is lost because hosts have no durable state. It has no
// effect after Close.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.crash()
	e.start()
}

// Close crashes the engine permanently and blocks until its goroutines have
// ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.crash()
	e.mu.Unlock()
	e.wg.Wait()
}

// abortStreams aborts every stream. The caller holds mu.
func (e *Engine) abortStreams() {
	for s := range e.streams {
		s.abort()
	}
}
