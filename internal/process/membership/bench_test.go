package membership

import (
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
)

// headerBytes is the size of the HTTP headers of one message.
const headerBytes = 120

// BenchmarkCapacityMembership measures the encoded bytes a second that one
// node sends and receives for probes and replies in fleets of growing size:
// seven regions, one home line for each node. No live node may be taken for
// dead.
func BenchmarkCapacityMembership(b *testing.B) {
	const warmUp, measured = 10 * time.Second, 20 * time.Second
	for _, nodes := range capacity.Sizes {
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
				f.count = true
				f.run(measured)
			}
			missed := 0
			for i, name := range f.names {
				missed += inRegion[names[i]] - len(f.live(name))
			}
			rounds := float64(nodes) * float64((warmUp+measured)/testPeriod)
			perNode := 2 * float64(f.bytes+headerBytes*f.messages) / measured.Seconds() / float64(nodes)
			b.ReportMetric(float64(f.bytes)/float64(f.messages), "bytes/message")
			b.ReportMetric(perNode, "wire-bytes/node/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/rounds, "ns/node/round")
			b.ReportMetric(float64(missed), "live-taken-for-dead")
			if perNode > capacity.MembershipBytesPerSecond || missed > 0 {
				b.Fatalf("a node sends and receives %.0f bytes a second, bound %d; %d live nodes are taken for dead", perNode, capacity.MembershipBytesPerSecond, missed)
			}
		})
	}
}
