// Package operatorapi serves the resource API to operators: reading, writing
// and watching objects, the audit log, explanations and the burn report.
// docs/API.md describes it.
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
	// Ready reports whether the configuration was loaded.
	Ready() bool
	// Records returns the applied records after the revision, and false
	// where some of them are no longer kept.
	Records(after int64) ([]object.Record, bool)
	// Learn tells of a revision that was accepted through this node.
	Learn(revision int64)
}

// Audit reads accepted revisions from the table service;
// *configlog.Acceptor implements it. It may block on the service.
type Audit interface {
	Records(ctx context.Context, after int64, limit int) ([]object.Record, error)
}

// Node is an entry node with its name.
type Node struct {
	Name   string
	Status object.NodeStatus
}

// Nodes lists all entry nodes that have a session or were heard of. It does
// not block.
type Nodes interface{ Nodes() []Node }

// Explainer returns recorded decisions, oldest first; none where nothing is
// known. It may block on other nodes.
type Explainer interface {
	ExplainObject(ctx context.Context, key object.Key) ([]peer.Step, error)
	ExplainRequest(ctx context.Context, id string) ([]peer.Step, error)
}

// BurnFormat is the form of a service-level burn report.
type BurnFormat string

// The forms of a burn report.
const (
	BurnText BurnFormat = "text"
	BurnJSON BurnFormat = "json"
	BurnHTML BurnFormat = "html"
)

// Burn writes the service-level burn report of the fleet. It may block on
// other nodes.
type Burn interface {
	WriteBurn(ctx context.Context, w io.Writer, format BurnFormat) error
}

// Deps are what the API needs.
type Deps struct {
	// Users maps operator names to SHA-256 hashes, in hex, of their tokens.
	Users map[string]string
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	Log          configlog.Log
	Config       Config
	Audit        Audit
	Nodes        Nodes
	Explain      Explainer
	Burn         Burn
	Events       *eventlog.Logger
}

// ObjectList is the answer to a read of one kind.
type ObjectList struct {
	// Revision is the configuration revision that the list reflects; a watch
	// goes on from it.
	Revision int64            `json:"revision"`
	Items    []*object.Object `json:"items"`
}

// ApplyReply tells what was accepted.
type ApplyReply struct {
	// Revision is in force everywhere once every object that was changed is
	// InForce. Without changes it is the current revision.
	Revision int64 `json:"revision"`
	DryRun   bool  `json:"dryRun,omitempty"`
	// Changed holds the objects that were accepted with a new version.
	Changed []*object.Object `json:"changed"`
	// Unchanged names the objects that were already as declared.
	Unchanged []object.Key `json:"unchanged,omitempty"`
	// Deleted is set by a deletion.
	Deleted []object.Key `json:"deleted,omitempty"`
}

// WatchReply holds the changes after a revision, in order.
type WatchReply struct {
	// Revision is what the next watch goes on from.
	Revision int64           `json:"revision"`
	Records  []object.Record `json:"records"`
}

// AuditEntry tells who made an accepted change.
type AuditEntry struct {
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Written and Deleted name objects as Kind/name, and placements as
	// placement/group.
	Written []string `json:"written,omitempty"`
	Deleted []string `json:"deleted,omitempty"`
}

// AuditReply holds accepted changes, oldest first.
type AuditReply struct {
	Entries []AuditEntry `json:"entries"`
	// Next is the revision to read on from.
	Next int64 `json:"next"`
	// More is true when the answer was cut.
	More bool `json:"more"`
}

// ExplainReply holds recorded decisions, oldest first.
type ExplainReply struct {
	Steps []peer.Step `json:"steps"`
}
