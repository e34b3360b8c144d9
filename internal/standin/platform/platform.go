// Package platform is a small stand-in for the platform: the transactional
// table service, the object store, the lagging host list and the rate-limited
// weight store. It keeps everything in memory, and faults are set at run time.
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
	DefaultWeightReaders        = 64
)

// Options configure the stand-in; zero fields take the defaults.
type Options struct {
	// WritesPerSecond limits commits and object writes together.
	WritesPerSecond float64
	// ReadsPerSecond limits row, range and object reads together.
	ReadsPerSecond float64
	// PageLimit is the largest number of rows in one answer.
	PageLimit int
	// HostLag is how far the host list lags behind the truth.
	HostLag time.Duration
	// WeightBytes is the size of the weights of one model version.
	WeightBytes int64
	// WeightBytesPerSecond is shared by all concurrent readers.
	WeightBytesPerSecond int64
	// WeightReaders is the number of concurrent readers beyond which the
	// weight store answers 429.
	WeightReaders int
}

// withDefaults fills in zero fields.
func (o Options) withDefaults() Options {
	setDefault(&o.WritesPerSecond, DefaultWritesPerSecond)
	setDefault(&o.ReadsPerSecond, DefaultReadsPerSecond)
	setDefault(&o.PageLimit, DefaultPageLimit)
	setDefault(&o.WeightBytes, DefaultWeightBytes)
	setDefault(&o.WeightBytesPerSecond, DefaultWeightBytesPerSecond)
	setDefault(&o.WeightReaders, DefaultWeightReaders)
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
	// Pause holds every table and object call without an answer.
	Pause bool `json:"pause,omitempty"`
	// DelayMillis delays every table and object call.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseNext loses the answers of the next commits after they took effect.
	LoseNext int `json:"loseNext,omitempty"`
	// LoseEvery loses the answer of every n-th commit after it took effect.
	LoseEvery int `json:"loseEvery,omitempty"`
	// LateCommits applies commits over HTTP that were held or delayed even
	// when their caller has gone meanwhile.
	LateCommits bool `json:"lateCommits,omitempty"`
	// HostsOutage refuses reads of the host list with 503.
	HostsOutage bool `json:"hostsOutage,omitempty"`
	// WeightsOutage refuses reads of weights with 503.
	WeightsOutage bool `json:"weightsOutage,omitempty"`
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	// Table is the table service without HTTP, under the same faults and
	// limits.
	Table *Table

	hosts   *hosts
	objects *objects
	weights *weights
	faults  *faultSwitch
}

// faultSwitch holds the faults in force.
type faultSwitch struct {
	gate    fault.Gate
	mu      sync.Mutex
	faults  Faults
	commits int
}

// New returns a platform without rows, objects or hosts.
func New(options Options) *Platform {
	options = options.withDefaults()
	faults := &faultSwitch{}
	writes := limiter(options.WritesPerSecond)
	reads := limiter(options.ReadsPerSecond)
	return &Platform{
		Table:   &Table{records: map[string]*record{}, writes: writes, reads: reads, pageLimit: options.PageLimit, faults: faults},
		hosts:   &hosts{lag: options.HostLag, faults: faults},
		objects: &objects{bodies: map[string][]byte{}, writes: writes, reads: reads, faults: faults},
		weights: &weights{size: options.WeightBytes, rate: options.WeightBytesPerSecond, maxReaders: options.WeightReaders, faults: faults},
		faults:  faults,
	}
}

// limiter returns a token bucket that holds one second's worth of calls.
func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) { p.faults.set(f) }

// Faults returns the faults in force; LoseNext is what is left of it.
func (p *Platform) Faults() Faults { return p.faults.get() }

func (s *faultSwitch) set(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.commits = 0
	s.mu.Unlock()
	s.gate.Set(f.Pause, time.Duration(f.DelayMillis)*time.Millisecond)
}

func (s *faultSwitch) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// losesAnswer counts one applied commit and tells whether its answer is lost.
func (s *faultSwitch) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseEvery > 0 && s.commits%s.faults.LoseEvery == 0
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
