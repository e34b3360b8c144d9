package peer

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// maxTokenBytes bounds the bytes of one token between home and entry: at 1.4
// million tokens a second over 330 nodes, 512 bytes are 2.2 MB/s a node.
const maxTokenBytes = 512

// BenchmarkCapacityToken passes tokens from a home to an entry through the real
// codec, without the network.
func BenchmarkCapacityToken(b *testing.B) {
	const tokens = 1000
	chunk := endpoint.Chunk{RequestID: "8f14e45f-ceea-467f-9a7c-6a1f2c3d4e5f", Text: " fixture"}
	var size int
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		writer := newFrameWriter(recorder)
		for i := range tokens {
			chunk.Index = i
			if err := writer.frame(Frame{Chunk: &chunk}); err != nil {
				b.Fatal(err)
			}
		}
		writer.done()
		size = recorder.Body.Len()
		silence := time.NewTimer(time.Hour)
		received := 0
		err := readFrames("home", bytes.NewReader(recorder.Body.Bytes()), silence, func(Frame) error { received++; return nil })
		silence.Stop()
		if err != nil || received != tokens {
			b.Fatalf("%d tokens arrived: %v", received, err)
		}
	}
	perToken := float64(size) / tokens
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
	b.ReportMetric(perToken, "wire-bytes/token")
	if perToken > maxTokenBytes {
		b.Fatalf("a token takes %.0f bytes, over %d", perToken, maxTokenBytes)
	}
}
