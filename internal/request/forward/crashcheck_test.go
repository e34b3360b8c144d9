package forward

import (
	"testing"
	"time"

	"currantladder.example/currantladder/internal/version/fleet"
)

// TestCrashChecksOfAHostAreBounded verifies when a host is checked after an attempt
// was given up, and that many attempts given up at it cost no more checks.
func TestCrashChecksOfAHostAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		givenUpFor time.Duration
		want       int
	}{
		"one attempt":             {0, 2},
		"attempts for one second": {time.Second, 5},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1e9, 0)
			schedule, checks := crashCheckSchedule{}, 0
			for after := time.Duration(0); after < 3*time.Second; after += 10 * time.Millisecond {
				now := start.Add(after)
				if after <= test.givenUpFor {
					schedule.add(&fleet.Host{ID: "h"}, now)
				}
				if due := len(schedule.due(now)); due > 0 {
					checks += due
					if after < firstCrashCheckDelay {
						t.Errorf("checked after %v, want at least %v", after, firstCrashCheckDelay)
					}
				}
			}
			if checks != test.want {
				t.Errorf("%d checks, want %d", checks, test.want)
			}
			if len(schedule) > 0 {
				t.Errorf("%d hosts are still scheduled", len(schedule))
			}
		})
	}
}
