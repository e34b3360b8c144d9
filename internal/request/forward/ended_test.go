package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/fleet"
)

// TestSentStreamIsNotRefusedAsNotRunAtItsDeadline guards against a 503, the promise that
// a request did not run, for a stream whose endpoint has not replied in time.
func TestSentStreamIsNotRefusedAsNotRunAtItsDeadline(t *testing.T) {
	setup := newTestSetup(fleet.KindStream, 1, map[string]hostBehavior{"a": neverAnswer})
	setup.route.Resumable = false
	serveOnce(t, setup, func(t *testing.T, got callerResult) {
		if got.status != http.StatusGatewayTimeout {
			t.Errorf("got status %d, want 504", got.status)
		}
	})
}

// nodeStopping is the cause with which a node ends the context of its requests.
var nodeStopping = refusal.New(refusal.KindNodeStopping, http.StatusServiceUnavailable, "stopping")

// holdConnection waits for a connection until ctx ends, so that no byte was sent.
func holdConnection(ctx context.Context, r *Request, a Attempt) (*Reply, error) {
	<-ctx.Done()
	return refuseConnection(ctx, r, a)
}

// TestEndOfNodeAnswersTruthfully guards against a request that the end of its node leaves
// without an answer, or whose refusal claims that it did not run although it may have.
func TestEndOfNodeAnswersTruthfully(t *testing.T) {
	for name, test := range map[string]struct {
		kind     fleet.Kind
		behavior hostBehavior
		want     int
	}{
		"plain, sent":              {fleet.KindNonIdempotent, neverAnswer, http.StatusGatewayTimeout},
		"plain, not sent":          {fleet.KindNonIdempotent, holdConnection, http.StatusServiceUnavailable},
		"idempotent, both sent":    {fleet.KindIdempotent, neverAnswer, http.StatusGatewayTimeout},
		"idempotent, none sent":    {fleet.KindIdempotent, holdConnection, http.StatusServiceUnavailable},
		"stream, sent":             {fleet.KindStream, neverAnswer, http.StatusGatewayTimeout},
		"stream, first event late": {fleet.KindStream, streamEvents(1, 5*time.Second, closeStream), http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				setup := newTestSetup(test.kind, 2, map[string]hostBehavior{"a": test.behavior, "b": test.behavior})
				setup.start()
				ctx, end := context.WithCancelCause(context.Background())
				time.AfterFunc(2*time.Second, func() { end(nodeStopping) })
				got := setup.serve(ctx)
				if got.status != test.want || got.aborted || got.took != 2*time.Second {
					t.Errorf("got status %d after %v, aborted: %t; want %d at the end of the node", got.status, got.took, got.aborted, test.want)
				}
				time.Sleep(10 * time.Second) // fake hosts end at their next event
			})
		})
	}
}

// TestAttemptsGetNoMoreTimeThanTheNodeHas guards against endpoints that work on requests
// whose node will have ended.
func TestAttemptsGetNoMoreTimeThanTheNodeHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setup := newTestSetup(fleet.KindNonIdempotent, 1, map[string]hostBehavior{"a": answerWith(http.StatusOK, "yes")})
		setup.start()
		end := time.Now().Add(3 * time.Second)
		setup.core.RequestsEnd = func() time.Time { return end }
		setup.serve(context.Background())
		if left := setup.endpoint.sent()[0].TimeLeft; left != 3*time.Second {
			t.Errorf("got an attempt with %v left, want 3 s", left)
		}
	})
}

// TestRequestThatBecomesWholeTooLateIsNotSent guards against a node that admits a request
// by the time of its head and passes it on when its body is whole.
func TestRequestThatBecomesWholeTooLateIsNotSent(t *testing.T) {
	setup := newTestSetup(fleet.KindNonIdempotent, 1, map[string]hostBehavior{"a": answerWith(http.StatusOK, "yes")})
	setup.start()
	setup.core.Admit = func() *refusal.Error { return nodeStopping }
	got := setup.serve(context.Background())
	if got.status != http.StatusServiceUnavailable || len(setup.endpoint.sent()) != 0 {
		t.Errorf("got status %d and %d attempts, want 503 and none", got.status, len(setup.endpoint.sent()))
	}
}
