package gateway

import (
	"net/http"

	"github.com/uber-go/tally/v4"
)

// peerMetrics counts the bytes that a node exchanges with other nodes, by cause. Headers
// are not counted.
type peerMetrics struct {
	tables, changes, digestsSent, digestsReceived tally.Counter
}

func newPeerMetrics(scope tally.Scope) peerMetrics {
	counter := func(cause string) tally.Counter {
		return scope.Tagged(map[string]string{"cause": cause}).Counter("peer_bytes")
	}
	return peerMetrics{tables: counter("tables"), changes: counter("changes"), digestsSent: counter("digests_sent"), digestsReceived: counter("digests_received")}
}

// countAnswers counts what a handler of feeds sends.
func (m peerMetrics) countAnswers(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counter := m.changes
		if r.URL.Path == pathTable {
			counter = m.tables
		}
		handler.ServeHTTP(countingWriter{w, counter}, r)
	})
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	bytes tally.Counter
}

// Write implements io.Writer.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.bytes.Inc(int64(n))
	return n, err
}
