package membership

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/connection/peer"
)

// headerBytes is the size of the HTTP headers of one message.
const headerBytes = 120

// BenchmarkCapacityMembership measures the bytes per second that one node sends
// and receives for probes and replies in fleets of growing size. The nodes are
// spread over capacity.Regions regions and each reports the load of one model.
// Every live node must count as live.
func BenchmarkCapacityMembership(b *testing.B) {
	const warmUp, measured = 10 * time.Second, 20 * time.Second
	for _, nodes := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			names := make([]string, nodes)
			inRegion := make(map[string]int)
			for i := range names {
				names[i] = fmt.Sprintf("region-%d", i%capacity.Regions)
				inRegion[names[i]]++
			}
			var f *fleet
			for b.Loop() {
				f = newFleet(names, 1)
				f.run(warmUp)
				f.countTraffic = true
				f.run(measured)
			}
			missed := 0
			for i, name := range f.names {
				missed += inRegion[names[i]] - len(f.liveNodes(name))
			}
			rounds := float64(nodes) * float64((warmUp+measured)/testInterval)
			perNode := 2 * float64(f.bytes+headerBytes*f.messages) / measured.Seconds() / float64(nodes)
			b.ReportMetric(float64(f.bytes)/float64(f.messages), "bytes/message")
			b.ReportMetric(perNode, "wire-bytes/node/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/rounds, "ns/node/round")
			b.ReportMetric(float64(missed), "live-taken-for-dead")
			if perNode > capacity.MembershipBytesPerSecond || missed > 0 {
				b.Fatalf("a node sends and receives %.0f bytes per second, want at most %d; %d live nodes count as failed, want 0", perNode, capacity.MembershipBytesPerSecond, missed)
			}
		})
	}
}

// tableHandlers is a peer.Handlers that answers probes from a table.
type tableHandlers struct {
	peer.Handlers
	table *Table
	now   time.Time
}

// Probe implements peer.Handlers.
func (h tableHandlers) Probe(probe peer.Probe) peer.Probe { return h.table.Reply(probe, h.now) }

// BenchmarkCapacityProbeHTTP exchanges probes over loopback between two nodes of
// a region of the planned size. Time and bytes include both sides.
func BenchmarkCapacityProbeHTTP(b *testing.B) {
	f := newFleet(slices.Repeat([]string{"north"}, capacity.NodesPerRegion), 1)
	f.run(20 * time.Second)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &capacity.CountingListener{Listener: inner}
	const key = "0123456789abcdef0123456789abcdef"
	server := &http.Server{Handler: peer.NewServer(key, tableHandlers{table: f.tables["node-001"], now: f.now})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := peer.NewClient(key, nil)
	defer client.Close()
	const exchanges = 100
	b.ReportAllocs()
	for b.Loop() {
		for range exchanges {
			if _, err := client.Probe(context.Background(), inner.Addr().String(), f.tables["node-000"].Request(f.now)); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(listener.Bytes())/float64(b.N*exchanges), "wire-bytes/exchange")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*exchanges), "ns/exchange")
}
