// Package platform is a small stand-in for the platform: the transactional
// table service, the object store, the lagging host list and the weight store
// with its limited bandwidth. Tests, the demo and the standin command use it. It
// keeps everything in memory, and faults can be changed while it runs. Calls
// block while a fault pauses or delays them, and reads of weights block for the
// time of the transfer.
package platform

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantladder.example/currantladder/internal/standin/fault"
	"currantladder.example/currantladder/internal/standin/jsonhttp"
)

// Defaults of Options.
const (
	DefaultWritesPerSecond      = 400
	DefaultReadsPerSecond       = 2000
	DefaultPageLimit            = 1000
	DefaultWeightBytes          = 64 << 20
	DefaultWeightBytesPerSecond = 256 << 20
	DefaultMaxWeightReaders     = 64
)

// Options configure the stand-in; zero fields take the defaults.
type Options struct {
	// WritesPerSecond limits commits and object writes together.
	WritesPerSecond float64
	// ReadsPerSecond limits row, range and object reads together.
	ReadsPerSecond float64
	// PageLimit is the maximum number of rows in one reply.
	PageLimit int
	// HostListLag is the delay until a change becomes visible in the host list.
	HostListLag time.Duration
	// WeightBytes is the size of the weights of one model version.
	WeightBytes int64
	// WeightBytesPerSecond is the bandwidth that all concurrent readers share.
	WeightBytesPerSecond int64
	// MaxWeightReaders is the maximum number of concurrent readers. The weight
	// store refuses further ones with 429.
	MaxWeightReaders int
}

// withDefaults returns a copy with defaults in place of zero fields.
func (o Options) withDefaults() Options {
	setDefault(&o.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&o.ReadsPerSecond, DefaultReadsPerSecond)
	setDefault(&o.PageLimit, DefaultPageLimit)
	setDefault(&o.WeightBytes, DefaultWeightBytes)
	setDefault(&o.WeightBytesPerSecond, DefaultWeightBytesPerSecond)
	setDefault(&o.MaxWeightReaders, DefaultMaxWeightReaders)
	return o
}

func setDefault[T int | int64 | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Faults is the set of faults in force. The zero value means none.
type Faults struct {
	// Outage refuses every table and object call with 503.
	Outage bool `json:"outage,omitempty"`
	// Pause blocks every table and object call without a reply.
	Pause bool `json:"pause,omitempty"`
	// DelayMillis delays every table and object call.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseNext loses the replies to the next n commits and object writes after
	// they took effect.
	LoseNext int `json:"loseNext,omitempty"`
	// LoseEvery loses the reply to every n-th commit or object write after it
	// took effect.
	LoseEvery int `json:"loseEvery,omitempty"`
	// LateCommits applies a paused or delayed HTTP commit even if its caller
	// has disconnected in the meantime.
	LateCommits bool `json:"lateCommits,omitempty"`
	// HostsOutage refuses reads of the host list with 503.
	HostsOutage bool `json:"hostsOutage,omitempty"`
	// WeightsOutage refuses reads of weights with 503.
	WeightsOutage bool `json:"weightsOutage,omitempty"`
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	// Table gives access to the table service without HTTP, under the same
	// faults and limits.
	Table *Table

	hosts   *hostList
	objects *objectStore
	weights *weightStore
	faults  *faultState
}

// faultState is the set of faults in force, shared by all services.
type faultState struct {
	gate   fault.Gate
	mu     sync.Mutex
	faults Faults
	writes int // commits and object writes since the faults were set
}

// New returns a platform without rows, objects or hosts.
func New(options Options) *Platform {
	options = options.withDefaults()
	faults := &faultState{}
	writes := newLimiter(options.WritesPerSecond)
	reads := newLimiter(options.ReadsPerSecond)
	return &Platform{
		Table:   &Table{records: map[string]*record{}, writeLimiter: writes, readLimiter: reads, pageLimit: options.PageLimit, faults: faults},
		hosts:   &hostList{lag: options.HostListLag, faults: faults},
		objects: &objectStore{bodies: map[string][]byte{}, writeLimiter: writes, readLimiter: reads, faults: faults},
		weights: &weightStore{totalBytes: options.WeightBytes, bytesPerSecond: options.WeightBytesPerSecond, maxReaders: options.MaxWeightReaders, faults: faults},
		faults:  faults,
	}
}

// newLimiter returns a rate limiter with a burst of one second's worth of calls.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) { p.faults.set(f) }

// Faults returns the faults in force; LoseNext is the remaining count.
func (p *Platform) Faults() Faults { return p.faults.get() }

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.writes = 0
	s.mu.Unlock()
	s.gate.Set(f.Pause, time.Duration(f.DelayMillis)*time.Millisecond)
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// losesReply counts one applied write and reports whether its reply is lost.
func (s *faultState) losesReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseEvery > 0 && s.writes%s.faults.LoseEvery == 0
}

// Handler returns the HTTP interface of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/commit", p.Table.handleCommit)
	mux.HandleFunc("GET /table/row", p.Table.handleRow)
	mux.HandleFunc("GET /table/rows", p.Table.handleRows)
	mux.HandleFunc("PUT /objects/{key...}", p.objects.handlePut)
	mux.HandleFunc("GET /objects/{key...}", p.objects.handleGet)
	mux.HandleFunc("GET /hosts", p.hosts.handleList)
	mux.HandleFunc("POST /hosts", p.hosts.handleChange)
	mux.HandleFunc("GET /weights/{model}/{version}", p.weights.handleGet)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, p.Faults())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if jsonhttp.Read(w, r, &f) {
			p.SetFaults(f)
			jsonhttp.Write(w, http.StatusOK, p.Faults())
		}
	})
	return mux
}
