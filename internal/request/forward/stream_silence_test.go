package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

const testEventInterval = 40 * time.Millisecond

// streamWithPause sends eight events like streamEvents, with a pause before the event
// of the given number.
func streamWithPause(before int, pause time.Duration) hostBehavior {
	return func(ctx context.Context, _ *Request, a Attempt) (*Reply, error) {
		reader, writer := io.Pipe()
		from, _ := strconv.Atoi(a.ResumeAfter)
		context.AfterFunc(ctx, func() { reader.CloseWithError(ctx.Err()) })
		go func() {
			for n := from + 1; n <= 8; n++ {
				if n == before {
					select {
					case <-time.After(pause):
					case <-ctx.Done():
						return
					}
				}
				time.Sleep(testEventInterval)
				if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
					return
				}
			}
			writer.Close()
		}()
		return verifiedReply(http.StatusOK, reader), nil
	}
}

// beginLate sends the whole answer after a delay.
func beginLate(delay time.Duration) hostBehavior {
	return func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
		select {
		case <-time.After(delay):
			return streamEvents(8, testEventInterval, closeStream)(ctx, r, a)
		case <-ctx.Done():
			return neverAnswer(ctx, r, a)
		}
	}
}

// TestSilentHostThatGoesOnCompletesItsStream guards against streams that were cut
// because a second attempt, begun while the first host was silent, failed.
func TestSilentHostThatGoesOnCompletesItsStream(t *testing.T) {
	for name, second := range map[string]hostBehavior{
		"refuses the connection": refuseConnection,
		"declares not run":       declareNotRun,
		"loses the answer":       loseAnswer,
		"answers 503":            answerWith(http.StatusServiceUnavailable, "full"),
		"answers 500":            answerWith(http.StatusInternalServerError, "failed"),
		"is silent":              neverAnswer,
		"is silent at its head":  streamEvents(0, 0, stall),
		"breaks before an event": streamEvents(0, 0, resetConnection),
		"begins late":            beginLate(2 * time.Second),
	} {
		for _, before := range []int{1, 4} {
			for _, pause := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/before %d/%v", name, before, pause), func(t *testing.T) {
					setup := newTurnSetup(fleet.KindStream, 2, 2, streamWithPause(before, pause), second)
					serveOnce(t, setup, func(t *testing.T, got callerResult) {
						if got.status != http.StatusOK || got.aborted || got.body != eventsText(1, 8) {
							t.Errorf("got status %d, aborted %t, want 200 and the whole stream; body:\n%s", got.status, got.aborted, got.body)
						}
						if late := pause + 8*testEventInterval + 400*time.Millisecond; got.took > late {
							t.Errorf("took %v, want at most %v", got.took, late)
						}
						if n := len(setup.endpoint.sent()); n > 2 {
							t.Errorf("got %d attempts, want at most 2", n)
						}
						if inFlight := setup.core.Board.InFlight(); len(inFlight) != 0 {
							t.Errorf("got requests in flight %v after the end, want none", inFlight)
						}
					})
				})
			}
		}
	}
}

// TestEventsOfTwoRunsAreNotMixed verifies that the caller gets each event once and in
// order, whichever of two runs goes on first.
func TestEventsOfTwoRunsAreNotMixed(t *testing.T) {
	ranAt := func(run string, behavior hostBehavior) hostBehavior {
		return func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
			reply, err := behavior(ctx, r, a)
			if err == nil {
				reply.Header = http.Header{"X-Proof": {run}}
			}
			return reply, err
		}
	}
	for _, before := range []int{1, 4} {
		for pause := 200 * time.Millisecond; pause <= 2*time.Second; pause += 50 * time.Millisecond {
			for begin := time.Duration(0); begin <= 1500*time.Millisecond; begin += 100 * time.Millisecond {
				setup := newTurnSetup(fleet.KindStream, 2, 2, ranAt("first", streamWithPause(before, pause)), ranAt("second", beginLate(begin)))
				serveOnce(t, setup, func(t *testing.T, got callerResult) {
					if got.aborted || got.body != eventsText(1, 8) {
						t.Errorf("pause of %v before event %d, second begins after %v: got aborted %t, want the whole stream; body:\n%s", pause, before, begin, got.aborted, got.body)
					}
					if before > 1 && got.header.Get("X-Proof") != "first" {
						t.Errorf("pause of %v before event %d: got the proof of run %q, want that of the first event", pause, before, got.header.Get("X-Proof"))
					}
				})
			}
		}
	}
}

