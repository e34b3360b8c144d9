package forward

import (
	"net/http"
	"testing"

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
