package engine

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// maxReports bounds the load reports that wait to become visible.
const maxReports = 4096

// maxExports bounds the streams whose cache can be exported.
const maxExports = 256

// loadReports publishes the load with a lag. It is not safe for concurrent
// use.
type loadReports struct {
	lag     time.Duration
	slots   int
	visible endpoint.Load
	pending []endpoint.Load // in order of time
}

// record notes the load at a time.
func (l *loadReports) record(active, waiting int, now time.Time) {
	l.settle(now)
	l.pending = append(l.pending, endpoint.Load{Slots: l.slots, Active: active, Waiting: waiting, AsOf: now})
	if len(l.pending) > maxReports {
		l.pending = l.pending[1:]
	}
}

// read returns the load as it was one lag ago.
func (l *loadReports) read(now time.Time) endpoint.Load {
	l.settle(now)
	load := l.visible
	load.Slots = l.slots
	load.AsOf = now.Add(-l.lag)
	return load
}

func (l *loadReports) settle(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].AsOf.After(now.Add(-l.lag)) {
		l.visible = l.pending[0]
		l.pending = l.pending[1:]
	}
}

// kvStore remembers the cache blocks of recent streams for export.
type kvStore struct {
	exports []endpoint.KVExport
}

// put keeps the export of a stream, and drops the oldest beyond the bound.
func (k *kvStore) put(export endpoint.KVExport) {
	k.exports = slices.DeleteFunc(k.exports, func(e endpoint.KVExport) bool { return e.RequestID == export.RequestID })
	k.exports = append(k.exports, export)
	if len(k.exports) > maxExports {
		k.exports = k.exports[1:]
	}
}

// get returns the export of a stream.
func (k *kvStore) get(requestID string) (endpoint.KVExport, bool) {
	for _, e := range k.exports {
		if e.RequestID == requestID {
			return e, true
		}
	}
	return endpoint.KVExport{}, false
}
