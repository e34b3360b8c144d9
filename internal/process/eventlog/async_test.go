package eventlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter lets nothing through until it is released.
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

// TestLoggingNeverBlocks plays a reader that stands still: writers go on, and
// what was lost is told afterwards.
func TestLoggingNeverBlocks(t *testing.T) {
	slow := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(slow)
	log := New(writer, logrus.InfoLevel, "n").Limited(writer)
	done := make(chan struct{})
	go func() {
		for range 2 * queueLines {
			log.Log(StreamCut, nil)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a writer waits for a reader that stands still")
	}
	close(slow.release)
	for len(writer.lines) > queueLines/2 {
		time.Sleep(time.Millisecond)
	}
	log.reportDrops()
	writer.Close()
	if text := slow.content.String(); !strings.Contains(text, `"event":1451`) || !strings.Contains(text, `"queue_full":`) {
		t.Error("the dropped lines are not told")
	}
}

// TestOrdinaryEventsAreBoundedAndExceptionalOnesAreNot holds which lines a
// flood may cost.
func TestOrdinaryEventsAreBoundedAndExceptionalOnesAreNot(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, logrus.InfoLevel, "n").Limited(nil)
	const events = 5 * ordinaryBurst
	for range events {
		log.Ordinary(RequestAnswered, nil)
		log.Log(StreamCut, nil)
	}
	log.reportDrops()
	text := out.String()
	if n := strings.Count(text, `"event":1355`); n < ordinaryBurst || n > 2*ordinaryBurst {
		t.Errorf("%d ordinary lines, want about the burst of %d", n, ordinaryBurst)
	}
	if n := strings.Count(text, `"event":1358`); n != events {
		t.Errorf("%d exceptional lines, want all %d", n, events)
	}
	if !strings.Contains(text, `"over_rate":`) {
		t.Error("the lines left out are not counted")
	}
}
