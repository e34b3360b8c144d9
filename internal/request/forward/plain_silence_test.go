package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/place"
	"currantladder.example/currantladder/internal/version/fleet"
)

// testAttemptTimeout is the attempt timeout of the routes of newTestSetup.
const testAttemptTimeout = 150 * time.Millisecond

// silentFirst is silent for a while before it behaves as the given host.
func silentFirst(silence time.Duration, behavior hostBehavior) hostBehavior {
	return func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
		select {
		case <-time.After(silence):
			return behavior(ctx, r, a)
		case <-ctx.Done():
			return nil, &endpoint.CallError{Address: a.Address, MaybeSent: true, Err: ctx.Err()}
		}
	}
}

// pausesIn answers with the given text, piece by piece, and is silent before each of
// its pieces.
func pausesIn(text string, pauses ...time.Duration) hostBehavior {
	return func(ctx context.Context, _ *Request, _ Attempt) (*Reply, error) {
		reader, writer := io.Pipe()
		context.AfterFunc(ctx, func() { reader.CloseWithError(ctx.Err()) })
		go func() {
			size := len(text) / len(pauses)
			for i, pause := range pauses {
				time.Sleep(pause)
				piece := text[i*size:]
				if i < len(pauses)-1 {
					piece = piece[:size]
				}
				if _, err := io.WriteString(writer, piece); err != nil {
					return
				}
			}
			writer.Close()
		}()
		return verifiedReply(http.StatusOK, reader), nil
	}
}

// inTurn returns a behavior that is behaviors[n] for the attempt n at any host, and the
// last one for all further attempts.
func inTurn(behaviors ...hostBehavior) hostBehavior {
	var attempts atomic.Int64
	return func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
		n := min(int(attempts.Add(1)), len(behaviors))
		return behaviors[n-1](ctx, r, a)
	}
}

// newTurnSetup returns a setup with the given number of hosts, whose attempts behave as
// in inTurn.
func newTurnSetup(kind fleet.Kind, attempts, hosts int, behaviors ...hostBehavior) *testSetup {
	behavior, byHost := inTurn(behaviors...), map[string]hostBehavior{}
	for n := range hosts {
		byHost[fmt.Sprint(n)] = behavior
	}
	return newTestSetup(kind, attempts, byHost)
}

// checkEnded verifies that nothing of a request is left.
func (setup *testSetup) checkEnded(t *testing.T, wantAttempts int) {
	t.Helper()
	if n := len(setup.endpoint.sent()); n != wantAttempts {
		t.Errorf("got %d attempts, want %d", n, wantAttempts)
	}
	if inFlight := setup.core.Board.InFlight(); len(inFlight) != 0 {
		t.Errorf("got requests in flight %v after the end, want none", inFlight)
	}
}

// TestSilentHostAnswersWhereTheOtherAttemptFails guards against a request that ends with a
// refusal although its first host, silent for a while, would have answered it.
func TestSilentHostAnswersWhereTheOtherAttemptFails(t *testing.T) {
	for name, second := range map[string]hostBehavior{
		"refuses the connection": refuseConnection,
		"declares not run":       declareNotRun,
		"loses the answer":       loseAnswer,
		"loses it later":         silentFirst(200*time.Millisecond, loseAnswer),
		"answers 503":            answerWith(http.StatusServiceUnavailable, "full"),
		"answers 500":            answerWith(http.StatusInternalServerError, "failed"),
		"is silent":              neverAnswer,
		"is slower":              silentFirst(2*time.Second, answerWith(http.StatusOK, "second")),
		"gives no proof": func(context.Context, *Request, Attempt) (*Reply, error) {
			return &Reply{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("forged"))}, nil
		},
		"panics": func(context.Context, *Request, Attempt) (*Reply, error) { panic("unexpected") },
	} {
		for _, silence := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(name, ", ", silence), func(t *testing.T) {
				setup := newTurnSetup(fleet.KindIdempotent, 2, 2, silentFirst(silence, answerWith(http.StatusOK, "first")), second)
				serveOnce(t, setup, func(t *testing.T, got callerResult) {
					if got.status != http.StatusOK || got.body != "first" || got.took != silence {
						t.Errorf("got %d %q after %v, want 200 first after %v", got.status, got.body, got.took, silence)
					}
					setup.checkEnded(t, 2)
				})
			})
		}
	}
}

