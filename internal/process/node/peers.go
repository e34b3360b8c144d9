package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/membership"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// peerHandlers implements peer.Handlers.
type peerHandlers struct{ node *Node }

// Probe implements peer.Handlers.
func (h peerHandlers) Probe(probe peer.Probe) peer.Probe { return h.node.members.Handle(probe) }

// Generate implements peer.Handlers.
func (h peerHandlers) Generate(ctx context.Context, r peer.HomeRequest, sink func(peer.Frame) error) error {
	h.node.recorder.Record(r.RequestID, "ArrivedAtHome", "queued for model "+r.Model+" in rank "+r.Rank)
	done := h.node.trackHomeRequest()
	defer done()
	return h.node.home.Serve(ctx, r, sink)
}

// Log implements peer.Handlers.
func (h peerHandlers) Log(after int64) ([]object.Record, error) {
	records, ok := h.node.follower.Records(after)
	if !ok {
		return nil, peer.ErrCompacted
	}
	return records, nil
}

// Snapshot implements peer.Handlers.
func (h peerHandlers) Snapshot() peer.SnapshotBody {
	current := h.node.follower.Current()
	body := peer.SnapshotBody{Revision: current.Revision}
	for _, o := range current.Objects {
		body.Objects = append(body.Objects, o)
	}
	for _, p := range current.Placements {
		body.Placements = append(body.Placements, p)
	}
	return body
}

// Release implements peer.Handlers.
func (h peerHandlers) Release(ctx context.Context, r peer.ReleaseRequest) peer.ReleaseReply {
	return h.node.shares.Release(ctx, r)
}

// ExplainRequest implements peer.Handlers.
func (h peerHandlers) ExplainRequest(requestID string) []peer.Step {
	return h.node.recorder.Steps(requestID)
}

// ExplainGroup implements peer.Handlers.
func (h peerHandlers) ExplainGroup(group string) []peer.Step { return h.node.groups.Explain(group) }

// homes implements relay.Homes: it calls this node's home directly and other
// nodes by HTTP.
type homes struct{ node *Node }

// Run implements relay.Homes.
func (h homes) Run(ctx context.Context, node string, r peer.HomeRequest, sink func(peer.Frame) error) error {
	if node == h.node.settings.Node.Name {
		return h.node.home.Serve(ctx, r, sink)
	}
	address := h.node.members.Address(node)
	if address == "" {
		return &peer.LinkError{Address: node, Err: errors.New("the node's address is not known")}
	}
	return h.node.peers.Generate(ctx, address, r, sink)
}

// peerSource implements configlog.PeerSource over the live peers.
type peerSource struct {
	members *membership.Prober
	client  *peer.Client
	seeds   []string
	self    string
}

// addresses returns the addresses of up to maxQueriedPeers live peers, the
// highest applied revision first, or of seeds if no peer is live.
func (s peerSource) addresses() []string {
	digests := s.members.Live()
	slices.SortStableFunc(digests, func(a, b peer.Digest) int { return cmp.Compare(b.AppliedRevision, a.AppliedRevision) })
	var addresses []string
	for _, digest := range digests {
		if digest.Node != s.self {
			addresses = append(addresses, digest.Address)
		}
	}
	if len(addresses) == 0 {
		addresses = s.seeds
	}
	return addresses[:min(len(addresses), maxQueriedPeers)]
}

// Log implements configlog.PeerSource. It returns the first answer that contains
// records; a peer that also lags behind answers with none.
func (s peerSource) Log(ctx context.Context, after int64) ([]object.Record, error) {
	err := errors.New("no peer has newer records")
	for _, address := range s.addresses() {
		records, callErr := s.client.Log(ctx, address, after)
		if callErr != nil {
			err = callErr
			continue
		}
		if len(records) > 0 {
			return records, nil
		}
	}
	return nil, fmt.Errorf("read the configuration log from peers: %w", err)
}

// Snapshot implements configlog.PeerSource. It returns the snapshot with the
// highest revision. All peers are queried in parallel, so that the wait for a
// peer that does not answer is at most snapshotTimeout.
func (s peerSource) Snapshot(ctx context.Context) (*snapshot.Snapshot, error) {
	answers := make(chan snapshotAnswer, maxQueriedPeers)
	addresses := s.addresses()
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
			defer cancel()
			body, err := s.client.Snapshot(ctx, address)
			answers <- snapshotAnswer{body, err}
		}()
	}
	var best *snapshot.Snapshot
	err := errors.New("no peer is known")
	for range addresses {
		answer := <-answers
		if answer.err != nil {
			err = answer.err
			continue
		}
		if best == nil || answer.body.Revision > best.Revision {
			best = snapshot.New(answer.body.Revision, answer.body.Objects, answer.body.Placements)
		}
	}
	if best == nil {
		return nil, fmt.Errorf("read the configuration snapshot from peers: %w", err)
	}
	return best, nil
}

// snapshotAnswer is the answer of one peer to a snapshot query.
type snapshotAnswer struct {
	body peer.SnapshotBody
	err  error
}

// Limits for reading configuration from peers.
const (
	// maxQueriedPeers is the largest number of peers that are queried.
	maxQueriedPeers = 4
	// snapshotTimeout is how long to wait for the snapshot of one peer.
	snapshotTimeout = 2 * time.Second
)

// shareClient implements share.PeerClient. It resolves node names to peer
// addresses.
type shareClient struct {
	members *membership.Prober
	client  *peer.Client
}

// Release implements share.PeerClient.
func (c shareClient) Release(ctx context.Context, node string, r peer.ReleaseRequest) (peer.ReleaseReply, error) {
	address := c.members.Address(node)
	if address == "" {
		return peer.ReleaseReply{}, &peer.LinkError{Address: node, Err: errors.New("the node's address is not known")}
	}
	return c.client.Release(ctx, address, r)
}
