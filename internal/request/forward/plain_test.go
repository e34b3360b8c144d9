package forward

import (
	"net/http"
	"testing"

	"currantladder.example/currantladder/internal/version/fleet"
)

// TestFailureOfAHostIsDeliveredWhereNoOtherHasRoom guards against a host's own failure being
// replaced by a refusal of the node.
func TestFailureOfAHostIsDeliveredWhereNoOtherHasRoom(t *testing.T) {
	setup := newTestSetup(fleet.KindIdempotent, 2, map[string]hostBehavior{"a": answerWith(http.StatusInternalServerError, "failed")})
	serveOnce(t, setup, func(t *testing.T, got callerResult) {
		if got.status != http.StatusInternalServerError || got.body != "failed" {
			t.Errorf("got %d %q, want 500 failed", got.status, got.body)
		}
	})
}
