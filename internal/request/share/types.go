// Package share enforces the caps of client accounts over all nodes. Each node
// holds a share of every account's cap, and the sum of all shares never exceeds the
// cap. The request path calls Limiter, which does no I/O. Manager.Run moves shares
// between nodes in the background, through share rows in the table service.
package share

import (
	"context"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/request/refusal"
)

// Admission is an admitted request's use of a share until it is settled.
type Admission interface {
	// Settle returns the in-flight slot and replaces the estimated token cost by
	// the tokens that the request used. It must be called exactly once.
	Settle(usedTokens int64)
}

// Limiter admits requests against this node's shares. It is safe for
// concurrent use and never waits for I/O.
type Limiter interface {
	// Admit takes costTokens and one in-flight slot of the account, or refuses
	// with KindCapExceeded and a Retry-After hint.
	Admit(account string, costTokens int64, now time.Time) (Admission, *refusal.Error)
}

// PeerClient asks other nodes for parts of their shares.
type PeerClient interface {
	Release(ctx context.Context, node string, r peer.ReleaseRequest) (peer.ReleaseReply, error)
}
