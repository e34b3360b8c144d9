package peer

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
)

// maxTokenBytes limits the bytes sent for one token from a home to an entry: at
// 1.4 million tokens a second over 330 nodes, 512 bytes are 2.2 MB/s per node.
const maxTokenBytes = 512

// BenchmarkCapacityToken sends tokens from a home to an entry with the
// production codec but without a network. It fails if a token takes more than
// maxTokenBytes.
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
			if err := writer.writeFrame(Frame{Chunk: &chunk}); err != nil {
				b.Fatal(err)
			}
		}
		writer.writeDone()
		size = recorder.Body.Len()
		watchdog := time.NewTimer(time.Hour)
		received := 0
		err := readFrames("home", bytes.NewReader(recorder.Body.Bytes()), watchdog, func(Frame) error { received++; return nil })
		watchdog.Stop()
		if err != nil || received != tokens {
			b.Fatalf("got %d tokens and error %v, want all tokens and no error", received, err)
		}
	}
	perToken := float64(size) / tokens
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
	b.ReportMetric(perToken, "wire-bytes/token")
	if perToken > maxTokenBytes {
		b.Fatalf("got %.0f bytes per token, want at most %d", perToken, maxTokenBytes)
	}
}
