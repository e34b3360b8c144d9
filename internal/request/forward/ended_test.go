package forward

import (
	"context"
	"net/http"
	"testing"

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
