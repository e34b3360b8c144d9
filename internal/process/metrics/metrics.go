// Package metrics provides the metrics of a node: a tally scope to which its
// components report, and the HTTP handler for Prometheus scrapes.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"currantladder.example/currantladder/internal/process/callerapi"
)

// reportInterval is the time between two reports of the scope's values to the
// Prometheus reporter.
const reportInterval = time.Second

// latencyBuckets are the bounds of the histogram buckets of request latencies:
// 16 bounds that double from 1 ms to 32.768 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Metrics is the root scope of one node with its reporter.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns the metrics of a node. Their names start with "currantladder" and
// they have the tag "node".
func New(node string) *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "currantladder",
		Tags:            map[string]string{"node": node},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns the handler that serves scrapes.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports pending values and stops the reporting goroutine.
func (m *Metrics) Close() error { return m.closer.Close() }

// Observe implements callerapi.Observer. It records the metrics of one request.
func (m *Metrics) Observe(s callerapi.Sample) {
	scope := m.scope.Tagged(map[string]string{"rank": s.Rank, "class": string(s.Class)})
	scope.Tagged(map[string]string{"outcome": string(s.Outcome), "kind": string(s.Kind)}).Counter("requests").Inc(1)
	scope.Counter("generated_tokens").Inc(int64(s.Tokens))
	if s.FirstToken > 0 {
		scope.Histogram("first_token", latencyBuckets).RecordDuration(s.FirstToken)
	}
	if s.MaxInterToken > 0 {
		scope.Histogram("longest_inter_token", latencyBuckets).RecordDuration(s.MaxInterToken)
	}
}
