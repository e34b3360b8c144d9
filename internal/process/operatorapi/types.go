// Package operatorapi serves the resource API to operators: reading, writing
// and watching objects, the audit log, explanations and the burn report.
// docs/API.md describes it. Handlers may block on the table service and on other
// nodes.
package operatorapi

import (
	"context"
	"io"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/configlog"
	"currantladder.example/currantladder/internal/version/object"
)

// Config is the configuration as the API reads it; *configlog.Follower
// implements it. No method blocks.
type Config interface {
	configlog.View
	// Ready reports whether the configuration has been loaded.
	Ready() bool
	// Records returns the applied records after the revision. It returns
	// false if some of them are no longer kept.
	Records(after int64) ([]object.Record, bool)
	// ObserveRevision reports a revision that was accepted through this node.
	ObserveRevision(revision int64)
}

// Audit reads accepted revisions from the table service;
// *configlog.Acceptor implements it. It may block on the table service.
type Audit interface {
	Records(ctx context.Context, after int64, limit int) ([]object.Record, error)
}

// Node is an entry node with its name.
type Node struct {
	Name   string
	Status object.NodeStatus
}

// Nodes lists all entry nodes that have a session or that this node has
// otherwise learned of. It does not block.
type Nodes interface{ Nodes() []Node }

// Explainer returns recorded decisions, oldest first, or none if none are
// recorded. It may block on other nodes.
type Explainer interface {
	ExplainObject(ctx context.Context, key object.Key) ([]peer.Step, error)
	ExplainRequest(ctx context.Context, id string) ([]peer.Step, error)
}

// BurnFormat is the output format of a service-level burn report.
type BurnFormat string

// The formats of a burn report.
const (
	BurnText BurnFormat = "text"
	BurnJSON BurnFormat = "json"
	BurnHTML BurnFormat = "html"
)

// BurnReporter writes the service-level burn report of the fleet. It may block on
// other nodes.
type BurnReporter interface {
	WriteBurn(ctx context.Context, w io.Writer, format BurnFormat) error
}

// Deps are the dependencies and limits of the API.
type Deps struct {
	// Users maps operator names to SHA-256 hashes, in hex, of their tokens.
	Users map[string]string
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	Log          configlog.Log
	Config       Config
	Audit        Audit
	Nodes        Nodes
	Explain      Explainer
	Burn         BurnReporter
	Events       *eventlog.Logger
}

// ObjectList is the answer to a read of one kind.
type ObjectList struct {
	// Revision is the configuration revision of the list. A watch continues
	// from it.
	Revision int64            `json:"revision"`
	Items    []*object.Object `json:"items"`
}

// ApplyReply reports the accepted changes.
type ApplyReply struct {
	// Revision is the accepted revision, or the current one if nothing
	// changed. It is in force at all nodes once every changed object has the
	// condition InForce.
	Revision int64 `json:"revision"`
	DryRun   bool  `json:"dryRun,omitempty"`
	// Changed lists the objects that were accepted with a new version.
	Changed []*object.Object `json:"changed"`
	// Unchanged lists the objects that already matched their declaration.
	Unchanged []object.Key `json:"unchanged,omitempty"`
	// Deleted lists the deleted objects.
	Deleted []object.Key `json:"deleted,omitempty"`
}

// WatchReply contains the changes after a revision, in order.
type WatchReply struct {
	// Revision is the value of "after" for the next watch.
	Revision int64           `json:"revision"`
	Records  []object.Record `json:"records"`
}

// AuditEntry describes an accepted change and its author.
type AuditEntry struct {
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Written and Deleted list objects as Kind/name and placements as
	// placement/group.
	Written []string `json:"written,omitempty"`
	Deleted []string `json:"deleted,omitempty"`
}

// AuditReply contains accepted changes, oldest first.
type AuditReply struct {
	Entries []AuditEntry `json:"entries"`
	// Next is the value of "after" for the next read.
	Next int64 `json:"next"`
	// More is true if the answer reached its maximum length, so that later
	// entries may exist.
	More bool `json:"more"`
}

// ExplainReply contains recorded decisions, oldest first.
type ExplainReply struct {
	Steps []peer.Step `json:"steps"`
}
