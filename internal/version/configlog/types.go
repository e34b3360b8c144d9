// Package configlog accepts each change of the configuration in one transaction
// and lets every node follow the accepted revisions in order. The revision in
// force at a node never decreases.
//
// The operator API and the group controllers propose changes through Log, which
// blocks on the table service. Every node runs a Follower and a Sweeper; reading
// the configuration through View does not block.
package configlog

import (
	"context"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// Proposal is a set of changes that is accepted as a whole or not at all.
type Proposal struct {
	// Author names who makes the change; it is stored in the log.
	Author string
	// Changes are recorded in this order. An object with a ResourceVersion
	// other than 0 is accepted only while that version is current.
	Changes []object.Change
	// Checks and Writes are extra parts of the transaction, for example the
	// check of the ownership under which a controller writes, and host claims.
	Checks []table.Check
	Writes []table.Write
	// DryRun validates the changes and checks versions without writing.
	DryRun bool
}

// Log accepts proposals. It is safe for concurrent use.
type Log interface {
	// Propose commits the proposal as the next revision. Its errors are or wrap
	// an *InvalidError for invalid changes, a *table.ConflictError where an
	// object, an extra check or an extra write has another version than
	// expected, table.ErrUnavailable or table.ErrUnknown. Propose retries where
	// another revision was accepted first.
	Propose(ctx context.Context, p Proposal) (object.Record, error)
}

// View is the configuration in force at this node.
type View interface {
	// Current returns the snapshot in force. It never blocks.
	Current() *snapshot.Snapshot
	// Changed returns a channel that is closed at the next change of the
	// snapshot in force.
	Changed() <-chan struct{}
}
