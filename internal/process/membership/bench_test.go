package membership

import (
	"fmt"
	"testing"
	"time"
)

// byteBudget is the traffic that control may cause at a node, in bytes a
// second.
const byteBudget = 10_000

// BenchmarkCapacityMembership measures the encoded bytes a second that one
// node sends for probes and replies, and as many that it receives, in fleets
// of growing size: seven regions, one home line for each node.
func BenchmarkCapacityMembership(b *testing.B) {
	const regions = 7
	const warmUp, measured = 10 * time.Second, 20 * time.Second
	for _, nodes := range []int{7, 33, 100, 330} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			names := make([]string, nodes)
			for i := range names {
				names[i] = fmt.Sprintf("region-%d", i%regions)
			}
			for range b.N {
				f := newFleet(names, 1)
				f.run(warmUp)
				f.count = true
				f.run(measured)
				sent := float64(f.bytes) / measured.Seconds() / float64(nodes)
				b.ReportMetric(sent, "B-sent/s/node")
				if sent > byteBudget {
					b.Fatalf("a node sends %.0f bytes a second, budget %d", sent, byteBudget)
				}
			}
		})
	}
}
