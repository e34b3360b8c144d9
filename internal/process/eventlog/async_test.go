package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	content bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.content.Write(p)
}

// TestLoggingNeverBlocks verifies that logging does not block while the reader is
// stalled, and that the number of dropped lines is logged afterwards.
func TestLoggingNeverBlocks(t *testing.T) {
	slow := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(slow)
	log := New(writer, logrus.InfoLevel, "n").WithRateLimit(writer)
	done := make(chan struct{})
	go func() {
		for range 2 * maxQueuedLines {
			log.Log(StreamIncomplete, nil)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("got a blocked logger, want lines to be dropped while the reader is stalled")
	}
	close(slow.release)
	for len(writer.lines) > maxQueuedLines/2 {
		time.Sleep(time.Millisecond)
	}
	log.reportDrops()
	writer.Close()
	if text := slow.content.String(); !strings.Contains(text, `"event":1451`) || !strings.Contains(text, `"queue_full":`) {
		t.Error("got no event 1451 with queue_full, want a report of the dropped lines")
	}
}

// TestOnlyLimitedEventsAreSkipped verifies that a flood of events skips only
// those written with LogLimited, and that the skipped ones are counted.
func TestOnlyLimitedEventsAreSkipped(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, logrus.InfoLevel, "n").WithRateLimit(nil)
	const events = 5 * limitedEventsBurst
	for range events {
		log.LogLimited(RequestAnswered, nil)
		log.Log(StreamIncomplete, nil)
	}
	log.reportDrops()
	text := out.String()
	if n := strings.Count(text, `"event":1355`); n < limitedEventsBurst || n > 2*limitedEventsBurst {
		t.Errorf("got %d rate-limited lines, want about the burst of %d", n, limitedEventsBurst)
	}
	if n := strings.Count(text, `"event":1358`); n != events {
		t.Errorf("got %d exceptional lines, want all %d", n, events)
	}
	if !strings.Contains(text, `"over_rate":`) {
		t.Error("got no over_rate field, want the number of skipped lines")
	}
}
