package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of log output.
const (
	// maxQueuedLines is the length of the queue for a slow reader.
	maxQueuedLines = 4096
	// limitedEventsPerSecond and limitedEventsBurst limit the rate of events of
	// normal operation. A node at its planned load writes about 100 of them a
	// second.
	limitedEventsPerSecond = 400
	limitedEventsBurst     = 400
	// batchDelay is how long a line waits for others to be written with it. A
	// separate write for each line was most of the cost of logging. A killed
	// process loses the lines of the last batchDelay.
	batchDelay = 100 * time.Millisecond
	// maxBatchBytes ends a batch early. It equals the capacity of a pipe.
	maxBatchBytes = 64 << 10
	// dropReportInterval is the time between reports of dropped lines.
	dropReportInterval = 5 * time.Second
)

// AsyncWriter passes lines to a writer without blocking the caller. If the queue
// is full, lines are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter starts a goroutine that writes to w until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		batch := make([]byte, 0, maxBatchBytes)
		for line := range a.lines {
			batch = a.collect(append(batch[:0], line...))
			// The error is ignored: if the reader of the log has gone away,
			// there is no other place to report it.
			_, _ = w.Write(batch)
		}
	}()
	return a
}

// collect appends lines to the batch until batchDelay has passed, the batch is
// full or the queue is closed.
func (a *AsyncWriter) collect(batch []byte) []byte {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxBatchBytes {
		select {
		case line, open := <-a.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		case <-timer.C:
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

// Close writes the queued lines and ends the goroutine. Write must not be called
// after Close.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}

// rateLimiter limits the rate of events and counts the skipped ones.
type rateLimiter struct {
	limiter *rate.Limiter
	skipped atomic.Int64
}

// WithRateLimit returns a logger that limits the rate of events written with
// LogLimited. If writer is not nil, ReportDrops includes the lines that it
// dropped.
func (l *Logger) WithRateLimit(writer *AsyncWriter) *Logger {
	return &Logger{entry: l.entry, writer: writer, rateLimiter: &rateLimiter{limiter: rate.NewLimiter(limitedEventsPerSecond, limitedEventsBurst)}}
}

// LogLimited writes an event of normal operation. Events above the rate limit are
// skipped and counted. Exceptional events go through Log, which has no limit.
func (l *Logger) LogLimited(event Event, fields Fields) {
	if r := l.rateLimiter; r != nil && !r.limiter.Allow() {
		r.skipped.Add(1)
		return
	}
	l.Log(event, fields)
}

// ReportDrops logs at intervals how many lines were skipped or dropped since the
// last report. It blocks until done is closed.
func (l *Logger) ReportDrops(done <-chan struct{}) {
	ticker := time.NewTicker(dropReportInterval)
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
	if l.rateLimiter != nil {
		skipped = l.rateLimiter.skipped.Swap(0)
	}
	if l.writer != nil {
		dropped = l.writer.dropped.Swap(0)
	}
	if skipped+dropped > 0 {
		l.Log(LinesDropped, Fields{"over_rate": skipped, "queue_full": dropped})
	}
}
