package engine

import (
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// maxPendingReports limits the load reports that are not visible yet.
const maxPendingReports = 4096

// maxExports limits the streams whose cache blocks are kept for export.
const maxExports = 256

// loadReports publishes the load of the engine with a lag. It is not safe for
// concurrent use.
type loadReports struct {
	lag     time.Duration
	slots   int
	visible endpoint.Load
	pending []endpoint.Load // not yet visible, oldest first
}

// record adds a report of the load at now.
func (l *loadReports) record(active, waiting int, now time.Time) {
	l.publishDue(now)
	l.pending = append(l.pending, endpoint.Load{Slots: l.slots, Active: active, Waiting: waiting, AsOf: now})
	if len(l.pending) > maxPendingReports {
		l.pending = l.pending[1:]
	}
}

// read returns the load as it was at now minus the lag.
func (l *loadReports) read(now time.Time) endpoint.Load {
	l.publishDue(now)
	load := l.visible
	load.Slots = l.slots
	load.AsOf = now.Add(-l.lag)
	return load
}

// publishDue makes the latest report that is at least lag old visible.
func (l *loadReports) publishDue(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].AsOf.After(now.Add(-l.lag)) {
		l.visible = l.pending[0]
		l.pending = l.pending[1:]
	}
}

// kvStore keeps the cache blocks of recent streams for export. It is not safe
// for concurrent use.
type kvStore struct {
	exports []endpoint.KVExport
}

// put stores the export of a stream and drops the oldest one beyond
// maxExports.
func (k *kvStore) put(export endpoint.KVExport) {
	k.exports = slices.DeleteFunc(k.exports, func(e endpoint.KVExport) bool { return e.RequestID == export.RequestID })
	k.exports = append(k.exports, export)
	if len(k.exports) > maxExports {
		k.exports = k.exports[1:]
	}
}

// get returns the export of a stream, if it is still kept.
func (k *kvStore) get(requestID string) (endpoint.KVExport, bool) {
	for _, e := range k.exports {
		if e.RequestID == requestID {
			return e, true
		}
	}
	return endpoint.KVExport{}, false
}