// TestSilentHostAnswersWithoutAnotherAttempt guards against a request that is refused
// because no further attempt is possible while its only one is alive.
func TestSilentHostAnswersWithoutAnotherAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		kind                   fleet.Kind
		attempts, hosts        int
		budgetSpent, suspected bool
	}{
		"one attempt":              {fleet.KindIdempotent, 1, 2, false, false},
		"no other host":            {fleet.KindIdempotent, 2, 1, false, false},
		"retry budget is spent":    {fleet.KindIdempotent, 2, 2, true, false},
		"suspected of crashes":     {fleet.KindIdempotent, 2, 2, false, true},
		"may not be repeated":      {fleet.KindNonIdempotent, 2, 2, false, false},
		"one, may not be repeated": {fleet.KindNonIdempotent, 1, 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silence := 4900 * time.Millisecond
				setup := newTurnSetup(test.kind, test.attempts, test.hosts, silentFirst(silence, answerWith(http.StatusOK, "first")))
				setup.start()
				if test.budgetSpent {
					setup.core.Budget = Budget{Slack: 0.1}
				}
				if test.suspected {
					identity := setup.identity()
					for n := range 2 {
						setup.core.Poison.Lost(identity, fmt.Sprint("crashed ", n), time.Now())
					}
				}
				got := setup.serve(context.Background())
				if got.status != http.StatusOK || got.body != "first" || got.took != silence {
					t.Errorf("got %d %q after %v, want 200 first after %v", got.status, got.body, got.took, silence)
				}
				setup.checkEnded(t, 1)
			})
		})
	}
}

// TestAnswerWithSeveralSilencesIsWhole guards against an answer being cut by one of the
// silences in it, also where both hosts are silent.
func TestAnswerWithSeveralSilencesIsWhole(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		kind          fleet.Kind
		first, second hostBehavior
		want          string
		wantAttempts  int
	}{
		"may not be repeated": {fleet.KindNonIdempotent, pausesIn("first", 2000*ms, 1200*ms, 300*ms, 1400*ms), nil, "first", 1},
		"second fails":        {fleet.KindIdempotent, pausesIn("first", 1200*ms, 2000*ms, 600*ms), loseAnswer, "first", 2},
		"second is silent":    {fleet.KindIdempotent, pausesIn("first", 1200*ms, 2000*ms, 600*ms), neverAnswer, "first", 2},
		"both, first wins":    {fleet.KindIdempotent, pausesIn("first", 2000*ms, 1900*ms), pausesIn("second", 1300*ms, 1200*ms, 2000*ms), "first", 2},
		"both, second wins":   {fleet.KindIdempotent, pausesIn("first", 2000*ms, 2000*ms, 900*ms), pausesIn("second", 1300*ms, 1200*ms, 2000*ms), "second", 2},
	} {
		t.Run(name, func(t *testing.T) {
			setup := newTurnSetup(test.kind, 2, 2, test.first, test.second)
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if got.status != http.StatusOK || got.body != test.want {
					t.Errorf("got %d %q, want 200 %s", got.status, got.body, test.want)
				}
				time.Sleep(5 * time.Second) // the other fake host ends at its next piece
				setup.checkEnded(t, test.wantAttempts)
			})
		})
	}
}

// TestFasterAttemptEndsTheOther verifies that the first whole answer is delivered at once,
// and that the host of the other attempt is released then.
func TestFasterAttemptEndsTheOther(t *testing.T) {
	released := make(chan time.Duration, 1)
	setup := newTurnSetup(fleet.KindIdempotent, 2, 2, func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
		started := time.Now()
		context.AfterFunc(ctx, func() { released <- time.Since(started) })
		return neverAnswer(ctx, r, a)
	}, silentFirst(400*time.Millisecond, answerWith(http.StatusOK, "second")))
	setup.endpoint.firstGone = true
	synctest.Test(t, func(t *testing.T) {
		setup.start()
		ctx, cancel := context.WithCancel(context.Background())
		go setup.core.RunCrashChecks(ctx)
		defer cancel()
		got := setup.serve(ctx)
		setup.checkEnded(t, 2)
		time.Sleep(time.Second)
		want := testAttemptTimeout + 400*time.Millisecond
		if got.status != http.StatusOK || got.body != "second" || got.took != want {
			t.Errorf("got %d %q after %v, want 200 second after %v", got.status, got.body, got.took, want)
		}
		if got := <-released; got != want {
			t.Errorf("the other attempt ended after %v, want %v", got, want)
		}
		if n := setup.crashesHeldAgainstRequest(); n != 1 {
			t.Errorf("%d crashes after an attempt was given up are held against the request, want 1", n)
		}
	})
}

