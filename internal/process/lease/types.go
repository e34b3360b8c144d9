// Package lease keeps a node's session row and its ownerships of controller
// duties in the table service. One renewal of the session carries all
// ownerships. A lease is valid, on the monotonic clock, from the moment before
// the renewal was sent.
package lease

import "currantladder.example/currantladder/internal/connection/table"

// SessionRow is the value of a session row.
type SessionRow struct {
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// PeerAddress is the host:port of the node's peer listener.
	PeerAddress string `json:"peerAddress"`
	// Incarnation increases with every start of the node's process.
	Incarnation int64 `json:"incarnation"`
	// Renewals counts renewals, so that every one changes the row.
	Renewals int64 `json:"renewals"`
}

// OwnershipRow is the value of an ownership row.
type OwnershipRow struct {
	Duty  string `json:"duty"`
	Owner string `json:"owner"`
	// Epoch is the fencing token; it increases with every change of owner.
	Epoch int64 `json:"epoch"`
}

// Ownership is a duty that this node holds.
type Ownership struct {
	Duty  string
	Epoch int64
	// Assertion fails a transaction once another node owns the duty.
	Assertion table.Check
}

// SessionKey returns the row key of a node's session.
func SessionKey(node string) string { return table.PrefixSession + node }

// OwnershipKey returns the row key of a duty.
func OwnershipKey(duty string) string { return table.PrefixOwnership + duty }
