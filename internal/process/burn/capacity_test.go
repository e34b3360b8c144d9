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

// Bounds of a recorder: an eighth of the memory of control in the usual case,
// a half at the bound of series, and a digest of which 330 fit into a report.
const (
	maxUsualBytes  = capacity.MemoryBytes / 8
	maxFullBytes   = capacity.MemoryBytes / 2
	maxDigestBytes = 64 << 10
)

// BenchmarkCapacityBurnRecorder records requests over seven hours and reports
// the memory of a recorder and the bytes of its digest.
func BenchmarkCapacityBurnRecorder(b *testing.B) {
	const requests = 50_000
	for _, series := range []int{8, maxSeries} {
		b.Run(fmt.Sprintf("series=%d", series), func(b *testing.B) {
			random := rand.New(rand.NewPCG(3, 3))
			samples := make([]callerapi.Sample, 1024)
			for i := range samples {
				samples[i] = randomSample(random)
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
			held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
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
			b.ReportMetric(held, "heap-bytes")
			b.ReportMetric(float64(len(data)), "wire-bytes/digest")
			limit := float64(maxUsualBytes)
			if series > 8 {
				limit = maxFullBytes
			} else if len(data) > maxDigestBytes {
				b.Fatalf("a digest has %d bytes, over %d", len(data), maxDigestBytes)
			}
			if held > limit {
				b.Fatalf("the recorder holds %.0f bytes, over %.0f", held, limit)
			}
		})
	}
}

// BenchmarkCapacityBurnReport merges the digests of n nodes, which an operator
// asks for now and then.
func BenchmarkCapacityBurnReport(b *testing.B) {
	digest := overWire(b, sampleDigest())
	view := testRanks()
	for _, n := range capacity.Sizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			digests := make([]peer.BurnDigest, n)
			for i := range digests {
				digests[i] = digest
			}
			for b.Loop() {
				if report := NewReport(view.current, digests, nil, testStart); report.Nodes != n {
					b.Fatal("a digest was not merged")
				}
			}
		})
	}
}
