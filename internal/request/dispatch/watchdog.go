package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// errStalled cancels a stream that sent nothing for too long.
var errStalled = errors.New("the engine sent nothing within the timeout")

// watchdog cancels its context unless it is reset in time.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newWatchdog(ctx context.Context, timeout time.Duration) *watchdog {
	watched, cancel := context.WithCancelCause(ctx)
	return &watchdog{
		ctx:    watched,
		cancel: cancel,
		timer:  time.AfterFunc(timeout, func() { cancel(errStalled) }),
	}
}

func (w *watchdog) reset(timeout time.Duration) { w.timer.Reset(timeout) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// withCause adds errStalled to err if the watchdog cancelled the stream.
func (w *watchdog) withCause(err error) error {
	if errors.Is(context.Cause(w.ctx), errStalled) {
		return fmt.Errorf("%w: %w", errStalled, err)
	}
	return err
}
