package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/request/poison"
	"currantladder.example/currantladder/internal/version/fleet"
)

// TestCrashChecksOfAHostAreBounded verifies when a host is checked after an attempt
// was given up, and that many attempts given up at it cost no more checks.
func TestCrashChecksOfAHostAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		givenUpFor time.Duration
		want       int
	}{
		"one attempt":             {0, 2},
		"attempts for one second": {time.Second, 5},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1e9, 0)
			schedule, checks := crashCheckSchedule{}, 0
			for after := time.Duration(0); after < 3*time.Second; after += 10 * time.Millisecond {
				now := start.Add(after)
				if after <= test.givenUpFor {
					schedule.add(&fleet.Host{ID: "h"}, now)
				}
				if due := len(schedule.due(now)); due > 0 {
					checks += due
					if after < firstCrashCheckDelay {
						t.Errorf("checked after %v, want at least %v", after, firstCrashCheckDelay)
					}
				}
			}
			if checks != test.want {
				t.Errorf("%d checks, want %d", checks, test.want)
			}
			if len(schedule) > 0 {
				t.Errorf("%d hosts are still scheduled", len(schedule))
			}
		})
	}
}

// TestServerErrorDoesNotAcquit guards against a request that crashes hosts and is
// cleared by a host that fails it with a server error of its own.
func TestServerErrorDoesNotAcquit(t *testing.T) {
	for name, test := range map[string]struct {
		status, wantCrashes int
	}{
		"server error": {http.StatusInternalServerError, 1},
		"answer":       {http.StatusOK, 0},
	} {
		t.Run(name, func(t *testing.T) {
			attempts := 0
			setup := newTestSetup(fleet.KindIdempotent, 1, map[string]hostBehavior{"a": func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
				if attempts++; attempts == 1 {
					return loseAnswer(ctx, r, a)
				}
				return answerWith(test.status, "")(ctx, r, a)
			}})
			setup.endpoint.firstGone = true
			serveOnce(t, setup, func(t *testing.T, _ callerResult) {
				setup.serve(context.Background())
				if got := setup.crashesHeldAgainstRequest(); got != test.wantCrashes {
					t.Errorf("%d crashes are held against the request, want %d", got, test.wantCrashes)
				}
			})
		})
	}
}

// crashesHeldAgainstRequest returns the crashes that speak against the request that
// setup.serve sends.
func (setup *testSetup) crashesHeldAgainstRequest() int {
	crashedHosts, _ := setup.core.Poison.Evidence(setup.identity(), time.Now())
	return crashedHosts
}

// identity returns the identity of the request that setup.serve sends.
func (setup *testSetup) identity() poison.Request {
	return poison.Request{Class: "service/m", Whole: poison.RequestTrait("service", http.MethodPost, "example", "/x", "account", "", nil)}
}

// TestCrashAfterGivenUpAttemptIsNoticed guards against hosts that crash just after the
// node gave an attempt up, which blamed nobody.
func TestCrashAfterGivenUpAttemptIsNoticed(t *testing.T) {
	for name, test := range map[string]struct {
		kind                  fleet.Kind
		leaving, unregistered bool
		want                  int
	}{
		"plain":                          {fleet.KindIdempotent, false, false, 1},
		"stream":                         {fleet.KindStream, false, false, 1},
		"plain, registration is gone":    {fleet.KindIdempotent, false, true, 1},
		"plain, said before it would go": {fleet.KindIdempotent, true, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			setup := newTestSetup(test.kind, 2, map[string]hostBehavior{"a": neverAnswer, "b": neverAnswer})
			setup.endpoint.firstGone, setup.leaving, setup.unregistered = true, test.leaving, test.unregistered
			synctest.Test(t, func(t *testing.T) {
				setup.start()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go setup.core.RunCrashChecks(ctx)
				setup.serve(ctx)
				time.Sleep(time.Second)
				if got := setup.crashesHeldAgainstRequest(); got != test.want {
					t.Errorf("%d crashes are held against the request, want %d", got, test.want)
				}
			})
		})
	}
}
