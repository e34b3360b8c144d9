package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of log output.
const (
	// queueLines is the number of lines that wait for a slow reader.
	queueLines = 4096
	// ordinaryPerSecond and ordinaryBurst bound the lines of ordinary events;
	// a node at its planned load writes about a hundred a second.
	ordinaryPerSecond = 400
	ordinaryBurst     = 400
	// batchTime is how long a line waits for others, so that one write carries
	// many: a write a line was most of the cost of logging. A killed process
	// loses the lines of this time.
	batchTime = 100 * time.Millisecond
	// batchBytes ends a batch early; it is what a pipe holds.
	batchBytes = 64 << 10
	// dropReportPeriod is how often dropped lines are reported.
	dropReportPeriod = 5 * time.Second
)

// AsyncWriter passes lines to a writer without ever blocking the caller: when
// the queue is full, lines are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter starts a duty that writes to w until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		batch := make([]byte, 0, batchBytes)
		for line := range a.lines {
			batch = a.collect(append(batch[:0], line...))
			// A reader that has gone away cannot be told.
			_, _ = w.Write(batch)
		}
	}()
	return a
}

// collect adds the lines of the next batchTime to a batch.
func (a *AsyncWriter) collect(batch []byte) []byte {
	end := time.NewTimer(batchTime)
	defer end.Stop()
	for len(batch) < batchBytes {
		select {
		case line, open := <-a.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		case <-end.C:
			return batch
		}
	}
	return batch
}

// Write implements io.Writer and never blocks.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued and ends the duty. Nothing may be written after
// it.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}

// sampler bounds ordinary events.
type sampler struct {
	limit   *rate.Limiter
	skipped atomic.Int64
}

// Limited returns a logger whose Ordinary events are bounded in number. writer
// may be nil; its drops are reported too.
func (l *Logger) Limited(writer *AsyncWriter) *Logger {
	return &Logger{entry: l.entry, writer: writer, sampler: &sampler{limit: rate.NewLimiter(ordinaryPerSecond, ordinaryBurst)}}
}

// Ordinary writes an event of normal work. Events over the bound are left out
// and counted; exceptional events go through Log and never are.
func (l *Logger) Ordinary(event Event, fields Fields) {
	if s := l.sampler; s != nil && !s.limit.Allow() {
		s.skipped.Add(1)
		return
	}
	l.Log(event, fields)
}

// ReportDrops logs how many lines were left out since the last report, until
// done is closed.
func (l *Logger) ReportDrops(done <-chan struct{}) {
	ticker := time.NewTicker(dropReportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			l.reportDrops()
		}
	}
}

func (l *Logger) reportDrops() {
	var skipped, dropped int64
	if l.sampler != nil {
		skipped = l.sampler.skipped.Swap(0)
	}
	if l.writer != nil {
		dropped = l.writer.dropped.Swap(0)
	}
	if skipped+dropped > 0 {
		l.Log(LinesDropped, Fields{"over_rate": skipped, "queue_full": dropped})
	}
}
