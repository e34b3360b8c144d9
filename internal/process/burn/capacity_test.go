package burn

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/connection/peer"
	"currantladder.example/currantladder/internal/process/callerapi"
)

// Limits of a recorder: an eighth of a node's control memory with the usual number
// of series, a half with maxSeries, and a digest small enough that 330 fit into a
// report.
const (
	maxUsualHeapBytes = capacity.MemoryBytes / 8
	maxFullHeapBytes  = capacity.MemoryBytes / 2
	maxDigestBytes    = 64 << 10
)

// BenchmarkCapacityBurnRecorder records requests over seven hours and checks the
// heap size of the recorder and the size of its digest.
func BenchmarkCapacityBurnRecorder(b *testing.B) {
	const requests = 50_000
	for _, series := range []int{8, maxSeries} {
		b.Run(fmt.Sprintf("series=%d", series), func(b *testing.B) {
			random := rand.New(rand.NewPCG(3, 3))
			samples := make([]callerapi.Sample, 1024)
			for i := range samples {
				samples[i] = newRandomSample(random)
				if series > 8 {
					samples[i].Rank = fmt.Sprintf("rank-%02d", i%(series/2))
				}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := NewRecorder("n", testRanks())
			now := testStart
			for i := range requests {
				now = now.Add(7 * time.Hour / requests)
				r.record(samples[i%len(samples)], now)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			heapBytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				r.record(samples[i%len(samples)], now)
			}
			data, err := json.Marshal(r.digest(now))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(heapBytes, "heap-bytes")
			b.ReportMetric(float64(len(data)), "wire-bytes/digest")
			maxHeapBytes := float64(maxUsualHeapBytes)
			if series > 8 {
				maxHeapBytes = maxFullHeapBytes
			} else if len(data) > maxDigestBytes {
				b.Fatalf("got a digest of %d bytes, want at most %d", len(data), maxDigestBytes)
			}
			if heapBytes > maxHeapBytes {
				b.Fatalf("got a recorder of %.0f heap bytes, want at most %.0f", heapBytes, maxHeapBytes)
			}
		})
	}
}

// BenchmarkCapacityBurnReport merges the digests of n nodes. Nodes do this only
// now and then, when an operator requests the burn report.
func BenchmarkCapacityBurnReport(b *testing.B) {
	digest := roundTripJSON(b, outageDigest())
	view := testRanks()
	for _, n := range capacity.FleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			digests := make([]peer.BurnDigest, n)
			for i := range digests {
				digests[i] = digest
			}
			for b.Loop() {
				if report := NewReport(view.current, digests, nil, testStart); report.Nodes != n {
					b.Fatal("the report counts fewer or more nodes than digests")
				}
			}
		})
	}
}
