package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// endsWithConnection makes the answers of a host end with their connection.
func endsWithConnection(behavior hostBehavior) hostBehavior {
	return func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
		reply, err := behavior(ctx, r, a)
		if err == nil {
			reply.EndsWithConnection = true
		}
		return reply, err
	}
}

// firstThen returns a behavior that is first for the first attempt at any host and
// rest for the others.
func firstThen(first, rest hostBehavior) hostBehavior {
	var once sync.Once
	return func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
		chosen := rest
		once.Do(func() { chosen = first })
		return chosen(ctx, r, a)
	}
}

// TestStreamCutAtItsConnection guards against a stream that ends with its connection
// and that a crash cut between two events being passed on as whole.
func TestStreamCutAtItsConnection(t *testing.T) {
	whole := endsWithConnection(streamEvents(8, 40*time.Millisecond, closeStream))
	for name, test := range map[string]struct {
		first        hostBehavior
		crashes      bool
		leaving      bool
		wantAttempts int
	}{
		"whole":                          {whole, false, false, 1},
		"whole from a leaving host":      {whole, true, true, 1},
		"whole from an unregistered one": {whole, true, false, 1},
		"crash between two events":       {endsWithConnection(streamEvents(3, 40*time.Millisecond, closeStream)), true, false, 2},
		"reset between two events":       {endsWithConnection(streamEvents(3, 40*time.Millisecond, resetConnection)), false, false, 2},
		"end in an event":                {endsWithConnection(streamEvents(3, 40*time.Millisecond, truncateEvent)), false, false, 2},
		"end before the first event":     {endsWithConnection(streamEvents(0, 0, closeStream)), false, false, 2},
		"crash before the first event":   {endsWithConnection(streamEvents(0, 0, closeStream)), true, false, 2},
		"reset before the first event":   {endsWithConnection(streamEvents(0, 0, resetConnection)), false, false, 2},
		"connection lost without answer": {loseAnswer, true, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			behavior := firstThen(test.first, whole)
			setup := newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": behavior, "b": behavior})
			setup.endpoint.firstGone, setup.leaving, setup.unregistered = test.crashes, test.leaving, name == "whole from an unregistered one"
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if got.status != http.StatusOK || got.body != eventsText(1, 8) || got.aborted {
					t.Errorf("got status %d, aborted %t, want 200 with all events; body:\n%s", got.status, got.aborted, got.body)
				}
				if n := len(setup.endpoint.sent()); n != test.wantAttempts {
					t.Errorf("got %d attempts, want %d", n, test.wantAttempts)
				}
			})
		})
	}
}

// TestStreamOfAHostThatLeftIsConfirmed guards against a part of a stream that looks
// complete: a host that was about to leave ended in the middle of a stream that has neither
// a length nor chunks. Whether it is complete shows at another host.
func TestStreamOfAHostThatLeftIsConfirmed(t *testing.T) {
	framed := streamEvents(8, 40*time.Millisecond, closeStream)
	refuses := func(ctx context.Context, r *Request, a Attempt) (*Reply, error) { return declareNotRun(ctx, r, a) }
	for name, test := range map[string]struct {
		events       int
		gone         bool
		rest         hostBehavior
		wantAborted  bool
		wantAttempts int
	}{
		"cut":                              {5, true, framed, false, 2},
		"cut, the rest has no length":      {5, true, endsWithConnection(framed), false, 2},
		"whole":                            {8, true, framed, false, 2},
		"whole, the rest has no length":    {8, true, endsWithConnection(framed), false, 2},
		"cut, the other host refuses":      {5, true, refuses, true, 2},
		"cut, the other host loses it":     {5, true, loseAnswer, true, 2},
		"whole, the host has not yet gone": {8, false, framed, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			behavior := firstThen(endsWithConnection(streamEvents(test.events, 40*time.Millisecond, closeStream)), test.rest)
			setup := newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": behavior, "b": behavior})
			setup.endpoint.firstGone, setup.firstLeaves = test.gone, true
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if got.aborted != test.wantAborted || !test.wantAborted && got.body != eventsText(1, 8) {
					t.Errorf("got aborted %t, want %t; body:\n%s", got.aborted, test.wantAborted, got.body)
				}
				if n := len(setup.endpoint.sent()); n != test.wantAttempts {
					t.Errorf("got %d attempts, want %d", n, test.wantAttempts)
				}
			})
		})
	}
}

// TestHostThatIsEndingCountsAsGone guards against a part of a stream that looks complete
// because its host has closed the connection and not yet its listener.
func TestHostThatIsEndingCountsAsGone(t *testing.T) {
	setup := newTurnSetup(fleet.KindStream, 2, 2, endsWithConnection(streamEvents(3, testEventInterval, closeStream)), streamEvents(8, testEventInterval, closeStream))
	setup.endpoint.firstGone, setup.endpoint.aliveFor, setup.firstLeaves = true, 1, true
	serveOnce(t, setup, func(t *testing.T, got callerResult) {
		if got.aborted || got.body != eventsText(1, 8) {
			t.Errorf("got aborted %t, want the whole stream; body:\n%s", got.aborted, got.body)
		}
	})
}

