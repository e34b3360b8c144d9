package gateway

import (
	"fmt"
	"testing"
)

// BenchmarkPackedDigest measures what a member's digest to its hub costs there: a hub
// of 100 members unpacks a thousand a second.
func BenchmarkPackedDigest(b *testing.B) {
	own := digest{Kind: digestOwn, Node: "n001", Row: nodeRow{Address: "10.0.0.1:1", Domain: "d1", Share: 0.2}, InFlight: map[string]int{}, Packed: true, Seq: 1}
	for i := range tracedRequests {
		own.InFlight[fmt.Sprintf("host-%04d", i*150)] = 1
	}
	datagram, err := (&packedDigest{digest: own}).datagram(0)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(datagram)), "bytes")
	for b.Loop() {
		if _, err := unpackDigest(datagram); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
}
