package place

import (
	"testing"
	"time"
)

// TestStallThresholds checks values around each threshold: 0.2 s for a
// suspicion, 0.5 s for a stall and 1 s before the first event.
func TestStallThresholds(t *testing.T) {
	thresholds := StallThresholds{Suspect: 200 * time.Millisecond, Stalled: 500 * time.Millisecond, First: time.Second}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, c := range map[string]struct {
		silent        SilentFor
		suspect, move bool
	}{
		"usual pass":                      {SilentFor{Own: ms(199), Group: ms(199), Began: true}, false, false},
		"unusual pass":                    {SilentFor{Own: ms(200), Group: ms(200), Began: true}, true, false},
		"stalled":                         {SilentFor{Own: ms(500), Group: ms(500), Began: true}, true, true},
		"other streams progress":          {SilentFor{Own: ms(500), Group: ms(20), Began: true}, false, false},
		"stream silent for too long":      {SilentFor{Own: ms(1500), Group: ms(20), Began: true}, false, true},
		"waits for its first event":       {SilentFor{Own: ms(900), Group: ms(900)}, false, false},
		"no first event":                  {SilentFor{Own: ms(1000), Group: ms(1000)}, true, true},
		"no first event, group suspected": {SilentFor{Own: ms(500), Group: ms(500), Suspected: true}, false, true},
		"queued while others are served":  {SilentFor{Own: ms(2900), Group: ms(20)}, false, false},
	} {
		if suspect, move := thresholds.Evaluate(c.silent); suspect != c.suspect || move != c.move {
			t.Errorf("%s: suspect %v, move %v; want %v, %v", name, suspect, move, c.suspect, c.move)
		}
	}
}
