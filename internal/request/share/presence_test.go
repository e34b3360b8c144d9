package share

import (
	"testing"
	"time"
)

// TestPresence feeds a sequence of evidence, with times in seconds, to a presence
// with a timeout of 20 s.
func TestPresence(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(second int) time.Time {
		if second < 0 {
			return time.Time{}
		}
		return start.Add(time.Duration(second) * time.Second)
	}
	type step struct {
		name                     string
		now, renewalSent, listed int // -1 for never
		incarnation              int64
		wantLapsed, wantPresence bool
	}
	steps := []step{
		{"not started", 0, -1, 0, 0, false, false},
		{"listing alone does not make it valid", 1, -1, 1, 1, false, false},
		{"first renewal", 2, 1, 1, 1, false, true},
		{"listing keeps it valid", 19, 1, 18, 1, false, true},
		{"listing not yet expired", 37, 1, 18, 1, false, true},
		{"all evidence expired", 38, 1, 18, 1, true, false},
		{"listing does not restore it", 40, 1, 39, 1, false, false},
		{"renewal restores it", 42, 41, 39, 1, false, true},
		{"gap in the evidence between two calls", 70, 69, 69, 1, true, false},
		{"renewal after the gap", 72, 71, 69, 1, false, true},
		{"session replaced", 73, 72, 69, 2, true, false},
		{"renewal of the new session", 75, 74, 69, 2, false, true},
	}
	var p presence
	for _, s := range steps {
		lapsed := p.update(evidence{Session{s.incarnation, at(s.renewalSent)}, at(s.listed)}, at(s.now), 20*time.Second)
		if lapsed != s.wantLapsed || p.valid != s.wantPresence {
			t.Errorf("%s: got lapsed %t, valid %t, want %t, %t", s.name, lapsed, p.valid, s.wantLapsed, s.wantPresence)
		}
	}
}
