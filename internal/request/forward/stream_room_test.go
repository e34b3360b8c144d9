package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/request/retry"
	"currantladder.example/currantladder/internal/version/fleet"
)

// fill takes all places of a host that is not chosen for a moment, and returns a function
// that frees one of them.
func (setup *testSetup) fill(t *testing.T, except string) (free func()) {
	t.Helper()
	view := setup.core.View.Load()
	service := view.Configuration.Services["service"]
	var last string
	for {
		choice, none := setup.core.Board.Choose(view, place.Query{Service: service, Model: "m", Exclude: []string{except}}, time.Now())
		if none != nil {
			break
		}
		last = choice.Host.ID
	}
	if last == "" {
		t.Fatal("no place was taken")
	}
	return func() { setup.core.Board.Ended(last, place.OutcomeAbandoned, time.Second, time.Now()) }
}

// serveWithFullGroups serves a stream whose first group fails after three events while all
// others are full until the given time after the failure, or for good if it is 0.
func serveWithFullGroups(t *testing.T, setup *testSetup, roomAfter time.Duration) callerResult {
	t.Helper()
	setup.start()
	done := make(chan callerResult)
	go func() { done <- setup.serve(context.Background()) }()
	time.Sleep(testEventInterval) // the first attempt is under way
	free := setup.fill(t, setup.endpoint.sent()[0].HostID)
	if roomAfter > 0 {
		time.AfterFunc(2*testEventInterval+roomAfter, free)
	}
	got := <-done
	time.Sleep(time.Second) // fake hosts end at their next event
	return got
}

// TestBegunStreamWaitsForRoom guards against streams that are cut because no other group
// has room at the moment at which their own fails, although their callers still wait.
func TestBegunStreamWaitsForRoom(t *testing.T) {
	for _, test := range []struct{ silenceTimeout, roomAfter time.Duration }{
		{0, 200 * time.Millisecond}, {0, 700 * time.Millisecond}, {0, 1300 * time.Millisecond}, {2400 * time.Millisecond, 1700 * time.Millisecond}, {4 * time.Second, 3300 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			roomAfter := test.roomAfter
			setup := newTurnSetup(fleet.KindStream, 2, 2, streamEvents(3, testEventInterval, resetConnection), streamEvents(8, testEventInterval, closeStream))
			setup.route.SilenceTimeout = test.silenceTimeout
			got := serveWithFullGroups(t, setup, roomAfter)
			if got.status != http.StatusOK || got.aborted || got.body != eventsText(1, 8) {
				t.Errorf("room after %v: got status %d, aborted %t, want 200 and the whole stream; body:\n%s", roomAfter, got.status, got.aborted, got.body)
			}
		})
	}
}

// TestWaitForRoomEndsAndCostsNoRetry verifies that a stream without room is ended within
// the time after which callers leave, and that the retry that it did not make is free for
// others.
func TestWaitForRoomEndsAndCostsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setup := newTurnSetup(fleet.KindStream, 2, 2, streamEvents(3, testEventInterval, resetConnection))
		started := time.Now()
		got := serveWithFullGroups(t, setup, 0)
		if !got.aborted || got.body != eventsText(1, 3) {
			t.Errorf("got aborted %t, want an incomplete stream; body:\n%s", got.aborted, got.body)
		}
		if limit := 3*testEventInterval + defaultSilenceTimeout - roomWaitMargin + MoveBackoff; got.took > limit {
			t.Errorf("took %v, want at most %v", got.took, limit)
		}
		policy := retry.Policy{RetryShare: 0.2, MaxAttempts: 2, Reserve: 0.8}
		if !setup.core.retries.Allow(retry.Attempt{Rank: "service", Policy: policy, AttemptsMade: 1, Idempotent: true}, time.Now()) {
			t.Errorf("no retry is allowed %v after the first attempt, want the one that was not made", time.Since(started))
		}
	})
}
