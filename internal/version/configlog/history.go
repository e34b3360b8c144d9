package configlog

import (
	"sync"

	"currantladder.example/currantladder/internal/version/object"
)

// historyCapacity is the number of applied records that a node keeps in memory
// for watchers and peers; older ones are dropped.
const historyCapacity = 1024

// history is a bounded list of the most recently applied records. They are
// contiguous and end at the revision in force. It is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	records []object.Record
	// revision is the revision in force, also while records is empty.
	revision int64
}

// reset drops all records after a snapshot put the given revision in force.
func (h *history) reset(revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = nil
	h.revision = revision
}

// add appends the record of the next revision.
func (h *history) add(record object.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, record)
	if len(h.records) > historyCapacity {
		h.records = h.records[len(h.records)-historyCapacity:]
	}
	h.revision = record.Revision
}

// after returns the records after the given revision. It returns false where
// some of them are no longer kept.
func (h *history) after(revision int64) ([]object.Record, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision >= h.revision {
		return nil, true
	}
	missing := h.revision - revision
	if missing > int64(len(h.records)) {
		return nil, false
	}
	kept := h.records[int64(len(h.records))-missing:]
	return append([]object.Record(nil), kept...), true
}
