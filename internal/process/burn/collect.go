package burn

import (
	"context"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

const (
	// digestTimeout is how long to wait for the digest of one node.
	digestTimeout = 2 * time.Second
	// maxConcurrentFetches limits the number of nodes that are asked at the same
	// time.
	maxConcurrentFetches = 64
)

// Source is a node to ask for its digest. Address is empty where it is not
// known.
type Source struct {
	Node    string
	Address string
}

// FetchFunc reads the digest of the node at the address. It returns when ctx
// ends.
type FetchFunc func(ctx context.Context, address string) (peer.BurnDigest, error)

// Collect asks the nodes concurrently. It returns the digests of those that
// answered, and the others with the reason. It blocks until every node has
// answered, failed or timed out.
func Collect(ctx context.Context, sources []Source, fetch FetchFunc) ([]peer.BurnDigest, []MissingNode) {
	results := make([]peer.BurnDigest, len(sources))
	errs := make([]error, len(sources))
	semaphore := make(chan struct{}, maxConcurrentFetches)
	var fetches sync.WaitGroup
	for i, source := range sources {
		semaphore <- struct{}{}
		fetches.Go(func() {
			defer func() { <-semaphore }()
			fetchCtx, cancel := context.WithTimeout(ctx, digestTimeout)
			defer cancel()
			results[i], errs[i] = fetch(fetchCtx, source.Address)
		})
	}
	fetches.Wait()
	var digests []peer.BurnDigest
	var missing []MissingNode
	for i, source := range sources {
		if errs[i] != nil {
			missing = append(missing, MissingNode{Node: source.Node, Reason: errs[i].Error()})
			continue
		}
		digests = append(digests, results[i])
	}
	return digests, missing
}
