package callerapi

import (
	"context"
	"net/http"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// lastSample is an Observer that stores the last sample.
type lastSample struct{ sample Sample }

func (l *lastSample) Observe(s Sample) { l.sample = s }

// TestOutcomeOfClosedConnection verifies that a caller that closed the connection
// has another outcome than one whose deadline passed or that was refused.
func TestOutcomeOfClosedConnection(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	expired, cancelExpired := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancelExpired()
	for name, c := range map[string]struct {
		ctx    context.Context
		want   Outcome
		waited bool
	}{
		"caller left": {canceled, OutcomeCallerLeft, true},
		"deadline":    {expired, OutcomeRefused, false},
		"refused":     {t.Context(), OutcomeRefused, false},
	} {
		observed := &lastSample{}
		s := &Server{deps: Deps{Observer: observed}}
		current := &callerRequest{received: time.Now().Add(-time.Second)}
		s.observeRefusal(c.ctx, current, refusal.New(refusal.KindDeadline, http.StatusServiceUnavailable, "too late"))
		if got := observed.sample; got.Outcome != c.want || (got.Waited >= time.Second) != c.waited {
			t.Errorf("%s: got outcome %s with waiting time %s, want %s", name, got.Outcome, got.Waited, c.want)
		}
	}
}
