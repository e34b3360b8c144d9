package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/request/coordinate"
	"currantladder.example/currantladder/internal/version/fleet"
)

// fakeCoordinator gives one answer and counts what is in flight.
type fakeCoordinator struct {
	answer  coordinate.Answer
	tracker *coordinate.Tracker
	asks    []coordinate.Ask
}

// Serves implements Coordinator.
func (f *fakeCoordinator) Serves(*fleet.Service) bool { return true }

// Choose implements Coordinator.
func (f *fakeCoordinator) Choose(_ context.Context, key coordinate.Key, ask coordinate.Ask) (coordinate.Answer, func()) {
	f.asks = append(f.asks, ask)
	id := f.tracker.OpenAsk(key)
	return f.answer, func() { f.tracker.CloseAsk(key, id) }
}

// Begin implements Coordinator.
func (f *fakeCoordinator) Begin(key coordinate.Key, host string, promptTokens, tokens int) *coordinate.Use {
	return f.tracker.Begin(key, host, promptTokens, tokens)
}

// TestCoordinatedAttempts verifies that the first attempt goes where the coordinator
// says, that later ones do not wait for it, that a request without room is refused
// before any attempt, and that nothing stays counted after the end, however it comes.
func TestCoordinatedAttempts(t *testing.T) {
	works := streamEvents(8, 40*time.Millisecond, closeStream)
	for _, c := range []struct {
		name     string
		answer   coordinate.Answer
		chosen   hostBehavior
		status   int
		attempts int
	}{
		{"chosen", coordinate.Answer{Host: "b"}, works, http.StatusOK, 1},
		{"chosen host refuses", coordinate.Answer{Host: "b"}, refuseConnection, http.StatusOK, 2},
		{"no choice", coordinate.Answer{}, works, http.StatusOK, 1},
		{"unknown host", coordinate.Answer{Host: "z"}, works, http.StatusOK, 1},
		{"full", coordinate.Answer{Full: true}, works, http.StatusTooManyRequests, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				setup := newTestSetup(fleet.KindStream, 2, map[string]hostBehavior{"a": works, "b": c.chosen, "c": works})
				setup.start()
				coordinator := &fakeCoordinator{answer: c.answer, tracker: coordinate.NewTracker("n", time.Now())}
				setup.core.Coordinator = coordinator
				got, sent := setup.serve(t.Context()), setup.endpoint.sent()
				time.Sleep(time.Second) // fake hosts end at their next event
				if got.status != c.status || len(sent) != c.attempts {
					t.Errorf("got status %d and %d attempts, want %d and %d", got.status, len(sent), c.status, c.attempts)
				}
				if c.answer.Host == "b" && (len(sent) == 0 || sent[0].HostID != "b") {
					t.Errorf("got attempts %+v, want the first at b", sent)
				}
				if len(coordinator.asks) != 1 || coordinator.asks[0].PromptTokens != 100 || coordinator.asks[0].Tokens != 150 {
					t.Errorf("got asks %+v, want one for 100 prompt tokens and 150 in all", coordinator.asks)
				}
				usage := coordinator.tracker.Usage(coordinate.Key{Service: "service", Model: "m"}, time.Now())
				if len(usage.Groups) > 0 || len(usage.Open) > 0 {
					t.Errorf("after the request: got load %v and open asks %v, want none", usage.Groups, usage.Open)
				}
			})
		})
	}
}