// TestDeadHostIsLeftWhenTheSecondRunBegins guards against streams that wait for a silent
// host although another one answers.
func TestDeadHostIsLeftWhenTheSecondRunBegins(t *testing.T) {
	var left time.Time
	first := func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
		context.AfterFunc(ctx, func() { left = time.Now() })
		return streamEvents(3, testEventInterval, stall)(ctx, r, a)
	}
	setup := newTurnSetup(fleet.KindStream, 2, 2, first, streamEvents(8, testEventInterval, closeStream))
	synctest.Test(t, func(t *testing.T) {
		setup.start()
		started := time.Now()
		got := setup.serve(context.Background())
		if got.aborted || got.body != eventsText(1, 8) || got.took > 800*time.Millisecond {
			t.Errorf("got aborted %t after %v, want the whole stream within 800ms; body:\n%s", got.aborted, got.took, got.body)
		}
		synctest.Wait()
		if after := left.Sub(started); left.IsZero() || after > 600*time.Millisecond {
			t.Errorf("the silent attempt ended after %v, want at most 600ms", after)
		}
	})
}

// TestCallerDisconnectEndsBothAttempts guards against a silent attempt that runs on
// after its caller has left.
func TestCallerDisconnectEndsBothAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended sync.WaitGroup
		silent := func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
			ended.Add(1)
			defer ended.Done()
			return neverAnswer(ctx, r, a)
		}
		setup := newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": silent, "b": silent})
		setup.start()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(1500*time.Millisecond, cancel)
		got := setup.serve(ctx)
		ended.Wait()
		if n := len(setup.endpoint.sent()); n != 2 || got.took != 1500*time.Millisecond {
			t.Errorf("got %d attempts and an end after %v, want 2 and 1.5s", n, got.took)
		}
		if inFlight := setup.core.Board.InFlight(); len(inFlight) != 0 {
			t.Errorf("got requests in flight %v, want none", inFlight)
		}
	})
}

// TestHeldEventsAreBounded verifies that a run whose events wait for the second attempt
// is slowed down instead of kept in memory.
func TestHeldEventsAreBounded(t *testing.T) {
	var sent atomic.Int64
	first := func(ctx context.Context, _ *Request, _ Attempt) (*Reply, error) {
		reader, writer := io.Pipe()
		context.AfterFunc(ctx, func() { reader.CloseWithError(ctx.Err()) })
		go func() {
			time.Sleep(600 * time.Millisecond)
			for n := 1; n <= 1000; n++ {
				if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 1000)); err != nil {
					return
				}
				sent.Store(int64(n))
			}
			writer.Close()
		}()
		return verifiedReply(http.StatusOK, reader), nil
	}
	setup := newTurnSetup(fleet.KindStream, 2, 2, first, neverAnswer)
	synctest.Test(t, func(t *testing.T) {
		setup.start()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(610*time.Millisecond, func() {
			if n := sent.Load(); n > 4*updateBufferSize {
				t.Errorf("the first run is %d events ahead of the caller, want at most %d", n, 4*updateBufferSize)
			}
		})
		got := setup.serve(ctx)
		cancel()
		if got.aborted || strings.Count(got.body, "id: ") != 1000 {
			t.Errorf("got %d events, aborted %t, want 1000", strings.Count(got.body, "id: "), got.aborted)
		}
	})
}

// TestStreamLeavesTwoDeadHosts guards against streams that wait for their deadline
// because the second host is silent, too, although a third one is sound.
func TestStreamLeavesTwoDeadHosts(t *testing.T) {
	for name, first := range map[string]hostBehavior{
		"first dies at event 4":   streamEvents(3, testEventInterval, stall),
		"first never answers":     neverAnswer,
		"first pauses for 1200ms": streamWithPause(4, 1200*time.Millisecond),
	} {
		for secondName, second := range map[string]hostBehavior{"never answers": neverAnswer, "is silent at its head": streamEvents(0, 0, stall)} {
			t.Run(name+"/second "+secondName, func(t *testing.T) {
				setup := newTurnSetup(fleet.KindStream, 3, 3, first, second, streamEvents(8, testEventInterval, closeStream))
				serveOnce(t, setup, func(t *testing.T, got callerResult) {
					if got.status != http.StatusOK || got.aborted || got.body != eventsText(1, 8) || got.took > 2*time.Second {
						t.Errorf("got status %d, aborted %t after %v, want 200 and the whole stream within 2s; body:\n%s", got.status, got.aborted, got.took, got.body)
					}
				})
			})
		}
	}
}

// TestRejectionBySecondHostDoesNotEndTheFirstRun guards against a stream that has begun
// at its first host and is ended by a rejection of the second one.
func TestRejectionBySecondHostDoesNotEndTheFirstRun(t *testing.T) {
	for _, before := range []int{1, 4} {
		setup := newTurnSetup(fleet.KindStream, 2, 2, streamWithPause(before, 1200*time.Millisecond), answerWith(http.StatusConflict, "other model"))
		serveOnce(t, setup, func(t *testing.T, got callerResult) {
			if got.status != http.StatusOK || got.aborted || got.body != eventsText(1, 8) {
				t.Errorf("before %d: got status %d, aborted %t, want 200 and the whole stream; body:\n%s", before, got.status, got.aborted, got.body)
			}
		})
	}
}
