package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/fleet"
)

// unreadWriter is the side of a caller that takes nothing of its answer.
type unreadWriter struct {
	*httptest.ResponseRecorder
	cut  chan struct{}
	once sync.Once
}

// Write implements http.ResponseWriter. It blocks until the write deadline is set.
func (w *unreadWriter) Write([]byte) (int, error) {
	<-w.cut
	return 0, os.ErrDeadlineExceeded
}

// SetWriteDeadline ends the writes.
func (w *unreadWriter) SetWriteDeadline(time.Time) error {
	w.once.Do(func() { close(w.cut) })
	return nil
}

// TestAnswersNotTakenAreBoundedTogether guards against a node whose memory for answers is
// held by callers that request large ones and take none, so that other callers wait.
func TestAnswersNotTakenAreBoundedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, size = 4 << 20, 1 << 20
		core := New(Options{UntakenMemoryBytes: limit, AnswerMemoryBytes: 64 << 20, Log: eventlog.Discard(), Metrics: tally.NoopScope})
		deliver := func(w http.ResponseWriter) {
			_, memory := core.answers.Open(context.Background(), "host")
			defer memory.Close()
			if err := memory.Grow(size); err != nil {
				t.Error(err)
			}
			memory.Complete()
			s := &requestState{Core: core, request: &Request{Received: time.Now()}, route: &fleet.Route{}, w: w, caller: context.Background()}
			s.deliver(&answer{status: http.StatusOK, body: body{make([]byte, size)}}, memory)
		}
		var deliveries sync.WaitGroup
		var unread []*unreadWriter
		for range 20 {
			w := &unreadWriter{ResponseRecorder: httptest.NewRecorder(), cut: make(chan struct{})}
			unread = append(unread, w)
			deliveries.Go(func() { deliver(w) })
		}
		synctest.Wait()
		if _, untaken := core.HeldBytes(); untaken > limit+answerReserveBytes {
			t.Errorf("got %d bytes that are not taken, want at most %d", untaken, limit+answerReserveBytes)
		}
		recorder := httptest.NewRecorder()
		deliver(recorder)
		if got := recorder.Body.Len(); got != size {
			t.Errorf("a caller that takes its answer got %d bytes, want %d", got, size)
		}
		if core.untaken.Evictions() == 0 {
			t.Error("no answer gave way, want some")
		}
		for _, w := range unread {
			_ = w.SetWriteDeadline(time.Time{})
		}
		deliveries.Wait()
	})
}
