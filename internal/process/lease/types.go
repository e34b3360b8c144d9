// Package lease keeps a node's session row and its ownerships of controller
// roles in the table service. One renewal of the session row renews all
// ownerships. A lease is valid for its TTL, counted on the monotonic clock from
// the moment before the renewal was sent.
//
// The node runs one Keeper. Group controllers acquire their roles from it, and
// other packages read from it which nodes are live. Calls of the table service
// block; reads of the lease state do not.
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
	// Renewals counts the renewals, so that each renewal changes the row.
	Renewals int64 `json:"renewals"`
}

// OwnershipRow is the value of an ownership row.
type OwnershipRow struct {
	// Role is stored under the key "duty".
	Role  string `json:"duty"`
	Owner string `json:"owner"`
	// Epoch is the fencing token; it increases with every change of owner.
	Epoch int64 `json:"epoch"`
}

// Ownership is a role that this node owns.
type Ownership struct {
	Role  string
	Epoch int64
	// FencingCheck makes a transaction fail once another node owns the role.
	FencingCheck table.Check
}

// SessionKey returns the row key of a node's session.
func SessionKey(node string) string { return table.PrefixSession + node }

// OwnershipKey returns the row key of a role.
func OwnershipKey(role string) string { return table.PrefixOwnership + role }
