package burn

import (
	"context"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

const (
	// askTimeout bounds the answer of one node.
	askTimeout = 2 * time.Second
	// maxConcurrentAsks bounds the nodes that are asked at one time.
	maxConcurrentAsks = 64
)

// Source is a node to ask. Address is empty where it is not known.
type Source struct {
	Node    string
	Address string
}

// Ask reads the digest of the node at the address. It ends with ctx.
type Ask func(ctx context.Context, address string) (peer.BurnDigest, error)

// Collect asks all nodes at once and returns the digests of those that
// answered and the names of those that did not. It blocks until every node
// has answered or timed out.
func Collect(ctx context.Context, sources []Source, ask Ask) ([]peer.BurnDigest, []Missing) {
	answers := make([]peer.BurnDigest, len(sources))
	errs := make([]error, len(sources))
	slots := make(chan struct{}, maxConcurrentAsks)
	var running sync.WaitGroup
	for i, source := range sources {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			asking, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			answers[i], errs[i] = ask(asking, source.Address)
		})
	}
	running.Wait()
	var digests []peer.BurnDigest
	var missing []Missing
	for i, source := range sources {
		if errs[i] != nil {
			missing = append(missing, Missing{Node: source.Node, Why: errs[i].Error()})
			continue
		}
		digests = append(digests, answers[i])
	}
	return digests, missing
}
