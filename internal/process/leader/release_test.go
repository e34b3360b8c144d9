package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
)

// TestReleaseEndsPart guards against a stopping node that takes the lease, or keeps it to
// its end, because its release came while it did not hold the lease or while a write of it
// was under way.
func TestReleaseEndsPart(t *testing.T) {
	const answerDelay = 100 * time.Millisecond
	for name, test := range map[string]struct {
		// stepsBefore is the number of steps before the one during whose write the
		// lease is released; -1 releases it before the first step.
		stepsBefore int
	}{
		"before the first step": {-1},
		"during the takeover":   {0},
		"during a renewal":      {1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := newFakeRows()
				started := time.Now()
				connection := &lateClient{client: client{rows, "a"}}
				c := New(connection, "a", func() time.Duration { return time.Since(started) + 10*time.Second }, eventlog.Discard())
				step := func() {
					if _, err := c.step(context.Background(), eligible()); err != nil {
						t.Error(err)
					}
				}
				released := make(chan error, 1)
				release := func() { released <- c.Release(context.Background()) }
				if test.stepsBefore < 0 {
					release()
				}
				for range test.stepsBefore {
					step()
				}
				connection.afterPut = func() {
					go release()
					time.Sleep(answerDelay)
				}
				step()
				if err := <-released; err != nil {
					t.Errorf("got error %v from the release, want none", err)
				}
				step()
				if term, leads := c.Leads(); leads {
					t.Errorf("the node leads with term %d after its release", term)
				}
				if stored, err := decodeRow(rows.row); err != nil || stored.Holder != "" {
					t.Errorf("got a row of %q and error %v after the release, want a free one", stored.Holder, err)
				}
			})
		})
	}
}
