// Package feed follows versioned tables of records: the desired state and the
// host list. A Follower reads one table from the platform's store, or from another
// node that reads the store on its behalf, or from any other node while the store
// does not answer. Follower.Run, the methods named Changes and all methods of a
// Source block.
package feed

import (
	"context"
	"errors"
	"time"

	"currantladder.example/currantladder/internal/version/position"
)

// Topic names a followed table.
type Topic string

// The followed tables.
const (
	TopicConfiguration Topic = "configuration"
	TopicHosts         Topic = "hosts"
)

// ErrCompacted reports that the history since the requested version is no longer
// available, or too large for one answer; read the whole table instead.
var ErrCompacted = errors.New("history of the table is no longer available")

// Record is one row of a table at the version that last changed it.
type Record struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	// Unchanged is true in changes for a reader that holds the value already: Value is
	// left out, and Checksum is its checksum. Table.Complete puts it back.
	Unchanged bool   `json:"-"`
	Checksum  uint32 `json:"-"`
}

// errValueMissing reports changes for a reader that holds a value which this one does
// not hold. The whole table is read instead.
var errValueMissing = errors.New("changes leave out a value that this node does not hold; read the whole table")

// Batch is a part of a table's history, or the whole table.
type Batch struct {
	Records []Record `json:"records"`
	// Version is the table version that the batch leads up to, and Era the era of the
	// store in which it and the versions of the records were given out.
	Version int64 `json:"version"`
	Era     int64 `json:"era,omitempty"`
	// Complete is true if Records is the whole table as of Version; other keys do
	// not exist.
	Complete bool `json:"whole,omitempty"`
	// Gaps are set in changes by a node that serves its copy: the versions since the
	// requested one between which it does not know every deletion.
	Gaps []Gap `json:"gaps,omitempty"`
	// ConfirmedAgo and FailedAgo are set by a node that serves its copy: the
	// time since the store last confirmed the copy, and since Follower.LastOutage
	// there. FailedAgo is 0 if there was none.
	ConfirmedAgo time.Duration `json:"confirmedAgo,omitempty"`
	FailedAgo    time.Duration `json:"failedAgo,omitempty"`
}

// Position returns the state of the store that the batch leads up to.
func (b Batch) Position() position.Position {
	return position.Position{Era: b.Era, Version: b.Version}
}

// Updated returns the whole table that b and the changes since its version lead to.
// The records of b may be newer than its version; deleted ones may be absent.
func (b Batch) Updated(changes Batch) Batch {
	t := NewTable()
	t.Apply(b)
	t.Apply(changes)
	updated, _ := t.Snapshot()
	return updated
}

// Source serves tables. Implementations are safe for concurrent use.
type Source interface {
	// Snapshot reads the whole table as of one version.
	Snapshot(ctx context.Context, topic Topic) (Batch, error)
	// Changes returns the records changed after since, in order, as soon as there is
	// one; without a change it returns an empty batch after wait. It returns
	// ErrCompacted if the history does not reach back to since or the store has
	// entered a later era.
	Changes(ctx context.Context, topic Topic, since position.Position, wait time.Duration) (Batch, error)
}