// TestDoubtfulEndWaitsForRoom guards against a part of a stream that looks complete because
// no other host has room at the moment at which its own has left.
func TestDoubtfulEndWaitsForRoom(t *testing.T) {
	for roomAfter, wantAborted := range map[time.Duration]bool{500 * time.Millisecond: false, 0: true} {
		synctest.Test(t, func(t *testing.T) {
			setup := newTurnSetup(fleet.KindStream, 2, 2, endsWithConnection(streamEvents(3, testEventInterval, closeStream)), streamEvents(8, testEventInterval, closeStream))
			setup.endpoint.firstGone, setup.firstLeaves = true, true
			got := serveWithFullGroups(t, setup, roomAfter)
			if got.aborted != wantAborted || !wantAborted && got.body != eventsText(1, 8) {
				t.Errorf("room after %v: got aborted %t, want %t; body:\n%s", roomAfter, got.aborted, wantAborted, got.body)
			}
		})
	}
}

// TestCutStreamThatMayNotBeResumed verifies that a cut stream never looks whole where
// no second attempt is allowed.
func TestCutStreamThatMayNotBeResumed(t *testing.T) {
	for name, test := range map[string]struct {
		events  int
		end     func(*io.PipeWriter)
		crashes bool
	}{
		"crash between two events": {3, closeStream, true}, "end in an event": {3, truncateEvent, false},
		"end before the first event": {0, closeStream, false}, "reset": {3, resetConnection, false},
	} {
		t.Run(name, func(t *testing.T) {
			setup := newTestSetup(fleet.KindStream, 1, map[string]hostBehavior{"a": endsWithConnection(streamEvents(test.events, 40*time.Millisecond, test.end))})
			setup.endpoint.firstGone = test.crashes
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if test.events == 0 && got.status != http.StatusBadGateway {
					t.Errorf("got status %d, want 502", got.status)
				}
				if test.events > 0 && !got.aborted {
					t.Error("the stream ended as if it were whole, want it aborted")
				}
			})
		})
	}
}

// TestPlainAnswerCutAtItsConnection guards against a part of a body being passed on as
// the whole answer, and against a whole one being lost.
func TestPlainAnswerCutAtItsConnection(t *testing.T) {
	resets := func(context.Context, *Request, Attempt) (*Reply, error) {
		return verifiedReply(http.StatusOK, io.NopCloser(io.MultiReader(strings.NewReader("ye"), errReader{errors.New("connection reset")}))), nil
	}
	for name, test := range map[string]struct {
		kind       fleet.Kind
		behavior   hostBehavior
		crashes    bool
		wantStatus int
	}{
		"whole":                  {fleet.KindNonIdempotent, answerWith(http.StatusOK, "yes"), false, http.StatusOK},
		"reset":                  {fleet.KindNonIdempotent, resets, false, http.StatusBadGateway},
		"crash":                  {fleet.KindNonIdempotent, answerWith(http.StatusOK, "ye"), true, http.StatusBadGateway},
		"crash, may be repeated": {fleet.KindIdempotent, firstThen(endsWithConnection(answerWith(http.StatusOK, "ye")), answerWith(http.StatusOK, "yes")), true, http.StatusOK},
		"reset, may be repeated": {fleet.KindIdempotent, firstThen(endsWithConnection(resets), answerWith(http.StatusOK, "yes")), false, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			behavior := test.behavior
			if test.kind == fleet.KindNonIdempotent {
				behavior = endsWithConnection(behavior)
			}
			setup := newTestSetup(test.kind, 2, map[string]hostBehavior{"a": behavior, "b": behavior})
			setup.endpoint.firstGone = test.crashes
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if got.status != test.wantStatus || got.status == http.StatusOK && got.body != "yes" {
					t.Errorf("got %d %q, want %d with the whole body", got.status, got.body, test.wantStatus)
				}
			})
		})
	}
}

// TestPlainAnswerOfAHostThatLeft guards against a part of a body that looks complete, as
// in TestStreamOfAHostThatLeftIsConfirmed. Where the request may be repeated, another host
// answers; elsewhere a complete answer must not be lost.
func TestPlainAnswerOfAHostThatLeft(t *testing.T) {
	late := func(text string) hostBehavior {
		return endsWithConnection(func(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
			time.Sleep(120 * time.Millisecond) // the host leaves meanwhile
			return answerWith(http.StatusOK, text)(ctx, r, a)
		})
	}
	for name, test := range map[string]struct {
		kind         fleet.Kind
		first, rest  hostBehavior
		want         string
		wantAttempts int
	}{
		"cut, may be repeated":      {fleet.KindIdempotent, late("ye"), answerWith(http.StatusOK, "yes"), "yes", 2},
		"whole, the other fails":    {fleet.KindIdempotent, late("yes"), loseAnswer, "yes", 2},
		"whole, the other refuses":  {fleet.KindIdempotent, late("yes"), declareNotRun, "yes", 2},
		"whole, not to be repeated": {fleet.KindNonIdempotent, late("yes"), loseAnswer, "yes", 1},
	} {
		t.Run(name, func(t *testing.T) {
			behavior := firstThen(test.first, test.rest)
			setup := newTestSetup(test.kind, 2, map[string]hostBehavior{"a": behavior, "b": behavior})
			setup.endpoint.firstGone, setup.firstLeaves = true, true
			serveOnce(t, setup, func(t *testing.T, got callerResult) {
				if got.status != http.StatusOK || got.body != test.want {
					t.Errorf("got %d %q, want 200 %q", got.status, got.body, test.want)
				}
				if n := len(setup.endpoint.sent()); n != test.wantAttempts {
					t.Errorf("got %d attempts, want %d", n, test.wantAttempts)
				}
			})
		})
	}
}

// errReader is a body that cannot be read.
type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }
