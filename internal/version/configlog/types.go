// Package configlog accepts changes of the configuration in one transaction
// each and lets every node follow the accepted revisions in order. Revisions
// only grow at a node.
package configlog

import (
	"context"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// Proposal is a set of changes that is accepted whole or not at all.
type Proposal struct {
	// Author names who makes the change; it is kept in the log.
	Author string
	// Changes are written in order. An object with a ResourceVersion other
	// than 0 is accepted only while that version is current.
	Changes []object.Change
	// Checks and Writes are added to the transaction, for example the epoch
	// of the ownership under which a controller writes, and host claims.
	Checks []table.Check
	Writes []table.Write
	// DryRun validates and checks versions without writing.
	DryRun bool
}

// Log accepts proposals. It is safe for concurrent use.
type Log interface {
	// Propose commits the proposal as the next revision. It returns a
	// *table.ConflictError where an object, a check or a write was overtaken,
	// an *InvalidError for faulty objects, and table.ErrUnavailable or
	// table.ErrUnknown, wrapped. It retries by itself where only the head
	// moved.
	Propose(ctx context.Context, p Proposal) (object.Record, error)
}

// View is the configuration in force at this node.
type View interface {
	// Current returns the snapshot in force. It never blocks.
	Current() *snapshot.Snapshot
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