// TestCrashOfASilentHostIsNoticedBesideAnotherAttempt verifies that a host that crashes under
// the first attempt is held against the request while the second one runs.
func TestCrashOfASilentHostIsNoticedBesideAnotherAttempt(t *testing.T) {
	setup := newTurnSetup(fleet.KindIdempotent, 2, 2, silentFirst(time.Second, loseAnswer), neverAnswer)
	setup.endpoint.firstGone = true
	serveOnce(t, setup, func(t *testing.T, got callerResult) {
		if got.status != http.StatusGatewayTimeout {
			t.Errorf("got status %d, want 504", got.status)
		}
		if n := setup.crashesHeldAgainstRequest(); n != 1 {
			t.Errorf("%d crashes are held against the request, want 1", n)
		}
		setup.checkEnded(t, 2)
	})
}

// TestSilentHostGetsNoOtherRequests verifies that a host that was silent for the attempt
// timeout is avoided while its attempt goes on.
func TestSilentHostGetsNoOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setup := newTurnSetup(fleet.KindIdempotent, 2, 2, neverAnswer, silentFirst(time.Second, answerWith(http.StatusOK, "second")), answerWith(http.StatusOK, ""))
		setup.start()
		first := make(chan callerResult)
		go func() { first <- setup.serve(context.Background()) }()
		time.Sleep(testAttemptTimeout + 50*time.Millisecond)
		for range 20 {
			setup.serve(context.Background())
		}
		if got := <-first; got.body != "second" {
			t.Errorf("got %d %q, want 200 second", got.status, got.body)
		}
		sent := setup.endpoint.sent()
		for _, a := range sent[1:] {
			if a.HostID == sent[0].HostID {
				t.Fatalf("a request was sent to the silent host %s, want the other host", a.HostID)
			}
		}
		setup.checkEnded(t, 22)
	})
}

// TestEachAttemptIsReleasedOnce guards against attempts that are counted at their host after
// their end, or subtracted twice.
func TestEachAttemptIsReleasedOnce(t *testing.T) {
	sound := answerWith(http.StatusOK, "")
	for name, behaviors := range map[string][]hostBehavior{
		"first wins":      {silentFirst(time.Second, sound), neverAnswer},
		"second wins":     {neverAnswer, sound},
		"both at once":    {silentFirst(time.Second, sound), silentFirst(time.Second-testAttemptTimeout, sound)},
		"none":            {neverAnswer, neverAnswer},
		"unreached hosts": {neverAnswer, refuseConnection, refuseConnection, refuseConnection},
		"failures":        {silentFirst(time.Second, loseAnswer), answerWith(http.StatusInternalServerError, "")},
	} {
		for _, leavesAfter := range []time.Duration{testAttemptTimeout / 2, 2 * testAttemptTimeout, time.Minute} {
			t.Run(fmt.Sprint(name, ", caller leaves after ", leavesAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					setup := newTurnSetup(fleet.KindIdempotent, 2, 6, behaviors...)
					setup.start()
					for _, id := range setup.hosts {
						setup.core.Board.Started(id) // another request
					}
					ctx, cancel := context.WithTimeoutCause(context.Background(), leavesAfter, context.Canceled)
					defer cancel()
					setup.serve(ctx)
					for id, n := range setup.core.Board.InFlight() {
						if n != 1 {
							t.Errorf("host %s: got %d requests in flight, want 1", id, n)
						}
					}
					if n := len(setup.core.Board.InFlight()); n != len(setup.hosts) {
						t.Errorf("got requests in flight at %d hosts, want %d", n, len(setup.hosts))
					}
				})
			})
		}
	}
}

