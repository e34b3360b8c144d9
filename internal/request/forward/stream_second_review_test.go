package forward

import (
	"net/http"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

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
