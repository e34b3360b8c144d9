package feed

import (
	"context"
	"errors"
	"io"
	"time"
)

// SilenceTimeout limits the time without data in which a source gives up the read of a
// whole table, and the read of one page of it.
const SilenceTimeout = time.Second

var errSilent = errors.New("no data arrived in time")

// SilenceLimit cancels a read when no data arrives for SilenceTimeout.
type SilenceLimit struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// WithSilenceLimit returns a context that ends when nothing was read through the limit's
// Reader for SilenceTimeout. Stop must be called.
func WithSilenceLimit(ctx context.Context) (context.Context, *SilenceLimit) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &SilenceLimit{time.AfterFunc(SilenceTimeout, func() { cancel(errSilent) }), cancel}
}

// Stop releases the context.
func (l *SilenceLimit) Stop() {
	l.timer.Stop()
	l.cancel(nil)
}

// Reader returns r, from which data extends the time. It returns r itself for a nil limit.
func (l *SilenceLimit) Reader(r io.Reader) io.Reader {
	if l == nil {
		return r
	}
	return progressReader{r, l}
}

type progressReader struct {
	io.Reader
	limit *SilenceLimit
}

// Read implements io.Reader.
func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.limit.timer.Reset(SilenceTimeout)
	}
	return n, err
}