// TestCallerThatLeavesEndsAllAttempts verifies that no host works on for a caller that
// left, and that none gets its request afterwards.
func TestCallerThatLeavesEndsAllAttempts(t *testing.T) {
	for attempts, leavesAfter := range map[int]time.Duration{1: testAttemptTimeout / 2, 2: 4 * testAttemptTimeout} {
		synctest.Test(t, func(t *testing.T) {
			ended := make(chan time.Time, attempts)
			setup := newTurnSetup(fleet.KindIdempotent, 2, 3, func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
				context.AfterFunc(ctx, func() { ended <- time.Now() })
				return neverAnswer(ctx, r, a)
			})
			setup.start()
			ctx, cancel := context.WithCancel(context.Background())
			var left time.Time
			time.AfterFunc(leavesAfter, func() { left = time.Now(); cancel() })
			setup.serve(ctx)
			for range attempts {
				if took := (<-ended).Sub(left); took > 500*time.Millisecond {
					t.Errorf("an attempt ended %v after the caller left, want at most 500ms", took)
				}
			}
			setup.checkEnded(t, attempts)
		})
	}
}

// TestFailedAttemptsGiveTheBestAnswer verifies what the caller gets when all attempts of
// an idempotent request have failed, and when.
func TestFailedAttemptsGiveTheBestAnswer(t *testing.T) {
	failed := answerWith(http.StatusInternalServerError, "failed")
	for name, test := range map[string]struct {
		hosts         int
		first, second hostBehavior
		wantStatus    int
		wantBody      string
		wantTook      time.Duration
	}{
		"failure, then lost later":    {2, silentFirst(time.Second, loseAnswer), failed, http.StatusInternalServerError, "failed", time.Second},
		"lost, then failure later":    {2, silentFirst(time.Second, failed), loseAnswer, http.StatusInternalServerError, "failed", time.Second},
		"failure beside a silent one": {2, neverAnswer, failed, http.StatusInternalServerError, "failed", 5 * time.Second},
		"failure and no other host":   {1, failed, nil, http.StatusInternalServerError, "failed", 0},
		"both are lost":               {2, silentFirst(time.Second, loseAnswer), loseAnswer, http.StatusBadGateway, "", time.Second},
		"lost and not run":            {2, silentFirst(time.Second, loseAnswer), declareNotRun, http.StatusBadGateway, "", time.Second},
		"both did not run it":         {2, silentFirst(time.Second, declareNotRun), declareNotRun, http.StatusServiceUnavailable, "", time.Second},
		"not run and not reached":     {2, silentFirst(time.Second, declareNotRun), refuseConnection, http.StatusServiceUnavailable, "", time.Second},
		"lost beside a silent one":    {2, neverAnswer, loseAnswer, http.StatusGatewayTimeout, "", 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			setup := newTurnSetup(fleet.KindIdempotent, 2, test.hosts, test.first, test.second)
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if got.status != test.wantStatus || got.body != test.wantBody || got.took != test.wantTook {
					t.Errorf("got %d %q after %v, want %d %q after %v", got.status, got.body, got.took, test.wantStatus, test.wantBody, test.wantTook)
				}
				setup.checkEnded(t, test.hosts)
			})
		})
	}
}

// TestSilenceStartsNoMoreAttemptsThanAllowed verifies that silent hosts use up no more
// than the route's attempts.
func TestSilenceStartsNoMoreAttemptsThanAllowed(t *testing.T) {
	for attempts := 1; attempts <= 4; attempts++ {
		setup := newTurnSetup(fleet.KindIdempotent, attempts, 6, neverAnswer)
		serveOnce(t, setup, func(t *testing.T, got callerResult) {
			if got.status != http.StatusGatewayTimeout || got.took != 5*time.Second {
				t.Errorf("got %d after %v, want 504 after the caller's 5s", got.status, got.took)
			}
			setup.checkEnded(t, attempts)
		})
	}
}

// TestThirdAttemptWaitsForOneThatMayAnswerSoon verifies when a third attempt is begun after
// the failure of one of two.
func TestThirdAttemptWaitsForOneThatMayAnswerSoon(t *testing.T) {
	third := answerWith(http.StatusOK, "third")
	for name, test := range map[string]struct {
		first, second hostBehavior
		want          time.Duration
	}{
		"first is silent":                  {neverAnswer, loseAnswer, testAttemptTimeout},
		"second may answer soon":           {silentFirst(testAttemptTimeout+50*time.Millisecond, loseAnswer), neverAnswer, 2 * testAttemptTimeout},
		"second is silent, too":            {silentFirst(2*testAttemptTimeout+50*time.Millisecond, loseAnswer), neverAnswer, 2 * testAttemptTimeout},
		"second failed within its attempt": {neverAnswer, silentFirst(50*time.Millisecond, loseAnswer), testAttemptTimeout + 50*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			setup := newTurnSetup(fleet.KindIdempotent, 3, 4, test.first, test.second, third)
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if got.body != "third" || got.took != test.want {
					t.Errorf("got %d %q after %v, want 200 third after %v", got.status, got.body, got.took, test.want)
				}
				setup.checkEnded(t, 3)
			})
		})
	}
}

