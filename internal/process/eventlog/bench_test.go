package eventlog

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkLine measures the log line of a placed request.
func BenchmarkLine(b *testing.B) {
	log := New(io.Discard, logrus.InfoLevel, "n1")
	b.ReportAllocs()
	for b.Loop() {
		log.Log(RequestPlaced, Fields{
			"request": "9c41d07be2a35f68", "route": "stream", "account": "account", "rank": 1, "model": "m0", "host": "i-8e60d01aef",
			"group": "m0.1000006", "load": 12, "limit": 24, "attempt": 1, "revision": int64(17), "hosts_version": int64(512), "left_ms": int64(4999),
		})
	}
}
