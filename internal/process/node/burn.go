package node

import (
	"context"
	"io"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/burn"
	"currantladder.example/currantladder/internal/process/callerapi"
	"currantladder.example/currantladder/internal/process/operatorapi"
)

// observers passes every sample to each of its members. Members must not block.
type observers []callerapi.Observer

// Observe implements callerapi.Observer.
func (o observers) Observe(s callerapi.Sample) {
	for _, observer := range o {
		observer.Observe(s)
	}
}

// Burn implements peer.Handlers: it returns this node's error budget figures.
func (h peerHandlers) Burn() peer.BurnDigest { return h.node.burn.Digest() }

// burnReport implements operatorapi.BurnReporter.
type burnReport struct{ node *Node }

// WriteBurn implements operatorapi.BurnReporter. It collects the figures of every node
// that is live or has a session row; the report lists those that did not
// answer.
func (b burnReport) WriteBurn(ctx context.Context, w io.Writer, format operatorapi.BurnFormat) error {
	digests, missing := burn.Collect(ctx, b.sources(), b.fetchDigest)
	digests = append(digests, b.node.burn.Digest())
	report := burn.NewReport(b.node.follower.Current(), digests, missing, time.Now())
	switch format {
	case operatorapi.BurnJSON:
		return report.WriteJSON(w)
	case operatorapi.BurnHTML:
		return report.WriteHTML(w)
	default:
		return report.WriteText(w)
	}
}

// sources returns the other nodes.
func (b burnReport) sources() []burn.Source {
	var sources []burn.Source
	for _, known := range nodeList(b).Nodes() {
		if known.Name != b.node.settings.Node.Name {
			sources = append(sources, burn.Source{Node: known.Name, Address: known.Status.PeerAddress})
		}
	}
	return sources
}

func (b burnReport) fetchDigest(ctx context.Context, address string) (peer.BurnDigest, error) {
	return b.node.peers.Burn(ctx, address)
}