// TestSecondAttemptBeginsOnceItIsPossible guards against a request that waits for a dead host
// because no other attempt was possible at the attempt timeout.
func TestSecondAttemptBeginsOnceItIsPossible(t *testing.T) {
	const others = 30
	for name, test := range map[string]struct {
		prepare, change func(core *Core)
	}{
		"no room": {
			func(core *Core) {
				core.Budget = Budget{Slack: 1.5} // one retry
				for range others {
					core.Board.Started("other")
				}
			},
			func(core *Core) {
				for range others {
					core.Board.Ended("other", place.OutcomeAnswered, 0, time.Now())
				}
			},
		},
		"retry budget is spent": {
			func(core *Core) { core.Budget = Budget{Ratio: 0.2, Slack: 0.1} },
			func(core *Core) {
				for range others {
					core.retries.RecordFirstAttempt("service", time.Now())
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				setup := newTestSetup(fleet.KindIdempotent, 2, map[string]hostBehavior{"dead": neverAnswer, "other": answerWith(http.StatusOK, "yes")})
				setup.start()
				for range others / 10 {
					setup.core.Board.Started("other") // the first attempt goes to the dead host
				}
				test.prepare(setup.core)
				time.AfterFunc(2*testAttemptTimeout+50*time.Millisecond, func() { test.change(setup.core) })
				if got := setup.serve(context.Background()); got.body != "yes" || got.took != 3*testAttemptTimeout {
					t.Errorf("got %d %q after %v, want 200 yes after %v", got.status, got.body, got.took, 3*testAttemptTimeout)
				}
				if n := len(setup.endpoint.sent()); n != 2 {
					t.Errorf("got %d attempts, want 2", n)
				}
			})
		})
	}
}

// TestUnreachedHostsDoNotUseUpTheOtherAttempt verifies that a second attempt that reaches
// no host goes on to another one, beside the first.
func TestUnreachedHostsDoNotUseUpTheOtherAttempt(t *testing.T) {
	setup := newTurnSetup(fleet.KindIdempotent, 2, 6, neverAnswer, refuseConnection, refuseConnection, answerWith(http.StatusOK, "fourth"))
	serveOnce(t, setup, func(t *testing.T, got callerResult) {
		if got.body != "fourth" || got.took != testAttemptTimeout {
			t.Errorf("got %d %q after %v, want 200 fourth after %v", got.status, got.body, got.took, testAttemptTimeout)
		}
		setup.checkEnded(t, maxUnreachedHosts)
	})
}

// TestAttemptThatReachedNoHostCostsNoRetry guards against attempts that were never sent using
// up the retry budget, or being replaced beside one that was just sent.
func TestAttemptThatReachedNoHostCostsNoRetry(t *testing.T) {
	late := silentFirst(testAttemptTimeout+10*time.Millisecond, answerWith(http.StatusOK, "late"))
	slowDial := silentFirst(testAttemptTimeout+100*time.Millisecond, refuseConnection)
	for name, test := range map[string]struct {
		hosts     int
		behaviors []hostBehavior
	}{
		"second attempt":               {2, []hostBehavior{late, refuseConnection, late, neverAnswer, late}},
		"first attempt, after a while": {3, []hostBehavior{slowDial, late, late, neverAnswer, late}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				setup := newTurnSetup(fleet.KindIdempotent, 2, test.hosts, test.behaviors...)
				setup.start()
				setup.core.Budget = Budget{Slack: 1.5} // one retry
				for n, wantAttempts := range []int{2, 4, 5} {
					if got := setup.serve(context.Background()); got.body != "late" {
						t.Errorf("request %d: got %d %q, want 200 late", n+1, got.status, got.body)
					}
					setup.checkEnded(t, wantAttempts)
				}
			})
		})
	}
}
