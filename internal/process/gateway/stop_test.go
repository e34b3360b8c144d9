package gateway

import (
	"testing"
	"time"
)

// TestStopPhases verifies the phase of a stopping node by time and requests in flight.
func TestStopPhases(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		stopTime, elapsed time.Duration
		inFlight          int64
		want              phase
	}{
		{8 * time.Second, 0, 0, phaseAdmitting},
		{8 * time.Second, 2899 * ms, 0, phaseAdmitting},
		{8 * time.Second, 2900 * ms, 0, phaseRefusing},
		{8 * time.Second, 3399 * ms, 0, phaseRefusing},
		{8 * time.Second, 3400 * ms, 0, phaseEnding},
		{8 * time.Second, 3400 * ms, 1, phaseRefusing},
		{8 * time.Second, 7299 * ms, 1, phaseRefusing},
		{8 * time.Second, 7300 * ms, 1, phaseEnding},
		{30 * time.Second, 2900 * ms, 1, phaseRefusing},
		{30 * time.Second, 29299 * ms, 1, phaseRefusing},
		{2 * time.Second, 599 * ms, 1, phaseAdmitting},
		{2 * time.Second, 600 * ms, 1, phaseRefusing},
		{2 * time.Second, 1500 * ms, 1, phaseEnding},
	} {
		if got := newStopSchedule(test.stopTime).phase(test.elapsed, test.inFlight); got != test.want {
			t.Errorf("stop time %v, after %v with %d in flight: got phase %d, want %d", test.stopTime, test.elapsed, test.inFlight, got, test.want)
		}
	}
}

// TestStopScheduleLeavesTimeToAnswer guards against a stop that admits requests until its
// end, or ends them so late that the process is killed first.
func TestStopScheduleLeavesTimeToAnswer(t *testing.T) {
	for stopTime := 100 * time.Millisecond; stopTime <= time.Minute; stopTime += 100 * time.Millisecond {
		s := newStopSchedule(stopTime)
		if s.refuse >= s.earliestEnd || s.earliestEnd > s.end || s.end-s.refuse < stopTime*2/5 || s.end+s.closeTimeout >= stopTime {
			t.Errorf("stop time %v: got %+v, want refusals in the first half, and an end before the stop time", stopTime, s)
		}
	}
}

// TestStopClock verifies that a node serves until its stop begins, and when its requests
// end then.
func TestStopClock(t *testing.T) {
	c := stopClock{schedule: newStopSchedule(8 * time.Second)}
	now := time.Now()
	if c.stopping() || c.phase(now, 0) != phaseServing || !c.requestsEnd().IsZero() {
		t.Error("a clock that has not begun must report a serving node")
	}
	c.begin(now)
	if !c.stopping() || c.phase(now.Add(3*time.Second), 0) != phaseRefusing || !c.requestsEnd().Equal(now.Add(7300*time.Millisecond)) {
		t.Errorf("3 s after its begin: got phase %d and end %v, want refusing and 7.3 s", c.phase(now.Add(3*time.Second), 0), c.requestsEnd().Sub(now))
	}
}
