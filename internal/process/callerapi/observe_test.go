package callerapi

import (
	"context"
	"net/http"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/request/refusal"
)

// lastSample keeps the last sample that was observed.
type lastSample struct{ sample Sample }

func (l *lastSample) Observe(s Sample) { l.sample = s }

// TestCallerThatLeft checks that a caller who closed the connection is told
// apart from one whose deadline passed and from one who was refused.
func TestCallerThatLeft(t *testing.T) {
	left, leave := context.WithCancel(t.Context())
	leave()
	late, end := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer end()
	for name, c := range map[string]struct {
		ctx    context.Context
		want   Outcome
		waited bool
	}{
		"left":     {left, OutcomeLeft, true},
		"deadline": {late, OutcomeRefused, false},
		"refused":  {t.Context(), OutcomeRefused, false},
	} {
		observed := &lastSample{}
		s := &Server{deps: Deps{Observer: observed}}
		current := &session{received: time.Now().Add(-time.Second)}
		s.observeRefusal(c.ctx, current, refusal.New(refusal.KindDeadline, http.StatusServiceUnavailable, "too late"))
		if got := observed.sample; got.Outcome != c.want || (got.Waited >= time.Second) != c.waited {
			t.Errorf("%s: outcome %s after %s, want %s", name, got.Outcome, got.Waited, c.want)
		}
	}
}
