package forward

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

// TestStreamWithoutOtherHostEndsAtOnce guards against a stream that waits for room although
// no host is left that could go on with it.
func TestStreamWithoutOtherHostEndsAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		attempts, hosts, wantAttempts int
	}{
		"one host":        {2, 1, 1},
		"all hosts tried": {3, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			setup := newTurnSetup(fleet.KindStream, test.attempts, test.hosts, streamEvents(3, testEventInterval, resetConnection), streamEvents(6, testEventInterval, resetConnection))
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if last := 3 * test.wantAttempts; !got.aborted || got.body != eventsText(1, last) {
					t.Errorf("got aborted %t, want an incomplete stream of %d events; body:\n%s", got.aborted, last, got.body)
				}
				// Each attempt sends its events from the first one on.
				if limit := time.Duration(3*test.wantAttempts*(test.wantAttempts+1)/2+1) * testEventInterval; got.took > limit {
					t.Errorf("took %v, want at most %v", got.took, limit)
				}
				setup.checkEnded(t, test.wantAttempts)
			})
		})
	}
}

// TestWaitForRoomEndsWithTheRequest verifies that a stream without an attempt ends with its
// caller, its deadline, its node and the finding that it crashes hosts, and that it takes
// no place then.
func TestWaitForRoomEndsWithTheRequest(t *testing.T) {
	const endAfter = 500 * time.Millisecond // the wait is under way
	for name, test := range map[string]struct {
		end         func(t *testing.T, setup *testSetup, leave context.CancelCauseFunc)
		wantAborted bool
	}{
		"caller leaves": {func(_ *testing.T, _ *testSetup, leave context.CancelCauseFunc) { leave(context.Canceled) }, false},
		"node stops": {func(_ *testing.T, _ *testSetup, leave context.CancelCauseFunc) {
			leave(refusal.New(refusal.KindNodeStopping, http.StatusServiceUnavailable, "the node stops"))
		}, true},
		"deadline passes": {nil, true},
		"crashes hosts": {func(t *testing.T, setup *testSetup, _ context.CancelCauseFunc) {
			for n := range 10 { // further tries of the request, at other nodes
				setup.core.Poison.Lost(setup.identity(), strconv.Itoa(n), time.Now().Add(time.Duration(2*n-20)*time.Second))
			}
			if !setup.core.Poison.Refused(setup.identity()) {
				t.Error("the request is not known to crash hosts, want it to be")
			}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				setup := newTurnSetup(fleet.KindStream, 2, 2, streamEvents(3, testEventInterval, resetConnection), streamEvents(8, testEventInterval, closeStream))
				if test.end == nil {
					setup.route.Timeout = endAfter
				}
				setup.start()
				ctx, leave := context.WithCancelCause(context.Background())
				defer leave(nil)
				done := make(chan callerResult)
				go func() { done <- setup.serve(ctx) }()
				time.Sleep(testEventInterval)
				free := setup.fill(t, setup.endpoint.sent()[0].HostID)
				time.Sleep(endAfter - testEventInterval)
				if test.end != nil {
					test.end(t, setup, leave)
				}
				got := <-done
				free()
				if got.aborted != test.wantAborted || got.body != eventsText(1, 3) {
					t.Errorf("got aborted %t, want %t and three events; body:\n%s", got.aborted, test.wantAborted, got.body)
				}
				if limit := endAfter + 2*StallCheckInterval; got.took > limit {
					t.Errorf("took %v, want at most %v", got.took, limit)
				}
				time.Sleep(time.Second)
				if sent := len(setup.endpoint.sent()); sent != 1 {
					t.Errorf("got %d attempts, want 1", sent)
				}
			})
		})
	}
}
