package poison

import (
	"testing"
	"time"
)

// TestCrashIsHeldAgainstAttemptGivenUpBefore guards against a crash that blames nobody
// because the node had just ended the attempt.
func TestCrashIsHeldAgainstAttemptGivenUpBefore(t *testing.T) {
	request, neighbour := identify(nil, 1), identify(nil, 2)
	for name, test := range map[string]struct {
		after time.Duration
		crash func(tracker *Tracker, now time.Time)
		want  int
	}{
		"found by a check":             {400 * time.Millisecond, func(tr *Tracker, now time.Time) { tr.Crashed("h/1", now) }, 1},
		"found by another request":     {400 * time.Millisecond, func(tr *Tracker, now time.Time) { tr.Lost(neighbour, "h/1", now) }, 1},
		"found twice":                  {400 * time.Millisecond, func(tr *Tracker, now time.Time) { tr.Crashed("h/1", now); tr.Lost(neighbour, "h/1", now) }, 1},
		"another life of the host":     {400 * time.Millisecond, func(tr *Tracker, now time.Time) { tr.Crashed("h/2", now) }, 0},
		"long after the attempt ended": {giveUpWindow, func(tr *Tracker, now time.Time) { tr.Crashed("h/1", now) }, 0},
		"found by another node": {400 * time.Millisecond, func(tr *Tracker, now time.Time) {
			other := New()
			other.Lost(neighbour, "h/1", now)
			if _, learned := tr.Merge(other.Digest(now), now); !learned {
				t.Error("nothing learned from the digest, want the crash")
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := New(), time.Unix(1e9, 0)
			tracker.GaveUp(request, "h/1", now)
			now = now.Add(test.after)
			test.crash(tracker, now)
			if got, _ := tracker.Evidence(request, now); got != test.want {
				t.Errorf("%d crashed hosts speak against the request, want %d", got, test.want)
			}
			if d := tracker.Digest(now); test.want > 0 && d == nil {
				t.Error("the digest says nothing of the crash")
			}
		})
	}
}

// TestGivenUpAttemptsAreBounded verifies that the oldest attempts are forgotten.
func TestGivenUpAttemptsAreBounded(t *testing.T) {
	tracker, now := New(), time.Unix(1e9, 0)
	for i := range 2 * maxGivenUp {
		tracker.GaveUp(identify(nil, uint64(i)), "h/1", now)
	}
	if len(tracker.givenUp) != maxGivenUp {
		t.Errorf("%d attempts are remembered, want %d", len(tracker.givenUp), maxGivenUp)
	}
}
