// Package metrics provides the node's tally scope and the handler that
// scrapers read.
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

// reportPeriod is how often counters are passed to the reporter.
const reportPeriod = time.Second

// latencyBuckets bound the histograms of request times.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Metrics owns the root scope of one node.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns metrics whose names start with "currantladder".
func New(node string) *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "currantladder",
		Tags:            map[string]string{"node": node},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportPeriod)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler answers scrapes.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports what is pending and ends the reporting duty.
func (m *Metrics) Close() error { return m.closer.Close() }

// Observe implements callerapi.Observer.
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
